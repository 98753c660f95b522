//go:build review

package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

// cases are the cases by number; trials, which are no cases, have names.
var cases = map[string]func(){"6": orderTwice, "7": pipelineAtRestart, "8": tamperedGroup, "9": expiredHead, "10": healthyTooSoon}

const object = "7f3a9c21e0b4d655"

// Classes of the settings. They stand for the video, asset and order classes of the first deployment, with their figures.
const films, images, orders = "films", "images", "orders"

// scene is a small location: two caches, a parent and the origin, which answer each request after a time.
type scene struct {
	caches        []*store
	parent, root  *store
	journal       *journal
	known         string
	entriesAtHome []string
}

func newScene(answer func(*ask)) *scene {
	s := &scene{journal: startJournal()}
	for i := range 2 {
		s.caches = append(s.caches, startStore(fmt.Sprintf("node.c%d", i+1), "box", "edge-1", answer))
	}
	s.parent, s.root = startStore("node.p", "parent", "north", answer), startStore("node.o", "origin", "north", answer)
	for _, x := range append(s.caches, s.parent, s.root) {
		s.entriesAtHome = append(s.entriesAtHome, entry(x, "SERVING", 0))
	}
	s.known = fmt.Sprintf(`{"pos":1,"entries":[{"pos":1,%s}]}`, hosts(1, true, s.entriesAtHome...))
	return s
}

// after returns a store's behaviour: it serves what is asked for after a time, unless the request is withdrawn.
func after(d time.Duration) func(*ask) {
	dated := time.Now().Add(-time.Minute)
	return func(a *ask) {
		time.Sleep(d)
		a.store.mu.Lock()
		gone := a.store.quits[a.id]
		a.store.mu.Unlock()
		if !gone {
			a.done(body(a.fields["name"], a.fields["piece"]), dated)
		}
	}
}

// expiredHead is case 9. A player asks with HEAD before it fetches a part, on one connection. The token expires between parts 3
// and 4; the player then has a fresh one.
func expiredHead() {
	s := newScene(after(20 * time.Millisecond))
	g := newGateway(s.journal.addr, s.known)
	g.start()
	c := dialHTTP(g.signed)
	token := sign(films, object, time.Now().Add(time.Hour))
	var broken []string
	for part := range 8 {
		if part == 4 && trouble {
			token = sign(films, object, time.Now().Add(-2*time.Second))
		}
		c.send("HEAD", target(films, object, part, token))
		status, _, err := c.answer("HEAD", 6*time.Second)
		if err != nil {
			broken = append(broken, fmt.Sprintf("HEAD of part %d: its answer cannot be read: %v", part, err))
			break
		}
		if status == 403 {
			token = sign(films, object, time.Now().Add(time.Hour))
		}
		c.send("GET", target(films, object, part, token))
		status, got, err := c.answer("GET", 6*time.Second)
		if err != nil {
			broken = append(broken, fmt.Sprintf("GET of part %d with a good token: its answer cannot be read: %v", part, err))
			break
		}
		if status == 200 && got != body(object, fmt.Sprint(part)) {
			broken = append(broken, fmt.Sprintf("GET of part %d: served with what no store made for it", part))
		}
		time.Sleep(400 * time.Millisecond)
	}
	verdict(broken)
}

// pipelineAtRestart is case 7. A client has written five requests on one connection; then the gateway is restarted as planned.
func pipelineAtRestart() {
	s := newScene(after(1500 * time.Millisecond)) // a large part: sizes vary widely, and 5 s are given
	g := newGateway(s.journal.addr, s.known)
	g.start()
	c := dialHTTP(g.signed)
	token := sign(films, object, time.Now().Add(time.Hour))
	c.send("GET", target(films, object, 0, token))
	if status, _, err := c.answer("GET", 6*time.Second); err != nil || status != 200 {
		fatal(fmt.Errorf("the first request was not served: %d, %v", status, err))
	}
	const parts = 5
	for part := 1; part <= parts; part++ {
		c.send("GET", target(films, object, part, token))
	}
	written := time.Now()
	time.Sleep(200 * time.Millisecond)
	if trouble {
		g.signal(syscall.SIGTERM)
		time.AfterFunc(5700*time.Millisecond, func() { _ = g.cmd.Process.Kill() })
	}
	var broken []string
	for part := 1; part <= parts; part++ {
		status, got, err := c.answer("GET", time.Until(written.Add(5050*time.Millisecond)))
		if err != nil {
			broken = append(broken, fmt.Sprintf("part %d, written whole 0.2 s before SIGTERM: no answer, the connection ended: %v", part, err))
			continue
		}
		if status == 200 && got != body(object, fmt.Sprint(part)) {
			broken = append(broken, fmt.Sprintf("part %d: served with what no store made for it", part))
		}
	}
	verdict(broken)
}

// healthyTooSoon is case 10. A gateway dies and comes back with its last list of boxes; meanwhile a deploy has replaced the boxes.
// With trouble the journal service takes connections and says nothing for 6 s from then on. A balancer asks for the gateway's
// health, and sends it a request whenever it says that it is healthy.
func healthyTooSoon() {
	s := newScene(after(20 * time.Millisecond))
	g := newGateway(s.journal.addr, s.known)
	g.start()
	time.Sleep(time.Second)
	g.signal(syscall.SIGKILL)
	<-g.exited
	for i, old := range s.caches {
		old.die()
		s.journal.publish(2+2*i, hosts(2+2*i, false, entry(old, "DELETED", 0)))
		next := startStore(fmt.Sprintf("node.n%d", i+1), "box", "edge-1", after(20*time.Millisecond))
		s.journal.publish(3+2*i, hosts(3+2*i, false, entry(next, "SERVING", time.Now().Add(-30*time.Second).UnixMilli())))
	}
	time.Sleep(2500 * time.Millisecond)
	s.journal.forgetWords()
	if trouble {
		s.journal.stall(6 * time.Second)
	}
	g.start()
	type seen struct {
		at    time.Time
		reply string
	}
	var polls []seen
	token := sign(images, object, time.Now().Add(time.Hour))
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		at := time.Now()
		reply := oneLine(g.agent, "")
		note("balancer: agent check says %q", reply)
		polls = append(polls, seen{at, reply})
		if isUp(reply) {
			c := dialHTTP(g.signed)
			c.send("GET", target(images, object, len(polls), token))
			_, _, _ = c.answer("GET", 3*time.Second)
			_ = c.Close()
		}
	}
	first := s.journal.firstWord()
	var broken []string
	for _, p := range polls {
		if isUp(p.reply) && (first.IsZero() || p.at.Before(first.Add(-500*time.Millisecond))) {
			broken = append(broken, fmt.Sprintf("%.1f s after the restart the agent check says %q, and the journal has told this process nothing yet", p.at.Sub(polls[0].at).Seconds(), p.reply))
		}
	}
	if last := polls[len(polls)-1].reply; !isUp(last) {
		fatal(fmt.Errorf("at the end the agent check says %q", last))
	}
	verdict(broken)
}

// isUp reports whether a balancer takes the reply of an agent check for that of a server that is up.
func isUp(reply string) bool {
	return strings.HasPrefix(reply, "ready") || strings.HasPrefix(reply, "up")
}
