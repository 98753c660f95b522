package model

import (
	"math"
	"time"

	"larchusher/lab/load"
	"larchusher/overload"
)

// Policies are all that are compared, by name, in the order in which they are shown. Ours is the last.
func Policies(mix []load.Class) (names []string, build map[string]func() Policy) {
	order := overload.NewOrder(classes(mix), false)
	build = map[string]func() Policy{
		"none":      func() Policy { return &fifo{} },
		"codel":     func() Policy { return &codel{} },
		"gradient":  func() Policy { return &gradient{limit: 20} },
		"dagor":     func() Policy { return newDagor(order, mix) },
		"time only": func() Policy { return newOurs(mix, false) },
		"ours":      func() Policy { return newOurs(mix, true) },
	}
	return []string{"none", "codel", "gradient", "dagor", "time only", "ours"}, build
}

func classes(mix []load.Class) (all []overload.Class) {
	for _, c := range mix {
		all = append(all, overload.Class{Name: c.Name, PriorityWeight: c.Worth})
	}
	return all
}

// fifo serves in the order of arrival, and sheds nothing.
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

// codel drops from the head of a fifo by the law of RFC 8289, with its target and interval.
type codel struct {
	fifo
	above    time.Duration // when the sojourn time will have been above the target for an interval; 0: it is below
	dropping bool
	next     time.Duration
	count    int
}

const (
	codelTarget   = 5 * time.Millisecond
	codelInterval = 100 * time.Millisecond
)

func (c *codel) Next(now time.Duration) (*Request, int) {
	r, ok := c.look(now)
	dropped := 0
	if c.dropping {
		if !ok {
			c.dropping = false
		}
		for c.dropping && now >= c.next {
			dropped++
			c.count++
			if r, ok = c.look(now); !ok {
				c.dropping = false
			} else {
				c.next += c.law()
			}
		}
	} else if ok {
		dropped++
		r, _ = c.look(now)
		c.dropping = true
		if now-c.next < 16*codelInterval && c.count > 2 {
			c.count -= 2
		} else {
			c.count = 1
		}
		c.next = now + c.law()
	}
	return r, dropped
}

func (c *codel) law() time.Duration {
	return time.Duration(float64(codelInterval) / math.Sqrt(float64(c.count)))
}

// look takes the head, and says whether it may be dropped.
func (c *codel) look(now time.Duration) (*Request, bool) {
	r := c.pop()
	switch {
	case r == nil || now-r.came < codelTarget:
		c.above = 0
	case c.above == 0:
		c.above = now + codelInterval
	case now >= c.above:
		return r, true
	}
	return r, false
}

// gradient limits how many may be in work, by how much longer they take than at best, as adaptive concurrency limits do
// (the gradient law: limit * best / now + room for a queue).
type gradient struct {
	fifo
	limit    float64
	inside   int
	best     time.Duration
	smoothed float64
}

func (g *gradient) Arrive(now time.Duration, r *Request) bool {
	if float64(g.inside) >= g.limit {
		return false
	}
	g.inside++
	return g.fifo.Arrive(now, r)
}

func (g *gradient) Done(_ time.Duration, _ *Request, _, took time.Duration) {
	g.inside--
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

// dagor moves a threshold of priority, by the mean wait in windows of a second or 2,000 requests (Zhou and others,
// "Overload control for scaling WeChat microservices", SoCC 2018: 20 ms, down 5 %, up 1 %). Within a class, priority
// goes by a number drawn for each request.
type dagor struct {
	fifo
	order     *overload.Order
	mix       []load.Class
	level     int // requests of a level up to this come in
	counts    []int
	admitted  int
	all       int
	waits     time.Duration
	served    int
	windowEnd time.Duration
}

const dagorUsers = 128

func newDagor(o *overload.Order, mix []load.Class) *dagor {
	n := o.Bands() * dagorUsers
	return &dagor{order: o, mix: mix, level: n, counts: make([]int, n)}
}

func (d *dagor) Arrive(now time.Duration, r *Request) bool {
	l := d.order.Band(d.mix[r.Class].Name, r.Repeat)*dagorUsers + int(r.Draw%dagorUsers)
	d.counts[l]++
	d.all++
	in := l <= d.level
	if in {
		d.admitted++
		d.fifo.Arrive(now, r)
	}
	if d.all >= 2000 {
		d.adjust(now)
	}
	return in
}

func (d *dagor) Done(_ time.Duration, _ *Request, waited, _ time.Duration) {
	d.waits += waited
	d.served++
}

func (d *dagor) Tick(now time.Duration) {
	if now >= d.windowEnd {
		d.adjust(now)
	}
}

func (d *dagor) adjust(now time.Duration) {
	d.windowEnd = now + time.Second
	sum := 0
	for l := 0; l <= min(d.level, len(d.counts)-1); l++ {
		sum += d.counts[l]
	}
	if d.served > 0 && d.waits/time.Duration(d.served) > 20*time.Millisecond {
		for want := float64(d.admitted) * 0.95; d.level > 0 && float64(sum) > want; d.level-- {
			if d.level < len(d.counts) {
				sum -= d.counts[d.level]
			}
		}
	} else {
		for want := float64(d.admitted) + 0.01*float64(d.all); d.level < len(d.counts) && float64(sum) < want; d.level++ {
			sum += d.counts[min(d.level+1, len(d.counts)-1)]
		}
	}
	clear(d.counts)
	d.admitted, d.all, d.waits, d.served = 0, 0, 0, 0
}

// ours is package overload, as the gateway uses it; without its door only the queue's bound in time is left.
type ours struct {
	mix    []load.Class
	order  *overload.Order
	queue  *overload.Queue
	door   *overload.AdmissionController
	ctl    *overload.Controller
	closes bool
	s      overload.Sample
}

func newOurs(mix []load.Class, closes bool) Policy {
	order := overload.NewOrder(classes(mix), false)
	ctl, err := overload.NewController(overload.Config{Classes: classes(mix)}, order)
	if err != nil {
		panic(err) // the mixes of package load are right
	}
	return &ours{mix: mix, order: order, ctl: ctl, queue: overload.NewQueue(order.Bands(), 1, overload.DefaultMaxWait),
		door: overload.NewAdmissionController(order.Bands(), 1), closes: closes}
}

func (o *ours) Arrive(now time.Duration, r *Request) bool {
	band := o.order.Band(o.mix[r.Class].Name, r.Repeat)
	if _, ok := o.door.Admit(0, band, r.Draw); !ok {
		return false
	}
	r.item = overload.Item{Value: r}
	o.queue.Push(&r.item, band, 0, now)
	return true
}

func (o *ours) Next(now time.Duration) (r *Request, dropped int) {
	for i := o.queue.PopExpired(now); i != nil; i = o.queue.PopExpired(now) {
		dropped++
		o.s.ExpiredCost++
	}
	i := o.queue.Pop()
	if i == nil {
		return nil, dropped
	}
	o.s.StartedCost++
	o.s.LongestWait = max(o.s.LongestWait, o.queue.Waited(i, now))
	return i.Value.(*Request), dropped
}

func (o *ours) Done(time.Duration, *Request, time.Duration, time.Duration) {}

func (o *ours) Tick(now time.Duration) {
	o.s.LongestWait, o.s.Queued = max(o.s.LongestWait, o.queue.LongestWait(now)), o.queue.Queued()
	if v := o.ctl.Tick(o.s, o.door); o.closes {
		o.door.SetPolicy(v)
	}
	o.s = overload.Sample{}
}
