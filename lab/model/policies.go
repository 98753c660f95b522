package model

import (
	"math"
	"time"

	"larchusher/lab/load"
	"larchusher/overload"
)

// Policies returns the names of the compared policies, in the order in which they are shown, and a constructor for each. The
// gateway's policy is the last; "time only" is the same without load shedding.
func Policies(mix []load.Class) (names []string, build map[string]func() Policy) {
	order := overload.NewOrder(overloadClasses(mix), false)
	build = map[string]func() Policy{
		"none":      func() Policy { return &fifo{} },
		"codel":     func() Policy { return &codel{} },
		"gradient":  func() Policy { return &gradient{limit: 20} },
		"dagor":     func() Policy { return newDagor(order, mix) },
		"time only": func() Policy { return newGatewayPolicy(mix, false) },
		"ours":      func() Policy { return newGatewayPolicy(mix, true) },
	}
	return []string{"none", "codel", "gradient", "dagor", "time only", "ours"}, build
}

// overloadClasses returns the classes of a mix as package overload takes them.
func overloadClasses(mix []load.Class) (all []overload.Class) {
	for _, c := range mix {
		all = append(all, overload.Class{Name: c.Name, PriorityWeight: c.Worth})
	}
	return all
}

// fifo serves requests in the order of arrival and sheds none.
type fifo struct{ queue []*Request }

func (f *fifo) Arrive(_ time.Duration, r *Request) bool {
	f.queue = append(f.queue, r)
	return true
}

func (f *fifo) pop() *Request {
	if len(f.queue) == 0 {
		return nil
	}
	r := f.queue[0]
	f.queue = f.queue[1:]
	return r
}

func (f *fifo) Next(time.Duration) (*Request, int)                         { return f.pop(), 0 }
func (f *fifo) Done(time.Duration, *Request, time.Duration, time.Duration) {}
func (f *fifo) Tick(time.Duration)                                         {}

// codel drops requests from the head of a FIFO queue by the control law of RFC 8289, with its target and interval.
type codel struct {
	fifo
	dropAfter time.Duration // when the sojourn time will have exceeded the target for an interval; 0 while it is below
	dropping  bool
	nextDrop  time.Duration // when the next request is dropped
	drops     int           // number of drops from which dropInterval is computed
}

