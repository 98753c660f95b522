package test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/crowd"
	"larchusher/lab/fakeserver"
	"larchusher/lab/testbed"
)

const (
	soakTime        = 11 * time.Second        // in which clients send
	soakGateways    = 2                       // in one run
	soakClients     = 6                       // well-behaved ones of each gateway
	killAfterTerm   = 3700 * time.Millisecond // the page's earliest: 3 s, the longest deadline that counts, and 0.7 s
	restartPause    = time.Second             // between a kill and the next start
	drainTime       = 2 * time.Second         // after which nothing may be sent to a draining store
	socketSlack     = 50 * time.Millisecond   // by which time limits on sockets are longer
	smallMemoryMB   = 32                      // at which no second process is started beside the first
	dedupWindow     = 3 * time.Second
	startTimeLimit  = 6 * time.Second
	memorySampling  = 10 * time.Millisecond
	defaultSoakRuns = 5
)

// Guards against faults that overlap: crowds and floods, kills in series, restarts and upgrades, drains, and new stores at old
// addresses. The judges are the records of clients and stores, and the resident memory. SOAK_SEED is the first seed, 1 by default,
// SOAK_RUNS the number of seeds, and SOAK_PARALLEL how many are played at once.
func TestSoak(t *testing.T) {
	first, runs := envNumber(t, "SOAK_SEED", 1), envNumber(t, "SOAK_RUNS", defaultSoakRuns)
	slots := make(chan struct{}, envNumber(t, "SOAK_PARALLEL", 1))
	t.Run("seeds", func(t *testing.T) {
		for seed := first; seed < first+runs; seed++ {
			t.Run(strconv.Itoa(seed), func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				newSoak(t, uint64(seed)).play()
			})
		}
	})
}

// envNumber returns the number in an environment variable, or a default if it is not set.
func envNumber(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 {
		t.Fatalf("%s=%q is not a number of 1 or more", name, text)
	}
	return n
}

// soak is one run.
type soak struct {
	t        *testing.T
	random   *rand.Rand
	seed     uint64
	start    time.Time
	limits   crowdLimits
	stores   *soakStores
	gateways []*soakGateway
}

// newSoak starts the stores and the gateways of a run.
func newSoak(t *testing.T, seed uint64) *soak {
	s := &soak{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 51)), start: time.Now()}
	s.limits = crowdLimits{memoryMB: []int{32, 64, 96, 192}[s.random.IntN(4)], sockets: []int{512, 1024}[s.random.IntN(2)]}
	s.stores = newSoakStores(t, s.random)
	for i := range soakGateways {
		g := &soakGateway{soak: s, index: i, random: rand.New(rand.NewPCG(seed, uint64(100+i)))}
		r := newRigWithStores(t, s.stores.current()).withSharedTempDir()
		r.config["name"] = fmt.Sprintf("n%d", i)
		r.config["settings"] = settingsWithTrades()
		r.config["limits"] = map[string]any{"cores": 1, "memory_mb": s.limits.memoryMB, "sockets": s.limits.sockets}
		r.journal.EnableReplay()
		s.stores.journals = append(s.stores.journals, r.journal)
		g.rig = r.start()
		s.gateways = append(s.gateways, g)
	}
	return s
}

// play plays the run and judges it.
func (s *soak) play() {
	stop := make(chan struct{})
	sampled := make(chan struct{})
	var playing, sending, sampling sync.WaitGroup
	for _, g := range s.gateways {
		for i := range soakClients {
			c := &soakClient{addr: g.rig.addr, interval: time.Duration(50+g.random.IntN(80)) * time.Millisecond,
				random: rand.New(rand.NewPCG(s.seed, uint64(1000*g.index+i))), prefix: uint32(s.seed)<<16 | uint32(g.index)<<8 | uint32(i)}
			g.clients = append(g.clients, c)
			sending.Go(func() { c.run(stop) })
		}
		sampling.Go(func() { g.sampleMemory(sampled) })
		playing.Go(g.play)
	}
	playing.Go(func() { s.stores.play(s) })
	playing.Go(s.playCrowd)
	time.Sleep(time.Until(s.start.Add(soakTime)))
	playing.Wait()
	close(stop)
	sending.Wait()
	close(sampled)
	sampling.Wait() // before the processes are stopped at the end of the test
	s.judge()
}

