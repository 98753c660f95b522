package gateway

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"larchusher/overload"
)

// slowClientSweepTicks is the interval, in ticks, at which slow clients are looked for and the
// weight for load balancers is updated.
const slowClientSweepTicks = 5

// errSlowClient is the error with which closeSlowClients closes a connection.
var errSlowClient = errors.New("the client leaves its answers unread while the memory for answers is nearly full")

// loopMonitor takes the measurements on which the overload controller decides: the lag of the loop
// and of reading from connections, and the time that the program did not run at all because its
// host had paused it. Such a pause is neither caused by an endpoint nor a sign of load.
type loopMonitor struct {
	pauseMonitor *overload.SchedulingMonitor
	pausedTime   time.Duration // total of all pauses so far
	sample       overload.Sample

	lastTick             time.Time
	pausedTimeAtLastTick time.Duration // pausedTime at lastTick
	ticks                int

	barrierSentAt       time.Time     // when the pending read barrier was sent; zero: none is pending
	pausedTimeAtBarrier time.Duration // pausedTime at barrierSentAt
	offeredAtBarrier    uint64        // requests offered until barrierSentAt
	pollerLag           time.Duration // longest lag since the last tick
}

// holdLateTimers is called when a timer is late, and reports whether to hold all timers for a
// moment. After a pause, everything that arrived meanwhile is read before any deadline is checked:
// it may include the answers that the deadlines are for.
func (g *Gateway) holdLateTimers(time.Duration) bool {
	if !g.detectPause() || g.cfg.ReadBarrier == nil {
		return false
	}
	g.cfg.ReadBarrier(func() { g.cfg.Loop.Post(g.cfg.Loop.releaseTimers) })
	return true
}

// detectPause reports whether the program was paused since the last call, and records the pause.
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

// measurePollerLag sends a read barrier if requests were offered since the last one. Its delay
// shows an overload that no queue shows: requests lie unread in the sockets.
func (g *Gateway) measurePollerLag(now time.Time) {
	offered := g.admissionController().TotalOffered()
	if g.cfg.ReadBarrier == nil || !g.barrierSentAt.IsZero() || offered == g.offeredAtBarrier {
		return
	}
	g.offeredAtBarrier = offered
	g.barrierSentAt, g.pausedTimeAtBarrier = now, g.pausedTime
	g.cfg.ReadBarrier(func() {
		passedAt := time.Now()
		g.cfg.Loop.Post(func() {
			lag := max(0, passedAt.Sub(now)-(g.pausedTime-g.pausedTimeAtBarrier))
			recordDuration(g.Load.PollerLag, lag)
			g.pollerLag, g.barrierSentAt = max(g.pollerLag, lag), time.Time{}
		})
	})
}

// processorTime returns the CPU time that the program has used, user and system time together; 0 if
// it cannot be read.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tick passes a sample to the overload controller and sets the admission policy. It runs once every
// Config.Overload.Tick.
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
		g.balancerWeight.Update(g.now(), g.shedController.ShedLevel())
		g.closeSlowClients()
	}
	loop.After(g.cfg.Overload.Tick, g.tick)
}

// completeSample adds the measurements of a tick to the sample.
func (g *Gateway) completeSample(now time.Time) {
	s := &g.sample
	s.Interval = max(time.Millisecond, now.Sub(g.lastTick)-(g.pausedTime-g.pausedTimeAtLastTick))
	g.lastTick, g.pausedTimeAtLastTick = now, g.pausedTime
	s.LongestWait = max(s.LongestWait, g.queue.LongestWait(g.now()))
	if !g.barrierSentAt.IsZero() { // the barrier is still pending, so the lag is at least the time since then
		g.pollerLag = max(g.pollerLag, now.Sub(g.barrierSentAt)-(g.pausedTime-g.pausedTimeAtBarrier))
	}
	s.Grace = g.queue.Grace(g.now())
	s.Queued = g.queue.Queued()
	s.LoopLag = g.pollerLag
}
