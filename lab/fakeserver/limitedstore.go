package fakeserver

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Capacity is the performance model of a [LimitedStore], in the terms of the deployment settings.
type Capacity struct {
	Rate           float64       // requests per second when warm; must be above 0
	Cold           bool          // start in slow start and without copies, like a redeployed server
	InitialShare   float64       // share of Rate at the beginning of a cold start
	RampDuration   time.Duration // time from a cold start to the full Rate; the rise is linear
	OverloadFactor float64       // multiple of the current rate that a cold server survives
	OverloadWindow time.Duration // time constant of the average compared with OverloadFactor; 0: never fails
	FillLatency    time.Duration // added to the latency of a miss
	MaxQueueDelay  time.Duration // requests that would wait longer are rejected; 0: no limit
	ReportInterval time.Duration // interval between updates of the load report
}

// LimitedStore is a fake store with limited capacity. If it is a cache (kind box), it keeps copies of the parts that it
// has served. It fails for good when it is overloaded during a cold start.
type LimitedStore struct {
	*Store
	Capacity Capacity

	mu              sync.Mutex          // guards the fields below
	coldSince       time.Time           // beginning of the cold start; zero: warm
	queueFreeAt     time.Time           // when the queued work will be done
	copies          map[string]bool     // parts held, by object/part
	windowAttempts  float64             // attempts, decayed exponentially with OverloadWindow
	windowUpdated   time.Time           // when windowAttempts was last decayed
	workSinceReport time.Duration       // service time since the latest report
	reportedAt      time.Time           // when the load report was last updated
	utilization     float64             // as reported: service time per elapsed time, at most 1.5
	attempts        map[int]map[int]int // attempts by second since start and by object group
	start           time.Time           // beginning of second 0 of attempts
	Failed          bool                // overloaded during a cold start; answers every attempt with BROKE
	PeakBudgetShare float64             // largest share of the cold-start budget in use so far; above 1 the store fails
	Misses          int                 // cache misses so far
}

// NewLimitedStore starts a limited store of the given kind on an address such as [Loopback]. AttemptsIn counts seconds
// from start. It fails if the address cannot be listened on.
func NewLimitedStore(name, kind, addr string, p Capacity, start time.Time) (*LimitedStore, error) {
	s, err := NewStore(name, kind, addr)
	if err != nil {
		return nil, err
	}
	s.CountOnly = true
	b := &LimitedStore{Store: s, Capacity: p, copies: map[string]bool{}, attempts: map[int]map[int]int{}, start: start}
	if p.Cold {
		b.coldSince = time.Now()
	}
	s.SetHandler(b.handle)
	return b, nil
}

// AttemptsIn returns the number of attempts that arrived in a second since start for a group of objects. A group is
// 1<<20 consecutive object numbers, counted from load.FirstObject (see load.Spec.First).
func (b *LimitedStore) AttemptsIn(second, group int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts[second][group]
}

// handle answers an attempt after its queueing and service time, or at once if the store has failed or its queue is full.
func (b *LimitedStore) handle(a *Request) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var number uint64
	_, _ = fmt.Sscanf(a.Fields["name"], "%x", &number)
	second, group := int(now.Sub(b.start)/time.Second), int(number-0xa11ce000)>>20
	if b.attempts[second] == nil {
		b.attempts[second] = map[int]int{}
	}
	b.attempts[second][group]++
	capacityShare := 1.0
	if age := now.Sub(b.coldSince); !b.coldSince.IsZero() && age < b.Capacity.RampDuration {
		capacityShare = b.Capacity.InitialShare + (1-b.Capacity.InitialShare)*float64(age)/float64(b.Capacity.RampDuration)
	}
	if b.Capacity.OverloadWindow > 0 {
		b.windowAttempts = b.windowAttempts*math.Exp(-float64(now.Sub(b.windowUpdated))/float64(b.Capacity.OverloadWindow)) + 1
		b.windowUpdated = now
		if capacityShare < 1 {
			budgetShare := b.windowAttempts / (b.Capacity.OverloadFactor * capacityShare * b.Capacity.Rate * b.Capacity.OverloadWindow.Seconds())
			b.PeakBudgetShare = max(b.PeakBudgetShare, budgetShare)
			b.Failed = b.Failed || budgetShare > 1
		}
	}
	if b.Failed {
		a.Reply("BROKE", "-", "")
		return
	}
	if b.queueFreeAt.Before(now) {
		b.queueFreeAt = now
	}
	work := time.Duration(float64(time.Second) / b.Capacity.Rate / capacityShare)
	if b.Capacity.MaxQueueDelay > 0 && b.queueFreeAt.Sub(now) > b.Capacity.MaxQueueDelay {
		a.Reply("WAIT", "-", "")
		return
	}
	b.queueFreeAt = b.queueFreeAt.Add(work)
	b.workSinceReport += work
	if elapsed := now.Sub(b.reportedAt); elapsed >= b.Capacity.ReportInterval {
		b.utilization, b.workSinceReport, b.reportedAt = min(1.5, float64(b.workSinceReport)/float64(elapsed)), 0, now
	}
	wait, note := b.queueFreeAt.Sub(now), "warm"
	key := a.Fields["name"] + "/" + a.Fields["piece"]
	if b.Kind == "box" && !b.copies[key] {
		wait, note = wait+b.Capacity.FillLatency, "fill"
		b.copies[key] = true
		b.Misses++
	}
	report := fmt.Sprintf("inflight:1;x1:%.3f;x0:0.9", b.utilization)
	time.AfterFunc(wait, func() { a.ServeWith(note, report, Content(a.Fields["name"], a.Fields["piece"])) })
}
