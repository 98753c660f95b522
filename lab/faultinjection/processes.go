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

type process struct {
	name    string
	zone    string
	host    string
	link    string
	folder  string
	clock   string
	world   *testbed.Gateway
	clients *clients
	news    chan piece
	mu      sync.Mutex
	pos     int  // of the latest thing that its journal service told
	up      bool // it runs, and is not stopped
}

func (g *process) is() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.up
}

func (g *process) set(up bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.up = up
}

// settings are those of a small installation with two zones at one hub.
func settings(zone string, n, me int) json.RawMessage {
	counts := []int{0, (n + 1) / 2, n / 2}
	s := strings.NewReplacer(`"balancers":2,"position":0`, fmt.Sprintf(`"balancers":%d,"position":%d`, n, me),
		`"dcs":["north","edge-1"],"zone":"edge-1"`, fmt.Sprintf(`"dcs":["north","edge-0","edge-1"],"zone":%q`, zone),
		`"countByZone":[0,2],"homeHub":[0,0]`, fmt.Sprintf(`"countByZone":[%d,%d,%d],"homeHub":[0,0,0]`, counts[0], counts[1], counts[2]),
		`"hardLimitMs":5000`, `"hardLimitMs":1500`, `"hardLimitMs":2500`, `"hardLimitMs":1500`, `"hardLimitMs":3000`, `"hardLimitMs":1500`,
		`"weightSource":"off"`, `"weightSource":"nominal"`, `"rampTimeMs":17000`, fmt.Sprintf(`"rampTimeMs":%d`, ramp.Milliseconds()),
		`"parentColdMs":22000`, fmt.Sprintf(`"parentColdMs":%d`, ramp.Milliseconds()), `"stopSendingWithinMs":2000`, `"stopSendingWithinMs":500`,
		`"fields":["busy_reqs","x1","x0"]`, `"fields":["cpu_share","x1","x0"]`, `"peerMessages":true`, `"peerMessages":false`).Replace(testbed.Settings)
	return json.RawMessage(s)
}

// piece is what a journal service is to tell of the list at a time.
type piece struct {
	at   time.Time
	host string
}

// journal tells a gateway's journal service what there is of the list, in order.
func (g *process) journal() {
	for n := range g.news {
		time.Sleep(time.Until(n.at))
		g.tell(func(pos int) string {
			return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, pos, n.host)
		})
	}
}

// tell has the journal service tell something now.
func (g *process) tell(text func(pos int) string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pos = max(2, g.pos+1)
	g.world.Journal.Publish(g.pos, text(g.pos))
}

// build makes the machines, the processes and the relays between them, and starts the processes.
func (p *play) build(ctx context.Context) error {
	if err := p.buildMachines(); err != nil {
		return err
	}
	var hosts []string
	for _, name := range p.names {
		hosts = append(hosts, p.machines[name].host("SERVING"))
	}
	known := json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` + strings.Join(hosts, ",") + `]}}]}`)
	for i := range p.plot.Gateways {
		host := p.address(i + 1)
		link, err := testbed.FreeAddrOn(host)
		if err != nil {
			return err
		}
		name := gateway(i)
		p.gateways = append(p.gateways, &process{name: name, host: host, zone: "edge-" + strconv.Itoa(i%2), link: link, folder: filepath.Join(p.dir, name), clock: filepath.Join(p.dir, name+".clock")})
	}
	if err := p.buildRelays(); err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make([]error, len(p.gateways))
	for i, g := range p.gateways {
		all.Go(func() { errs[i] = p.launch(ctx, i, g, known) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// address is one of the plot's own on loopback: at 127.0.0.1 the system gives the port of a store that is down to a connection that goes out.
func (p *play) address(last int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%100, p.plot.Seed%250, last)
}

// buildMachines starts the boxes of two zones, two parents and the origin.
func (p *play) buildMachines() error {
	for z := range 2 {
		for i := range p.plot.Boxes {
			if err := p.addMachine(box(z, i), "box", "edge-"+strconv.Itoa(z)); err != nil {
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

func (p *play) addMachine(name, kind, zone string) error {
	s, err := fakeserver.NewStore(name, kind, p.address(200)+":0")
	if err != nil {
		return err
	}
	s.CountOnly = true
	m := &machine{name: name, kind: kind, zone: zone, addr: s.Addr, store: s, faults: p.faults}
	s.SetHandler(func(a *fakeserver.Request) { p.answer(m, a) })
	p.machines[name] = m
	p.names = append(p.names, name)
	return nil
}

// buildRelays puts a relay between any two gateways, one for each way.
func (p *play) buildRelays() error {
	for _, a := range p.gateways {
		for _, b := range p.gateways {
			if a == b {
				continue
			}
			r, err := newRelay(b.link, p.plot.Seed)
			if err != nil {
				return err
			}
			p.relays[a.name+">"+b.name] = r
		}
	}
	return nil
}

// operator is the operator's file of a gateway.
func (p *play) operator(g *process) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet {\n  name: %q listen: %q key_env: \"FLEET_KEY\" folder: %q\n", g.name, g.link, g.folder)
	for _, m := range p.gateways {
		addr := m.link
		if m != g {
			addr = p.relays[g.name+">"+m.name].addr
		}
		fmt.Fprintf(&b, "  member { name: %q address: %q }\n", m.name, addr)
	}
	if p.ledger.shared && !p.former(g) {
		b.WriteString("  replicate {}\n")
	}
	fmt.Fprintf(&b, "  work { lease: %q at_once: %d }\n}\n", lease, atOnce)
	return b.String()
}

// former says that a gateway is of the former version.
func (p *play) former(g *process) bool {
	return p.plot.Former != "" && slices.Index(p.gateways, g)%2 == 1
}

func (p *play) launch(ctx context.Context, i int, g *process, known json.RawMessage) (err error) {
	path := filepath.Join(p.dir, g.name+".textproto")
	if err := os.WriteFile(path, []byte(p.operator(g)), 0o600); err != nil {
		return err
	}
	program := p.program
	if p.former(g) {
		program = p.plot.Former
	}
	g.world, err = testbed.StartWithStores(ctx, testbed.Config{Program: program, Pin: -1, Seed: fmt.Sprintf("%016x", p.plot.Seed<<8+uint64(i)+1), Replay: true, Host: g.host,
		Args: []string{"serve", "--operator", path},
		Env:  []string{"FLEET_KEY=" + hex.EncodeToString(key), "LARCHUSHER_LAB_CLOCK=" + g.clock, "GOMAXPROCS=2"}}, settings(g.zone, len(p.gateways), i), known)
	if err != nil {
		return err
	}
	g.up = true
	g.news = make(chan piece, 256)
	go g.journal()
	g.clients = &clients{addr: g.world.Addr, every: 12 * time.Millisecond, class: "images"}
	return nil
}
