package overload

import (
	"fmt"
	"math"
	"time"
)

const (
	openOffer   = 0.5  // weight of the newest tick in what is offered, while all is let in,
	smoothOffer = 0.15 // and while the door goes by it: reading comes in bursts, and one tick says little
	smoothShed  = 0.15 // and in the level
	smoothRate  = 0.05 // and in what was served, while others waited: a hiccup must not look like less capacity
	openUp      = 1.25 // the allowance grows by this factor in a tick in which nobody waited for long
	behindDown  = 0.9  // and is cut to this share of what came in where the poller itself is behind
	waitTicks   = 8    // ticks in a row in which someone waits for long, before the door closes
	plainly     = 1.3  // times what is served that comes in, and there is no doubt of overload
	idleTicks   = 25   // ticks in which nothing would have been shed, after which the door stands open
	drainTicks  = 5    // ticks in which what waits too long is to be worked off
	laterLeast  = 0.25 // share of the longest advice that is given when little is shed
)

// Sample is what a tick saw.
type Sample struct {
	Interval       time.Duration // how long the tick was, in time that the program ran
	StartedCost    float64       // cost of requests that got their turn in it
	ExpiredCost    float64       // cost of those that waited for too long
	Queued         []int         // how many wait at its end, by band
	LongestWait    time.Duration // the longest that anyone waited in it, or waits now
	Grace          time.Duration // by which it may be longer, after a stall
	LoopLag        time.Duration // by which the poller is late in reading what has come
	Paused         bool          // the program did not run for a part of it: it says nothing of load
	MemoryPressure float64       // share of the memory for answers that is taken
}

// Controller sets a [AdmissionController], tick by tick.
//
// While requests wait for long, the gateway is busy all the time, and the cost of what gets its turn is what it can
// do. That, and a little more (the probe), is the allowance. It is spent on the offer band by band, the most worth
// first, within a band in equal parts on the fronts that want them; the band in which it ends is let in by lot. As
// soon as nobody waits for long any more, the allowance grows by a quarter each tick until all is let in.
//
// What the probe lets in too much waits, and expires: it costs little, since it is a few parts in a hundred.
type Controller struct {
	cfg     Config
	order   *Order
	offer   [][]float64 // by front and band: cost a tick, smoothed
	last    [][]uint64  // the door's counts at the last tick
	rate    float64     // cost served a tick while others waited
	allow   float64     // cost let in a tick
	closed  bool        // the allowance binds
	waited  int         // ticks in a row in which someone waited for long, while all was let in
	quiet   int         // ticks since it last shed something
	verdict AdmissionPolicy
	shed    float64 // share of the offer that is shed, smoothed
}

// NewController returns a controller that lets everything in.
func NewController(cfg Config, order *Order) (*Controller, error) {
	if err := cfg.check(); err != nil {
		return nil, fmt.Errorf("controller: %w", err)
	}
	c := &Controller{cfg: cfg, order: order, allow: math.Inf(1)}
	for range cfg.Fronts {
		c.offer = append(c.offer, make([]float64, order.Bands()))
		c.last = append(c.last, make([]uint64, order.Bands()))
	}
	return c, nil
}

// Tick takes in what the last tick saw, and the door's counts, and returns what the door is to go by; nil: it lets
// everything in.
func (c *Controller) Tick(s Sample, d *AdmissionController) *AdmissionPolicy {
	scale := 1.0 // a tick that took longer saw more
	if s.Interval > 0 {
		scale = float64(c.cfg.Tick) / float64(s.Interval)
	}
	s.StartedCost *= scale
	let := 0.0 // cost that the door let in
	for f := range c.offer {
		for b := range c.offer[f] {
			n := d.Offered(f, b)
			cost := float64(n-c.last[f][b]) * c.order.Cost(b) * scale
			c.last[f][b] = n
			if c.closed && len(c.verdict.Admit) > 0 {
				let += cost * float64(c.verdict.Admit[f][b]) / whole
			} else {
				let += cost
			}
			w := openOffer
			if c.closed {
				w = smoothOffer
			}
			c.offer[f][b] += w * (cost - c.offer[f][b])
		}
	}
	c.adapt(s, let)
	v := c.set(s)
	now := 0.0
	if v != nil {
		now = v.ShedShare
	}
	c.shed += smoothShed * (now - c.shed)
	return v
}

