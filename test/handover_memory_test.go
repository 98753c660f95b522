package test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"larchusher/lab/fakeserver"
)

// residentKB returns the program's resident memory in kB, or 0 if the program has ended.
func (r *rig) residentKB() (kb int) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(status), "VmRSS:")
	_, _ = fmt.Sscan(after, &kb)
	return kb
}

// Two processes of an upgrade together must stay within the limit on memory although on all connections more arrives than is
// buffered and large answers are due, and each request must get one answer. Guards against buffers that have a bound for
// each connection only.
func TestUpgradeStaysWithinMemoryLimit(t *testing.T) {
	const (
		limitMB       = 64
		conns         = 150
		ordersPerConn = 6
		videoBytes    = 240_000
	)
	r := newRig(t).withSharedTempDir()
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": limitMB, "sockets": 1024}
	r.start()
	release := make(chan struct{})
	r.setHandler(func(a *storeRequest) {
		go func() {
			<-release
			if a.Fields["lane"] == "films" {
				a.Serve("warm", fakeserver.ContentOfSize(a.Fields["name"], a.Fields["piece"], videoBytes))
				return
			}
			serveHit(a)
		}()
	})
	var clients []*client
	for i := range conns {
		c := r.client()
		c.send("films", fmt.Sprintf("%016x", i), 5*time.Second, "")
		clients = append(clients, c)
	}
	second, _ := r.startSuccessor()
	peakKB, stop, sampled := 0, make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
				peakKB = max(peakKB, r.residentKB()+second.residentKB())
			}
		}
	}()
	r.signal(syscall.SIGTERM)
	r.waitForLog("msg=\"upgrade: migrating clients\"")
	var all sync.WaitGroup
	answers := make([]map[int]int, conns)
	for i, c := range clients {
		all.Add(1)
		go func() {
			defer all.Done()
			for n := range ordersPerConn {
				c.send("orders", fmt.Sprintf("%016x", 1000+i), 3*time.Second, strings.Repeat("x", orderBytes), "unique", fmt.Sprintf("%d-%d", i, n))
			}
			time.Sleep(time.Second) // the client reads nothing while its answers come
			answers[i] = map[int]int{}
			for range ordersPerConn + 1 {
				answers[i][c.readAnswer().id]++
			}
		}()
	}
	time.Sleep(500 * time.Millisecond)
	close(release)
	all.Wait()
	close(stop)
	<-sampled
	for i, got := range answers {
		if len(got) != ordersPerConn+1 {
			t.Errorf("client %d got answers %v (by message id), want one to each of its %d requests", i, got, ordersPerConn+1)
		}
	}
	t.Logf("peak of both processes: %d MB", peakKB>>10)
	if peakKB > limitMB<<10 {
		t.Errorf("the two processes had %d kB resident, want at most %d MB", peakKB, limitMB)
	}
}
