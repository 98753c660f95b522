package gateway

import (
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"larchusher/overload"
)

// Front is the way by which a request came. Those of one worth share the gateway evenly.
type Front int

// The fronts.
const (
	PlatformFront Front = iota
	SignedFront
	EmbeddedFront // a program that has the gateway built in
	fronts
)

// String names a front, as the counters do.
func (f Front) String() string { return [...]string{"platform", "signed", "host"}[f] }

const spareShare = 3 // a part of the longest wait as small is that of a refusal that takes work

// intake is the part of a gateway that stands before the director: who comes in, who waits, who is shed. It feeds
// package overload, which decides, and carries out what that says.
type intake struct {
	admissions admissions
	queue      *overload.Queue
	spare      *overload.Queue // refusals that take work: they come when nothing else does, or have waited for long
	ruler      *overload.Controller
	pulse      *overload.Pulse
	memory     *overload.Memory
	health     overload.Health

	lost     time.Duration // to stalls of the host
	turning  bool          // a front's work has its turn
	sample   overload.Sample
	ticked   time.Time     // at the last tick,
	tickLost time.Duration // and what was lost to stalls by then
	ticks    int
	echoed   time.Time     // when the echo that is out was called; zero: none is,
	echoAt   time.Duration // and what was lost to stalls by then
	behind   time.Duration
	offered  uint64 // at the last tick

	Load LoadCounters
}

// Client is whoever a request's answer goes to, where that may be slow to take it. It is made by [Gateway.AddClient].
type Client struct {
	part    *overload.Client
	waiting func() int64
	close   func(error)
}

// guard makes the intake.
func (g *Gateway) guard() error {
	c := g.cfg.Overload
	c.Classes, c.Fronts = overloadClasses(g.cfg.Settings.Classes), int(fronts)
	if c.LaterMost == 0 {
		c.LaterMost = g.cfg.Settings.MaxRetryAfter
	}
	if c.Tick == 0 {
		c.Tick = overload.DefaultTick
	}
	if c.StallLeast == 0 {
		c.StallLeast = overload.DefaultStallLeast
	}
	if c.Wait == 0 {
		c.Wait = overload.DefaultWait
	}
	g.cfg.Overload = c
	order := overload.NewOrder(c.Classes, c.RepeatsFirst)
	var err error
	if g.ruler, err = overload.NewController(c, order); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.admissions.use(&admission{order: order, door: overload.NewDoor(order.Bands(), c.Fronts)})
	g.queue = overload.NewQueue(order.Bands(), c.Fronts, c.Wait)
	g.spare = overload.NewQueue(1, c.Fronts, c.Wait/spareShare)
	g.pulse = overload.NewPulse(c.Tick, c.StallLeast)
	g.memory = overload.NewMemory(c.Memory)
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2) }
	g.Load = LoadCounters{QueueWait: hist(), LoopDelay: hist(), PollerLag: hist()}
	l := g.cfg.Loop
	l.low, l.late = g.work, g.late
	l.delays = func(d time.Duration) { _ = g.Load.LoopDelay.RecordValue(d.Microseconds()) }
	g.ticked = time.Now()
	l.Post(g.beat)
	return nil
}

// Admit says whether a request may come in, as soon as its class, its repeat mark and its id are known; if not, its
// client is to be told so, and when to come back. It may be called from any goroutine. A request that was let in
// carries Admitted.
func (g *Gateway) Admit(f Front, class []byte, repeat bool, id []byte) (later time.Duration, ok bool) {
	a := g.admissions.current.Load()
	later, ok = a.door.Try(int(f), a.order.BandOf(class, repeat), xxhash.Sum64(id))
	if !g.cfg.Settings.SendRetryAfter {
		later = 0
	}
	return later, ok
}

// AddClient counts a client in: what waits to be written to it, and how to end it.
func (g *Gateway) AddClient(waiting func() int64, close func(error)) *Client {
	c := &Client{waiting: waiting, close: close}
	c.part = g.memory.Join(c)
	return c
}

// RemoveClient counts a client out. A nil one is none.
func (g *Gateway) RemoveClient(c *Client) {
	if c != nil {
		g.memory.Leave(c.part)
	}
}

// ShedShare is the share of the offer that is shed, 0 to 1, over the last tenths of a second.
func (g *Gateway) ShedShare() float64 { return g.ruler.Level() }

// BalancerWeight is the weight that balancers are to give the gateway, in percent.
func (g *Gateway) BalancerWeight() int { return g.health.Weight() }

// queueUp has a request wait for its turn, or sheds it.
func (g *Gateway) queueUp(r *Request) {
	r.band = g.order().Band(r.Class, r.Retry)
	if !r.Admitted {
		if later, ok := g.door().Try(int(r.Front), r.band, xxhash.Sum64String(r.ID)); !ok {
			g.shed(r, later)
			return
		}
	}
	if g.turning { // it has waited already
		g.start(r)
		return
	}
	came := r.ArrivedAt
	if came.IsZero() {
		came = g.cfg.Loop.Now()
	}
	r.place.Value = r
	g.queue.Push(&r.place, r.band, int(r.Front), g.DirectorTime(came))
}

