package cluster

import (
	"maps"
	"time"

	"larchusher/maintenance"
)

// EndpointPermitted reports whether a machine may be sent to, or be named as a source, at this moment. The caller asks right before it
// writes: a process that was suspended goes on where it stood, with a view whose lease may have run out meanwhile.
func (n *Node) EndpointPermitted(now time.Duration, machine string) bool {
	if n.view == nil {
		return false
	}
	if now < n.leaseUntil {
		return !n.draining.Machines[machine]
	}
	return !n.view.ExcludedMachines(false)[machine]
}

// updateDrain derives the machines that may not be sent to from the view and the lease, and emits them if they changed.
func (n *Node) updateDrain() {
	n.drainedUnderLease = n.now < n.leaseUntil
	excluded := n.view.ExcludedMachines(n.drainedUnderLease)
	if n.ownDrain() && !n.shuttingDown {
		n.shuttingDown = true
		n.emit(ShutDown{})
	}
	if n.draining.Generation == 0 || !maps.Equal(excluded, n.draining.Machines) {
		n.draining = DrainMachines{Generation: n.draining.Generation + 1, Machines: excluded}
		n.emit(n.draining)
		return
	}
	if n.drainedUnderLease && len(excluded) == 0 {
		n.stopForDrains()
	}
	if n.drainedUnderLease { // the same machines, but perhaps for a newer drain, which has to be answered
		n.emit(n.draining)
	}
}

// ownDrain reports whether the machine of this incarnation drains.
func (n *Node) ownDrain() bool {
	for _, r := range n.view.Requests {
		if r.Machine == n.cfg.Self && r.Stage == maintenance.Draining && r.Incarnation == n.cfg.Incarnation {
			return true
		}
	}
	return false
}

// drained takes in that nothing is under way at the machines of a generation. A gateway that shuts down reports that it has stopped
// only once it has.
func (n *Node) drained(generation uint64) {
	current := generation == n.draining.Generation && n.view != nil && n.drainedUnderLease
	if current && (!n.shuttingDown || n.shutDown) {
		n.stopForDrains()
		n.requestLeaseSoon()
	}
}

func (n *Node) shutdownCompleted() {
	n.shutDown = true
	if n.view != nil {
		n.stopForDrains()
	}
	n.requestLeaseSoon()
}

// stopForDrains records that this gateway has stopped sending for all drains that it knows of.
func (n *Node) stopForDrains() {
	n.stoppedEpoch = max(n.stoppedEpoch, n.view.LatestDrainEpoch())
}
