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

// publishInterval is how often this gateway publishes what it has learned by itself. After a watch event it publishes at
// the next tick.
const publishInterval = 500 * time.Millisecond

// replicator runs package replication on the event loop: it publishes what this gateway learns, and applies what its peers
// publish.
type replicator struct {
	owner           *Node
	node            *replication.Node
	sharer          *warmstart.Sharer
	publishedAt     time.Time
	watchEvents     int             // the gateway's count of watch events at the latest publication
	peerDrained     map[string]bool // endpoints that are drained here because a peer reports them as drained
	longestHandling time.Duration   // longest time for which handle or a publication occupied the event loop
}

// startReplication starts package replication if it is configured.
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

// CatchingUp reports whether the gateway is still waiting for what its peers know. It is false without replication.
func (n *Node) CatchingUp() bool { return n.replication != nil && n.replication.node.CatchingUp() }

// handle passes an event to package replication and carries out its actions.
func (r *replicator) handle(e replication.Event) {
	start := time.Now()
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
	r.longestHandling = max(r.longestHandling, time.Since(start))
}

// applyPurges applies the purges that peers have published. This gateway's own watch may deliver them later.
func (r *replicator) applyPurges(slots []replication.Slot) {
	gw := r.owner.gateway
	for _, s := range slots {
		if s.Kind == replication.Purge {
			gw.ApplyPeerPurge(s.Key, r.sharer.PurgeAge(r.owner.now(), gw.DirectorTime(r.owner.loop.Now()), s.Key, s.SeenBefore))
		}
	}
}

// importLearned has the gateway use what its peers have learned, and logs how much of it was used.
func (r *replicator) importLearned(a replication.CaughtUp) {
	gw := r.owner.gateway
	used := gw.ImportLearned(r.sharer.Collect(r.owner.now(), gw.DirectorTime(r.owner.loop.Now()), gw.ListedEndpoints()))
	detail := fmt.Sprintf("after %v: %d listings, %d endpoints and %d purges imported from a replica of %d slots", a.Took.Round(time.Millisecond),
		used.Listings, used.Endpoints, used.Purges, r.node.Len())
	r.owner.log.WithFields(logrus.Fields{logfields.From: a.From, logfields.Detail: detail}).Info(logfields.ClusterCaughtUp)
}

// tick publishes what this gateway has learned: at the first tick after a watch event, otherwise every publishInterval.
func (r *replicator) tick() {
	r.handle(replication.Tick{})
	now, events := r.owner.loop.Now(), r.owner.gateway.WatchEvents()
	if now.Sub(r.publishedAt) < publishInterval && events == r.watchEvents {
		return
	}
	r.publishedAt, r.watchEvents = now, events
	began := time.Now()
	for _, learned := range r.owner.gateway.ExportLearned(r.owner.cfg.Replication.MaxListings)[:1] { // the first element is this gateway's own locality
		r.sharer.Publish(r.owner.now(), learned, r.owner.gateway.ListedEndpoints())
	}
	r.updateDrains()
	r.longestHandling = max(r.longestHandling, time.Since(began))
}

// updateDrains drains the endpoints that peers report as drained, in addition to those drained for maintenance.
func (r *replicator) updateDrains() {
	draining := r.sharer.PeerDrainedEndpoints(r.owner.now(), r.owner.gateway.ListedEndpoints())
	if maps.Equal(draining, r.peerDrained) {
		return
	}
	r.peerDrained = draining
	r.owner.log.WithField(logfields.Endpoints, slices.Sorted(maps.Keys(draining))).Info(logfields.ClusterPrecautionaryDrain)
	r.owner.applyDrains()
}
