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

	mu     sync.Mutex
	store  *fakeserver.Store
	out    bool // it is being worked on
	busy   int  // answers under way
	cold   time.Time
	faults *faults
	since  int64
}

func (m *machine) host(status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":10,"since_ms":%d}`, m.name, m.addr, m.zone, m.kind, status, m.since)
}

// answer serves what a machine is asked, and records what should not have come.
func (p *play) answer(m *machine, a *fakeserver.Request) {
	m.mu.Lock()
	out, cold := m.out, time.Since(m.cold) < ramp
	m.busy++
	m.mu.Unlock()
	p.heed(m, a)
	from := a.Fields["name"]
	if out {
		p.faults.add("%v: %s is out for work, and is asked for %s", time.Since(p.began).Round(time.Millisecond), m.name, from)
	}
	if s := p.machines[a.Fields["parent"]]; s != nil {
		s.mu.Lock()
		if s.out {
			p.faults.add("%v: %s is out for work, and %s is told to fill from it", time.Since(p.began).Round(time.Millisecond), s.name, m.name)
		}
		s.mu.Unlock()
	}
	busy := "cpu_share:0.30;x1:0.2;x0:0.9"
	if cold {
		busy = "cpu_share:0.50;x1:0.2;x0:0.1"
	}
	time.AfterFunc(time.Duration(p.takes.Load()), func() {
		m.mu.Lock()
		m.busy--
		m.mu.Unlock()
		a.ServeWith("warm", busy, fakeserver.Content(from, a.Fields["piece"]))
	})
}

// tell has all journal services tell of a machine, each in its own time.
func (p *play) tell(m *machine, status string) {
	m.mu.Lock()
	host := m.host(status)
	m.mu.Unlock()
	for _, g := range p.gateways {
		g.news <- piece{at: time.Now().Add(time.Duration(p.draw(listLate)) * time.Millisecond), host: host}
	}
}

// revive has a machine start anew, cold, where it stood.
func (p *play) revive(m *machine) error {
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
	s.CountOnly = true
	s.SetHandler(func(a *fakeserver.Request) { p.answer(m, a) })
	m.mu.Lock()
	m.store, m.out, m.cold, m.since = s, false, time.Now(), time.Now().UnixMilli()
	m.mu.Unlock()
	p.tell(m, "SERVING")
	return nil
}

// begin works on a machine that was called out: whoever sends to it from now on is wrong.
func (p *play) begin(m *machine) {
	m.mu.Lock()
	m.out = true
	if m.busy > 0 && !slices.ContainsFunc(p.plot.Events, func(e Event) bool { return e.What == "kill" || e.What == "stop" }) {
		// What a gateway that is gone had sent may still be there.
		p.faults.add("%s is called out with %d answers under way", m.name, m.busy)
	}
	m.mu.Unlock()
	long := time.Duration(300+p.rng.IntN(700)) * time.Millisecond // the lock is held
	p.wg.Go(func() {
		time.Sleep(long)
		if err := p.revive(m); err != nil {
			p.faults.add("%s does not come back: %v", m.name, err)
		}
	})
}
