//go:build review

// A new version is started under load while a client sends large orders on the connection on which large answers are
// due. See claim.txt.
package main

import (
	"os"
	"strings"
	"syscall"
	"time"

	"larchusher/review/rig"
)

const (
	video   = 240_000                // bytes of a video part: the most that an object holds
	order   = 48_000                 // bytes of an order: the most that one write brings
	lateFor = 500 * time.Millisecond // by how much an answer may come after its time
)

func main() {
	c := rig.NewCase(os.Args[1], 100*time.Second)
	d := c.NewDeployment(4)
	for _, s := range d.Stores {
		s.Handle(func(a *rig.Ask) {
			if a.Fields["lane"] == "films" {
				time.Sleep(700 * time.Millisecond)
				a.Done(video)
				return
			}
			time.Sleep(40 * time.Millisecond)
			a.Done(100)
		})
	}
	old := c.StartGateway("old", d.Config, d.Tmp)
	old.AwaitReady(30 * time.Second)
	k := c.Connect("client", d.Listen, 0)
	k.Alive()
	for range 3 {
		c.CheckAnswered(k.Send("images", rig.Hex(8), 2500*time.Millisecond, ""), lateFor)
	}
	if c.Trouble {
		c.StartGateway("new", d.Config, d.Tmp).AwaitReady(6 * time.Second)
	}
	var sent []*rig.Request
	for range 2 {
		sent = append(sent, k.Send("films", rig.Hex(8), 5*time.Second, ""))
	}
	time.Sleep(50 * time.Millisecond)
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
		old.KillAfter(3700 * time.Millisecond) // the longest deadline, taken as 3 s, and 0.7 s
	}
	time.Sleep(100 * time.Millisecond)
	for range 2 {
		sent = append(sent, k.Send("orders", rig.Hex(8), 3*time.Second, strings.Repeat("x", order), "unique", rig.Hex(16)))
	}
	for _, q := range sent {
		c.CheckAnswered(q, lateFor)
	}
	c.Finish()
}
