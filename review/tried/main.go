//go:build review

// Trials of the review that are no cases, by the name in MODE. REPORT.md says what each showed.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"larchusher/review/rig"
)

const (
	lateFor   = 500 * time.Millisecond  // by how much an answer may come after its time
	killAfter = 3700 * time.Millisecond // from SIGTERM, in an upgrade
)

// trial is one run.
type trial struct {
	*rig.Case
	d    *rig.Deployment
	old  *rig.Process
	k    *rig.Client
	sent []*rig.Request

	mu    sync.Mutex
	sends map[string]int // by txn: how often a store got it
}

func main() {
	t := &trial{Case: rig.NewCase(os.Args[1], 115*time.Second), sends: map[string]int{}}
	t.d = t.NewDeployment(4)
	modes := map[string]func(){
		"keyed": t.keyed, "reloads": t.reloads, "effect": t.effect, "drain": t.drain, "kill-new": t.killNew,
		"reload-in-handover": t.reloadInHandover, "settings": t.settings, "slow-journal": t.slowJournal, "crowd": t.crowd,
	}
	run := modes[os.Getenv("MODE")]
	if run == nil {
		t.Fail("MODE names no trial")
	}
	for _, s := range t.d.Stores {
		s.Handle(t.answer)
	}
	run()
	for _, q := range t.sent {
		t.CheckAnswered(q, lateFor)
		t.mu.Lock()
		if q.Answers > 1 {
			t.Break("%s %s has got %d answers", q.Class, q.Txn, q.Answers)
		}
		if n := t.sends[q.Txn]; q.Class == "orders" && n > 1 {
			t.Log("%s %s was sent %d times", q.Class, q.Txn, n)
		}
		t.mu.Unlock()
	}
	t.Finish()
}

// answer answers orders after 1.5 s, requests of the class swing after 0.9 s with an error, and others soon.
func (t *trial) answer(a *rig.Ask) {
	t.mu.Lock()
	t.sends[a.ID]++
	t.mu.Unlock()
	switch a.Fields["lane"] {
	case "orders":
		time.Sleep(1500 * time.Millisecond)
	case "swing":
		time.Sleep(900 * time.Millisecond)
		a.Answer("BROKE", "-", "")
		return
	default:
		time.Sleep(time.Duration(20+rand.IntN(200)) * time.Millisecond)
	}
	a.Done(20_000)
}

// start starts the gateway and connects a client.
func (t *trial) start() {
	t.old = t.StartGateway("old", t.d.Config, t.d.Tmp)
	t.old.AwaitReady(30 * time.Second)
	t.k = t.Connect("client", t.d.Listen, 0)
	t.k.Alive()
	<-t.ask("images", 2500*time.Millisecond).Done
}

// upgrade sends SIGTERM to the old process.
func (t *trial) upgrade() {
	t.old.Signal(syscall.SIGTERM)
	t.old.KillAfter(killAfter)
}

func (t *trial) ask(class string, limit time.Duration) *rig.Request {
	var more []string
	if class == "orders" {
		more = []string{"unique", rig.Hex(16)}
	}
	q := t.k.Send(class, rig.Hex(8), limit, "", more...)
	t.sent = append(t.sent, q)
	return q
}

// withClass returns the settings with one more class.
func withClass(name, effect string, limitMs float64) map[string]any {
	return rig.Settings(func(s map[string]any) {
		s["classes"] = append(s["classes"].([]any), map[string]any{"name": name, "aimMs": 400.0, "aimStretch": 2.0, "hardLimitMs": limitMs,
			"effect": effect, "dedupScope": "all", "repeatWindowMs": 3000.0, "value": 1.0, "lateWorth": 0.2, "streaming": false})
	})
}

// keyed has ten orders out while a new version takes over.
func (t *trial) keyed() {
	t.start()
	t.StartGateway("new", t.d.Config, t.d.Tmp).AwaitReady(6 * time.Second)
	for range 10 {
		t.ask("orders", 3*time.Second)
	}
	time.Sleep(700 * time.Millisecond)
	t.upgrade()
	for range 15 {
		time.Sleep(200 * time.Millisecond)
		t.ask("images", 2500*time.Millisecond)
	}
}

