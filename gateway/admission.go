package gateway

import (
	"fmt"
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"larchusher/overload"
)

// Front is a way in by which requests arrive. The fronts share the capacity for requests of the
// same priority band evenly.
type Front int

// The fronts.
const (
	PlatformFront Front = iota
	SignedFront
	EmbeddedFront // a program in which the gateway is embedded
	frontCount
)

// String returns the name of a front in counters.
func (f Front) String() string { return [...]string{"platform", "signed", "host"}[f] }

// admissionState is the part of a gateway in front of the directors: it admits requests, queues
// them and sheds load. It takes the measurements for package overload, which makes the decisions,
// and carries these out.
type admissionState struct {
	generations       admissionGenerations
	queue             *overload.Queue
	rejectionQueue    *overload.Queue // rejections; they run when nothing else is queued, or after a third of MaxWait
	runningQueuedWork bool            // queued work is running, and the requests that it submits start at once
	shedController    *overload.Controller
	memory            *overload.Memory
	balancerWeight    overload.BalancerWeight

	loopMonitor

	Load LoadCounters
}

// initAdmission sets up the admission state and schedules the first tick.
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

// overloadConfig returns Config.Overload with its missing fields filled in.
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

// Arrival is what a front knows of a request before it parses the rest. The slices are used only during the call.
type Arrival struct {
	Front     Front
	Client    *overload.ClientLoad // records the load of the client, whose requests arrive one by one; nil: it is not known
	Class     []byte
	Retry     bool   // the client marks the request as a retry
	ID        []byte // client's id
	BodyBytes int
}

// Admit reports whether to admit a request. If not, retryAfter is the Retry-After for its client; 0: none is sent. It may be
// called from any goroutine. If the request is submitted afterwards, its field Admitted must be set.
func (g *Gateway) Admit(a Arrival) (retryAfter time.Duration, ok bool) {
	current := g.generations.current.Load()
	retryAfter, ok = current.controller.AdmitFrom(a.Client, overload.RequestCost(a.BodyBytes), int(a.Front),
		current.order.BandOf(a.Class, a.Retry), xxhash.Sum64(a.ID))
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	return retryAfter, ok
}

// ShedForMemory counts a request that Admit has admitted, and for which there is no memory, as shed. It returns the Retry-After
// for its client; 0: none is sent. It may be called from any goroutine.
func (g *Gateway) ShedForMemory(a Arrival) time.Duration {
	current := g.generations.current.Load()
	retryAfter := current.controller.ShedAdmitted(int(a.Front), current.order.BandOf(a.Class, a.Retry), xxhash.Sum64(a.ID), g.cfg.Overload.MaxRetryAfter)
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	return retryAfter
}

// ShedShare returns the share of the offered requests that is shed, from 0 to 1, smoothed over some
// tenths of a second.
func (g *Gateway) ShedShare() float64 { return g.shedController.ShedLevel() }

// BalancerWeight returns the weight that load balancers should give to the gateway, in percent.
func (g *Gateway) BalancerWeight() int { return g.balancerWeight.Weight() }

// RetryAfter returns the Retry-After for a request that is shed for load; 0: none is sent. It
// varies with the client's id, so that clients do not all retry at once.
func (g *Gateway) RetryAfter(id string) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	return overload.Jitter(g.shedController.RetryAfter(), xxhash.Sum64String(id))
}

// longRetryAfterShare is the smallest share of Settings.MaxRetryAfter that LongRetryAfter returns.
const longRetryAfterShare = 0.5

// LongRetryAfter returns the Retry-After for a request that is rejected for another reason than the
// present load: from half of Settings.MaxRetryAfter to all of it, varying with the client's id; 0:
// none is sent.
func (g *Gateway) LongRetryAfter(id string) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	longest := float64(g.cfg.Settings.MaxRetryAfter)
	draw := float64(xxhash.Sum64String(id)) / math.MaxUint64
	return time.Duration(longest * (longRetryAfterShare + (1-longRetryAfterShare)*draw))
}

// shedRequest rejects a request that no endpoint has received.
func (g *Gateway) shedRequest(r *Request, retryAfter time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true})
}

// rejectShed rejects a request that the admission controller has shed, and has counted as shed.
func (g *Gateway) rejectShed(r *Request, retryAfter time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		retryAfter = 0
	}
	g.answerRequest(r, Answer{Outcome: OutcomeRejected, RetryAfter: retryAfter, Retryable: true, countedAsShed: true})
}

// classOrder returns the priority order of the classes that are served at present.
func (g *Gateway) classOrder() *overload.Order { return g.generations.current.Load().order }

// admissionController returns the present admission controller.
func (g *Gateway) admissionController() *overload.AdmissionController {
	return g.generations.current.Load().controller
}

// recordDuration records a duration in a histogram of microseconds. A duration out of the
// histogram's range is dropped.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(d.Microseconds()) // the only error is that of a value out of range
}
