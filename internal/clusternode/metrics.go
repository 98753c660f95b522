package clusternode

import "slices"

// Metrics returns the counters and gauges by metric name. Names that do not apply to this gateway are absent: without replication
// those of the replica, on a gateway that is not a voter those of consensus.
func (n *Node) Metrics() map[string]float64 {
	c, t := n.cluster.Counters, n.transport.Counters
	v := map[string]float64{
		"fleet_renews":     float64(c.LeaseRequests),
		"fleet_views":      float64(c.Views),
		"fleet_lapses":     float64(c.LeaseExpirations),
		"fleet_unknown":    float64(c.Unknown),
		"fleet_strangers":  float64(c.NonMembers),
		"fleet_steps":      float64(c.Advances),
		"fleet_dropped":    float64(c.Dropped + t.Dropped),
		"fleet_sent":       float64(t.Sent),
		"fleet_sent_bytes": float64(t.SentBytes),
		"fleet_heard":      float64(t.Received),
		"fleet_refused":    float64(t.Rejected),
		"fleet_replayed":   float64(t.Replayed),
		"fleet_dialled":    float64(t.Dials),
		"fleet_held":       float64(len(n.draining.Machines)),
	}
	if n.cluster.HasLease(n.now()) {
		v["fleet_leased"] = 1
	}
	if n.replication != nil {
		n.replication.addMetrics(v)
	}
	if c, ok := n.cluster.ConsensusCounters(); ok {
		v["agreement_rounds"] = float64(c.Rounds)
		v["agreement_confirms"] = float64(c.Confirms)
		v["agreement_crossed"] = float64(c.Conflicts)
		v["agreement_expired"] = float64(c.Timeouts)
		v["agreement_admitted"] = float64(c.Admitted)
	}
	return v
}

// MetricNames returns the names of Metrics, sorted.
func (n *Node) MetricNames() (names []string) {
	for name := range n.Metrics() {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func (r *replicator) addMetrics(v map[string]float64) {
	c, n := r.node.Counters, r.node.Stats
	for name, x := range map[string]uint64{
		"written":    c.Written,
		"taken":      c.Merged,
		"known":      c.Duplicates,
		"expired":    c.Expired,
		"crowded":    c.Evicted,
		"refused":    c.Rejected,
		"aged":       c.Outdated,
		"buried":     c.Tombstoned,
		"pulls":      n.Pulls,
		"answers":    n.PullReplies,
		"lost":       n.PullTimeouts,
		"hints":      n.Announcements,
		"stale":      n.StaleReplies,
		"throttled":  n.Throttled,
		"checked":    n.ChecksumsCompared,
		"differed":   n.Divergences,
		"slots":      uint64(r.node.Len()),
		"living":     uint64(r.node.LivePeers(r.owner.now())),
		"held":       uint64(len(r.peerDrained)),
		"slowest_us": uint64(r.longestHandling.Microseconds()),
	} {
		v["shared_"+name] = float64(x)
	}
	if r.node.CatchingUp() {
		v["shared_catching_up"] = 1
	}
}
