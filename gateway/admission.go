package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"larchusher/overload"
)

// Front is the way by which a request came. Fronts share the gateway evenly among requests of the same priority weight.
type Front int

// The fronts.
const (
	PlatformFront Front = iota
	SignedFront
	EmbeddedFront // a program that has the gateway built in
	frontCount
)

// String names a front, as the counters do.
func (f Front) String() string { return [...]string{"platform", "signed", "host"}[f] }

// admissionState is the part of a gateway that stands before the directors: it admits requests, queues them and sheds
// load. It measures for package overload, which decides, and carries out those decisions.
type admissionState struct {
	generations       admissionGenerations
	queue             *overload.Queue
	rejectionQueue    *overload.Queue // of work to reject requests; it runs when nothing else waits, or has waited for long
	runningQueuedWork bool            // a QueuedWork of the queue runs
	shedController    *overload.Controller
	memory            *overload.Memory
	balancerHealth    overload.Health

	loopMonitor

	Load LoadCounters
}

// initAdmission makes the admission state, and schedules the first tick.
func (g *Gateway) initAdmission() error {
	c := g.overloadConfig()
	order := overload.NewOrder(c.Classes, c.RetriesFirst)
	controller, err := overload.NewController(c, order)
	if err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.cfg.Overload, g.shedController = c, controller
	g.generations.replace(newAdmissionGeneration(order))
	g.queue = overload.NewQueue(order.Bands(), c.Fronts, c.MaxWait)
	g.rejectionQueue = overload.NewQueue(1, c.Fronts, c.MaxWait/rejectionWaitDivisor)
	g.pauseMonitor = overload.NewSchedulingMonitor(c.Tick, c.MinPause)
	g.memory = overload.NewMemory(c.MemoryLimit)
	g.Load = newLoadCounters()
	loop := g.cfg.Loop
	loop.runQueued, loop.onLateTimer = g.runNextQueued, g.holdLateTimers
	loop.onDelay = func(d time.Duration) { recordDuration(g.Load.LoopDelay, d) }
	g.lastTick = time.Now()
	loop.Post(g.tick)
	return nil
}

// overloadConfig is Config.Overload with what it leaves out.
func (g *Gateway) overloadConfig() overload.Config {
	c := g.cfg.Overload
	c.Classes, c.Fronts = overloadClasses(g.cfg.Settings.Classes), int(frontCount)
	if c.MaxRetryAfter == 0 {
		c.MaxRetryAfter = g.cfg.Settings.MaxRetryAfter
	}
	if c.Tick == 0 {
		c.Tick = overload.DefaultTick
	}
	if c.MinPause == 0 {
		c.MinPause = overload.DefaultMinPause
	}
	if c.MaxWait == 0 {
		c.MaxWait = overload.DefaultMaxWait
	}
	return c
}

// Admit reports whether a request is admitted, as soon as its class, its retry mark and its client's id are known. If it
// is not, retryAfter is when its client should come back; 0: no advice. It may be called from any goroutine. A request
// that is submitted afterwards carries Admitted.
func (g *Gateway) Admit(f Front, class []byte, retry bool, id []byte) (retryAfter time.Duration, ok bool) {
	a := g.generations.current.Load()
	retryAfter, ok = a.controller.Admit(int(f), a.order.BandOf(class, retry), xxhash.Sum64(id))
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	return retryAfter, ok
}

// ShedShare is the share of the offered requests that is shed, from 0 to 1, over the last tenths of a second.
func (g *Gateway) ShedShare() float64 { return g.shedController.ShedLevel() }

// BalancerWeight is the weight that load balancers should give the gateway, in percent.
func (g *Gateway) BalancerWeight() int { return g.balancerHealth.Weight() }

// RetryAfter is when a client whose request is shed for load should come back. It differs with the client's id, so that
// clients don't come back all at once.
func (g *Gateway) RetryAfter(id string) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	return overload.Jitter(g.shedController.RetryAfter(), xxhash.Sum64String(id))
}

// longRetryAfterShare is the least share of Settings.MaxRetryAfter in LongRetryAfter.
const longRetryAfterShare = 0.5

// LongRetryAfter is when a client should come back that is rejected for another reason than the present load: between
// half of Settings.MaxRetryAfter and all of it. It differs with the client's id, too; 0 where no Retry-After is sent.
func (g *Gateway) LongRetryAfter(id string) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	longest := float64(g.cfg.Settings.MaxRetryAfter)
	draw := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return time.Duration(longest * (longRetryAfterShare + (1-longRetryAfterShare)*draw))
}

// shedRequest rejects a request that no endpoint has seen.
func (g *Gateway) shedRequest(r *Request, retryAfter time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true})
}

// rejectShed rejects a request that the admission controller has shed, and counted as such.
func (g *Gateway) rejectShed(r *Request, retryAfter time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true, countedAsShed: true})
}

// classOrder ranks the classes that are served at present.
func (g *Gateway) classOrder() *overload.Order { return g.generations.current.Load().order }

// admissionController is the present admission controller.
func (g *Gateway) admissionController() *overload.AdmissionController {
	return g.generations.current.Load().controller
}

// recordDuration adds a duration to a histogram in microseconds. One that is out of the histogram's range is left out.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(d.Microseconds()) // it fails for values out of range only
}
