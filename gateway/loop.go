package gateway

import (
	"container/heap"
	"sync"
	"sync/atomic"
	"time"
)

// Loop is the event loop that owns a gateway's state. Other goroutines reach it by [Loop.Post]; its
// other methods may be called only from functions that the loop runs, or before it runs, unless
// their comments state otherwise. Use [NewLoop].
type Loop struct {
	mu            sync.Mutex  // guards posted, firstPostedAt and closed
	posted        []func()    // functions to run, in the order of Post
	firstPostedAt time.Time   // when the first function of posted was posted
	hasPosted     atomic.Bool // whether posted is not empty
	wake          chan struct{}
	closed        bool
	done          chan struct{}

	now             time.Time
	timers          timerHeap
	lastTimerSeq    uint64    // sequence number of the timer that was set last
	timersHeldUntil time.Time // until when no timer runs; zero: timers run
	roundsDeferred  int       // consecutive rounds in which queued work was deferred for posted functions
	lateCheckedAt   time.Time // when late timers were last checked for

	runQueued   func() (more bool)              // runs one piece of queued work; nil: there is none
	onLateTimer func(late time.Duration) bool   // called when a timer is late; returns whether to hold all timers for a moment
	onDelay     func(sincePosted time.Duration) // called with the delay from the first Post of a batch until the batch runs

	LateTimers uint64 // timers that ran late without having been late at the latest check
}

const (
	maxQueuedPerRound  = 16                    // pieces of queued work that run before timers are checked again
	maxRoundsDeferred  = 8                     // consecutive rounds in which queued work may be deferred for posted functions
	lateTimerThreshold = 30 * time.Millisecond // lateness from which onLateTimer is called
	maxTimerHold       = 20 * time.Millisecond // with lateTimerThreshold, an answer at its deadline is at most 50 ms late
)

// NewLoop returns a loop. [Loop.Run] runs it.
func NewLoop() *Loop {
	return &Loop{wake: make(chan struct{}, 1), done: make(chan struct{}), now: time.Now()}
}

// Post has the loop run f after all functions that were posted before. It may be called from any
// goroutine, and never blocks. Once the loop is closed, it drops f and returns false.
func (l *Loop) Post(f func()) bool {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return false
	}
	first := len(l.posted) == 0
	if first {
		l.firstPostedAt = time.Now()
		l.hasPosted.Store(true)
	}
	l.posted = append(l.posted, f)
	l.mu.Unlock()
	if !first { // an earlier Post has woken the loop
		return true
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// Close ends the loop after the round that is running, and drops the functions that were posted
// since that round began. It may be called from any goroutine.
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

// Done returns a channel that is closed when the loop is closed. It may be called from any
// goroutine.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Now returns the time at which the loop last read the clock, which it does before each function
// that it runs. It never goes back.
func (l *Loop) Now() time.Time { return l.now }

// At has the loop run f at t, or as soon as possible after it.
func (l *Loop) At(t time.Time, f func()) *Timer {
	l.lastTimerSeq++
	timer := &Timer{at: t, seq: l.lastTimerSeq, run: f, loop: l}
	heap.Push(&l.timers, timer)
	return timer
}

// After has the loop run f after a duration from Now.
func (l *Loop) After(d time.Duration, f func()) *Timer { return l.At(l.now.Add(d), f) }

// Run runs the loop until it is closed. Each round runs the posted functions, then the timers that
// are due, then some queued work.
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
		if moreQueued || len(batch) > 0 { // more functions may have been posted meanwhile
			continue
		}
		clock.Reset(l.idleTime())
		select {
		case <-l.wake:
		case <-clock.C:
		}
	}
}

// takePosted returns the posted functions and since when the first of them has waited, and whether
// the loop is closed. It reuses the memory of the former batch.
func (l *Loop) takePosted(former []func()) (batch []func(), since time.Time, closed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch, l.posted = l.posted, former[:0]
	l.hasPosted.Store(false)
	return batch, l.firstPostedAt, l.closed
}

// checkLateTimer calls onLateTimer if a timer is late. It runs before anything else in a round,
// since all that follows depends on whether the program was paused.
func (l *Loop) checkLateTimer() {
	l.lateCheckedAt = l.now
	if len(l.timers) == 0 || l.onLateTimer == nil || !l.timersHeldUntil.IsZero() {
		return
	}
	late := l.now.Sub(l.timers[0].at)
	if late > lateTimerThreshold && l.onLateTimer(late) {
		l.timersHeldUntil = l.now.Add(maxTimerHold)
	}
}

// readClock reads the clock within a round, and checks for late timers if the latest check is more
// than lateTimerThreshold ago. A pause may occur within a round, too: a program that is short of
// CPU time is mostly paused while it has work to do. The rest of the round must know of the pause.
func (l *Loop) readClock() {
	l.now = time.Now()
	if l.now.Sub(l.lateCheckedAt) > lateTimerThreshold {
		l.checkLateTimer()
	}
}

// runPosted runs the posted functions in order.
func (l *Loop) runPosted(batch []func()) {
	for i, f := range batch {
		l.readClock()
		f()
		batch[i] = nil
	}
	l.readClock()
}

// runTimers runs the timers that are due, unless timers are held.
func (l *Loop) runTimers() {
	if !l.timersHeldUntil.IsZero() && !l.now.Before(l.timersHeldUntil) {
		l.timersHeldUntil = time.Time{}
	}
	for l.timersHeldUntil.IsZero() && len(l.timers) > 0 && !l.timers[0].at.After(l.now) {
		timer := heap.Pop(&l.timers).(*Timer)
		if l.now.Sub(timer.at) > lateTimerThreshold && l.lateCheckedAt.Sub(timer.at) <= lateTimerThreshold {
			l.LateTimers++
		}
		timer.run()
		l.readClock()
	}
}

// runSomeQueued runs up to maxQueuedPerRound pieces of queued work, and reports whether more is
// queued. It stops as soon as a function is posted, but in at most maxRoundsDeferred consecutive
// rounds. Nothing runs while timers are held, since a request would start whose client may have
// left during the pause.
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

// idleTime returns how long the loop may sleep if nothing is posted.
func (l *Loop) idleTime() time.Duration {
	switch {
	case !l.timersHeldUntil.IsZero():
		return l.timersHeldUntil.Sub(l.now)
	case len(l.timers) > 0:
		return l.timers[0].at.Sub(l.now)
	}
	return time.Hour
}

// releaseTimers lets timers run again.
func (l *Loop) releaseTimers() { l.timersHeldUntil = time.Time{} }

// Timer is a function that the loop runs at a time. [Loop.At] makes it.
type Timer struct {
	at    time.Time
	seq   uint64
	run   func()
	loop  *Loop
	index int // index in the heap; -1: it has run or was stopped
}

// Stop removes the timer from the loop. It does nothing for a nil timer, or one that has run or was
// stopped.
func (t *Timer) Stop() {
	if t != nil && t.index >= 0 {
		heap.Remove(&t.loop.timers, t.index)
	}
}

// timerHeap orders timers by time, and timers of equal time by the order in which they were set.
type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
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
