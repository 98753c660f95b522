package gateway

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

// Loop is the one event loop that owns a gateway's state. Whatever happens elsewhere reaches it by
// [Loop.Post]; everything else here may be called only from functions that the loop runs. Its one heap holds
// every deadline and wake. The zero value is not usable; call [NewLoop].
type Loop struct {
	mu          sync.Mutex
	queue       []func()
	queuedSince time.Time   // when the first of the queue was posted
	hasPosted   atomic.Bool // something is in the queue
	wake        chan struct{}
	closed      bool
	done        chan struct{}

	now             time.Time
	timers          timerHeap
	order           uint64
	timersHeldUntil time.Time // timers wait until then

	runQueued   func() bool                 // work that comes after all that was posted; it says whether there is more
	onLateTimer func(by time.Duration) bool // told of late timers; it says whether they are to be held for a moment
	onDelay     func(posted time.Duration)  // told how long what was posted waited
}

const (
	maxQueuedPerRound  = 16                    // pieces of low work before timers are looked at again
	maxRoundsDeferred  = 8                     // low work is passed over no more often than this for what was posted
	lateTimerThreshold = 30 * time.Millisecond // a timer later than this is told of
	maxTimerHold       = 20 * time.Millisecond // timers are held no longer: an answer may be 50 ms late
)

// NewLoop returns a loop that [Loop.Run] starts.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), done: make(chan struct{}), now: time.Now()}
}

// Post has the loop run f after all that was posted before. It may be called from any goroutine, and never
// blocks. It reports false, and drops f, once the loop is closed.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	first := len(l.queue) == 0
	if first {
		l.queuedSince = time.Now()
		l.hasPosted.Store(true)
	}
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	if !first { // it has been woken for what came before
		return true
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Close ends the loop after the function that runs now; what was posted and is still due is dropped.
func (l *Loop) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.done)
	}
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Done is closed when the loop is.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Now is the time at which the present function began to run. It never goes back.
func (l *Loop) Now() time.Time { return l.now }

// At has the loop run f at t, or as soon after as it can.
func (l *Loop) At(t time.Time, f func()) *Timer {
	l.order++
	timer := &Timer{at: t, order: l.order, run: f, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// After is At for a span from now.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now.Add(d), f) }

// Run runs the loop until it is closed.
func (l *Loop) Run() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var batch []func()
	passed := 0 // times in a row that low work was passed over
	for {
		l.mu.Lock()
		batch, l.queue = l.queue, batch[:0]
		closed, since := l.closed, l.queuedSince
		l.hasPosted.Store(false)
		l.mu.Unlock()
		if closed {
			return
		}
		l.now = time.Now()
		if len(batch) > 0 && l.onDelay != nil {
			l.onDelay(l.now.Sub(since))
		}
		// Before anything else: what is done next must know whether the program stood still.
		if len(l.timers) > 0 && l.onLateTimer != nil && l.timersHeldUntil.IsZero() {
			if by := l.now.Sub(l.timers[0].at); by > lateTimerThreshold && l.onLateTimer(by) {
				l.timersHeldUntil = l.now.Add(maxTimerHold)
			}
		}
		for i, f := range batch {
			l.now = time.Now()
			f()
			batch[i] = nil
		}
		l.now = time.Now()
		if !l.timersHeldUntil.IsZero() && !l.now.Before(l.timersHeldUntil) {
			l.timersHeldUntil = time.Time{}
		}
		for l.timersHeldUntil.IsZero() && len(l.timers) > 0 && !l.timers[0].at.After(l.now) {
			t := heap.Pop(&l.timers).(*Timer)
			t.run()
			l.now = time.Now()
		}
		more := false
		// Nor is low work done while timers are held: a request whose client left while the program stood still would begin.
		for n := 0; l.runQueued != nil && l.timersHeldUntil.IsZero() && n < maxQueuedPerRound; n++ {
			if l.hasPosted.Load() && passed < maxRoundsDeferred { // it goes first
				more = true
				passed++
				break
			}
			passed = 0
			l.now = time.Now()
			if more = l.runQueued(); !more {
				break
			}
		}
		if more || len(batch) > 0 { // more may have come meanwhile
			continue
		}
		wait := time.Hour
		if len(l.timers) > 0 {
			wait = l.timers[0].at.Sub(l.now)
		}
		if !l.timersHeldUntil.IsZero() {
			wait = l.timersHeldUntil.Sub(l.now)
		}
		clock.Reset(wait)
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

// releaseTimers lets timers run that are held.
func (l *Loop) releaseTimers() { l.timersHeldUntil = time.Time{} }

// Timer is one entry of a loop's heap.
type Timer struct {
	at    time.Time
	order uint64
	run   func()
	loop  *Loop
	index int // place in the heap; -1: no longer there
}

// Stop takes the timer off the heap. A nil or spent timer is left alone.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timerHeap orders timers by time, and equal ones by when they were set.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	t.index = len(*h)
	*h = append(*h, t)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1], t.index = nil, -1
	*h = old[:len(old)-1]
	return t
}