// at waits until a time of the run.
func (s *soak) at(d time.Duration) { time.Sleep(time.Until(s.start.Add(d))) }

// seconds formats a time as seconds of the run.
func (s *soak) seconds(at time.Time) string { return fmt.Sprintf("%.3f", at.Sub(s.start).Seconds()) }

// playCrowd plays a crowd beside the clients of one gateway, in two of three runs.
func (s *soak) playCrowd() {
	all := []crowd.Behavior{crowd.Halfway, crowd.Trickle, crowd.ManyFields, crowd.Unread, crowd.UnreadObject, crowd.Unsound, crowd.Sound,
		crowd.UnknownClass, crowd.Cancels, crowd.Reconnect}
	random := rand.New(rand.NewPCG(s.seed, 7))
	behavior, g := all[random.IntN(len(all))], s.gateways[random.IntN(len(s.gateways))]
	clients := 1 + random.IntN(s.limits.sockets/3)
	begin := time.Duration(500+random.IntN(3000)) * time.Millisecond
	length := time.Duration(2000+random.IntN(4000)) * time.Millisecond
	if random.IntN(3) == 0 {
		return
	}
	s.t.Logf("crowd: %d %s at gateway %d from %v for %v", clients, behavior, g.index, begin, length)
	s.at(begin)
	p, err := crowd.StartProcess(os.Args[0], crowd.Spec{Addr: g.rig.addr, Behavior: behavior, Clients: clients, Seed: s.seed})
	if err != nil {
		s.t.Error(err)
		return
	}
	time.Sleep(length)
	if _, err := p.Stop(); err != nil {
		s.t.Error(err)
	}
}

// soakStores are the stores of a run, with those that came and went.
type soakStores struct {
	t        *testing.T
	random   *rand.Rand
	journals []*journal

	mu       sync.Mutex
	position int
	listed   map[string]*soakStore // by name
	all      []*soakStore
}

// soakStore is one process of a store.
type soakStore struct {
	*store
	startedAtMs int64
	status      string
	drainedAt   time.Time // when its drain was published; zero: it was not
}

func newSoakStores(t *testing.T, random *rand.Rand) *soakStores {
	s := &soakStores{t: t, random: random, position: 1, listed: map[string]*soakStore{}}
	for name, kind := range map[string]string{"c1": "box", "c2": "box", "c3": "box", "p": "parent", "o": "origin"} {
		s.add(name, kind, fakeserver.Loopback, 0)
	}
	return s
}

