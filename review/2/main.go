//go:build review

// A new configuration adds a class and moves the journal service. See claim.txt.
package main

import (
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"

	"larchusher/review/rig"
)

const (
	toldAfterReload = 4 * time.Second                   // what the journal service has to tell counts as told so long after SIGHUP
	purgeGrace      = time.Second + 50*time.Millisecond // noticeTimeMs, on sockets 50 ms longer
	purgeSettles    = 6 * time.Second                   // purgeSettlesMs: by then stores have dropped older copies by themselves
	copyAge         = 30 * time.Second                  // of the copies that the stores hold at the start
)

// stores is what the stores hold of one object, and how the purge is kept.
type stores struct {
	mu       sync.Mutex
	object   string
	dated    time.Time // when the origin gave out the copy
	purgedAt time.Time // zero: not purged
	stale    int       // answers from a copy older than the purge, to requests sent too late for that
}

// answer answers as a store with a copy does: from the copy if that is young enough, else with one fetched anew.
func (s *stores) answer(c *rig.Case, a *rig.Ask) {
	time.Sleep(20 * time.Millisecond)
	s.mu.Lock()
	dated := time.Now()
	if a.Fields["name"] == s.object {
		oldest, _ := strconv.Atoi(a.Fields["accept"])
		young := oldest == 0 || a.At.Sub(s.dated) <= time.Duration(oldest)*time.Millisecond
		purged := !s.purgedAt.IsZero() && s.dated.Before(s.purgedAt)
		if !young || purged && a.At.Sub(s.purgedAt) > purgeSettles {
			s.dated = time.Now()
		}
		dated = s.dated
		if purged && dated.Before(s.purgedAt) && a.At.Sub(s.purgedAt) > purgeGrace {
			s.stale++
			c.Log("%s answers %s from a copy older than the purge, %.3f s after the purge was told", a.Store.Name, a.ID, a.At.Sub(s.purgedAt).Seconds())
		}
	}
	s.mu.Unlock()
	a.Answer("DONE", "why=warm,digest=t"+strconv.FormatInt(dated.UnixMilli(), 36)+",dated="+strconv.FormatInt(dated.UnixMilli(), 10)+
		",rep=inflight:1;x1:0.2;x0:0.9", rig.Content(a.Fields["name"], a.Fields["piece"], 20_000))
}

func main() {
	c := rig.NewCase(os.Args[1], 100*time.Second)
	d := c.NewDeployment(4)
	full := rig.Settings(nil)
	classes := full["classes"].([]any)
	first := rig.Settings(func(s map[string]any) { // without orders
		s["classes"] = classes[:2]
		info := s["familyInfo"].(map[string]any)
		for _, byClass := range []string{"inPieces", "lifetimeByClassMs", "neverKept", "oldCopyWorth", "staleForMs"} {
			info[byClass] = info[byClass].([]any)[:2]
		}
	})
	if os.Getenv("STRETCH") != "" { // to find the cause: with this key in the new class the rule holds
		classes[2].(map[string]any)["aimStretch"] = 0
	}
	d.WriteConfig(first)
	s := &stores{object: rig.Hex(8), dated: time.Now().Add(-copyAge)}
	for _, store := range d.Stores {
		store.Handle(func(a *rig.Ask) { s.answer(c, a) })
	}
	p := c.StartGateway("gateway", d.Config, d.Tmp)
	p.AwaitReady(30 * time.Second)
	k := c.Connect("client", d.Listen, 0)
	k.Alive()
	ask := func() {
		c.CheckAnswered(k.Send("images", s.object, 2500*time.Millisecond, ""), 500*time.Millisecond)
	}
	ask()
	time.Sleep(2 * time.Second)
	if c.Trouble {
		d.MoveJournal()
		d.WriteConfig(full)
		p.Signal(syscall.SIGHUP)
	}
	time.Sleep(toldAfterReload + time.Second)
	ask()
	purge := time.Now()
	s.mu.Lock()
	s.purgedAt = purge
	s.mu.Unlock()
	d.Journal.Publish("expire", map[string]any{"name": s.object, "stamp": purge.UnixMilli()})
	for time.Since(purge) < purgeSettles {
		time.Sleep(200 * time.Millisecond)
		ask()
	}
	if s.stale > 0 {
		c.Break("%d requests that were sent later than 1.05 s after the purge was told were answered from a copy older than the purge", s.stale)
	}
	c.Finish()
}
