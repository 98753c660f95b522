package gateway

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"larchusher/overload"
)

// slowClientSweepTicks is how many ticks pass between two looks for clients that leave answers unread.
const slowClientSweepTicks = 5

// errSlowClient closes a client that leaves its answers unread while memory runs short.
var errSlowClient = errors.New("its answers stay unread, and memory runs short")

// loopMonitor measures what the overload controller decides by: how far the loop and what reads from connections lag, and
// how long the program did not run at all because its host stood still. Such a pause is neither an endpoint's doing nor a
// sign of load.
type loopMonitor struct {
	pauseMonitor *overload.SchedulingMonitor
	pausedTime   time.Duration // in all pauses so far
	sample       overload.Sample

	lastTick         time.Time
	pausedAtLastTick time.Duration // pausedTime by then
	ticks            int

	barrierSentAt    time.Time     // when the read barrier that is out was sent; zero: none is out
	pausedAtBarrier  time.Duration // pausedTime by then
	offeredAtBarrier uint64        // requests offered by then
	pollerLag        time.Duration // longest since the last tick
}

// holdLateTimers is told of late timers, and reports whether they are to be held for a moment. After a pause, everything
// that came meanwhile is read before any deadline is looked at: it may hold the very answers.
func (g *Gateway) holdLateTimers(time.Duration) bool {
	if !g.detectPause() || g.cfg.ReadBarrier == nil {
		return false
	}
	g.cfg.ReadBarrier(func() { g.cfg.Loop.Post(g.cfg.Loop.releaseTimers) })
	return true
}

// detectPause reports whether the program was paused since it last looked, and books the pause.
func (g *Gateway) detectPause() bool {
	paused := g.pauseMonitor.Tick(g.now(), processorTime())
	if paused <= 0 {
		return false
	}
	g.pausedTime += paused
	if g.pauseMonitor.FrequentPauses(g.now()) {
		g.queue.AddPausedTime(paused)
	} else {
		g.sample.Paused = true
		g.queue.AddPauseWithGrace(g.now(), paused)
	}
	return true
}

// measurePollerLag sends a read barrier, if anything was offered since the last one. It shows an overload that no queue
// does: what has arrived lies unread in the sockets.
func (g *Gateway) measurePollerLag(now time.Time) {
	offered := g.admissionController().TotalOffered()
	if g.cfg.ReadBarrier == nil || !g.barrierSentAt.IsZero() || offered == g.offeredAtBarrier {
		return
	}
	g.offeredAtBarrier = offered
	g.barrierSentAt, g.pausedAtBarrier = now, g.pausedTime
	g.cfg.ReadBarrier(func() {
		passed := time.Now()
		g.cfg.Loop.Post(func() {
			lag := max(0, passed.Sub(now)-(g.pausedTime-g.pausedAtBarrier))
			recordDuration(g.Load.PollerLag, lag)
			g.pollerLag, g.barrierSentAt = max(g.pollerLag, lag), time.Time{}
		})
	})
}

// processorTime is what the program has used so far; 0 if that cannot be read.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tick gives the overload controller its sample and sets the admission policy anew, once every Config.Overload.Tick.
func (g *Gateway) tick() {
	loop := g.cfg.Loop
	g.detectPause()
	now := loop.Now()
	g.completeSample(now)
	g.admissionController().SetPolicy(g.shedController.Tick(g.sample, g.admissionController()))
	g.sample = overload.Sample{}
	g.pollerLag = 0
	g.tickLocalities()
	g.measurePollerLag(now)
	g.ticks++
	if g.ticks%slowClientSweepTicks == 0 {
		g.balancerHealth.Update(g.now(), g.shedController.ShedLevel())
		g.closeSlowClients()
	}
	loop.After(g.cfg.Overload.Tick, g.tick)
}

// completeSample adds to the sample what is measured at a tick.
func (g *Gateway) completeSample(now time.Time) {
	s := &g.sample
	s.Interval = max(time.Millisecond, now.Sub(g.lastTick)-(g.pausedTime-g.pausedAtLastTick))
	g.lastTick, g.pausedAtLastTick = now, g.pausedTime
	s.LongestWait = max(s.LongestWait, g.queue.LongestWait(g.now()))
	if !g.barrierSentAt.IsZero() { // it has not passed yet, so the lag is at least that long
		g.pollerLag = max(g.pollerLag, now.Sub(g.barrierSentAt)-(g.pausedTime-g.pausedAtBarrier))
	}
	s.Grace = g.queue.Grace(g.now())
	s.Queued = g.queue.Queued()
	s.LoopLag = g.pollerLag
}