// adapt moves the allowance.
func (c *Controller) adapt(s Sample, let float64) {
	long := s.LongestWait > c.cfg.TargetWait+s.Grace || s.ExpiredCost > 0
	switch {
	case s.Paused: // what piled up meanwhile is no sign of load
	case s.LoopLag > c.cfg.MaxWait/2:
		c.closed = true
		c.allow = behindDown * min(let, c.allow)
	case long && !c.closed:
		// A hiccup passes; who waits for too long meanwhile is refused anyway. What is served until then is what the
		// allowance begins with: the best tick, as one in which the program was held up says too little.
		c.rate = max(c.rate, s.StartedCost, 1)
		c.waited++
		if s.LongestWait > c.cfg.MaxWait/3 && let > plainly*s.StartedCost { // it will not pass by itself
			c.waited += 2
		}
		if c.waited >= waitTicks {
			c.closed, c.allow = true, max(1, c.rate)*(1+c.cfg.ProbeShare)
		}
	case long:
		c.rate += smoothRate * (s.StartedCost - c.rate)
		c.allow = max(1, c.rate) * (1 + c.cfg.ProbeShare)
	case c.closed:
		// Nobody waited for long: there is room.
		c.rate = max(c.rate, s.StartedCost)
		c.allow = max(c.allow, c.rate, 1) * openUp
	default:
		c.rate, c.waited = 0, 0
	}
}

// set spends the allowance on what is offered, less what works off the backlog that is beyond the wait aimed at. Of that
// a band minds what waits in it and before it: what waits behind it is no reason to shed it. And a band that fits into
// the allowance is not shed for a backlog that is gone before anyone has waited for half of the bound: a hiccup passes,
// and the bands behind it make room. Guards the order: what a hiccup had piled up of a band was reason to shed it, while
// what was let in of the band behind it was served a moment later.
func (c *Controller) set(s Sample) *AdmissionPolicy {
	if !c.closed {
		return nil
	}
	left, offered, spent, waiting := c.allow, 0.0, 0.0, 0.0
	fine := max(1, c.rate) * float64(c.cfg.TargetWait+s.Grace) / float64(c.cfg.Tick)
	borne := max(fine, max(1, c.rate)*float64(c.cfg.MaxWait/2+s.Grace)/float64(c.cfg.Tick))
	admit := make([][]uint32, len(c.offer))
	for f := range admit {
		admit[f] = make([]uint32, c.order.Bands())
	}
	for b := range c.order.Bands() {
		wants := 0.0
		for f := range c.offer {
			wants += c.offer[f][b]
		}
		if b < len(s.Queued) {
			waiting += float64(s.Queued[b]) * c.order.Cost(b)
		}
		over := fine
		if wants <= left {
			over = borne
		}
		share := fair(c.offer, b, max(0, left-max(0, waiting-over)/drainTicks))
		for f := range c.offer {
			want := c.offer[f][b]
			got := min(want, share)
			offered, spent = offered+want, spent+got
			switch {
			case want <= 0 && left-wants > 0:
				admit[f][b] = whole // none came lately: the first may come in
			case want > 0:
				admit[f][b] = uint32(math.Round(whole * got / want))
			}
		}
		left = max(0, left-wants)
	}
	shed := 0.0
	if offered > 0 {
		shed = max(0, 1-spent/offered)
	}
	if shed > 0.001 {
		c.quiet = 0
	} else if c.quiet++; c.quiet >= idleTicks {
		c.closed, c.allow, c.quiet, c.waited, c.rate = false, math.Inf(1), 0, 0, 0
		return nil
	}
	later := time.Duration(float64(c.cfg.MaxRetryAfter) * (laterLeast + (0.8-laterLeast)*min(1, shed)))
	c.verdict = AdmissionPolicy{Admit: admit, RetryAfter: later, ShedShare: shed}
	v := c.verdict
	return &v
}

// fair is the most that one front may have of what is left in a band, so that those who want less get all that they
// want and the others get equal parts (max-min fairness).
func fair(offer [][]float64, band int, left float64) float64 {
	level := 0.0
	for {
		n, next := 0, math.Inf(1) // fronts that want more than the level, and the least of what they want
		for f := range offer {
			if w := offer[f][band]; w > level {
				n++
				next = min(next, w)
			}
		}
		if n == 0 {
			return math.Inf(1)
		}
		if need := (next - level) * float64(n); need > left {
			return level + left/float64(n)
		} else {
			left -= need
		}
		level = next
	}
}

// RetryAfter is what a request is told that is refused after it came in.
func (c *Controller) RetryAfter() time.Duration {
	if c.closed && c.verdict.RetryAfter > 0 {
		return c.verdict.RetryAfter
	}
	return time.Duration(laterLeast * float64(c.cfg.MaxRetryAfter))
}

// ShedLevel is the share of the offer that is shed, smoothed over some tenths of a second: 0 while all is let in.
func (c *Controller) ShedLevel() float64 { return c.shed }