// reloads sends SIGHUP many times in a row, and once in the moment of SIGTERM.
func (t *trial) reloads() {
	t.start()
	time.Sleep(1200 * time.Millisecond)
	for i := range 40 {
		t.d.WriteConfig(rig.Settings(nil))
		if i%2 == 0 {
			t.d.WriteConfig(withClass("extra"+strconv.Itoa(i%4), "once", 2500))
		}
		t.old.Signal(syscall.SIGHUP)
		t.ask("images", 2500*time.Millisecond)
		if i%8 == 0 {
			t.ask("orders", 3*time.Second)
		}
		time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	}
	t.old.Signal(syscall.SIGHUP)
	t.upgrade()
	for range 5 {
		t.ask("images", 1500*time.Millisecond)
		time.Sleep(80 * time.Millisecond)
	}
}

// effect drops a class while requests of it are out, and brings it back as one that may run once only.
func (t *trial) effect() {
	t.d.WriteConfig(withClass("swing", "repeatable", 5000))
	t.start()
	time.Sleep(1200 * time.Millisecond)
	t.ask("swing", 5*time.Second)
	time.Sleep(100 * time.Millisecond)
	t.d.WriteConfig(rig.Settings(nil))
	t.old.Signal(syscall.SIGHUP)
	time.Sleep(300 * time.Millisecond)
	t.d.WriteConfig(withClass("swing", "once", 5000))
	t.old.Signal(syscall.SIGHUP)
	time.Sleep(1300 * time.Millisecond)
	for range 2 {
		q := t.ask("swing", 5*time.Second)
		<-q.Done
		if t.sends[q.Txn] != 1 || q.Error == "Backoff" {
			t.Break("a request that may run once only was sent %d times, and answered %q after an error", t.sends[q.Txn], q.Error)
		}
	}
}

// countLate makes c1 count what it gets later than a time after told.
func (t *trial) countLate(told *time.Time, grace time.Duration) *int {
	late := new(int)
	t.d.Stores["c1"].Handle(func(a *rig.Ask) {
		if !told.IsZero() && a.At.Sub(*told) > grace {
			*late++
		}
		t.answer(a)
	})
	return late
}

func (t *trial) publishDrain() time.Time {
	return t.d.Journal.Publish("hosts", map[string]any{"index": 2, "snapshot": false, "endpoints": []any{t.d.Host("c1", "DRAINING")}})
}

// drain has a store drain while the state is handed over.
func (t *trial) drain() {
	var told time.Time
	late := t.countLate(&told, 2050*time.Millisecond)
	t.start()
	next := t.StartGateway("new", t.d.Config, t.d.Tmp)
	time.Sleep(time.Duration(rand.IntN(250)) * time.Millisecond)
	told = t.publishDrain()
	next.AwaitReady(6 * time.Second)
	t.upgrade()
	for range 40 {
		time.Sleep(100 * time.Millisecond)
		t.ask("images", 2500*time.Millisecond)
	}
	if *late > 0 {
		t.Break("%d requests were sent to c1 too late", *late)
	}
}

// killNew kills the new process after its yes.
func (t *trial) killNew() {
	t.start()
	next := t.StartGateway("new", t.d.Config, t.d.Tmp)
	next.AwaitReady(6 * time.Second)
	next.Kill()
	for i := range 30 {
		time.Sleep(50 * time.Millisecond)
		t.ask("images", 2500*time.Millisecond)
		if i%10 == 5 {
			t.k = t.Connect("client", t.d.Listen, 0)
		}
	}
}

// purged has the stores answer from a copy of an object that is older than a purge, where the gateway allows it, and
// counts such answers from binding on.
type purged struct {
	mu         sync.Mutex
	object     string
	dated      time.Time
	at, binds  time.Time // zero: not yet
	staleCount int
}

func (t *trial) holdOldCopies() *purged {
	p := &purged{object: rig.Hex(8), dated: time.Now().Add(-time.Minute)}
	for _, s := range t.d.Stores {
		s.Handle(func(a *rig.Ask) {
			dated := p.dated
			if ms, _ := strconv.Atoi(a.Fields["accept"]); ms > 0 && a.At.Sub(dated) > time.Duration(ms)*time.Millisecond {
				dated = time.Now()
			}
			p.mu.Lock()
			if a.Fields["name"] == p.object && !p.binds.IsZero() && a.At.After(p.binds) && a.At.Sub(p.at) < 6*time.Second && dated.Before(p.at) {
				p.staleCount++
			}
			p.mu.Unlock()
			a.Answer("DONE", "why=warm,digest=t1,dated="+strconv.FormatInt(dated.UnixMilli(), 10)+",rep=inflight:1;x1:0.2;x0:0.9",
				rig.Content(a.Fields["name"], "3", 9000))
		})
	}
	return p
}

