package gateway

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"larchusher/overload"
)

const slowClientSweepTicks = 5 // ticks between two looks at what waits for slow clients

// holdLateTimers is told of late timers. If the host stood still, what came meanwhile is taken in before any deadline is
// looked at: answers may lie in the sockets that make it void.
func (g *Gateway) holdLateTimers(time.Duration) bool {
	if !g.detectPause() || g.cfg.ReadBarrier == nil {
		return false
	}
	g.cfg.ReadBarrier(func() { g.cfg.Loop.Post(g.cfg.Loop.releaseTimers) })
	return true
}

// detectPause looks for a stall since it last did.
func (g *Gateway) detectPause() bool {
	stalled := g.pauseMonitor.Tick(g.now(), processorTime())
	if stalled <= 0 {
		return false
	}
	g.pausedTime += stalled
	if g.pauseMonitor.FrequentPauses(g.now()) {
		g.queue.AddPausedTime(stalled)
	} else {
		g.sample.Paused = true
		g.queue.Paused(g.now(), stalled)
	}
	return true
}

// measurePollerLag asks how late reading is, if anything was offered since it last did. Guards against an overload that no queue
// shows: what has come lies in the sockets.
func (g *Gateway) measurePollerLag(now time.Time) {
	if n := g.admissionController().TotalOffered(); g.cfg.ReadBarrier == nil || !g.barrierSentAt.IsZero() || n == g.offeredAtBarrier {
		return
	} else {
		g.offeredAtBarrier = n
	}
	g.barrierSentAt, g.pausedAtBarrier = now, g.pausedTime
	g.cfg.ReadBarrier(func() {
		at := time.Now()
		g.cfg.Loop.Post(func() {
			by := max(0, at.Sub(now)-(g.pausedTime-g.pausedAtBarrier))
			_ = g.Load.PollerLag.RecordValue(by.Microseconds())
			g.pollerLag, g.barrierSentAt = max(g.pollerLag, by), time.Time{}
		})
	})
}

// errSlowClient ends a client that leaves its answers unread while memory runs short.
var errSlowClient = errors.New("its answers stay unread, and memory runs short")

// processorTime is what the program has used so far.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// tick is the gateway's look at itself, once a tick.
func (g *Gateway) tick() {
	loop := g.cfg.Loop
	g.detectPause()
	now := loop.Now()
	s := &g.sample
	s.Interval = max(time.Millisecond, now.Sub(g.lastTick)-(g.pausedTime-g.pausedAtLastTick))
	g.lastTick, g.pausedAtLastTick = now, g.pausedTime
	s.LongestWait = max(s.LongestWait, g.queue.LongestWait(g.now()))
	if !g.barrierSentAt.IsZero() { // it is still out: so late at least
		g.pollerLag = max(g.pollerLag, now.Sub(g.barrierSentAt)-(g.pausedTime-g.pausedAtBarrier))
	}
	s.Grace = g.queue.Grace(g.now())
	s.Queued = g.queue.Queued()
	s.LoopLag, s.MemoryPressure = g.pollerLag, g.memory.Pressure()
	g.admissionController().SetPolicy(g.overloadController.Tick(*s, g.admissionController()))
	*s = overload.Sample{}
	g.pollerLag = 0
	g.tickLocalities()
	g.measurePollerLag(now)
	if g.ticks++; g.ticks%slowClientSweepTicks == 0 {
		g.balancerHealth.Update(g.now(), g.overloadController.ShedLevel())
		for _, c := range g.memory.Sweep(g.now(), func(p *overload.Client) int64 { return p.Value.(*Client).unsentBytes() }) {
			g.Load.SlowClientsClosed++
			c.Value.(*Client).close(errSlowClient)
		}
	}
	loop.After(g.cfg.Overload.Tick, g.tick)
}
