package gateway

import (
	"errors"
	"time"

	"golang.org/x/sys/unix"

	"larchusher/overload"
)

const sweepTicks = 5 // ticks between two looks at what waits for slow clients

// late is told of late timers. If the host stood still, what came meanwhile is taken in before any deadline is
// looked at: answers may lie in the sockets that make it void.
func (g *Gateway) late(time.Duration) bool {
	if !g.beaten() || g.cfg.ReadBarrier == nil {
		return false
	}
	g.cfg.ReadBarrier(func() { g.cfg.Loop.Post(g.cfg.Loop.release) })
	return true
}

// beaten looks for a stall since it last did.
func (g *Gateway) beaten() bool {
	stalled := g.pulse.Beat(g.now(), processorTime())
	if stalled <= 0 {
		return false
	}
	g.lost += stalled
	if g.pulse.Often(g.now()) {
		g.queue.Lost(stalled)
	} else {
		g.sample.Stalled = true
		g.queue.Stalled(g.now(), stalled)
	}
	return true
}

// echo asks how late reading is, if anything was offered since it last did. Guards against an overload that no queue
// shows: what has come lies in the sockets.
func (g *Gateway) echo(now time.Time) {
	if n := g.door().Total(); g.cfg.ReadBarrier == nil || !g.echoed.IsZero() || n == g.offered {
		return
	} else {
		g.offered = n
	}
	g.echoed, g.echoAt = now, g.lost
	g.cfg.ReadBarrier(func() {
		at := time.Now()
		g.cfg.Loop.Post(func() {
			by := max(0, at.Sub(now)-(g.lost-g.echoAt))
			_ = g.Load.PollerLag.RecordValue(by.Microseconds())
			g.behind, g.echoed = max(g.behind, by), time.Time{}
		})
	})
}

// errSlow ends a client that leaves its answers unread while memory runs short.
var errSlow = errors.New("its answers stay unread, and memory runs short")

// processorTime is what the program has used so far.
func processorTime() time.Duration {
	var u unix.Rusage
	if unix.Getrusage(unix.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// beat is the gateway's look at itself, once a tick.
func (g *Gateway) beat() {
	loop := g.cfg.Loop
	g.beaten()
	now := loop.Now()
	s := &g.sample
	s.Span = max(time.Millisecond, now.Sub(g.ticked)-(g.lost-g.tickLost))
	g.ticked, g.tickLost = now, g.lost
	s.Oldest = max(s.Oldest, g.queue.Oldest(g.now()))
	if !g.echoed.IsZero() { // it is still out: so late at least
		g.behind = max(g.behind, now.Sub(g.echoed)-(g.lost-g.echoAt))
	}
	s.Grace = g.queue.Grace(g.now())
	s.Waiting = g.queue.Waiting()
	s.Behind, s.Pressure = g.behind, g.memory.Pressure()
	g.door().Set(g.ruler.Tick(*s, g.door()))
	*s = overload.Sample{}
	g.behind = 0
	g.tier()
	g.echo(now)
	if g.ticks++; g.ticks%sweepTicks == 0 {
		g.health.Update(g.now(), g.ruler.Level())
		for _, c := range g.memory.Sweep(g.now(), func(p *overload.Client) int64 { return p.Value.(*Client).waiting() }) {
			g.Load.SlowClientsClosed++
			c.Value.(*Client).close(errSlow)
		}
	}
	loop.After(g.cfg.Overload.Tick, g.beat)
}
