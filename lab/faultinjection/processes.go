package faultinjection

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"larchusher/lab/fakeserver"
	"larchusher/lab/testbed"
)

// gatewayProcess is one gateway of the plot, with its clients and its discovery service.
type gatewayProcess struct {
	name            string
	zone            string // edge-0 or edge-1
	host            string // its loopback address
	clusterAddr     string // address at which it accepts its peers and tools
	folder          string // of its stored state
	clockFile       string // holds the milliseconds by which its wall clock is off
	testbed         *testbed.Gateway
	clients         *clientLoad
	updates         chan listUpdate // to publishUpdates; closed by plotRun.close
	mu              sync.Mutex      // guards journalPosition and up
	journalPosition int             // position of the latest entry that its journal service sent
	up              bool            // running, and not stopped by SIGSTOP
}

// isUp reports whether the gateway is running and not stopped.
func (g *gatewayProcess) isUp() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

// setUp records whether the gateway is running and not stopped.
func (g *gatewayProcess) setUp(up bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.up = up
}

// gatewaySettings returns the settings of gateway me of n in a zone, for a small installation with two zones at one
// hub. Limits and time-outs are shorter than in the testbed's settings.
func gatewaySettings(zone string, n, me int) json.RawMessage {
	counts := []int{0, (n + 1) / 2, n / 2}
	s := strings.NewReplacer(`"balancers":2,"position":0`, fmt.Sprintf(`"balancers":%d,"position":%d`, n, me),
		`"dcs":["north","edge-1"],"zone":"edge-1"`, fmt.Sprintf(`"dcs":["north","edge-0","edge-1"],"zone":%q`, zone),
		`"countByZone":[0,2],"homeHub":[0,0]`, fmt.Sprintf(`"countByZone":[%d,%d,%d],"homeHub":[0,0,0]`, counts[0], counts[1], counts[2]),
		`"hardLimitMs":5000`, `"hardLimitMs":1500`, `"hardLimitMs":2500`, `"hardLimitMs":1500`, `"hardLimitMs":3000`, `"hardLimitMs":1500`,
		`"weightSource":"off"`, `"weightSource":"nominal"`, `"rampTimeMs":17000`, fmt.Sprintf(`"rampTimeMs":%d`, slowStart.Milliseconds()),
		`"parentColdMs":22000`, fmt.Sprintf(`"parentColdMs":%d`, slowStart.Milliseconds()), `"stopSendingWithinMs":2000`, `"stopSendingWithinMs":500`,
		`"fields":["busy_reqs","x1","x0"]`, `"fields":["cpu_share","x1","x0"]`, `"peerMessages":true`, `"peerMessages":false`).Replace(testbed.Settings)
	return json.RawMessage(s)
}

// listUpdate is an entry of the endpoint list, with the time at which a journal service sends it.
type listUpdate struct {
	at       time.Time
	endpoint string // as endpointJSON returns it
}

// publishUpdates sends the list updates of a gateway in the order they were queued, each at its time or right after the one
// before. It returns when updates is closed.
func (g *gatewayProcess) publishUpdates() {
	for u := range g.updates {
		time.Sleep(time.Until(u.at))
		g.publish(func(pos int) string {
			return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, u.endpoint)
		})
	}
}

// publish sends an entry, whose text depends on its journal position, to the gateway through its journal service at once.
func (g *gatewayProcess) publish(text func(pos int) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.journalPosition = max(2, g.journalPosition+1)
	g.testbed.Journal.Publish(g.journalPosition, text(g.journalPosition))
}

