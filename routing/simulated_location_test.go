package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchusher/lab/virtualclock"
)

// simulatedLocation is one director in front of a simulated location with its caches, two parents
// and the origin. Endpoints keep a copy of everything they were filled with. A fill takes the fill
// source's time, plus the origin's if a parent has no copy.
type simulatedLocation struct {
	d                  *Director
	clock              virtualclock.Clock
	rng                *rand.Rand
	zipf               *rand.Zipf
	settings           Settings
	copies             map[string]map[string]time.Duration // by endpoint and object: time of the fill
	silent             map[string]bool                     // by endpoint: it answers nothing
	originFetchTime    time.Duration                       // duration of one fetch
	originBusyUntil    time.Duration                       // time at which the origin has finished all its fetches
	requests           map[string]*simulatedRequest
	lastID             int
	utilization        map[string]float64 // reported by each endpoint
	countFrom, countTo time.Duration      // requests that arrive in this interval are counted
	requestCount       map[string]int
	inObjective        map[string]int
	expectedHits       int // counted requests for objects of which a cache had a copy on arrival
	hitsInObjective    int
	rejectedAt         []time.Duration // times of rejections
	attempts           map[string]int
}

type simulatedRequest struct {
	class        Class
	arrivedAt    time.Duration
	hitExpected  bool
	answered     bool
	inFlight     []bool // by attempt
	transferTime time.Duration
}

func newSimulatedLocation(t *testing.T, detail AnswerDetail, change func(*Settings)) *simulatedLocation {
	t.Helper()
	settings := defaultSettings()
	settings.AnswerDetail, settings.LoadReportFields, settings.HedgedRequests = detail, []string{"cpu_share"}, false
	if change != nil {
		change(&settings)
	}
	d, err := New(settings, 11)
	if err != nil {
		t.Fatal(err)
	}
	w := &simulatedLocation{d: d, settings: settings, rng: rand.New(rand.NewPCG(3, 4)), copies: map[string]map[string]time.Duration{}, silent: map[string]bool{},
		originFetchTime: 20 * ms, requests: map[string]*simulatedRequest{}, utilization: map[string]float64{}, requestCount: map[string]int{}, inObjective: map[string]int{},
		attempts: map[string]int{}}
	w.zipf = rand.NewZipf(w.rng, 1.1, 8, 2000)
	w.clock.Now = time.Hour
	for _, m := range testEndpoints() {
		w.copies[m.ID], w.utilization[m.ID] = map[string]time.Duration{}, 0.4
	}
	w.handle(EndpointUpdate{Kind: StaleList, Endpoints: testEndpoints()})
	return w
}

