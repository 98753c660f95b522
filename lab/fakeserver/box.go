package fakeserver

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Power is what a fake server with a capacity can do, by the figures that a deployment's settings state.
type Capacity struct {
	Rate           float64       // requests a second, warm
	Cold           bool          // it starts cold and empty, as one that is redeployed
	InitialShare   float64       // share of its capacity that it starts with,
	RampDuration   time.Duration // and when it has all of it
	OverloadFactor float64       // sent more than this multiple of what it can do
	OverloadWindow time.Duration // for so long, it falls over while it is cold
	FillLatency    time.Duration // what a fill adds
	MaxQueueDelay  time.Duration // work that waits for longer is refused
	ReportInterval time.Duration // how often its report is made anew
}

// Box is a store with a capacity, copies, and a cold start that it may not survive.
type LimitedStore struct {
	*Store
	Capacity Capacity

	mu              sync.Mutex
	coldSince       time.Time // cold since; zero: long warm
	queueFreeAt     time.Time // its queue is empty then
	copies          map[string]bool
	windowAttempts  float64 // requests in the last TipFor
	windowUpdated   time.Time
	workSinceReport time.Duration // since the report
	reportedAt      time.Time
	utilization     float64
	attempts        map[int]map[int]int // attempts by second and by the number of the object over 1<<20, less the first's
	start           time.Time
	Failed          bool
	PeakBudgetShare float64 // largest part of its start's budget that was ever taken
	Misses          int
}

// NewBox starts one. Times are told from start.
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

// SeenIn is how many attempts came in a second, by the thousandth part of their objects' numbers (see load.Spec.First).
func (b *LimitedStore) AttemptsIn(second, group int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.attempts[second][group]
}

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
