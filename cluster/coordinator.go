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
	// advanceInterval is how often the coordinator checks whether maintenance requests can move to their next stage.
	advanceInterval = 250 * time.Millisecond
	// reportLifetime is how long a gateway's report is used, and how long a silent voter is taken to be running.
	reportLifetime = 3 * time.Second
	// reportRetention is how long a report is stored; between reportLifetime and this age it is not used.
	reportRetention = 10 * reportLifetime
)

type receivedReport struct {
	Report
	at time.Duration
}

// stageKey identifies a stage of a maintenance request under one grant.
type stageKey struct {
	id    uint64
	stage maintenance.Stage
	epoch uint64
}

// isCoordinator reports whether this voter comes first among the voters that have sent something within reportLifetime. Two
// voters that both take themselves for the coordinator do no harm: each step is checked against the agreed state when it is
// applied.
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

// observations merges the reports of all gateways that are younger than reportLifetime, in the order of the gateways' names, and
// deletes those older than reportRetention. Where reports differ, the more cautious observation of a machine is used.
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
			if earlier, ok := o.Machines[name]; ok {
				m = mergeMachine(earlier, m)
			}
			o.Machines[name] = m
		}
	}
	return o
}

// mergeMachine merges two observations of a machine cautiously: it is up or warm only if it is so in both, its start is the
// earlier of the two, and its utilization the higher one.
func mergeMachine(a, b maintenance.Machine) maintenance.Machine {
	a.Up = a.Up && b.Up
	a.Warm = a.Warm && b.Warm
	a.BootMs = min(a.BootMs, b.BootMs)
	if b.Utilization >= 0 {
		a.Utilization = max(a.Utilization, b.Utilization)
	}
	return a
}

// advance proposes to move maintenance requests to their next stage, if this node is the coordinator and any request can move.
func (n *Node) advance() {
	s, ok := n.chosenState()
	if !ok || !n.isCoordinator() {
		clear(n.stageSince) // another node measures; if this one becomes coordinator it starts again from zero
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
	// UnknownKind: no reply is sent when this proposal completes.
	n.submit(pendingRequest{from: n.cfg.Self, message: Message{Kind: UnknownKind}, at: n.now}, command)
}

// measureStages returns for each request between Requested and its end which time limits of its stage have passed, measured by
// this node's own steady clock since it first saw the request at that stage.
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
