package clusternode

import (
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

// publishInterval is how often this gateway publishes what it has learned by itself.
const publishInterval = 500 * time.Millisecond

// replicator runs package replication: it publishes what this gateway learns, and uses what its peers do. It runs on the loop.
type replicator struct {
	owner       *Node
	node        *replication.Node
	sharer      *warmstart.Sharer
	publishedAt time.Time
	watchEvents int             // of the gateway, when it published last
	draining    map[string]bool // endpoints that a peer was notified drain
	slowest     time.Duration   // the longest that the loop was occupied
}

// startReplication does nothing if replication is not configured.
func (n *Node) startReplication() error {
	r := n.cfg.Replication
	if r == nil {
		return nil
	}
	node, err := replication.NewNode(replication.Config{
		Self:            replication.Incarnation{Name: n.cfg.Name, Number: newIncarnation()},
		Members:         n.memberNames(),
		PurgeSettleTime: n.purgeSettleTime,
		BytesPerSecond:  r.MaxBytesPerSecond,
		CatchUpTimeout:  r.CatchUpTimeout,
		WallClock:       func() time.Duration { return time.Duration(n.wallClockMs()) * time.Millisecond },
		Seed:            newIncarnation(),
	})
	if err != nil {
		return err
	}
	n.replication = &replicator{owner: n, node: node, sharer: warmstart.NewSharer(node, n.zone, r.MaxListings)}
	return nil
}

// CatchingUp reports whether the gateway does not know yet what its peers know.
func (n *Node) CatchingUp() bool { return n.replication != nil && n.replication.node.CatchingUp() }

// handle hands an event to package replication and carries out its actions.
func (r *replicator) handle(e replication.Event) {
	began := time.Now()
	for _, a := range r.node.Handle(r.owner.now(), e, nil) {
		switch a := a.(type) {
		case replication.Send:
			m := a.Message
			r.owner.transport.Send(a.To, cluster.Message{Kind: cluster.ReplicationMessage, Replication: &m})
		case replication.SafetySlotsLearned:
			r.applyPurges(a.Slots)
			r.updateDrains()
		case replication.CaughtUp:
			r.importLearned(a)
		}
	}
	r.slowest = max(r.slowest, time.Since(began))
}

// applyPurges applies purges that a peer was notified of, at once: this gateway's own watch may be late.
func (r *replicator) applyPurges(slots []replication.Slot) {
	gw := r.owner.gateway
	for _, s := range slots {
		if s.Kind == replication.Purge {
			gw.ApplyPeerPurge(s.Key, r.sharer.PurgeAge(r.owner.now(), gw.DirectorTime(r.owner.loop.Now()), s.Key, s.SeenBefore))
		}
	}
}

// importLearned has the gateway use what its peers have learned.
func (r *replicator) importLearned(a replication.CaughtUp) {
	gw := r.owner.gateway
	used := gw.ImportLearned(r.sharer.Collect(r.owner.now(), gw.DirectorTime(r.owner.loop.Now()), gw.ListedEndpoints()))
	detail := fmt.Sprintf("after %v: %d listings, %d endpoints and %d purges used of %d slots", a.Took.Round(time.Millisecond),
		used.Listings, used.Endpoints, used.Purges, r.node.Len())
	r.owner.log.WithFields(logrus.Fields{logfields.From: a.From, logfields.Detail: detail}).Info(logfields.ClusterCaughtUp)
}

// tick publishes what this gateway has learned: at once what its watch brought, the rest every publishInterval.
func (r *replicator) tick() {
	r.handle(replication.Tick{})
	now, events := r.owner.loop.Now(), r.owner.gateway.WatchEvents()
	if now.Sub(r.publishedAt) < publishInterval && events == r.watchEvents {
		return
	}
	r.publishedAt, r.watchEvents = now, events
	began := time.Now()
	for _, learned := range r.owner.gateway.ExportLearned(r.owner.cfg.Replication.MaxListings)[:1] { // of this gateway's zone
		r.sharer.Publish(r.owner.now(), learned, r.owner.gateway.ListedEndpoints())
	}
	r.updateDrains()
	r.slowest = max(r.slowest, time.Since(began))
}

// updateDrains drains endpoints that a peer was notified drain, beside those that are out for maintenance.
func (r *replicator) updateDrains() {
	draining := r.sharer.PeerDrainedEndpoints(r.owner.now(), r.owner.gateway.ListedEndpoints())
	if maps.Equal(draining, r.draining) {
		return
	}
	r.draining = draining
	r.owner.log.WithField(logfields.Endpoints, slices.Sorted(maps.Keys(draining))).Info(logfields.ClusterPrecautionaryDrain)
	r.owner.applyDrains()
}
