package replication

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// HealthValue is the value of a Health: what a gateway has observed of an endpoint.
type HealthValue struct {
	BootMs           int64   `json:"b,omitempty"` // Unix time in ms of the start of the observed incarnation of the endpoint
	ErrorRate        float64 `json:"f,omitempty"` // share of recent attempts that failed, 0 to 1
	LateShare        float64 `json:"l,omitempty"` // share of recent answers that were late, 0 to 1
	EjectedMs        int64   `json:"o,omitempty"` // remaining time of the ejection in ms, when the value was written; 0: not ejected
	ConcurrencyLimit float64 `json:"m,omitempty"` // limit of the writer's requests in flight at the endpoint; 0: none
}

// Shares from which on an endpoint counts as faulty.
const (
	faultyErrorRate = 0.1
	faultyLateShare = 0.3
)

// Faulty reports whether the endpoint is faulty enough to be reported to other gateways.
func (v HealthValue) Faulty() bool {
	return v.ErrorRate >= faultyErrorRate || v.LateShare >= faultyLateShare || v.EjectedMs > 0
}

// valid reports whether all fields are within the range that a correct gateway can observe.
func (v HealthValue) valid() bool {
	shares := v.ErrorRate >= 0 && v.ErrorRate <= 1 && v.LateShare >= 0 && v.LateShare <= 1
	ejected := v.EjectedMs >= 0 && v.EjectedMs <= time.Minute.Milliseconds()
	limit := v.ConcurrencyLimit >= 0 && v.ConcurrencyLimit < 1e9
	return shares && ejected && limit
}

// FaultReport combines the reports of several gateways that an endpoint is faulty.
type FaultReport struct {
	Server         string        // id of the endpoint
	OldestEvidence time.Duration // time of the oldest evidence used, on the replica's clock
	Reporters      int           // number of gateways whose reports were used
	Value          HealthValue   // median of the reports
}

// An endpoint counts as faulty only if at least minReporters gateways other than the reader report it, and these are at
// least 1/reporterDivisor of the other gateways that are alive. A single report may be due to the network path of its
// gateway.
const (
	minReporters    = 2
	reporterDivisor = 3
)

// FaultReports returns the endpoints that enough gateways report as faulty, sorted by id, each with the median of the
// reports. alive is the number of other gateways that are alive. If there are too few reports, one that this gateway
// itself has written, for instance in a former incarnation, suffices.
func (r *Replica) FaultReports(now time.Duration, alive int) (all []FaultReport) {
	for server, slots := range r.byKey[Health] {
		evidence := r.collectEvidence(now, slots)
		if report, ok := evidence.combine(r.self.Name, alive, now); ok {
			report.Server = server
			all = append(all, report)
		}
	}
	slices.SortFunc(all, func(a, b FaultReport) int { return cmp.Compare(a.Server, b.Server) })
	return all
}

// healthEvidence contains the reports of all gateways about one endpoint.
type healthEvidence struct {
	slots  map[string]*Slot       // by gateway: the newest slot of its incarnations
	values map[string]HealthValue // by gateway: the value of that slot, if valid
	bootMs int64                  // Unix time in ms of the endpoint's latest start that any of them knows of
}

// collectEvidence collects the newest value of each gateway, without slots older than the maximum age.
func (r *Replica) collectEvidence(now time.Duration, slots []*Slot) healthEvidence {
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

// reportsFault reports whether a value says that the current incarnation of the endpoint is faulty.
func (e *healthEvidence) reportsFault(v HealthValue) bool { return v.Faulty() && v.BootMs == e.bootMs }

// combine combines the reports of faults into one. It returns false if there are too few. self is the name of the
// reading gateway.
func (e *healthEvidence) combine(self string, alive int, now time.Duration) (FaultReport, bool) {
	var values []HealthValue
	others, oldest := 0, now
	for _, name := range slices.Sorted(maps.Keys(e.values)) { // in a fixed order, so that the median is deterministic if reports have equal rates
		v := e.values[name]
		if !e.reportsFault(v) {
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
	if others < minReporters || others*reporterDivisor < alive { // too few: use only the report of the reader itself, if any
		own, ok := e.values[self]
		if !ok || !e.reportsFault(own) {
			return FaultReport{}, false
		}
		values, oldest = []HealthValue{own}, e.slots[self].SeenAfter
	}
	return FaultReport{OldestEvidence: oldest, Reporters: len(values), Value: e.median(values)}, true
}

// median returns the value with the median error rate, with its EjectedMs replaced by the median ejection time. It
// sorts values.
func (e *healthEvidence) median(values []HealthValue) HealthValue {
	middle := (len(values) - 1) / 2
	slices.SortStableFunc(values, func(a, b HealthValue) int { return cmp.Compare(a.ErrorRate, b.ErrorRate) })
	v := values[middle]
	slices.SortStableFunc(values, func(a, b HealthValue) int { return cmp.Compare(a.EjectedMs, b.EjectedMs) })
	v.EjectedMs, v.BootMs = values[middle].EjectedMs, e.bootMs
	return v
}
