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
	frontCount
)

// String names a front, as the counters do.
func (f Front) String() string { return [...]string{"platform", "signed", "host"}[f] }

const rejectionWaitDivisor = 3 // a part of the longest wait as small is that of a refusal that takes work

// admissionState is the part of a gateway that stands before the director: who comes in, who waits, who is shed. It feeds
// package overload, which decides, and carries out what that says.
type admissionState struct {
	admissions         admissions
	queue              *overload.Queue
	rejectionQueue     *overload.Queue // refusals that take work: they come when nothing else does, or have waited for long
	overloadController *overload.Controller
	pauseMonitor       *overload.SchedulingMonitor
	memory             *overload.Memory
	balancerHealth     overload.Health

	pausedTime        time.Duration // to stalls of the host
	runningQueuedWork bool          // a front's work has its turn
	sample            overload.Sample
	lastTick          time.Time     // at the last tick,
	pausedAtLastTick  time.Duration // and what was lost to stalls by then
	ticks             int
	barrierSentAt     time.Time     // when the echo that is out was called; zero: none is,
	pausedAtBarrier   time.Duration // and what was lost to stalls by then
	pollerLag         time.Duration
	offeredAtBarrier  uint64 // at the last tick

	Load LoadCounters
}

// Client is whoever a request's answer goes to, where that may be slow to take it. It is made by [Gateway.AddClient].
type Client struct {
	account     *overload.Client
	unsentBytes func() int64
	close       func(error)
}

// initAdmission makes the intake.
func (g *Gateway) initAdmission() error {
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
	g.cfg.Overload = c
	order := overload.NewOrder(c.Classes, c.RepeatsFirst)
	var err error
	if g.overloadController, err = overload.NewController(c, order); err != nil {
		return fmt.Errorf("gateway: %w", err)
	}
	g.admissions.replace(&admissionPolicy{order: order, controller: overload.NewAdmissionController(order.Bands(), c.Fronts)})
	g.queue = overload.NewQueue(order.Bands(), c.Fronts, c.MaxWait)
	g.rejectionQueue = overload.NewQueue(1, c.Fronts, c.MaxWait/rejectionWaitDivisor)
	g.pauseMonitor = overload.NewSchedulingMonitor(c.Tick, c.MinPause)
	g.memory = overload.NewMemory(c.MemoryLimit)
	hist := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 2) }
	g.Load = LoadCounters{QueueWait: hist(), LoopDelay: hist(), PollerLag: hist()}
	l := g.cfg.Loop
	l.runQueued, l.onLateTimer = g.runNextQueued, g.holdLateTimers
	l.onDelay = func(d time.Duration) { _ = g.Load.LoopDelay.RecordValue(d.Microseconds()) }
	g.lastTick = time.Now()
	l.Post(g.tick)
	return nil
}

// Admit says whether a request may come in, as soon as its class, its repeat mark and its id are known; if not, its
// client is to be told so, and when to come back. It may be called from any goroutine. A request that was let in
// carries Admitted.
func (g *Gateway) Admit(f Front, class []byte, repeat bool, id []byte) (later time.Duration, ok bool) {
	a := g.admissions.current.Load()
	later, ok = a.controller.Admit(int(f), a.order.BandOf(class, repeat), xxhash.Sum64(id))
	if !g.cfg.Settings.SendRetryAfter {
		later = 0
	}
	return later, ok
}

// AddClient counts a client in: what waits to be written to it, and how to end it.
func (g *Gateway) AddClient(waiting func() int64, close func(error)) *Client {
	c := &Client{unsentBytes: waiting, close: close}
	c.account = g.memory.AddClient(c)
	return c
}

// RemoveClient counts a client out. A nil one is none.
func (g *Gateway) RemoveClient(c *Client) {
	if c != nil {
		g.memory.RemoveClient(c.account)
	}
}

// ShedShare is the share of the offer that is shed, 0 to 1, over the last tenths of a second.
func (g *Gateway) ShedShare() float64 { return g.overloadController.ShedLevel() }

// BalancerWeight is the weight that balancers are to give the gateway, in percent.
func (g *Gateway) BalancerWeight() int { return g.balancerHealth.Weight() }

// enqueueRequest has a request wait for its turn, or sheds it.
func (g *Gateway) enqueueRequest(r *Request) {
	r.band = g.classOrder().Band(r.Class, r.Retry)
	if !r.Admitted {
		if later, ok := g.admissionController().Admit(int(r.Front), r.band, xxhash.Sum64String(r.ID)); !ok {
			g.shedRequest(r, later)
			return
		}
	}
	if g.runningQueuedWork { // it has waited already
		g.admitToDirector(r)
		return
	}
	came := r.ArrivedAt
	if came.IsZero() {
		came = g.cfg.Loop.Now()
	}
	r.queueItem.Value = r
	g.queue.Push(&r.queueItem, r.band, int(r.Front), g.DirectorTime(came))
}

// shedRequest refuses a request that no store has seen.
func (g *Gateway) shedRequest(r *Request, later time.Duration) {
	if !g.cfg.Settings.SendRetryAfter {
		later = 0
	}
	g.answerRequest(r, Answer{Outcome: Rejected, RetryAfter: later, Retryable: true})
}

