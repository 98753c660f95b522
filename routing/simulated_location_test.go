package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"larchusher/lab/virtualclock"
)

// small is a location with its caches, two parents and the origin, and one director. Caches hold what they were filled with;
// a fill takes its source's time, and the origin's behind a parent that lacks the object.
type small struct {
	d        *Director
	clock    virtualclock.Clock
	rng      *rand.Rand
	zipf     *rand.Zipf
	set      Settings
	held     map[string]map[string]time.Duration // by server, when each object was filled
	dead     map[string]bool                     // silent
	origin   time.Duration                       // what one fetch takes,
	busy     time.Duration                       // and until when it is at work
	reqs     map[string]*smallReq
	n        int
	load     map[string]float64 // reported
	from, to time.Duration      // what comes then is counted
	asked    map[string]int
	inAim    map[string]int
	hits     int // of those counted, which a cache held when they came
	hitsIn   int
	refused  []time.Duration // when requests were
	attempts map[string]int
}

type smallReq struct {
	class Class
	came  time.Duration
	held  bool
	over  bool
	sent  []bool // attempts that are out
	work  time.Duration
}

func newSmall(t *testing.T, tells AnswerDetail, change func(*Settings)) *small {
	t.Helper()
	set := settings()
	set.AnswerDetail, set.LoadReportFields, set.HedgedRequests = tells, []string{"cpu_share"}, false
	if change != nil {
		change(&set)
	}
	d, err := New(set, 11)
	if err != nil {
		t.Fatal(err)
	}
	w := &small{d: d, set: set, rng: rand.New(rand.NewPCG(3, 4)), held: map[string]map[string]time.Duration{}, dead: map[string]bool{},
		origin: 20 * ms, reqs: map[string]*smallReq{}, load: map[string]float64{}, asked: map[string]int{}, inAim: map[string]int{},
		attempts: map[string]int{}}
	w.zipf = rand.NewZipf(w.rng, 1.1, 8, 2000)
	w.clock.Now = time.Hour
	for _, m := range members() {
		w.held[m.ID], w.load[m.ID] = map[string]time.Duration{}, 0.4
	}
	w.do(EndpointUpdate{Kind: StaleList, Endpoints: members()})
	return w
}

