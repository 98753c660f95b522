package faultinjection

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"larchusher/lab/fakeserver"
)

// machine is a fake machine with what it recorded.
type machine struct {
	name, kind, zone string
	addr             string

	mu           sync.Mutex
	store        *fakeserver.Store
	outOfService bool // it is being worked on
	inFlight     int  // answers under way
	coldSince    time.Time
	faults       *violationLog
	sinceMs      int64
}

func (m *machine) endpointJSON(status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":10,"since_ms":%d}`, m.name, m.addr, m.zone, m.kind, status, m.sinceMs)
}

// answer serves what a machine is asked, and records what should not have come.
func (p *plotRun) serve(m *machine, a *fakeserver.Request) {
	m.mu.Lock()
	out, cold := m.outOfService, time.Since(m.coldSince) < slowStart
	m.inFlight++
	m.mu.Unlock()
	p.checkRequest(m, a)
	from := a.Fields["name"]
	if out {
		p.violations.add("%v: %s is out for work, and is asked for %s", time.Since(p.startedAt).Round(time.Millisecond), m.name, from)
	}
	if s := p.machines[a.Fields["parent"]]; s != nil {
		s.mu.Lock()
		if s.outOfService {
			p.violations.add("%v: %s is out for work, and %s is told to fill from it", time.Since(p.startedAt).Round(time.Millisecond), s.name, m.name)
		}
		s.mu.Unlock()
	}
	busy := "cpu_share:0.30;x1:0.2;x0:0.9"
	if cold {
		busy = "cpu_share:0.50;x1:0.2;x0:0.1"
	}
	time.AfterFunc(time.Duration(p.responseDelay.Load()), func() {
		m.mu.Lock()
		m.inFlight--
		m.mu.Unlock()
		a.ServeWith("warm", busy, fakeserver.Content(from, a.Fields["piece"]))
	})
}

// tell has all journal services tell of a machine, each in its own time.
func (p *plotRun) announce(m *machine, status string) {
	m.mu.Lock()
	host := m.endpointJSON(status)
	m.mu.Unlock()
	for _, g := range p.gateways {
		g.updates <- listUpdate{at: time.Now().Add(time.Duration(p.randomInt(maxListDelayMs)) * time.Millisecond), endpoint: host}
	}
}

// revive has a machine start anew, cold, where it stood.
func (p *plotRun) restartMachine(m *machine) error {
	m.store.Close()
	s, err := fakeserver.NewStore(m.name, m.kind, m.addr)
	for tries := 0; err != nil && tries < 50; tries++ {
		// A process that is being started, of this plot or of another, holds the old listener until it is itself.
		time.Sleep(20 * time.Millisecond)
		s, err = fakeserver.NewStore(m.name, m.kind, m.addr)
	}
	if err != nil {
		return err
	}
	s.Forget = true
	s.On(func(a *fakeserver.Request) { p.serve(m, a) })
	m.mu.Lock()
	m.store, m.outOfService, m.coldSince, m.sinceMs = s, false, time.Now(), time.Now().UnixMilli()
	m.mu.Unlock()
	p.announce(m, "SERVING")
	return nil
}

// begin works on a machine that was called out: whoever sends to it from now on is wrong.
func (p *plotRun) beginWork(m *machine) {
	m.mu.Lock()
	m.outOfService = true
	if m.inFlight > 0 && !slices.ContainsFunc(p.plot.Events, func(e Event) bool { return e.Kind == "kill" || e.Kind == "stop" }) {
		// What a gateway that is gone had sent may still be there.
		p.violations.add("%s is called out with %d answers under way", m.name, m.inFlight)
	}
	m.mu.Unlock()
	long := time.Duration(300+p.rng.IntN(700)) * time.Millisecond // the lock is held
	p.wg.Go(func() {
		time.Sleep(long)
		if err := p.restartMachine(m); err != nil {
			p.violations.add("%s does not come back: %v", m.name, err)
		}
	})
}
