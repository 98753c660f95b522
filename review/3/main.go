//go:build review

// A new version is started under load while one answer on a client's connection is slow. See claim.txt.
package main

import (
	"os"
	"syscall"
	"time"

	"larchusher/review/rig"
)

const lateFor = 500 * time.Millisecond // by how much an answer may come after its time

func main() {
	c := rig.NewCase(os.Args[1], 100*time.Second)
	d := c.NewDeployment(8)
	for _, s := range d.Stores {
		s.Handle(func(a *rig.Ask) {
			if a.Fields["lane"] == "films" {
				time.Sleep(2800 * time.Millisecond)
			} else {
				time.Sleep(40 * time.Millisecond)
			}
			a.Done(20_000)
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
	sent := []*rig.Request{k.Send("films", rig.Hex(8), 5*time.Second, "")}
	time.Sleep(50 * time.Millisecond)
	if c.Trouble {
		old.Signal(syscall.SIGTERM)
		old.KillAfter(3700 * time.Millisecond) // the longest deadline, taken as 3 s, and 0.7 s
	}
	for range 3 {
		time.Sleep(100 * time.Millisecond)
		sent = append(sent, k.Send("images", rig.Hex(8), 1250*time.Millisecond, ""))
		sent = append(sent, k.Send("orders", rig.Hex(8), 1500*time.Millisecond, "order", "unique", rig.Hex(16)))
	}
	for _, q := range sent[1:] {
		c.CheckAnswered(q, lateFor)
	}
	c.CheckAnswered(sent[0], lateFor)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		// the record shows when the late answers come
	}
	c.Finish()
}