// add starts a store process.
func (s *soakStores) add(name, kind, addr string, startedAtMs int64) {
	process, err := fakeserver.NewStore(name, kind, addr)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.t.Cleanup(process.Close)
	process.SetHandler(func(a *storeRequest) {
		latency := time.Duration(2+len(a.ID)%7+int(a.At.UnixMicro()%20)) * time.Millisecond
		time.AfterFunc(latency, func() {
			switch lane := a.Fields["lane"]; {
			case lane != "orders" && lane != "trades":
				serveHit(a)
			case strings.HasSuffix(a.ID, "3"): // one in 16 runs, and ends in an error
				a.Reply("BROKE", "-", "")
			default:
				a.Serve("warm", "done")
			}
		})
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	added := &soakStore{store: process, startedAtMs: startedAtMs, status: "SERVING"}
	s.listed[name] = added
	s.all = append(s.all, added)
}

// current returns the store processes on the list, by name.
func (s *soakStores) current() map[string]*store {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := map[string]*store{}
	for name, process := range s.listed {
		all[name] = process.store
	}
	return all
}

// encode encodes a store as an endpoint of an event. The caller holds the mutex.
func (s *soakStores) encode(process *soakStore) string {
	return strings.Replace(testbed.EndpointJSON(process.store, process.status), `"since_ms":0`, fmt.Sprintf(`"since_ms":%d`, process.startedAtMs), 1)
}

// known returns the list as a configuration file has it at a start.
func (s *soakStores) known() json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	var hosts []string
	for _, process := range s.listed {
		hosts = append(hosts, s.encode(process))
	}
	slices.Sort(hosts)
	return json.RawMessage(fmt.Sprintf(`{"pos":%d,"entries":[{"pos":%d,"hosts":{"index":%d,"snapshot":true,"endpoints":[%s]}}]}`,
		s.position, s.position, s.position, strings.Join(hosts, ",")))
}

// publish tells all gateways of a store's status.
func (s *soakStores) publish(name, status string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	process := s.listed[name]
	process.status = status
	s.position++
	event := fmt.Sprintf(`"hosts":{"index":%d,"snapshot":false,"endpoints":[%s]}`, s.position, s.encode(process))
	if status == "DRAINING" {
		process.drainedAt = time.Now()
	}
	if status == "DELETED" {
		delete(s.listed, name)
	}
	for _, j := range s.journals {
		j.Publish(s.position, event)
	}
}

// play drains a store twice, ends it, and starts another one at its address, before or after the former one leaves the list.
func (s *soakStores) play(run *soak) {
	names := []string{"c1", "c2", "c3"}
	for round := range 2 {
		name := names[s.random.IntN(len(names))]
		run.at(time.Duration(1000+round*4500+s.random.IntN(1000)) * time.Millisecond)
		s.mu.Lock()
		former := s.listed[name]
		s.mu.Unlock()
		s.publish(name, "DRAINING")
		time.Sleep(drainTime + 300*time.Millisecond)
		former.Close()
		later := s.random.IntN(2) == 0
		if !later {
			s.publish(name, "DELETED")
		}
		next := fmt.Sprintf("%s-%d", name, round)
		s.add(next, "box", former.Addr, time.Now().UnixMilli())
		s.publish(next, "SERVING")
		if later {
			time.Sleep(200 * time.Millisecond)
			s.publish(name, "DELETED")
		}
		names[slices.Index(names, name)] = next
	}
}

// soakGateway is one gateway of a run.
type soakGateway struct {
	soak    *soak
	index   int
	random  *rand.Rand
	clients []*soakClient

	mu      sync.Mutex
	rig     *rig        // the process that serves
	old     *rig        // its predecessor during an upgrade; nil: none
	kills   []time.Time // SIGKILLs without a SIGTERM before
	peakKB  int
	planned bool // the process is to end now
}

// play plays a series of kills, a restart, or upgrades, one after the other.
func (g *soakGateway) play() {
	g.soak.at(time.Duration(500+g.random.IntN(2500)) * time.Millisecond)
	const kinds = 3
	switch kind := g.random.IntN(kinds); {
	case kind == 0:
		g.killTwice()
	case kind == 1 || g.soak.limits.memoryMB <= smallMemoryMB:
		g.restart()
	default:
		for range 1 + g.random.IntN(2) {
			g.upgrade()
		}
	}
}

// killTwice kills the process, and once more soon after its next start.
func (g *soakGateway) killTwice() {
	for range 2 {
		g.soak.t.Logf("gateway %d: SIGKILL at %s", g.index, g.soak.seconds(time.Now()))
		g.kill()
		time.Sleep(restartPause)
		g.startAgain()
		time.Sleep(time.Duration(400+g.random.IntN(300)) * time.Millisecond)
	}
}

// kill ends the process without a warning.
func (g *soakGateway) kill() {
	g.mu.Lock()
	g.kills = append(g.kills, time.Now())
	g.planned = true
	g.mu.Unlock()
	_ = g.rig.cmd.Process.Kill()
	g.logExit(<-g.rig.exited)
}

// logExit logs how a process ended that was killed.
func (g *soakGateway) logExit(err error) { g.soak.t.Logf("gateway %d: ended with %v", g.index, err) }

// restart ends the process with SIGTERM, and kills it if it takes longer than the platform allows.
func (g *soakGateway) restart() {
	g.soak.t.Logf("gateway %d: SIGTERM at %s", g.index, g.soak.seconds(time.Now()))
	g.mu.Lock()
	g.planned = true
	g.mu.Unlock()
	g.endWithTerm(g.rig)
	time.Sleep(restartPause)
	g.startAgain()
}

// endWithTerm sends SIGTERM, and SIGKILL when the platform does.
func (g *soakGateway) endWithTerm(r *rig) {
	_ = r.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-r.exited:
		if err != nil {
			g.soak.t.Errorf("gateway %d exited with %v after SIGTERM, want status 0", g.index, err)
		}
	case <-time.After(killAfterTerm):
		_ = r.cmd.Process.Kill()
		g.logExit(<-r.exited)
	}
}

