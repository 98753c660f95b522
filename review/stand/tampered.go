//go:build review

package main

import (
	"fmt"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

// keptCopies is the behaviour of stores that hold copies of all parts, and drop those older than a purge 6 s after it.
type keptCopies struct {
	mu      sync.Mutex
	dated   map[string]time.Time // by part; missing: dated before the case began
	begun   time.Time
	purged  time.Time
	settles time.Duration
}

// answer serves the copy that is held if it will do, else a new one from the origin.
func (k *keptCopies) answer(a *ask) {
	k.mu.Lock()
	now, piece := time.Now(), a.fields["piece"]
	dated, ok := k.dated[piece]
	if !ok {
		dated = k.begun.Add(-time.Minute)
	}
	accept, _ := strconv.Atoi(a.fields["accept"])
	tooOld := accept > 0 && now.Sub(dated) > time.Duration(accept)*time.Millisecond
	dropped := !k.purged.IsZero() && now.Sub(k.purged) > k.settles && dated.Before(k.purged)
	if tooOld || dropped {
		dated = now
		k.dated[piece] = now
	}
	before := !k.purged.IsZero() && dated.Before(k.purged)
	k.mu.Unlock()
	note("store %s: serves piece %s, copy from before the purge: %v", a.store.name, piece, before)
	time.Sleep(20 * time.Millisecond)
	a.done(fmt.Sprintf("piece %s dated %d", piece, dated.UnixMilli()), dated)
}

// signedBy has the project's signer sign a target.
func (g *gateway) signedBy(key, target string) string {
	cmd := exec.Command("bin/larchusher", "sign", "--key", key, "--for", "10m", target)
	cmd.Env = g.env
	out, err := cmd.Output()
	if err != nil {
		fatal(fmt.Errorf("larchusher sign: %w", err))
	}
	return strings.TrimSpace(string(out))
}

// tamperedGroup is case 8. Signed URLs of parts name the group of their object, which is purged. With trouble the URLs are
// altered after they were signed: they name another group.
func tamperedGroup() {
	k := &keptCopies{dated: map[string]time.Time{}, begun: time.Now(), settles: 6 * time.Second}
	s := newScene(k.answer)
	g := newGateway(s.journal.addr, s.known)
	g.start()
	var urls []string
	for part := range 6 {
		urls = append(urls, g.signedBy("edge", fmt.Sprintf("/films/%s/%d?shard=17", object, part)))
	}
	k.mu.Lock()
	k.purged = time.Now()
	k.mu.Unlock()
	s.journal.publish(2, fmt.Sprintf(`"expire":{"set":17,"stamp":%d}`, k.purged.UnixMilli()))
	time.Sleep(1500 * time.Millisecond)
	var broken []string
	for part, url := range urls {
		tampered := trouble && part%2 == 1
		if tampered {
			url = strings.Replace(url, "shard=17", "shard=18", 1)
		}
		note("client: part %d, altered after it was signed: %v", part, tampered)
		c := dialHTTP(g.signed)
		c.send("GET", url)
		status, got, err := c.answer("GET", 5*time.Second)
		_ = c.Close()
		if err != nil {
			fatal(err)
		}
		var piece int
		var dated int64
		_, _ = fmt.Sscanf(got, "piece %d dated %d", &piece, &dated)
		old := status == 200 && dated < k.purged.UnixMilli()
		note("client: part %d: %d, copy from before the purge: %v", part, status, old)
		switch {
		case tampered && status == 200:
			broken = append(broken, fmt.Sprintf("part %d: the URL was altered after it was signed and is served, from a copy before the purge: %v", part, old))
		case !tampered && old:
			broken = append(broken, fmt.Sprintf("part %d: served from a copy before the purge", part))
		case !tampered && status != 200:
			fatal(fmt.Errorf("part %d, which is good, was answered %d", part, status))
		}
	}
	verdict(broken)
}