// startAll starts the fake servers, the relays and the gateway processes, the latter concurrently.
func (p *plotRun) startAll(ctx context.Context) error {
	if err := p.buildMachines(); err != nil {
		return err
	}
	var endpoints []string
	for _, name := range p.machineNames {
		endpoints = append(endpoints, p.machines[name].endpointJSON("SERVING"))
	}
	known := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` + strings.Join(endpoints, ",") + `]}}]}`)
	for i := range p.plot.Gateways {
		host := p.address(i + 1)
		clusterAddr, err := testbed.FreeAddrOn(host)
		if err != nil {
			return err
		}
		name := gatewayName(i)
		p.gateways = append(p.gateways, &gatewayProcess{name: name, host: host, zone: "edge-" + strconv.Itoa(i%2), clusterAddr: clusterAddr, folder: filepath.Join(p.dir, name), clockFile: filepath.Join(p.dir, name+".clock")})
	}
	if err := p.buildRelays(); err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make([]error, len(p.gateways))
	for i, g := range p.gateways {
		all.Go(func() { errs[i] = p.startGateway(ctx, i, g, known) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// address returns a loopback address that only this plot uses. On 127.0.0.1 the kernel may give the port of a fake
// server that is down to an outgoing connection, and the server could not restart.
func (p *plotRun) address(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%100, p.plot.Seed%250, last)
}

// buildMachines starts the caches of two zones, two parents and the origin.
func (p *plotRun) buildMachines() error {
	for z := range 2 {
		for i := range p.plot.CachesPerZone {
			if err := p.addMachine(cacheName(z, i), "box", "edge-"+strconv.Itoa(z)); err != nil {
				return err
			}
		}
	}
	for _, x := range [][2]string{{"p0", "parent"}, {"p1", "parent"}, {"o", "origin"}} {
		if err := p.addMachine(x[0], x[1], "north"); err != nil {
			return err
		}
	}
	return nil
}

// addMachine starts a fake server and adds it to the run.
func (p *plotRun) addMachine(name, kind, zone string) error {
	s, err := fakeserver.NewStore(name, kind, p.address(200)+":0")
	if err != nil {
		return err
	}
	s.CountOnly = true
	m := &machine{name: name, kind: kind, zone: zone, addr: s.Addr, store: s, violations: p.violations}
	s.SetHandler(func(a *fakeserver.Request) { p.serve(m, a) })
	p.machines[name] = m
	p.machineNames = append(p.machineNames, name)
	return nil
}

// buildRelays starts two relays between any two gateways, one for each direction.
func (p *plotRun) buildRelays() error {
	for _, a := range p.gateways {
		for _, b := range p.gateways {
			if a == b {
				continue
			}
			r, err := newRelay(b.clusterAddr, p.plot.Seed)
			if err != nil {
				return err
			}
			p.relays[a.name+">"+b.name] = r
		}
	}
	return nil
}

// operatorFile returns the operator's file of a gateway. The other members' addresses in it are those of relays.
func (p *plotRun) operatorFile(g *gatewayProcess) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet {\n  name: %q listen: %q key_env: \"FLEET_KEY\" folder: %q\n", g.name, g.clusterAddr, g.folder)
	for _, m := range p.gateways {
		addr := m.clusterAddr
		if m != g {
			addr = p.relays[g.name+">"+m.name].addr
		}
		fmt.Fprintf(&b, "  member { name: %q address: %q }\n", m.name, addr)
	}
	if p.notices.replicated && !p.runsFormer(g) {
		b.WriteString("  replicate {}\n")
	}
	fmt.Fprintf(&b, "  work { lease: %q at_once: %d }\n}\n", lease, maxOut)
	return b.String()
}

// runsFormer reports whether a gateway runs the program of the former version.
func (p *plotRun) runsFormer(g *gatewayProcess) bool {
	return p.plot.FormerProgram != "" && slices.Index(p.gateways, g)%2 == 1
}

// startGateway starts the process of the i-th gateway, and the goroutine that sends it list updates.
func (p *plotRun) startGateway(ctx context.Context, i int, g *gatewayProcess, known json.RawMessage) (err error) {
	path := filepath.Join(p.dir, g.name+".textproto")
	if err := os.WriteFile(path, []byte(p.operatorFile(g)), 0o600); err != nil {
		return err
	}
	program := p.program
	if p.runsFormer(g) {
		program = p.plot.FormerProgram
	}
	g.testbed, err = testbed.StartWithStores(ctx, testbed.Config{Program: program, Pin: -1, Seed: fmt.Sprintf("%016x", p.plot.Seed<<8+uint64(i)+1), Replay: true, Host: g.host,
		Args: []string{"serve", "--operator", path},
		Env:  []string{"FLEET_KEY=" + hex.EncodeToString(clusterKey), "LARCHUSHER_LAB_CLOCK=" + g.clockFile, "GOMAXPROCS=2"}}, gatewaySettings(g.zone, len(p.gateways), i), known)
	if err != nil {
		return err
	}
	g.up = true
	g.updates = make(chan listUpdate, 256)
	go g.publishUpdates()
	g.clients = &clientLoad{addr: g.testbed.Addr, interval: 12 * time.Millisecond, class: "images"}
	return nil
}