// startAgain starts the process with the list as it is now.
func (g *soakGateway) startAgain() {
	begun := time.Now()
	next := *g.rig
	next.config["known"] = g.soak.stores.known()
	next.writeConfig()
	next.startProcess()
	next.waitForLog("msg=serving")
	if took := time.Since(begun); took > startTimeLimit {
		g.soak.t.Errorf("gateway %d served %v after its start, want at most %v", g.index, took, startTimeLimit)
	}
	g.mu.Lock()
	g.rig, g.planned = &next, false
	g.mu.Unlock()
}

// upgrade starts a successor and ends the process that serves.
func (g *soakGateway) upgrade() {
	g.rig.config["known"] = g.soak.stores.known()
	g.rig.writeConfig()
	second, _ := g.rig.startSuccessor()
	g.soak.t.Logf("gateway %d: SIGTERM at %s, its successor is ready", g.index, g.soak.seconds(time.Now()))
	g.mu.Lock()
	old := g.rig
	g.rig, g.old = second, old
	g.mu.Unlock()
	g.endWithTerm(old)
	g.mu.Lock()
	g.old = nil
	g.mu.Unlock()
}

// sampleMemory records the most resident memory of the gateway's processes together, and fails the test if one has ended that was
// not to.
func (g *soakGateway) sampleMemory(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(memorySampling):
		}
		g.mu.Lock()
		serving, old, planned := g.rig, g.old, g.planned
		g.mu.Unlock()
		kb := serving.residentKB()
		if old != nil {
			kb += old.residentKB()
		}
		g.mu.Lock()
		g.peakKB = max(g.peakKB, kb)
		unchanged := g.rig == serving && g.planned == planned
		g.mu.Unlock()
		if unchanged && !planned && serving.residentKB() == 0 {
			g.soak.t.Errorf("gateway %d: a process ended by itself at %s", g.index, g.soak.seconds(time.Now()))
			return
		}
	}
}

// judge compares the records of stores and clients with the rules.
func (s *soak) judge() {
	for _, g := range s.gateways {
		g.mu.Lock()
		s.t.Logf("gateway %d at %v: peak %.1f MB", g.index, s.limits, float64(g.peakKB)/1024)
		if g.peakKB > s.limits.memoryMB<<10 {
			s.t.Errorf("gateway %d had %d kB resident, want at most %d MB", g.index, g.peakKB, s.limits.memoryMB)
		}
		g.mu.Unlock()
		g.judgeClients()
	}
	s.stores.judge(s)
	s.judgeRefusals()
}

// judgeRefusals checks that an order or a trade that was refused, so that its client may send it again at any time, came to no store.
func (s *soak) judgeRefusals() {
	received := s.stores.receivedIDs()
	for _, g := range s.gateways {
		for _, c := range g.clients {
			c.mu.Lock()
			for _, r := range c.all {
				repeatable := r.class.name == "images" || r.class.name == "films"
				if !repeatable && r.err == rpc.Backoff && received[r.message.Txn] {
					s.t.Errorf("gateway %d: %s %s, sent at %s, was refused, but came to a store", g.index, r.class.name, r.message.Txn, s.seconds(r.sentAt))
				}
			}
			c.mu.Unlock()
		}
	}
}

