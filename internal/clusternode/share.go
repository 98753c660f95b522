package clusternode

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/internal/logfields"
	"larchusher/replication"
	"larchusher/warmstart"
)

const (
	publishInterval = 500 * time.Millisecond
	maxRows         = 2000 // slots that a tool is shown
	queryShared     = "shared"
	queryForget     = "forget"
)

// replicator is the part that keeps in common what gateways know. It lives on the loop.
type replicator struct {
	owner       *Node
	node        *replication.Node
	sharer      *warmstart.Sharer
	publishedAt time.Time
	seenEvents  int             // of the journal, that was told on
	draining    map[string]bool // on others' word
	slowest     time.Duration   // the longest that the loop was held up
	caughtUp    *replication.CaughtUp
}

func (h *Node) startReplication() error {
	r := h.cfg.Replication
	if r == nil {
		return nil
	}
	c := replication.Config{Self: replication.Incarnation{Name: h.cfg.Name, Number: newIncarnation()}, PurgeSettleTime: h.purgeSettleTime, BytesPerSecond: r.Bytes, CatchUpTimeout: r.Wait, Seed: newIncarnation(),
		WallClock: func() time.Duration { return time.Duration(h.wallClockMs()) * time.Millisecond }}
	for _, m := range h.cfg.Members {
		c.Members = append(c.Members, m.Name)
	}
	node, err := replication.NewNode(c)
	if err != nil {
		return err
	}
	h.replication = &replicator{owner: h, node: node, sharer: warmstart.NewSharer(node, h.zone, r.Listings)}
	return nil
}

// CatchingUp says that the gateway doesn't know yet what its neighbours know.
func (h *Node) CatchingUp() bool { return h.replication != nil && h.replication.node.CatchingUp() }

func (s *replicator) handle(e replication.Event) {
	began := time.Now()
	for _, a := range s.node.Handle(s.owner.now(), e, nil) {
		switch a := a.(type) {
		case replication.Send:
			m := a.Message
			s.owner.transport.Send(a.To, cluster.Message{Kind: cluster.ReplicationMessage, Replication: &m})
		case replication.SafetySlotsLearned:
			for _, x := range a.Slots {
				if x.Kind == replication.Purge { // at once: the own journal may be late
					s.owner.gateway.ApplyPeerPurge(x.Key, s.sharer.PurgeAge(s.owner.now(), s.owner.gateway.DirectorTime(s.owner.loop.Now()), x.Key, x.SeenBefore))
				}
			}
			s.updateDrains()
		case replication.CaughtUp:
			s.caughtUp = &a
			u := s.owner.gateway.ImportLearned(s.sharer.Collect(s.owner.now(), s.owner.gateway.DirectorTime(s.owner.loop.Now()), s.owner.gateway.ListedEndpoints()))
			detail := fmt.Sprintf("after %v: %d listings, %d endpoints and %d purges used of %d slots", a.Took.Round(time.Millisecond),
				u.Listings, u.Endpoints, u.Purges, s.node.Len())
			s.owner.log.WithFields(logrus.Fields{logfields.From: a.From, logfields.Detail: detail}).Info(logfields.ClusterCaughtUp)
		}
	}
	s.slowest = max(s.slowest, time.Since(began))
}

func (s *replicator) tick() {
	s.handle(replication.Tick{})
	// What the journal told is told on at once; what is learned by itself, now and then.
	if now, news := s.owner.loop.Now(), s.owner.gateway.WatchEvents(); now.Sub(s.publishedAt) >= publishInterval || news != s.seenEvents {
		s.publishedAt, s.seenEvents = now, news
		began := time.Now()
		for _, m := range s.owner.gateway.ExportLearned(s.owner.cfg.Replication.Listings)[:1] { // of the own zone
			s.sharer.Publish(s.owner.now(), m, s.owner.gateway.ListedEndpoints())
		}
		s.updateDrains()
		s.slowest = max(s.slowest, time.Since(began))
	}
}

// updateDrains has stores drained that a neighbour was told drain, beside those that are out for work.
func (s *replicator) updateDrains() {
	held := s.sharer.HeldEndpoints(s.owner.now(), s.owner.gateway.ListedEndpoints())
	if maps.Equal(held, s.draining) {
		return
	}
	s.draining = held
	s.owner.log.WithField(logfields.Endpoints, slices.Sorted(maps.Keys(held))).Info(logfields.ClusterPrecautionaryDrain)
	s.owner.applyDrains()
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

// serveQuery answers a tool by itself: what is kept in common is asked of the gateway that is asked.
func (s *replicator) serveQuery(from string, m cluster.Message) {
	reply := cluster.Message{Kind: cluster.OperatorReply, ID: m.ID}
	var err error
	switch {
	case m.Query == queryShared:
		out := SharedState{Gateway: s.owner.cfg.Name, CatchingUp: s.node.CatchingUp(), Divergences: s.node.Divergences()}
		out.Rows, out.Slots = s.node.Rows(s.owner.now(), string(m.Value), maxRows)
		reply.Value, err = json.Marshal(out)
	default:
		var f ForgetRequest
		if err = json.Unmarshal(m.Value, &f); err == nil {
			var key string
			var value []byte
			if key, value, err = warmstart.ParseForget(f.Kind, f.Key, f.Reason); err == nil {
				s.node.Publish(s.owner.now(), replication.Tombstone, key, value, s.owner.now())
				detail := fmt.Sprintf("%s of %s is forgotten, asked by %s: %s", f.Kind, f.Key, from, f.Reason)
				s.owner.log.WithFields(logrus.Fields{logfields.Audit: "state", logfields.Detail: detail}).Info(logfields.AuditTrail)
			}
		}
	}
	if err != nil {
		reply.Rejected = err.Error()
	}
	s.owner.transport.Send(from, reply)
}

func (s *replicator) addMetrics(v map[string]float64) {
	c, n := s.node.Counters, s.node.Stats
	for name, x := range map[string]uint64{"written": c.Written, "taken": c.Merged, "known": c.Duplicates, "expired": c.Expired, "crowded": c.Evicted, "refused": c.Rejected, "aged": c.Outdated,
		"buried": c.Tombstoned, "pulls": n.Pulls, "answers": n.PullReplies, "lost": n.PullTimeouts, "hints": n.Announcements, "stale": n.Stale, "throttled": n.Throttled, "checked": n.Checked,
		"differed": n.Divergences, "slots": uint64(s.node.Len()), "living": uint64(s.node.LivePeers(s.owner.now())), "held": uint64(len(s.draining)), "slowest_us": uint64(s.slowest.Microseconds())} {
		v["shared_"+name] = float64(x)
	}
	if s.node.CatchingUp() {
		v["shared_catching_up"] = 1
	}
}