// askPurged purges the object, starts a new version, and asks for the object until copies would have settled. A purge
// binds 1 s after it was told, and for a new version not before 2 s after its yes.
func (t *trial) askPurged(p *purged, prepare func(), during func()) {
	p.at = t.d.Journal.Publish("expire", map[string]any{"name": p.object, "stamp": time.Now().UnixMilli()})
	time.Sleep(200 * time.Millisecond)
	prepare()
	next := t.StartGateway("new", t.d.Config, t.d.Tmp)
	during()
	next.AwaitReady(6 * time.Second)
	yes := time.Now()
	time.Sleep(200 * time.Millisecond)
	t.upgrade()
	p.mu.Lock()
	p.binds = p.at.Add(1050 * time.Millisecond)
	if b := yes.Add(2050 * time.Millisecond); b.After(p.binds) {
		p.binds = b
	}
	p.mu.Unlock()
	for time.Since(p.at) < 5800*time.Millisecond {
		time.Sleep(100 * time.Millisecond)
		<-t.k.Send("images", p.object, 2500*time.Millisecond, "").Done
	}
	if p.staleCount > 0 {
		t.Break("%d requests were answered from a copy older than the purge", p.staleCount)
	}
}

// reloadInHandover replaces the file, starts a new version, and sends the old process SIGHUP after WAIT ms.
func (t *trial) reloadInHandover() {
	p := t.holdOldCopies()
	t.start()
	time.Sleep(1200 * time.Millisecond)
	t.askPurged(p, func() { t.d.WriteConfig(withClass("extra", "repeatable", 2500)) }, func() {
		ms, _ := strconv.Atoi(os.Getenv("WAIT"))
		time.Sleep(time.Duration(ms) * time.Millisecond)
		t.old.Signal(syscall.SIGHUP)
	})
}

// settings changes a setting that needs a restart by SIGHUP, and starts a new version later.
func (t *trial) settings() {
	p := t.holdOldCopies()
	t.start()
	time.Sleep(1200 * time.Millisecond)
	t.d.WriteConfig(rig.Settings(func(s map[string]any) { s["limits"].(map[string]any)["maxRetryAfterMs"] = 1000 }))
	t.old.Signal(syscall.SIGHUP)
	time.Sleep(2 * time.Second)
	t.askPurged(p, func() {}, func() {})
}

// slowJournal has the journal service take 3 s to begin each answer, while a store drains.
func (t *trial) slowJournal() {
	if t.Trouble {
		t.d.Journal.SetDelay(3 * time.Second)
	}
	var told time.Time
	late := t.countLate(&told, 9050*time.Millisecond) // told 7 s later at the latest, and 2 s
	t.start()
	told = t.publishDrain()
	for time.Since(told) < 15*time.Second {
		<-t.ask("images", 2500*time.Millisecond).Done
		time.Sleep(50 * time.Millisecond)
	}
	if *late > 0 {
		t.Break("%d requests were sent to c1 later than 9 s after its drain was in the journal service", *late)
	}
}

// crowd has clients stop within a request, and records the most memory that the gateway takes.
func (t *trial) crowd() {
	limit := 64
	if n, err := strconv.Atoi(os.Getenv("MEMORY")); err == nil {
		limit = n
	}
	t.d.Limits = map[string]any{"cores": 1, "memory_mb": limit, "sockets": 1024}
	t.d.WriteConfig(rig.Settings(nil))
	t.start()
	part := append([]byte{0x94, 0, 1, 0xa6}, "orders"...)
	part = append(append(part, 0x92, 0x80, 0xc6, 0, 0, 0xbb, 0x80), make([]byte, 47_000)...) // of 48,000
	stop := time.Now().Add(8 * time.Second)
	for i := range 900 {
		go func() {
			time.Sleep(time.Duration(i) * time.Millisecond)
			for t.Trouble && time.Now().Before(stop) {
				conn, err := net.Dial("tcp", t.d.Listen)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				_, _ = conn.Write(part)
				_ = conn.SetReadDeadline(stop)
				_, _ = conn.Read(make([]byte, 100))
				_ = conn.Close()
			}
		}()
	}
	peak := 0
	for time.Now().Before(stop) {
		peak = max(peak, t.old.ResidentKB())
		time.Sleep(20 * time.Millisecond)
	}
	t.Log("most memory: %d kB of %d kB", peak, limit<<10)
	if peak > limit<<10 {
		t.Break("the gateway takes %d kB; its limit is %d kB, over which it is killed", peak, limit<<10)
	}
	fmt.Printf("most memory %d kB of %d kB\n", peak, limit<<10)
}