// receivedIDs returns the ids of all requests that came to a store.
func (s *soakStores) receivedIDs() map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := map[string]bool{}
	for _, process := range s.all {
		process.Lock()
		for _, a := range process.Requests {
			ids[a.ID] = true
		}
		process.Unlock()
	}
	return ids
}

// judgeClients checks the one answer to each request.
func (g *soakGateway) judgeClients() {
	sent, served := 0, 0
	for _, c := range g.clients {
		c.mu.Lock()
		for _, r := range c.all {
			if r.resent {
				continue
			}
			sent++
			if r.answers > 0 && r.err == "" {
				served++
			}
			if fault := g.fault(r); fault != "" {
				g.soak.t.Errorf("gateway %d: %s %s, sent at %s with a limit of %v: %s", g.index, r.class.name, r.message.Txn, g.soak.seconds(r.sentAt), r.limit, fault)
			}
		}
		c.mu.Unlock()
	}
	g.soak.t.Logf("gateway %d: %d requests, %d served", g.index, sent, served)
	if served < sent/3 {
		g.soak.t.Errorf("gateway %d served %d of %d requests, want at least a third", g.index, served, sent)
	}
}

// fault says what is wrong with the answers to a request; empty: nothing.
func (g *soakGateway) fault(r *soakRequest) string {
	switch {
	case r.answers > 1:
		return fmt.Sprintf("%d answers", r.answers)
	case r.answers == 1 && r.answeredAt.Sub(r.sentAt) > r.limit+soakSlack:
		return fmt.Sprintf("answered after %v", r.answeredAt.Sub(r.sentAt))
	case r.answers == 1:
		return ""
	}
	for _, at := range g.kills {
		if at.After(r.sentAt.Add(-restartPause)) && at.Before(r.sentAt.Add(r.limit)) {
			return ""
		}
	}
	if r.endedAt.IsZero() {
		return "no answer"
	}
	return "no answer; its connection ended at " + g.soak.seconds(r.endedAt)
}

// judge checks drains and repeats.
func (s *soakStores) judge(run *soak) {
	s.mu.Lock()
	defer s.mu.Unlock()
	first := map[string]time.Time{} // by id
	for _, process := range s.all {
		process.Lock()
		for _, a := range process.Requests {
			if !process.drainedAt.IsZero() && a.At.Sub(process.drainedAt) > drainTime+socketSlack {
				run.t.Errorf("store %s received %s %s %v after its drain was published", process.Name, a.Fields["lane"], a.ID, a.At.Sub(process.drainedAt))
			}
			if source := s.drained(a.Fields["parent"]); source != nil && a.At.Sub(source.drainedAt) > drainTime+socketSlack {
				run.t.Errorf("%s %s names %s as its source %v after its drain was published", a.Fields["lane"], a.ID, source.Name, a.At.Sub(source.drainedAt))
			}
			earliest, seen := first[a.ID]
			if !seen || a.At.Before(earliest) {
				first[a.ID] = a.At
			}
		}
		process.Unlock()
	}
	s.judgeRepeats(run, first)
}

// drained returns the store of a name whose drain was published; nil if there is none.
func (s *soakStores) drained(name string) *soakStore {
	for _, process := range s.all {
		if process.Name == name && !process.drainedAt.IsZero() {
			return process
		}
	}
	return nil
}

// judgeRepeats checks that trades came once, and orders again only while the stores drop repeats. first has the time of the first
// attempt of each request.
func (s *soakStores) judgeRepeats(run *soak, first map[string]time.Time) {
	trades := map[string]int{}
	for _, process := range s.all {
		process.Lock()
		for _, a := range process.Requests {
			switch a.Fields["lane"] {
			case "trades":
				trades[a.ID]++
			case "orders":
				if again := a.At.Sub(first[a.ID]); again > dedupWindow+socketSlack {
					run.t.Errorf("order %s came again after %v", a.ID, again)
				}
			}
		}
		process.Unlock()
	}
	for id, n := range trades {
		if n > 1 {
			run.t.Errorf("trade %s came %d times", id, n)
		}
	}
}
