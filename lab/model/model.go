// Package model is a gateway in simulated time: one processor that reads requests, sheds some, and serves the others, by
// a policy of overload control. It tries policies on the same trace, at loads and lengths that sockets don't reach, and
// drives package overload without a changed line.
package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/parquet-go/parquet-go"

	"larchusher/lab/load"
	"larchusher/overload"
)

// Req is one request of a trace.
type Request struct {
	Due    time.Duration
	Class  int // place in the mix
	Repeat bool
	Draw   uint64

	item    overload.Item
	arrived time.Duration
}

// Costs are what the processor spends.
type Costs struct {
	Serve time.Duration // on a request that is served, all its attempts and answers
	Read  time.Duration // of that, on reading it, before it waits for its turn
	Shed  time.Duration // on one that is shed as it is read
	Drop  time.Duration // on one that is refused after it waited, beside reading it

	// Away is how long the processor does something else, and Every how often: hiccups, as a collector or a neighbour
	// makes them.
	Away, Every time.Duration
	// Burst is how long the processor serves before it reads again, as a poller does that shares it with a loop.
	Burst time.Duration
}

// Measured are costs as lab load finds them on the machine of docs/measurements/overload.md.
var MeasuredCosts = Costs{Serve: 42 * time.Microsecond, Read: 4 * time.Microsecond, Shed: 5 * time.Microsecond, Drop: 8 * time.Microsecond}

// Policy is a way of overload control.
type Policy interface {
	Arrive(now time.Duration, r *Request) bool                      // false: it is shed
	Next(now time.Duration) (r *Request, dropped int)               // who is served now; nil: nobody waits
	Done(now time.Duration, r *Request, waited, took time.Duration) // it has been served
	Tick(now time.Duration)
}

// TickEvery is how often policies are ticked.
const TickInterval = overload.DefaultTick

// Outcome is what came of a run.
type Outcome struct {
	Offered, Worth float64 // worth a second: asked for, and served in aim
	InAim          []float64
	P99            time.Duration // of what was served
	Shed, Dropped  int
	Served         int
}

// run is a trace being played.
type run struct {
	trace     []Request
	mix       []load.Class
	costs     Costs
	policy    Policy
	countFrom time.Duration // what is due before is not counted

	now         time.Duration
	nextTick    time.Duration // when the policy is ticked next
	nextAway    time.Duration // when the processor is away next
	nextRequest int           // of the trace
	readAfter   time.Duration // nothing is read before, unless reading
	// reading says that what has come is read before anything is served.
	reading bool

	out             Outcome
	requests, inAim []int // by class, and of those served in aim
	latencies       []time.Duration
}

// Run plays a trace. What is due before `from` is not counted.
func Run(trace []Request, mix []load.Class, c Costs, p Policy, from time.Duration) Outcome {
	r := &run{trace: trace, mix: mix, costs: c, policy: p, countFrom: from, nextTick: TickInterval, nextAway: c.Every, reading: true,
		requests: make([]int, len(mix)), inAim: make([]int, len(mix))}
	for {
		r.advance()
		if r.canRead() {
			r.read()
		} else if !r.serve() {
			break
		}
	}
	return r.outcome()
}

// pass has the processor be away, and the policy ticked, in their time.
func (r *run) advance() {
	if r.costs.Every > 0 && r.now >= r.nextAway {
		r.now += r.costs.Away
		r.nextAway += r.costs.Every
	}
	for r.nextTick <= r.now {
		r.policy.Tick(r.nextTick)
		r.nextTick += TickInterval
	}
}

// mayRead says whether a request has come, and is read now.
func (r *run) canRead() bool {
	come := r.nextRequest < len(r.trace) && r.trace[r.nextRequest].Due <= r.now
	return come && (r.reading || r.now >= r.readAfter)
}

// read reads one request, which the policy takes or sheds.
func (r *run) read() {
	r.reading = true
	q := &r.trace[r.nextRequest]
	r.nextRequest++
	q.arrived = r.now
	if q.Due >= r.countFrom {
		r.requests[q.Class]++
	}
	if r.policy.Arrive(r.now, q) {
		r.now += r.costs.Read
	} else {
		r.out.Shed++
		r.now += r.costs.Shed
	}
}

// serve serves one request, or waits for the next one to come; false: there is none any more.
func (r *run) serve() bool {
	if r.reading {
		r.reading, r.readAfter = false, r.now+r.costs.Burst
	}
	q, dropped := r.policy.Next(r.now)
	r.out.Dropped += dropped
	r.now += time.Duration(dropped) * r.costs.Drop
	if q == nil {
		if r.nextRequest >= len(r.trace) {
			return false
		}
		r.reading = true
		r.now = max(r.now, min(r.trace[r.nextRequest].Due, r.nextTick))
		return true
	}
	waited := r.now - q.arrived
	r.now += r.costs.Serve - r.costs.Read
	r.policy.Done(r.now, q, waited, r.now-q.arrived)
	r.out.Served++
	if q.Due >= r.countFrom {
		r.latencies = append(r.latencies, r.now-q.Due)
		if r.now-q.Due <= r.mix[q.Class].Aim {
			r.inAim[q.Class]++
		}
	}
	return true
}

// outcome sums up.
func (r *run) outcome() Outcome {
	out := r.out
	seconds := (r.trace[len(r.trace)-1].Due - r.countFrom).Seconds()
	for k, class := range r.mix {
		out.Offered += float64(r.requests[k]) * class.Worth / seconds
		out.Worth += float64(r.inAim[k]) * class.Worth / seconds
		out.InAim = append(out.InAim, float64(r.inAim[k])/float64(max(1, r.requests[k])))
	}
	if len(r.latencies) > 0 {
		slices.Sort(r.latencies)
		out.P99 = r.latencies[len(r.latencies)*99/100]
	}
	return out
}

// Draw draws a trace: Poisson arrivals with a profile's rate.
func GenerateTrace(profile load.Profile, long time.Duration, mix []load.Class, marked float64, seed uint64) (trace []Request) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for t := time.Duration(0); ; {
		rate := profile(t)
		if rate <= 0 {
			t += time.Millisecond
		} else {
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		}
		if t >= long {
			return trace
		}
		if rate <= 0 {
			continue
		}
		x, class := rng.Float64(), 0
		for class < len(mix)-1 && x >= mix[class].Share {
			x -= mix[class].Share
			class++
		}
		trace = append(trace, Request{Due: t, Class: class, Repeat: rng.Float64() < marked, Draw: rng.Uint64()})
	}
}

// Read reads a trace that lab load recorded.
func ReadTrace(path string, mix []load.Class, seed uint64) ([]Request, error) {
	rows, err := parquet.ReadFile[load.Row](path)
	if err != nil {
		return nil, fmt.Errorf("trace %s: %w", path, err)
	}
	rng := rand.New(rand.NewPCG(seed, 1))
	var trace []Request
	for n, r := range rows {
		class := slices.IndexFunc(mix, func(c load.Class) bool { return c.Name == r.Class })
		if class < 0 {
			return nil, fmt.Errorf("trace %s: row %d: no class %q", path, n, r.Class)
		}
		trace = append(trace, Request{Due: time.Duration(r.DueUs) * time.Microsecond, Class: class, Repeat: r.Marked, Draw: rng.Uint64()})
	}
	if len(trace) == 0 {
		return nil, fmt.Errorf("trace %s: empty", path)
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return int(a.Due - b.Due) })
	return trace, nil
}
