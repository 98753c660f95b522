// Package model simulates the overload control of a gateway: one processor reads requests, sheds some and serves the others as
// a policy decides. It compares policies on the same trace, at rates and durations that can't be reached with sockets. One of
// the policies is the unchanged package overload.
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

// Request is one request of a trace.
type Request struct {
	Due    time.Duration // arrival, since the start of the trace
	Class  int           // index in the mix
	Repeat bool          // it carries the retry flag
	Draw   uint64        // random number for decisions by policies

	item    overload.Item
	arrived time.Duration // when the gateway read it
}

// Costs is the processor time of each kind of work.
type Costs struct {
	Serve time.Duration // a served request with all its attempts and answers
	Read  time.Duration // the part of Serve for reading the request, before it is queued
	Shed  time.Duration // a request that is shed when it is read
	Drop  time.Duration // dropping a request from the queue, in addition to reading it

	// The processor does other work for Away, once every Every, as a garbage collector or another process causes it. Every
	// = 0 stands for never.
	Away, Every time.Duration
	// Burst is how long the processor serves before it reads again, as if an event loop and a poller shared it.
	Burst time.Duration
}

// MeasuredCosts are the costs measured with the load generator on the machine described in docs/measurements/overload.md.
var MeasuredCosts = Costs{Serve: 42 * time.Microsecond, Read: 4 * time.Microsecond, Shed: 5 * time.Microsecond, Drop: 8 * time.Microsecond}

// Policy decides which requests are queued, shed and dropped. Now is the time since the start of the trace. A policy is used
// from one goroutine.
type Policy interface {
	Arrive(now time.Duration, r *Request) bool                      // queues r, or returns false to shed it
	Next(now time.Duration) (r *Request, dropped int)               // the request to serve now, nil if none is queued, and the number dropped before it
	Done(now time.Duration, r *Request, waited, took time.Duration) // r was served; took includes waited
	Tick(now time.Duration)                                         // called once every TickInterval
}

// TickInterval is the interval of the calls of Policy.Tick.
const TickInterval = overload.DefaultTick

// Outcome holds the figures of a run.
type Outcome struct {
	Offered, Worth float64       // priority weight per second: of all requests, and of those served within the objective
	InAim          []float64     // share of requests served within the objective, by class
	P99            time.Duration // latency of served requests
	Shed, Dropped  int           // requests
	Served         int           // requests
}

// run is the state of a simulation.
type run struct {
	trace     []Request
	mix       []load.Class
	costs     Costs
	policy    Policy
	countFrom time.Duration // requests due before are not counted

	now         time.Duration
	nextTick    time.Duration // time of the next call of Policy.Tick
	nextAway    time.Duration // when the processor next does other work
	nextRequest int           // index in the trace
	readAfter   time.Duration // no request is read before, unless reading is set
	// reading is set while all requests that have arrived are read before any is served.
	reading bool

	out             Outcome
	requests, inAim []int           // counted requests, and those served within the objective, by class
	latencies       []time.Duration // of counted requests that were served
}

// Run simulates a trace that is not empty under policy p. Requests that are due before from are simulated but not counted.
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

// advance lets the processor do its other work and calls Policy.Tick when these are due.
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

// canRead reports whether a request has arrived that may be read now.
func (r *run) canRead() bool {
	arrived := r.nextRequest < len(r.trace) && r.trace[r.nextRequest].Due <= r.now
	return arrived && (r.reading || r.now >= r.readAfter)
}

// read reads the next request, which the policy queues or sheds.
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

// serve serves one queued request, or else advances to the next arrival or tick. It returns false at the end of the trace.
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

// outcome computes the figures of the run.
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

// GenerateTrace draws a trace of the given length: Poisson arrivals with a profile's rate. marked is the share of requests that
// carry the retry flag. Equal arguments give equal traces.
func GenerateTrace(profile load.Profile, length time.Duration, mix []load.Class, marked float64, seed uint64) (trace []Request) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for t := time.Duration(0); ; {
		rate := profile(t)
		if rate <= 0 {
			t += time.Millisecond
		} else {
			t += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		}
		if t >= length {
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

// ReadTrace reads a trace from the rows that load.Result.WriteParquet wrote. Errors name the file and an unknown class's row.
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
			return nil, fmt.Errorf("trace %s: row %d: class %q is not in the mix", path, n, r.Class)
		}
		trace = append(trace, Request{Due: time.Duration(r.DueUs) * time.Microsecond, Class: class, Repeat: r.Marked, Draw: rng.Uint64()})
	}
	if len(trace) == 0 {
		return nil, fmt.Errorf("trace %s: no rows, want at least one", path)
	}
	slices.SortStableFunc(trace, func(a, b Request) int { return int(a.Due - b.Due) })
	return trace, nil
}