// run simulates clients that send rate requests per second until a time, and counts the requests
// that arrive in the interval from from to to.
func (w *simulatedLocation) run(until, from, to time.Duration, rate float64) {
	until, w.countFrom, w.countTo = time.Hour+until, time.Hour+from, time.Hour+to
	var next func()
	next = func() {
		w.sendRandomRequest()
		w.clock.At(w.clock.Now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.clock.At(w.clock.Now, next)
	w.clock.Run(until)
}

func (w *simulatedLocation) at(t time.Duration, f func()) { w.clock.At(time.Hour+t, f) }

func (w *simulatedLocation) sendRandomRequest() {
	c, object := w.settings.Classes[0], fmt.Sprint("o", w.zipf.Uint64())
	switch x := w.rng.Float64(); {
	case x < 0.04:
		c = w.settings.Classes[3] // of the write class
	case x < 0.4:
		c, object = w.settings.Classes[1], "p"+object
	}
	w.lastID++
	id, kb := fmt.Sprint("r", w.lastID), 400+800*w.rng.Float64()
	r := &simulatedRequest{class: c, arrivedAt: w.clock.Now, transferTime: w.settings.TransferTime(kb)}
	w.requests[id] = r
	key := object
	for _, s := range []string{"c1", "c2", "c3", "c4"} {
		if at, ok := w.copies[s][key]; ok && !c.Uncacheable && (c.FreshFor == 0 || w.clock.Now-at < c.FreshFor) {
			r.hitExpected = true
		}
	}
	if w.isCounted(r) {
		w.requestCount[c.Name]++
		if r.hitExpected {
			w.expectedHits++
		}
	}
	w.handle(Request{ID: id, Class: c.Name, Object: object, SizeKB: kb, Deadline: w.clock.Now + c.Deadline, Write: c.Uncacheable})
}

func (w *simulatedLocation) isCounted(r *simulatedRequest) bool {
	return r.arrivedAt >= w.countFrom && r.arrivedAt < w.countTo
}

func (w *simulatedLocation) handle(e Event) {
	object := ""
	if q, ok := e.(Request); ok {
		object = q.Object
	}
	for _, a := range w.d.Handle(w.clock.Now, e, nil) {
		switch a := a.(type) {
		case ForwardAttempt:
			w.executeAttempt(a, object)
		case SetTimer:
			w.clock.At(a.At, func() { w.handle(TimerFired{Token: a.Token}) })
		case CancelAttempt:
			w.endAttempt(a.ID, a.Attempt, AttemptResult{Status: Canceled})
		case Reject:
			w.rejectedAt = append(w.rejectedAt, w.clock.Now-time.Hour)
			w.requests[a.ID].answered = true
		case Fail:
			w.requests[a.ID].answered = true
		}
	}
}

// executeAttempt simulates an attempt and schedules its result.
func (w *simulatedLocation) executeAttempt(a ForwardAttempt, object string) {
	r, now := w.requests[a.ID], w.clock.Now
	if object == "" { // a retry
		object = w.d.requests[a.ID].Object
	}
	number := len(r.inFlight)
	r.inFlight = append(r.inFlight, true)
	w.attempts[a.Endpoint]++
	scheduleResult := func(after time.Duration, o AttemptResult) {
		w.clock.At(now+after, func() { w.endAttempt(a.ID, number, o) })
	}
	w.clock.At(now+a.Timeout, func() { w.endAttempt(a.ID, number, AttemptResult{Status: TimedOut}) })
	if w.silent[a.Endpoint] {
		return
	}
	latency := time.Duration(float64(r.transferTime) * (0.9 + 0.2*w.rng.Float64()))
	if w.utilization[a.Endpoint] > 0.95 {
		latency *= 4
	}
	copyAt, ok := w.copies[a.Endpoint][object]
	fresh := ok && (r.class.FreshFor == 0 || now-copyAt < r.class.FreshFor) && (a.MaxAge == 0 || now-copyAt < a.MaxAge)
	o := AttemptResult{Status: OK, LoadReport: []float64{w.utilization[a.Endpoint] * (0.9 + 0.2*w.rng.Float64())}}
	switch {
	case fresh:
		o.Reason = ReasonHit
	case a.FillSource == a.Endpoint && a.Endpoint != "o":
		o.Status, latency = Miss, ms
	case w.silent[a.FillSource]: // rejected after the fill's own timeout
		o.Status, latency = Rejected, 830*ms
	default:
		o.Reason = ReasonFilled
		parentCopyAt, parentHasCopy := w.copies[a.FillSource][object]
		if parentHasCopy = parentHasCopy && a.FillSource != "o" && (r.class.FreshFor == 0 || now-parentCopyAt < r.class.FreshFor) && (a.MaxAge == 0 || now-parentCopyAt < a.MaxAge); !parentHasCopy {
			if a.OnlyIfCached {
				o.Status, latency = Miss, 10*ms
				break
			}
			w.originBusyUntil = max(w.originBusyUntil, now) + w.originFetchTime // one worker with an unlimited queue
			latency += w.originBusyUntil - now
			parentCopyAt = now
			w.copies[a.FillSource][object] = parentCopyAt
		}
		latency += 10 * ms
		w.clock.At(now+latency, func() { w.copies[a.Endpoint][object] = parentCopyAt })
	}
	if w.settings.AnswerDetail == DetailNone {
		o.Reason = ReasonNone
	}
	scheduleResult(latency, o)
}

func (w *simulatedLocation) endAttempt(id string, number int, o AttemptResult) {
	r := w.requests[id]
	if !r.inFlight[number] {
		return
	}
	r.inFlight[number] = false
	o.ID, o.Attempt, o.Latency = id, number, w.clock.Now-r.arrivedAt
	if o.Final = r.answered; o.Status == OK && !r.answered {
		o.Final, r.answered = true, true
		objective := r.class.LatencyObjective + time.Duration(r.class.ObjectiveStretch*float64(r.transferTime))
		if w.isCounted(r) && w.clock.Now-r.arrivedAt <= objective {
			w.inObjective[r.class.Name]++
			if r.hitExpected {
				w.hitsInObjective++
			}
		}
	}
	w.handle(o)
}

func (w *simulatedLocation) objectiveShare(class string) float64 {
	return float64(w.inObjective[class]) / float64(max(1, w.requestCount[class]))
}
