package cluster

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"

	"larchusher/maintenance"
)

const (
	// advanceInterval is how often the coordinator looks whether a request can be taken forward.
	advanceInterval = 250 * time.Millisecond
	// reportLifetime is how long a gateway's report counts, and how long a voter that is silent counts as running.
	reportLifetime = 3 * time.Second
	// reportRetention is how long a report that no longer counts is kept.
	reportRetention = 10 * reportLifetime
)

type receivedReport struct {
	Report
	at time.Duration
}

// stageKey names a request at a stage, under one grant.
type stageKey struct {
	id    uint64
	stage maintenance.Stage
	epoch uint64
}

// isCoordinator reports whether this voter is the first of those that have sent something lately. Two that both think so do no harm: each
// step is checked against the agreed state when it is applied.
func (n *Node) isCoordinator() bool {
	for _, v := range n.cfg.Voters {
		if v == n.cfg.Self {
			return true
		}
		if at, ok := n.lastReceived[v]; ok && n.now-at < reportLifetime {
			return false
		}
	}
	return false
}

// observations joins what all gateways have reported lately, in the order of their names. Where they differ, the most cautious
// observation counts.
func (n *Node) observations() *maintenance.Observations {
	o := &maintenance.Observations{Machines: map[string]maintenance.Machine{}}
	for _, from := range slices.Sorted(maps.Keys(n.reports)) {
		r := n.reports[from]
		age := n.now - r.at
		if age > reportRetention {
			delete(n.reports, from)
		}
		if age > reportLifetime {
			continue
		}
		o.Pressure = cmp.Or(o.Pressure, r.Pressure)
		for name, m := range r.Machines {
			if joined, ok := o.Machines[name]; ok {
				m = mostCautious(joined, m)
			}
			o.Machines[name] = m
		}
	}
	return o
}

// mostCautious joins two observations of a machine: it is up, warm, or started again only once both say so, and as busy as
// either of them says.
func mostCautious(a, b maintenance.Machine) maintenance.Machine {
	a.Up = a.Up && b.Up
	a.Warm = a.Warm && b.Warm
	a.BootMs = min(a.BootMs, b.BootMs)
	if b.Utilization >= 0 {
		a.Utilization = max(a.Utilization, b.Utilization)
	}
	return a
}

// advance proposes to take requests forward, if any can be.
func (n *Node) advance() {
	s, ok := n.chosenState()
	if !ok || !n.isCoordinator() {
		clear(n.stageSince) // another node measures; if this one takes over, it starts to measure again
		return
	}
	o := n.observations()
	o.StageTimeouts = n.measureStages(s)
	if !slices.ContainsFunc(s.Requests, func(r *maintenance.Request) bool { return !r.Stage.Ended() }) {
		return
	}
	command := n.encodeCommand(maintenance.Command{Advance: o})
	before := s.Encode()
	after, _ := maintenance.Apply(n.cfg.Limits)(before, command)
	if bytes.Equal(after, before) {
		return
	}
	n.Counters.Advances++
	// Nobody waits for the outcome.
	n.submit(pendingRequest{from: n.cfg.Self, message: Message{Kind: UnknownKind}, at: n.now}, command)
}

// measureStages reports which time limits of the requests have passed, by this node's own steady clock.
func (n *Node) measureStages(s *maintenance.State) (all []maintenance.StageTimeouts) {
	since := map[stageKey]time.Duration{}
	for _, r := range s.Requests {
		if r.Stage.Ended() || r.Stage == maintenance.Requested {
			continue
		}
		k := stageKey{r.ID, r.Stage, r.GrantEpoch}
		at, ok := n.stageSince[k]
		if !ok {
			at = n.now
		}
		since[k] = at
		elapsed := n.now - at
		all = append(all, maintenance.StageTimeouts{ID: r.ID, Stage: r.Stage, Epoch: r.GrantEpoch,
			LeasesExpired: elapsed >= n.cfg.Limits.LeaseExpiry(),
			Overdue:       elapsed >= time.Duration(r.DurationMs)*time.Millisecond,
			SlowStartOver: elapsed >= n.cfg.Limits.SlowStart})
	}
	n.stageSince = since
	return all
}
