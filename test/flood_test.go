package test

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"larchusher/lab/loopback"
)

// peakMemoryMB returns the program's largest resident set so far, in MB (1<<20 bytes).
func (r *rig) peakMemoryMB() (mb int) {
	r.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	if err != nil {
		r.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(status), "VmHWM:")
	if _, err := fmt.Sscan(after, &mb); err != nil {
		r.t.Fatal(err)
	}
	return mb >> 10
}

// Floods of messages that are cheap to read must not accumulate in the program's memory, on either front, and a client
// must be served afterwards.
func TestRequestFloodStaysWithinMemoryLimit(t *testing.T) {
	const limit = 32
	r, web := signedRig(t, "", func(r *rig) {
		r.config["limits"] = map[string]any{"cores": 0.25, "memory_mb": limit, "sockets": 256}
	})
	for _, f := range []struct{ addr, message string }{
		{r.addr, "\x94\x00\x01\xa5alive\x91\x80"},
		{r.addr, "\x94\x00\x01\xa4none\x92\x80\xc4\x00"},
		{r.addr, "\x93\x02\xadcancelRequest\x91\x01"},
		{web, "GET /images/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: a\r\n\r\n"},
	} {
		flood := []byte(strings.Repeat(f.message, 64<<10/len(f.message)))
		var all sync.WaitGroup
		for range 8 {
			all.Add(1)
			go func() {
				defer all.Done()
				for end := time.Now().Add(time.Second); time.Now().Before(end); {
					c, err := loopback.Dial(f.addr)
					if err != nil {
						continue
					}
					go func() { _, _ = io.Copy(io.Discard, c) }()
					for err == nil && time.Now().Before(end) {
						_ = c.SetWriteDeadline(end)
						_, err = c.Write(flood)
					}
					loopback.Close(c)
				}
			}()
		}
		all.Wait()
		if mb := r.peakMemoryMB(); mb > limit {
			t.Errorf("peak memory %d MB after a flood of %q, want at most the limit", mb, f.message)
		}
	}
	c := r.client()
	c.send("images", object, 2*time.Second, "")
	if a := c.readAnswer(); a.err != "" {
		t.Errorf("request after the floods: answer %+v, want no error", a)
	}
}