// shed refuses a request that no store has seen.
func (g *Gateway) shed(r *Request, later time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		later = 0
	}
	g.answer(r, Answer{Outcome: Rejected, RetryAfter: later, Retryable: true})
}

// later is the advice for a request that is shed after it came in.
func (g *Gateway) later(r *Request) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	return overload.Spread(g.ruler.Later(), xxhash.Sum64String(r.ID))
}

// QueuedWork is the place of work that a front has to do before it can submit a request, such as checking its token. Its zero
// value waits for nothing.
type QueuedWork struct {
	place overload.Item
	class string
	band  int
	run   func(late bool)
}

// Enqueue has f run as soon as a request of that class, come at that time, would have its turn: the work that a front does
// for its requests takes no more of the loop than its share. late says that it has waited for too long: the request is
// to be refused. The request that f submits is to be Admitted, and begins at once.
func (g *Gateway) Enqueue(t *QueuedWork, front Front, class string, came time.Time, f func(late bool)) {
	t.class, t.band, t.run = class, g.order().Band(class, false), f
	t.place.Value = t
	g.queue.Push(&t.place, t.band, int(front), g.DirectorTime(came))
}

// EnqueueRejection has f run for a request that is to be shed, where that takes work: at once if nothing else waits, and
// soon in any case. Guards against clients that come back at once with what is refused: refusing them took all of the
// time, and ever less was served.
func (g *Gateway) EnqueueRejection(t *QueuedWork, front Front, f func()) {
	t.run = func(bool) { f() }
	t.place.Value = t
	g.spare.Push(&t.place, 0, int(front), g.now())
}

// CancelQueued takes a turn back. One that does not wait is left alone.
func (g *Gateway) CancelQueued(t *QueuedWork) {
	g.queue.Remove(&t.place)
	g.spare.Remove(&t.place)
}

// RetryAfter is what a request of a client is told that is refused for load, spread by the client's part of the draw.
func (g *Gateway) RetryAfter(ref string) time.Duration { return g.later(&Request{ID: ref}) }

// work gives the next request its turn, and says whether more wait. It is done when nothing else is to be.
func (g *Gateway) work() bool {
	now := g.now()
	for i := g.spare.Expired(now); i != nil; i = g.spare.Expired(now) {
		i.Value.(*QueuedWork).run(true)
	}
	if g.queue.Len() == 0 {
		if i := g.spare.Pop(); i != nil {
			i.Value.(*QueuedWork).run(true)
		}
		return g.spare.Len() > 0
	}
	for i := g.queue.Expired(now); i != nil; i = g.queue.Expired(now) {
		g.Load.QueueTimeouts++
		g.sample.Oldest = max(g.sample.Oldest, g.queue.Limit(now))
		switch v := i.Value.(type) {
		case *Request:
			g.sample.Expired += g.order().Cost(v.band)
			g.shed(v, g.later(v))
		case *QueuedWork:
			g.sample.Expired += g.order().Cost(v.band)
			v.run(true)
		}
	}
	i := g.queue.Pop()
	if i == nil {
		return false
	}
	waited := g.queue.Waited(i, now)
	_ = g.Load.QueueWait.RecordValue(waited.Microseconds())
	g.sample.Oldest = max(g.sample.Oldest, waited)
	if t, ok := i.Value.(*QueuedWork); ok {
		g.sample.Started += g.order().Cost(t.band)
		g.turning = true
		t.run(false)
		g.turning = false
		return g.queue.Len() > 0
	}
	r := i.Value.(*Request)
	g.sample.Started += g.order().Cost(r.band)
	g.start(r)
	return g.queue.Len() > 0
}

// start begins a request whose turn it is, if there is memory for its answer.
func (g *Gateway) start(r *Request) {
	if r.Client != nil {
		n, ok := g.memory.Reserve(r.Client.part)
		if !ok {
			g.Load.NoMemory++
			g.shed(r, g.later(r))
			return
		}
		r.reserved = n
	}
	g.begin(r)
}

// settled books what a request's answer takes until its client has read it.
func (g *Gateway) settled(r *Request, a Answer) {
	size := -1
	if a.Outcome == Served {
		size = len(a.Body)
	}
	g.unreserve(r, size)
	if r.Client != nil {
		g.memory.Waiting(r.Client.part, r.Client.waiting(), int64(max(0, size)))
		g.Load.PeakAnswerBytes = max(g.Load.PeakAnswerBytes, g.memory.Used())
	}
}

// unreserve gives back what was set aside for a request.
func (g *Gateway) unreserve(r *Request, size int) {
	if r.Client != nil {
		g.memory.Done(r.Client.part, r.reserved, size)
		r.reserved = 0
	}
}
