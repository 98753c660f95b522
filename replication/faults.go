package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HealthValue is the value of a Health: what a gateway has seen of a server.
type HealthValue struct {
	BootMs           int64   `json:"b,omitempty"` // Unix time of the start of the server that is meant
	ErrorRate        float64 `json:"f,omitempty"` // share of recent attempts that failed
	LateShare        float64 `json:"l,omitempty"` // share of recent answers that were late
	EjectedMs        int64   `json:"o,omitempty"` // how long it was still to be ejected, when this was written
	ConcurrencyLimit float64 `json:"m,omitempty"` // of requests in flight there; 0: none
}

// From which shares on a server counts as faulty.
const (
	faultyErrorRate = 0.1
	faultyLateShare = 0.3
)

// Faulty reports whether a server is bad enough for the writer to report it to other gateways.
func (v HealthValue) Faulty() bool {
	return v.ErrorRate >= faultyErrorRate || v.LateShare >= faultyLateShare || v.EjectedMs > 0
}

// valid reports whether a value lies within what a gateway can have seen.
func (v HealthValue) valid() bool {
	shares := v.ErrorRate >= 0 && v.ErrorRate <= 1 && v.LateShare >= 0 && v.LateShare <= 1
	ejected := v.EjectedMs >= 0 && v.EjectedMs <= time.Minute.Milliseconds()
	limit := v.ConcurrencyLimit >= 0 && v.ConcurrencyLimit < 1e9
	return shares && ejected && limit
}

// FaultReport is what several gateways report of a server.
type FaultReport struct {
	Server         string
	OldestEvidence time.Duration // of the evidence that it rests on
	Reporters      int           // gateways
	Value          HealthValue
}

// A server counts as faulty if at least minReporters gateways other than the reader report it, and one in reporterShare of those that
// are alive: a single gateway's own network path may be at fault.
const (
	minReporters  = 2
	reporterShare = 3
)

// FaultReports gives the servers that enough gateways report as faulty, with the median of their reports, while so many other gateways
// are alive. What former incarnations of the reader itself have written counts by itself.
func (r *Replica) FaultReports(now time.Duration, alive int) (all []FaultReport) {
	for server, slots := range r.byKey[Health] {
		evidence := r.evidence(now, slots)
		if report, ok := evidence.report(r.self.Name, alive, now); ok {
			report.Server = server
			all = append(all, report)
		}
	}
	slices.SortFunc(all, func(a, b FaultReport) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// healthEvidence is what gateways have written of one server.
type healthEvidence struct {
	slots  map[string]*Slot // by gateway: the newest slot of its incarnations
	values map[string]HealthValue
	bootMs int64 // the server's latest start that any of them knows of
}

// evidence takes the newest value of each gateway that has not outlived its kind.
func (r *Replica) evidence(now time.Duration, slots []*Slot) healthEvidence {
	e := healthEvidence{slots: map[string]*Slot{}, values: map[string]HealthValue{}}
	for _, s := range slots {
		if now-s.SeenAfter > r.maxAge(Health) {
			continue
		}
		if old := e.slots[s.Writer.Name]; old == nil || newer(s, old) {
			e.slots[s.Writer.Name] = s
		}
	}
	for name, s := range e.slots {
		if v, ok := decodeValue[HealthValue](s); ok && v.valid() {
			e.values[name] = v
			e.bootMs = max(e.bootMs, v.BootMs)
		}
	}
	return e
}

// reports reports whether a gateway's value says that the server, as it runs now, is faulty.
func (e *healthEvidence) reports(v HealthValue) bool { return v.Faulty() && v.BootMs == e.bootMs }

// report combines the values; false: there are not enough.
func (e *healthEvidence) report(self string, alive int, now time.Duration) (FaultReport, bool) {
	var values []HealthValue
	others, oldest := 0, now
	for _, name := range slices.Sorted(maps.Keys(e.values)) { // in one order, so that equal reports give one median
		v := e.values[name]
		if !e.reports(v) {
			continue
		}
		values = append(values, v)
		oldest = min(oldest, e.slots[name].SeenAfter)
		if name != self {
			others++
		}
	}
	if len(values) == 0 {
		return FaultReport{}, false
	}
	if others < minReporters || others*reporterShare < alive { // then only what the reader itself has written
		own, ok := e.values[self]
		if !ok || !e.reports(own) {
			return FaultReport{}, false
		}
		values, oldest = []HealthValue{own}, e.slots[self].SeenAfter
	}
	return FaultReport{OldestEvidence: oldest, Reporters: len(values), Value: e.median(values)}, true
}

// median is the value with the median error rate, for the median time of ejection.
func (e *healthEvidence) median(values []HealthValue) HealthValue {
	middle := (len(values) - 1) / 2
	slices.SortStableFunc(values, func(a, b HealthValue) int { return cmp.Compare(a.ErrorRate, b.ErrorRate) })
	v := values[middle]
	slices.SortStableFunc(values, func(a, b HealthValue) int { return cmp.Compare(a.EjectedMs, b.EjectedMs) })
	v.EjectedMs, v.BootMs = values[middle].EjectedMs, e.bootMs
	return v
}