// play has clients ask until a time, so many a second, and counts what comes from and to some times.
func (w *small) play(until, from, to time.Duration, rate float64) {
	until, w.from, w.to = time.Hour+until, time.Hour+from, time.Hour+to
	var next func()
	next = func() {
		w.arrive()
		w.clock.At(w.clock.Now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	w.clock.At(w.clock.Now, next)
	w.clock.Run(until)
}

func (w *small) at(t time.Duration, f func()) { w.clock.At(time.Hour+t, f) }

func (w *small) arrive() {
	c, object := w.set.Classes[0], fmt.Sprint("o", w.zipf.Uint64())
	switch x := w.rng.Float64(); {
	case x < 0.04:
		c = w.set.Classes[3] // a write
	case x < 0.4:
		c, object = w.set.Classes[1], "p"+object
	}
	w.n++
	id, kb := fmt.Sprint("r", w.n), 400+800*w.rng.Float64()
	r := &smallReq{class: c, came: w.clock.Now, work: w.set.TransferTime(kb)}
	w.reqs[id] = r
	key := object
	for _, s := range []string{"c1", "c2", "c3", "c4"} {
		if at, ok := w.held[s][key]; ok && !c.Uncacheable && (c.FreshFor == 0 || w.clock.Now-at < c.FreshFor) {
			r.held = true
		}
	}
	if w.counted(r) {
		w.asked[c.Name]++
		if r.held {
			w.hits++
		}
	}
	w.do(Request{ID: id, Class: c.Name, Object: object, SizeKB: kb, Deadline: w.clock.Now + c.Deadline, Write: c.Uncacheable})
}

func (w *small) counted(r *smallReq) bool { return r.came >= w.from && r.came < w.to }

func (w *small) do(e Event) {
	object := ""
	if q, ok := e.(Request); ok {
		object = q.Object
	}
	for _, a := range w.d.Handle(w.clock.Now, e, nil) {
		switch a := a.(type) {
		case ForwardAttempt:
			w.ask(a, object)
		case SetTimer:
			w.clock.At(a.At, func() { w.do(TimerFired{Token: a.Token}) })
		case CancelAttempt:
			w.end(a.ID, a.Attempt, AttemptResult{Status: Canceled})
		case Reject:
			w.refused = append(w.refused, w.clock.Now-time.Hour)
			w.reqs[a.ID].over = true
		case Fail:
			w.reqs[a.ID].over = true
		}
	}
}

// ask works an attempt out: when it ends, and how.
func (w *small) ask(a ForwardAttempt, object string) {
	r, now := w.reqs[a.ID], w.clock.Now
	if object == "" { // a further attempt
		object = w.d.requests[a.ID].Object
	}
	number := len(r.sent)
	r.sent = append(r.sent, true)
	w.attempts[a.Endpoint]++
	ended := func(after time.Duration, o AttemptResult) {
		w.clock.At(now+after, func() { w.end(a.ID, number, o) })
	}
	w.clock.At(now+a.Timeout, func() { w.end(a.ID, number, AttemptResult{Status: TimedOut}) })
	if w.dead[a.Endpoint] {
		return
	}
	took := time.Duration(float64(r.work) * (0.9 + 0.2*w.rng.Float64()))
	if w.load[a.Endpoint] > 0.95 {
		took *= 4
	}
	at, ok := w.held[a.Endpoint][object]
	fresh := ok && (r.class.FreshFor == 0 || now-at < r.class.FreshFor) && (a.MaxAge == 0 || now-at < a.MaxAge)
	o := AttemptResult{Status: OK, LoadReport: []float64{w.load[a.Endpoint] * (0.9 + 0.2*w.rng.Float64())}}
	switch {
	case fresh:
		o.Reason = ReasonHit
	case a.FillSource == a.Endpoint && a.Endpoint != "o":
		o.Status, took = Miss, ms
	case w.dead[a.FillSource]: // it is given up after the fill's own time-out
		o.Status, took = Rejected, 830*ms
	default:
		o.Reason = ReasonFilled
		pat, has := w.held[a.FillSource][object]
		if has = has && a.FillSource != "o" && (r.class.FreshFor == 0 || now-pat < r.class.FreshFor) && (a.MaxAge == 0 || now-pat < a.MaxAge); !has {
			if a.OnlyIfCached {
				o.Status, took = Miss, 10*ms
				break
			}
			w.busy = max(w.busy, now) + w.origin // one worker, no end of waiting room
			took += w.busy - now
			pat = now
			w.held[a.FillSource][object] = pat
		}
		took += 10 * ms
		w.clock.At(now+took, func() { w.held[a.Endpoint][object] = pat })
	}
	if w.set.AnswerDetail == DetailNone {
		o.Reason = ReasonNone
	}
	ended(took, o)
}

func (w *small) end(id string, number int, o AttemptResult) {
	r := w.reqs[id]
	if !r.sent[number] {
		return
	}
	r.sent[number] = false
	o.ID, o.Attempt, o.Latency = id, number, w.clock.Now-r.came
	if o.Final = r.over; o.Status == OK && !r.over {
		o.Final, r.over = true, true
		aim := r.class.LatencyObjective + time.Duration(r.class.ObjectiveStretch*float64(r.work))
		if w.counted(r) && w.clock.Now-r.came <= aim {
			w.inAim[r.class.Name]++
			if r.held {
				w.hitsIn++
			}
		}
	}
	w.do(o)
}

func (w *small) share(class string) float64 {
	return float64(w.inAim[class]) / float64(max(1, w.asked[class]))
}
