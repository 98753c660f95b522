//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"larchusher/client/rpc"
)

func init() {
	cases["ids-again"], cases["signed-ids"], cases["handover-cut"], cases["slow-readers"] = idsAgain, signedIDs, handoverCut, slowReaders
}

// upgrade starts a new process beside the old one, and ends the old one as the platform does.
func (g *gateway) upgrade() {
	old, exited := g.cmd, g.exited
	g.console = freeAddr()
	g.start()
	note("gateway %d: SIGTERM, since the new one is ready", old.Process.Pid)
	_ = old.Process.Signal(syscall.SIGTERM)
	select {
	case <-exited:
	case <-time.After(3700 * time.Millisecond):
		_ = old.Process.Kill()
	}
}

// idsAgain is a trial: a request that may run once runs, its client leaves, and its id comes again, with trouble after an upgrade.
func idsAgain() {
	ran := make(chan string, 10)
	s := newScene(func(a *ask) {
		ran <- a.id
		time.Sleep(10 * time.Second)
	})
	once := strings.Replace(settings, `"effect":"by_key"`, `"effect":"once"`, 1)
	g := newGateway(s.journal.addr, s.known)
	g.writeConfig(s.journal.addr, s.known, once)
	g.start()
	send := func() {
		c, err := net.Dial("tcp", g.listen)
		fatal(err)
		fatal(rpc.NewEncoder(c).Request(&rpc.Request{ID: 1, Class: orders, Txn: "9b1f03aa5c7e2d41", Limit: 3 * time.Second, Object: object, Body: []byte("an order")}))
		time.Sleep(300 * time.Millisecond)
		_ = c.Close()
		time.Sleep(200 * time.Millisecond)
	}
	send()
	if trouble {
		g.upgrade()
	}
	send()
	var broken []string
	if len(ran) != 1 {
		broken = append(broken, fmt.Sprintf("a request of effect once ran %d times under one id", len(ran)))
	}
	verdict(broken)
}

// signedIDs is a trial: ids that the signed front draws, with trouble before and after an upgrade.
func signedIDs() {
	seen := map[string]int{}
	ids := make(chan string, 100)
	s := newScene(func(a *ask) {
		ids <- a.id
		after(5 * time.Millisecond)(a)
	})
	g := newGateway(s.journal.addr, s.known)
	g.start()
	token := sign(films, object, time.Now().Add(time.Hour))
	ask := func(n int) {
		for part := range n {
			c := dialHTTP(g.signed)
			c.send("GET", target(films, object, part, token))
			_, _, _ = c.answer("GET", 5*time.Second)
			_ = c.Close()
		}
	}
	ask(5)
	if trouble {
		g.upgrade()
	}
	ask(5)
	close(ids)
	again := 0
	for id := range ids {
		if seen[id]++; seen[id] > 1 {
			again++
		}
	}
	var broken []string
	if again > 0 {
		broken = append(broken, fmt.Sprintf("%d of %d ids are those of earlier requests", again, len(seen)+again))
	}
	verdict(broken)
}

// handoverCut is a trial: a group is purged, a new process is started beside the old one, and with trouble one of the two is killed
// within the hand-over. What is served 2 s after the yes is no copy from before the purge, and each request has its answer.
func handoverCut() {
	var broken []string
	for _, killOld := range []bool{true, false} {
		for _, wait := range []int{0, 20, 50, 100, 150, 200, 250, 300} {
			k := &keptCopies{dated: map[string]time.Time{}, begun: time.Now(), settles: 6 * time.Second}
			s := newScene(k.answer)
			g := newGateway(s.journal.addr, s.known)
			g.start()
			token := sign(films, object, time.Now().Add(time.Hour))
			k.mu.Lock()
			k.purged = time.Now()
			k.mu.Unlock()
			s.journal.publish(2, fmt.Sprintf(`"expire":{"set":17,"stamp":%d}`, k.purged.UnixMilli()))
			time.Sleep(300 * time.Millisecond)
			old, oldExited, console := g.cmd, g.exited, g.console
			g.console = freeAddr()
			g.launch()
			time.Sleep(time.Duration(wait) * time.Millisecond)
			switch {
			case !trouble:
				g.awaitReady()
				_ = old.Process.Signal(syscall.SIGTERM)
			case killOld:
				_ = old.Process.Kill()
				<-oldExited
				g.awaitReady()
			default:
				_ = g.cmd.Process.Kill()
				<-g.exited
				g.cmd, g.exited, g.console = old, oldExited, console
			}
			time.Sleep(time.Until(k.purged.Add(3 * time.Second)))
			for part := range 4 {
				c := dialHTTP(g.signed)
				c.send("GET", target(films, object, part, token))
				status, got, err := c.answer("GET", 5*time.Second)
				_ = c.Close()
				var piece int
				var dated int64
				_, _ = fmt.Sscanf(got, "piece %d dated %d", &piece, &dated)
				if err != nil || status == 200 && dated < k.purged.UnixMilli() {
					broken = append(broken, fmt.Sprintf("old one killed: %v, %d ms after the start of the new one: %v, served from before the purge: %v", killOld, wait, err, status == 200))
				}
			}
			_ = g.cmd.Process.Kill()
			<-g.exited
			_ = old.Process.Kill()
			<-oldExited
		}
	}
	verdict(broken)
}

// slowReaders is a trial: clients of the signed front read large parts at 1 MB a second, with half of the memory and descriptors. With
// trouble there are sixty of them. Each request has a whole answer, and the process stays within its memory.
func slowReaders() {
	const memoryMB = 96
	dated := time.Now().Add(-time.Minute)
	s := newScene(func(a *ask) {
		time.Sleep(50 * time.Millisecond)
		a.done(strings.Repeat("x", 240_000), dated)
	})
	g := newGateway(s.journal.addr, s.known)
	g.limits = map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 512}
	g.writeConfig(s.journal.addr, s.known, settings)
	g.start()
	clients := 2
	if trouble {
		clients = 60
	}
	token := sign(films, object, time.Now().Add(time.Hour))
	stop := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	var lock sync.Mutex
	var broken []string
	served, refused := 0, 0
	for i := range clients {
		wg.Go(func() {
			var c *httpConn
			for part := 0; time.Now().Before(stop); part++ {
				if c == nil {
					c = dialHTTP(g.signed)
					c.r = bufio.NewReaderSize(&slowReader{c.Conn}, 4096)
				}
				c.send("GET", target(films, object, i*1000+part, token))
				status, got, err := c.answer("GET", 8*time.Second)
				lock.Lock()
				switch {
				case err != nil:
					broken = append(broken, fmt.Sprintf("client %d, part %d: %v", i, part, err))
				case status == 200 && len(got) == 240_000:
					served++
				default:
					refused++
				}
				lock.Unlock()
				if err != nil {
					_ = c.Close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.cmd.Process.Pid))
	fatal(err)
	for line := range strings.Lines(string(status)) {
		kB := 0
		if _, err := fmt.Sscanf(line, "VmHWM: %d kB", &kB); err == nil {
			note("peak memory %d kB, %d served, %d refused", kB, served, refused)
			fmt.Println("peak memory", kB, "kB,", served, "served,", refused, "refused")
			if kB > memoryMB<<10 {
				broken = append(broken, fmt.Sprintf("peak memory %d kB, over %d MB", kB, memoryMB))
			}
		}
	}
	verdict(broken)
}

// slowReader reads at 1 MB a second.
type slowReader struct{ net.Conn }

func (r *slowReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b[:min(len(b), 4096)])
	time.Sleep(time.Duration(n) * time.Microsecond)
	return n, err
}
