package gateway

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

// Loop is the event loop that owns a gateway's state. What happens on other goroutines reaches it by [Loop.Post];
// everything else here may be called only from functions that the loop runs, or before it runs. Make one with [NewLoop].
type Loop struct {
	mu          sync.Mutex // guards queue, queuedSince and closed
	queue       []func()
	queuedSince time.Time   // when the first of queue was posted
	hasPosted   atomic.Bool // queue is not empty
	wake        chan struct{}
	closed      bool
	done        chan struct{}

	now             time.Time
	timers          timerHeap
	order           uint64    // of the latest timer that was set
	timersHeldUntil time.Time // zero: they are not held
	roundsDeferred  int       // rounds in a row in which queued work gave way to what was posted
	checkedAt       time.Time // when late timers were last looked for

	runQueued   func() (more bool)              // runs one piece of queued work; nil: there is none
	onLateTimer func(late time.Duration) bool   // told of late timers, it reports whether they are to be held for a moment
	onDelay     func(sincePosted time.Duration) // told how long what was posted waited

	LateTimers uint64 // timers that ran late, though they were not late at the latest look
}

const (
	maxQueuedPerRound  = 16                    // pieces of queued work before timers are looked at again
	maxRoundsDeferred  = 8                     // rounds in a row in which queued work gives way to what was posted
	lateTimerThreshold = 30 * time.Millisecond // lateness of a timer that onLateTimer is told of
	maxTimerHold       = 20 * time.Millisecond // an answer may be no more than 50 ms late
)

// NewLoop returns a loop that [Loop.Run] starts.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), done: make(chan struct{}), now: time.Now()}
}

// Post has the loop run f after everything that was posted before. It may be called from any goroutine, and never blocks.
// It drops f and reports false once the loop is closed.
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
	if !first { // the loop has been woken for what came before
		return true
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Close ends the loop after the function that runs now, and drops what was posted and has not run. It may be called from any
// goroutine.
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

// Done is closed when the loop is. It may be called from any goroutine.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Now is the time at which the function that runs now began. It never goes back.
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

// Run runs the loop until it is closed. A round runs what was posted, then the timers that are due, then some queued work.
func (l *Loop) Run() {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	var batch []func()
	for {
		var postedSince time.Time
		var closed bool
		batch, postedSince, closed = l.takePosted(batch)
		if closed {
			return
		}
		l.now = time.Now()
		if len(batch) > 0 && l.onDelay != nil {
			l.onDelay(l.now.Sub(postedSince))
		}
		l.checkLateTimer()
		l.runPosted(batch)
		l.runTimers()
		moreQueued := l.runSomeQueued()
		if moreQueued || len(batch) > 0 { // more may have been posted meanwhile
			continue
		}
		clock.Reset(l.idleTime())
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

// takePosted takes what was posted, since when it waits, and whether the loop is closed. The memory of the former batch is
// used again.
func (l *Loop) takePosted(former []func()) (batch []func(), since time.Time, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, l.queue = l.queue, former[:0]
	l.hasPosted.Store(false)
	return batch, l.queuedSince, l.closed
}

// checkLateTimer tells onLateTimer of a timer that is late, before anything else is done in a round: all that follows must
// know whether the program was paused.
func (l *Loop) checkLateTimer() {
	l.checkedAt = l.now
	if len(l.timers) == 0 || l.onLateTimer == nil || !l.timersHeldUntil.IsZero() {
		return
	}
	late := l.now.Sub(l.timers[0].at)
	if late > lateTimerThreshold && l.onLateTimer(late) {
		l.timersHeldUntil = l.now.Add(maxTimerHold)
	}
}

// readClock reads the clock within a round. A pause may come there as well: a program that is kept from its processor is so most
// often where it has work. What follows must know of it.
func (l *Loop) readClock() {
	l.now = time.Now()
	if l.now.Sub(l.checkedAt) > lateTimerThreshold {
		l.checkLateTimer()
	}
}

// runPosted runs what was posted, in order.
func (l *Loop) runPosted(batch []func()) {
	for i, f := range batch {
		l.readClock()
		f()
		batch[i] = nil
	}
	l.readClock()
}

// runTimers runs the timers that are due, unless they are held.
func (l *Loop) runTimers() {
	if !l.timersHeldUntil.IsZero() && !l.now.Before(l.timersHeldUntil) {
		l.timersHeldUntil = time.Time{}
	}
	for l.timersHeldUntil.IsZero() && len(l.timers) > 0 && !l.timers[0].at.After(l.now) {
		t := heap.Pop(&l.timers).(*Timer)
		if l.now.Sub(t.at) > lateTimerThreshold && l.checkedAt.Sub(t.at) <= lateTimerThreshold {
			l.LateTimers++
		}
		t.run()
		l.readClock()
	}
}

// runSomeQueued runs queued work, unless something was posted meanwhile, and reports whether more is queued. None is run
// while timers are held: a request whose client left during the pause would start.
func (l *Loop) runSomeQueued() (more bool) {
	for n := 0; l.runQueued != nil && l.timersHeldUntil.IsZero() && n < maxQueuedPerRound; n++ {
		if l.hasPosted.Load() && l.roundsDeferred < maxRoundsDeferred {
			l.roundsDeferred++
			return true
		}
		l.roundsDeferred = 0
		l.readClock()
		if !l.timersHeldUntil.IsZero() {
			return true
		}
		more = l.runQueued()
		if !more {
			return false
		}
	}
	return more
}

// idleTime is how long the loop may sleep if nothing is posted.
func (l *Loop) idleTime() time.Duration {
	switch {
	case !l.timersHeldUntil.IsZero():
		return l.timersHeldUntil.Sub(l.now)
	case len(l.timers) > 0:
		return l.timers[0].at.Sub(l.now)
	}
	return time.Hour
}

// releaseTimers ends the hold on timers.
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
