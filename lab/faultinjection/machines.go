package faultinjection

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"larchusher/lab/fakeserver"
)

// machine is a fake cache, parent or origin together with its state in the plot.
type machine struct {
	name, kind, zone string
	addr             string

	mu           sync.Mutex // guards the fields below
	store        *fakeserver.Store
	outOfService bool      // under maintenance: no gateway may send to it
	inFlight     int       // requests received and not yet answered
	coldSince    time.Time // latest restart; zero: warm from the start
	violations   *violationLog
	sinceMs      int64 // start of the process as the endpoint list shows it, in Unix milliseconds; 0: before the plot
}

// endpointJSON returns the machine's entry for the endpoint list, with the given status. The caller holds mu.
func (m *machine) endpointJSON(status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":10,"since_ms":%d}`, m.name, m.addr, m.zone, m.kind, status, m.sinceMs)
}

// serve answers a request to a fake machine after the response delay, and records a violation if the machine is out of
// service, or the request names a parent that is.
func (p *plotRun) serve(m *machine, a *fakeserver.Request) {
	m.mu.Lock()
	out, cold := m.outOfService, time.Since(m.coldSince) < slowStart
	m.inFlight++
	m.mu.Unlock()
	p.checkRequest(m, a)
	object := a.Fields["name"]
	if out {
		p.violations.add("%v: machine %s is out for maintenance but received a request for object %s", time.Since(p.startedAt).Round(time.Millisecond), m.name, object)
	}
	if parent := p.machines[a.Fields["parent"]]; parent != nil {
		parent.mu.Lock()
		if parent.outOfService {
			p.violations.add("%v: machine %s is out for maintenance but is the fill source in a request to %s", time.Since(p.startedAt).Round(time.Millisecond), parent.name, m.name)
		}
		parent.mu.Unlock()
	}
	load := "cpu_share:0.30;x1:0.2;x0:0.9"
	if cold {
		load = "cpu_share:0.50;x1:0.2;x0:0.1"
	}
	time.AfterFunc(time.Duration(p.responseDelay.Load()), func() {
		m.mu.Lock()
		m.inFlight--
		m.mu.Unlock()
		a.ServeWith("warm", load, fakeserver.Content(object, a.Fields["piece"]))
	})
}

// announce sends a machine's new list entry to every gateway's discovery service, each after its own random delay.
func (p *plotRun) announce(m *machine, status string) {
	m.mu.Lock()
	endpoint := m.endpointJSON(status)
	m.mu.Unlock()
	for _, g := range p.gateways {
		g.updates <- listUpdate{at: time.Now().Add(time.Duration(p.randomInt(maxListDelayMs)) * time.Millisecond), endpoint: endpoint}
	}
}

// restartMachine starts a machine again at its old address, with a cold cache, and announces it.
func (p *plotRun) restartMachine(m *machine) error {
	m.store.Close()
	s, err := fakeserver.NewStore(m.name, m.kind, m.addr)
	for tries := 0; err != nil && tries < 50; tries++ {
		// A child process being started, for this plot or a concurrent one, holds a copy of the old listener between its
		// fork and its exec.
		time.Sleep(20 * time.Millisecond)
		s, err = fakeserver.NewStore(m.name, m.kind, m.addr)
	}
	if err != nil {
		return err
	}
	s.CountOnly = true
	s.SetHandler(func(a *fakeserver.Request) { p.serve(m, a) })
	m.mu.Lock()
	m.store, m.outOfService, m.coldSince, m.sinceMs = s, false, time.Now(), time.Now().UnixMilli()
	m.mu.Unlock()
	p.announce(m, "SERVING")
	return nil
}

// beginWork starts the work on a machine that the gateways agreed to take out of service. From now on each request to it
// is a violation. The work takes 300 to 1000 ms; then the machine restarts. The caller holds p.mu.
func (p *plotRun) beginWork(m *machine) {
	m.mu.Lock()
	m.outOfService = true
	if m.inFlight > 0 && !slices.ContainsFunc(p.plot.Events, func(e Event) bool { return e.Kind == "kill" || e.Kind == "stop" }) {
		// Plots with kills or stops are exempt: requests of a gateway that is gone may still be in flight.
		p.violations.add("machine %s was taken out of service with %d requests in flight", m.name, m.inFlight)
	}
	m.mu.Unlock()
	duration := time.Duration(300+p.rng.IntN(700)) * time.Millisecond // p.rng is guarded by p.mu, which the caller holds
	p.wg.Go(func() {
		time.Sleep(duration)
		if err := p.restartMachine(m); err != nil {
			p.violations.add("machine %s did not come back from maintenance: %v", m.name, err)
		}
	})
}