const (
	codelTarget   = 5 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

func (c *codel) Next(now time.Duration) (*Request, int) {
	r, ok := c.takeHead(now)
	dropped := 0
	if c.dropping {
		if !ok {
			c.dropping = false
		}
		for c.dropping && now >= c.nextDrop {
			dropped++
			c.drops++
			if r, ok = c.takeHead(now); !ok {
				c.dropping = false
			} else {
				c.nextDrop += c.dropInterval()
			}
		}
	} else if ok {
		dropped++
		r, _ = c.takeHead(now)
		c.dropping = true
		if now-c.nextDrop < 16*codelInterval && c.drops > 2 {
			c.drops -= 2
		} else {
			c.drops = 1
		}
		c.nextDrop = now + c.dropInterval()
	}
	return r, dropped
}

// dropInterval returns the time until the next drop; it shrinks with the square root of the number of drops.
func (c *codel) dropInterval() time.Duration {
	return time.Duration(float64(codelInterval) / math.Sqrt(float64(c.drops)))
}

// takeHead removes the first request and reports whether it may be dropped.
func (c *codel) takeHead(now time.Duration) (*Request, bool) {
	r := c.pop()
	switch {
	case r == nil || now-r.arrived < codelTarget:
		c.dropAfter = 0
	case c.dropAfter == 0:
		c.dropAfter = now + codelInterval
	case now >= c.dropAfter:
		return r, true
	}
	return r, false
}

// gradient limits the requests in flight by the ratio of the lowest latency to the smoothed one, as adaptive concurrency limits
// do. The limit approaches limit * ratio + sqrt(limit), an allowance for a queue, where ratio is 2 * lowest / smoothed, bounded
// to 0.5 and 1. It stays between 4 and 5,000.
type gradient struct {
	fifo
	limit    float64 // of requests in flight
	inFlight int
	best     time.Duration // lowest latency so far
	smoothed float64       // moving average of the latency, nanoseconds
}

func (g *gradient) Arrive(now time.Duration, r *Request) bool {
	if float64(g.inFlight) >= g.limit {
		return false
	}
	g.inFlight++
	return g.fifo.Arrive(now, r)
}

func (g *gradient) Done(_ time.Duration, _ *Request, _, took time.Duration) {
	g.inFlight--
	if g.best == 0 || took < g.best {
		g.best = took
	}
	if g.smoothed == 0 {
		g.smoothed = float64(took)
	}
	g.smoothed += 0.01 * (float64(took) - g.smoothed)
	ratio := max(0.5, min(1, 2*float64(g.best)/g.smoothed))
	want := g.limit*ratio + math.Sqrt(g.limit)
	g.limit = max(4, min(5000, g.limit+0.02*(want-g.limit)))
}

// dagor adjusts a priority threshold by the mean queueing time in windows of 1 s or 2,000 requests (Zhou and others,
// "Overload control for scaling WeChat microservices", SoCC 2018: 20 ms, down 5 %, up 1 %). Within a band of the priority
// order, the priority is a random number of the request.
type dagor struct {
	fifo
	order     *overload.Order
	mix       []load.Class
	maxLevel  int   // requests up to this level are admitted
	counts    []int // arrivals by level
	admitted  int
	arrivals  int
	totalWait time.Duration
	served    int
	windowEnd time.Duration
}

// dagorLevelsPerBand is the number of priority levels within a band.
const dagorLevelsPerBand = 128

func newDagor(o *overload.Order, mix []load.Class) *dagor {
	n := o.Bands() * dagorLevelsPerBand
	return &dagor{order: o, mix: mix, maxLevel: n, counts: make([]int, n)}
}

func (d *dagor) Arrive(now time.Duration, r *Request) bool {
	l := d.order.Band(d.mix[r.Class].Name, r.Repeat)*dagorLevelsPerBand + int(r.Draw%dagorLevelsPerBand)
	d.counts[l]++
	d.arrivals++
	in := l <= d.maxLevel
	if in {
		d.admitted++
		d.fifo.Arrive(now, r)
	}
	if d.arrivals >= 2000 {
		d.adjust(now)
	}
	return in
}

func (d *dagor) Done(_ time.Duration, _ *Request, waited, _ time.Duration) {
	d.totalWait += waited
	d.served++
}

func (d *dagor) Tick(now time.Duration) {
	if now >= d.windowEnd {
		d.adjust(now)
	}
}

// adjust moves maxLevel by the mean queueing time of the past window and begins a new window.
func (d *dagor) adjust(now time.Duration) {
	d.windowEnd = now + time.Second
	sum := 0
	for l := 0; l <= min(d.maxLevel, len(d.counts)-1); l++ {
		sum += d.counts[l]
	}
	if d.served > 0 && d.totalWait/time.Duration(d.served) > 20*time.Millisecond {
		for want := float64(d.admitted) * 0.95; d.maxLevel > 0 && float64(sum) > want; d.maxLevel-- {
			if d.maxLevel < len(d.counts) {
				sum -= d.counts[d.maxLevel]
			}
		}
	} else {
		for want := float64(d.admitted) + 0.01*float64(d.arrivals); d.maxLevel < len(d.counts) && float64(sum) < want; d.maxLevel++ {
			sum += d.counts[min(d.maxLevel+1, len(d.counts)-1)]
		}
	}
	clear(d.counts)
	d.admitted, d.arrivals, d.totalWait, d.served = 0, 0, 0, 0
}

// gatewayPolicy is the unchanged package overload. If shedsLoad is not set, the admission controller stays open and only the
// queue's time limit drops requests.
type gatewayPolicy struct {
	mix        []load.Class
	order      *overload.Order
	queue      *overload.Queue
	admission  *overload.AdmissionController
	controller *overload.Controller
	shedsLoad  bool
	sample     overload.Sample
}

// newGatewayPolicy returns the policy of the gateway for a mix.
func newGatewayPolicy(mix []load.Class, closes bool) Policy {
	order := overload.NewOrder(overloadClasses(mix), false)
	ctl, err := overload.NewController(overload.Config{Classes: overloadClasses(mix)}, order)
	if err != nil {
		panic(err) // the classes of package load are valid
	}
	return &gatewayPolicy{mix: mix, order: order, controller: ctl, queue: overload.NewQueue(order.Bands(), 1, overload.DefaultMaxWait),
		admission: overload.NewAdmissionController(order.Bands(), 1), shedsLoad: closes}
}

func (o *gatewayPolicy) Arrive(now time.Duration, r *Request) bool {
	band := o.order.Band(o.mix[r.Class].Name, r.Repeat)
	if _, ok := o.admission.Admit(0, band, r.Draw); !ok {
		return false
	}
	r.item = overload.Item{Value: r}
	o.queue.Push(&r.item, band, 0, now)
	return true
}

func (o *gatewayPolicy) Next(now time.Duration) (r *Request, dropped int) {
	for i := o.queue.PopExpired(now); i != nil; i = o.queue.PopExpired(now) {
		dropped++
		o.sample.ExpiredCost++
	}
	i := o.queue.Pop()
	if i == nil {
		return nil, dropped
	}
	o.sample.StartedCost++
	o.sample.LongestWait = max(o.sample.LongestWait, o.queue.Waited(i, now))
	return i.Value.(*Request), dropped
}

func (o *gatewayPolicy) Done(time.Duration, *Request, time.Duration, time.Duration) {}

func (o *gatewayPolicy) Tick(now time.Duration) {
	o.sample.LongestWait, o.sample.Queued = max(o.sample.LongestWait, o.queue.LongestWait(now)), o.queue.Queued()
	if v := o.controller.Tick(o.sample, o.admission); o.shedsLoad {
		o.admission.SetPolicy(v)
	}
	o.sample = overload.Sample{}
}
