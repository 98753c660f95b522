package fakeserver

import (
	"fmt"
	"math"
	"sync"
	"time"
)

// Power is what a fake server with a capacity can do, by the figures that a deployment's settings state.
type Power struct {
	Rate     float64       // requests a second, warm
	Cold     bool          // it starts cold and empty, as one that is redeployed
	From     float64       // share of its capacity that it starts with,
	Ramp     time.Duration // and when it has all of it
	Tip      float64       // sent more than this multiple of what it can do
	TipFor   time.Duration // for so long, it falls over while it is cold
	Fill     time.Duration // what a fill adds
	Queue    time.Duration // work that waits for longer is refused
	ReportBy time.Duration // how often its report is made anew
}

// Box is a store with a capacity, copies, and a cold start that it may not survive.
type Box struct {
	*Store
	Power Power

	mu     sync.Mutex
	began  time.Time // cold since; zero: long warm
	free   time.Time // its queue is empty then
	held   map[string]bool
	window float64 // requests in the last TipFor
	at     time.Time
	worked time.Duration // since the report
	told   time.Time
	busy   float64
	seen   map[int]map[int]int // attempts by second and by the number of the object over 1<<20, less the first's
	start  time.Time
	Fallen bool
	Most   float64 // largest part of its start's budget that was ever taken
	Misses int
}

// NewBox starts one. Times are told from start.
func NewBox(name, kind, addr string, p Power, start time.Time) (*Box, error) {
	s, err := NewStore(name, kind, addr)
	if err != nil {
		return nil, err
	}
	s.Forget = true
	b := &Box{Store: s, Power: p, held: map[string]bool{}, seen: map[int]map[int]int{}, start: start}
	if p.Cold {
		b.began = time.Now()
	}
	s.On(b.answer)
	return b, nil
}

// SeenIn is how many attempts came in a second, by the thousandth part of their objects' numbers (see load.Spec.First).
func (b *Box) SeenIn(second, group int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.seen[second][group]
}

func (b *Box) answer(a *Request) {
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	var number uint64
	_, _ = fmt.Sscanf(a.Fields["name"], "%x", &number)
	second, group := int(now.Sub(b.start)/time.Second), int(number-0xa11ce000)>>20
	if b.seen[second] == nil {
		b.seen[second] = map[int]int{}
	}
	b.seen[second][group]++
	able := 1.0
	if age := now.Sub(b.began); !b.began.IsZero() && age < b.Power.Ramp {
		able = b.Power.From + (1-b.Power.From)*float64(age)/float64(b.Power.Ramp)
	}
	if b.Power.TipFor > 0 {
		b.window = b.window*math.Exp(-float64(now.Sub(b.at))/float64(b.Power.TipFor)) + 1
		b.at = now
		if able < 1 {
			part := b.window / (b.Power.Tip * able * b.Power.Rate * b.Power.TipFor.Seconds())
			b.Most = max(b.Most, part)
			b.Fallen = b.Fallen || part > 1
		}
	}
	if b.Fallen {
		a.Reply("BROKE", "-", "")
		return
	}
	if b.free.Before(now) {
		b.free = now
	}
	work := time.Duration(float64(time.Second) / b.Power.Rate / able)
	if b.Power.Queue > 0 && b.free.Sub(now) > b.Power.Queue {
		a.Reply("WAIT", "-", "")
		return
	}
	b.free = b.free.Add(work)
	b.worked += work
	if since := now.Sub(b.told); since >= b.Power.ReportBy {
		b.busy, b.worked, b.told = min(1.5, float64(b.worked)/float64(since)), 0, now
	}
	wait, note := b.free.Sub(now), "warm"
	key := a.Fields["name"] + "/" + a.Fields["piece"]
	if b.Kind == "box" && !b.held[key] {
		wait, note = wait+b.Power.Fill, "fill"
		b.held[key] = true
		b.Misses++
	}
	report := fmt.Sprintf("inflight:1;x1:%.3f;x0:0.9", b.busy)
	time.AfterFunc(wait, func() { a.ServeWith(note, report, Content(a.Fields["name"], a.Fields["piece"])) })
}
