package clusternode

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"larchusher/cluster"
	"larchusher/replication"
	"larchusher/warmstart"
)

const (
	tellEvery   = 500 * time.Millisecond
	rowsMost    = 2000 // slots that a tool is shown
	queryShared = "shared"
	queryForget = "forget"
)

// sharing is the part that keeps in common what gateways know. It lives on the loop.
type sharing struct {
	h      *Node
	node   *replication.Node
	sharer *warmstart.Sharer
	told   time.Time
	news   int             // of the journal, that was told on
	held   map[string]bool // on others' word
	slow   time.Duration   // the longest that the loop was held up
	caught *replication.CaughtUp
}

func (h *Node) share() error {
	r := h.cfg.Replication
	if r == nil {
		return nil
	}
	c := replication.Config{Self: replication.Incarnation{Name: h.cfg.Name, Number: newLife()}, PurgeSettleTime: h.settles, BytesPerSecond: r.Bytes, CatchUpTimeout: r.Wait, Seed: newLife(),
		WallClock: func() time.Duration { return time.Duration(h.wall()) * time.Millisecond }}
	for _, m := range h.cfg.Members {
		c.Members = append(c.Members, m.Name)
	}
	node, err := replication.NewNode(c)
	if err != nil {
		return err
	}
	h.shared = &sharing{h: h, node: node, sharer: warmstart.NewSharer(node, h.zone, r.Listings)}
	return nil
}

// CatchingUp says that the gateway doesn't know yet what its neighbours know.
func (h *Node) CatchingUp() bool { return h.shared != nil && h.shared.node.CatchingUp() }

func (s *sharing) do(e replication.Event) {
	began := time.Now()
	for _, a := range s.node.Handle(s.h.now(), e, nil) {
		switch a := a.(type) {
		case replication.Send:
			m := a.Message
			s.h.link.Send(a.To, cluster.Message{Kind: cluster.ReplicationMessage, Replication: &m})
		case replication.SafetySlotsLearned:
			for _, x := range a.Slots {
				if x.Kind == replication.Purge { // at once: the own journal may be late
					s.h.gw.ApplyPeerPurge(x.Key, s.sharer.PurgeAge(s.h.now(), s.h.gw.DirectorTime(s.h.loop.Now()), x.Key, x.SeenBefore))
				}
			}
			s.hold()
		case replication.CaughtUp:
			s.caught = &a
			u := s.h.gw.ImportLearned(s.sharer.Collect(s.h.now(), s.h.gw.DirectorTime(s.h.loop.Now()), s.h.gw.ListedEndpoints()))
			s.h.log.WithField("from", a.From).Infof("caught up after %v: %d listings, %d stores and %d purges used of %d slots", a.Took.Round(time.Millisecond), u.Listings, u.Endpoints,
				u.Purges, s.node.Len())
		}
	}
	s.slow = max(s.slow, time.Since(began))
}

func (s *sharing) tick() {
	s.do(replication.Tick{})
	// What the journal told is told on at once; what is learned by itself, now and then.
	if now, news := s.h.loop.Now(), s.h.gw.WatchEvents(); now.Sub(s.told) >= tellEvery || news != s.news {
		s.told, s.news = now, news
		began := time.Now()
		for _, m := range s.h.gw.ExportLearned(s.h.cfg.Replication.Listings)[:1] { // of the own zone
			s.sharer.Publish(s.h.now(), m, s.h.gw.ListedEndpoints())
		}
		s.hold()
		s.slow = max(s.slow, time.Since(began))
	}
}

// hold has stores drained that a neighbour was told drain, beside those that are out for work.
func (s *sharing) hold() {
	held := s.sharer.HeldEndpoints(s.h.now(), s.h.gw.ListedEndpoints())
	if maps.Equal(held, s.held) {
		return
	}
	s.held = held
	s.h.log.WithField("stores", slices.Sorted(maps.Keys(held))).Info("held on others' word")
	s.h.holdAll()
}

// SharedState is what a tool is told.
type SharedState struct {
	Gateway     string                   `json:"gateway"`
	CatchingUp  bool                     `json:"catching_up,omitempty"`
	Slots       int                      `json:"slots"`
	Rows        []replication.Row        `json:"rows"`
	Divergences []replication.Divergence `json:"differences,omitempty"`
}

// ForgetRequest asks for something that gateways know in common to be forgotten.
type ForgetRequest struct {
	Kind   string `json:"Kind"` // health or listing
	Key    string `json:"Key"`
	Reason string `json:"Why"`
}

// query answers a tool by itself: what is kept in common is asked of the gateway that is asked.
func (s *sharing) query(from string, m cluster.Message) {
	reply := cluster.Message{Kind: cluster.OperatorReply, ID: m.ID}
	var err error
	switch {
	case m.Query == queryShared:
		out := SharedState{Gateway: s.h.cfg.Name, CatchingUp: s.node.CatchingUp(), Divergences: s.node.Divergences()}
		out.Rows, out.Slots = s.node.Rows(s.h.now(), string(m.Value), rowsMost)
		reply.Value, err = json.Marshal(out)
	default:
		var f ForgetRequest
		if err = json.Unmarshal(m.Value, &f); err == nil {
			var key string
			var value []byte
			if key, value, err = warmstart.ParseForget(f.Kind, f.Key, f.Reason); err == nil {
				s.node.Publish(s.h.now(), replication.Tombstone, key, value, s.h.now())
				s.h.log.WithField("audit", "state").Infof("%s of %s is forgotten, asked by %s: %s", f.Kind, f.Key, from, f.Reason)
			}
		}
	}
	if err != nil {
		reply.Rejected = err.Error()
	}
	s.h.link.Send(from, reply)
}

func (s *sharing) values(v map[string]float64) {
	c, n := s.node.Counters, s.node.Stats
	for name, x := range map[string]uint64{"written": c.Written, "taken": c.Merged, "known": c.Duplicates, "expired": c.Expired, "crowded": c.Evicted, "refused": c.Rejected, "aged": c.Outdated,
		"buried": c.Tombstoned, "pulls": n.Pulls, "answers": n.PullReplies, "lost": n.PullTimeouts, "hints": n.Announcements, "stale": n.Stale, "throttled": n.Throttled, "checked": n.Checked,
		"differed": n.Divergences, "slots": uint64(s.node.Len()), "living": uint64(s.node.LivePeers(s.h.now())), "held": uint64(len(s.held)), "slowest_us": uint64(s.slow.Microseconds())} {
		v["shared_"+name] = float64(x)
	}
	if s.node.CatchingUp() {
		v["shared_catching_up"] = 1
	}
}