// retryAfter is the advice for a request that is shed after it came in.
func (g *Gateway) retryAfter(r *Request) time.Duration {
	if !g.cfg.Settings.SendRetryAfter {
		return 0
	}
	return overload.Jitter(g.overloadController.RetryAfter(), xxhash.Sum64String(r.ID))
}

// QueuedWork is the place of work that a front has to do before it can submit a request, such as checking its token. Its zero
// value waits for nothing.
type QueuedWork struct {
	item  overload.Item
	class string
	band  int
	run   func(late bool)
}

// Enqueue has f run as soon as a request of that class, come at that time, would have its turn: the work that a front does
// for its requests takes no more of the loop than its share. late says that it has waited for too long: the request is
// to be refused. The request that f submits is to be Admitted, and begins at once.
func (g *Gateway) Enqueue(t *QueuedWork, front Front, class string, came time.Time, f func(late bool)) {
	t.class, t.band, t.run = class, g.classOrder().Band(class, false), f
	t.item.Value = t
	g.queue.Push(&t.item, t.band, int(front), g.DirectorTime(came))
}

// EnqueueRejection has f run for a request that is to be shed, where that takes work: at once if nothing else waits, and
// soon in any case. Guards against clients that come back at once with what is refused: refusing them took all of the
// time, and ever less was served.
func (g *Gateway) EnqueueRejection(t *QueuedWork, front Front, f func()) {
	t.run = func(bool) { f() }
	t.item.Value = t
	g.rejectionQueue.Push(&t.item, 0, int(front), g.now())
}

// CancelQueued takes a turn back. One that does not wait is left alone.
func (g *Gateway) CancelQueued(t *QueuedWork) {
	g.queue.Remove(&t.item)
	g.rejectionQueue.Remove(&t.item)
}

// RetryAfter is what a request of a client is told that is refused for load, spread by the client's part of the draw.
func (g *Gateway) RetryAfter(ref string) time.Duration { return g.retryAfter(&Request{ID: ref}) }

// runNextQueued gives the next request its turn, and says whether more wait. It is done when nothing else is to be.
func (g *Gateway) runNextQueued() bool {
	now := g.now()
	for i := g.rejectionQueue.PopExpired(now); i != nil; i = g.rejectionQueue.PopExpired(now) {
		i.Value.(*QueuedWork).run(true)
	}
	if g.queue.Len() == 0 {
		if i := g.rejectionQueue.Pop(); i != nil {
			i.Value.(*QueuedWork).run(true)
		}
		return g.rejectionQueue.Len() > 0
	}
	for i := g.queue.PopExpired(now); i != nil; i = g.queue.PopExpired(now) {
		g.Load.QueueTimeouts++
		g.sample.LongestWait = max(g.sample.LongestWait, g.queue.WaitLimit(now))
		switch v := i.Value.(type) {
		case *Request:
			g.sample.ExpiredCost += g.classOrder().Cost(v.band)
			g.shedRequest(v, g.retryAfter(v))
		case *QueuedWork:
			g.sample.ExpiredCost += g.classOrder().Cost(v.band)
			v.run(true)
		}
	}
	i := g.queue.Pop()
	if i == nil {
		return false
	}
	waited := g.queue.Waited(i, now)
	_ = g.Load.QueueWait.RecordValue(waited.Microseconds())
	g.sample.LongestWait = max(g.sample.LongestWait, waited)
	if t, ok := i.Value.(*QueuedWork); ok {
		g.sample.StartedCost += g.classOrder().Cost(t.band)
		g.runningQueuedWork = true
		t.run(false)
		g.runningQueuedWork = false
		return g.queue.Len() > 0
	}
	r := i.Value.(*Request)
	g.sample.StartedCost += g.classOrder().Cost(r.band)
	g.admitToDirector(r)
	return g.queue.Len() > 0
}

// admitToDirector begins a request whose turn it is, if there is memory for its answer.
func (g *Gateway) admitToDirector(r *Request) {
	if r.Client != nil {
		n, ok := g.memory.Reserve(r.Client.account)
		if !ok {
			g.Load.NoMemory++
			g.shedRequest(r, g.retryAfter(r))
			return
		}
		r.reservedBytes = n
	}
	g.chooseLocality(r)
}

// accountAnswer books what a request's answer takes until its client has read it.
func (g *Gateway) accountAnswer(r *Request, a Answer) {
	size := -1
	if a.Outcome == Served {
		size = len(a.Body)
	}
	g.releaseReservation(r, size)
	if r.Client != nil {
		g.memory.SetBuffered(r.Client.account, r.Client.unsentBytes(), int64(max(0, size)))
		g.Load.PeakAnswerBytes = max(g.Load.PeakAnswerBytes, g.memory.Used())
	}
}

// releaseReservation gives back what was set aside for a request.
func (g *Gateway) releaseReservation(r *Request, size int) {
	if r.Client != nil {
		g.memory.Release(r.Client.account, r.reservedBytes, size)
		r.reservedBytes = 0
	}
}
