package cluster

import (
	"maps"
	"time"

	"larchusher/maintenance"
)

// EndpointPermitted reports whether a machine may be sent to, or named as a fill source, at this moment. The caller must ask right
// before it writes: a suspended process resumes where it was stopped, and the lease may have expired meanwhile.
func (n *Node) EndpointPermitted(now time.Duration, machine string) bool {
	if n.view == nil {
		return false
	}
	if now < n.leaseUntil {
		return !n.draining.Machines[machine]
	}
	return !n.view.ExcludedMachines(false)[machine]
}

// updateDrain derives the machines that must not be sent to from the view and the lease, and emits them if they changed. It
// emits ShutDown if this gateway's own machine is to be taken out of service.
func (n *Node) updateDrain() {
	n.drainedUnderLease = n.now < n.leaseUntil
	excluded := n.view.ExcludedMachines(n.drainedUnderLease)
	if n.ownMachineDraining() && !n.shuttingDown {
		n.shuttingDown = true
		n.emit(ShutDown{})
	}
	if n.draining.Generation == 0 || !maps.Equal(excluded, n.draining.Machines) {
		n.draining = DrainMachines{Generation: n.draining.Generation + 1, Machines: excluded}
		n.emit(n.draining)
		return
	}
	if n.drainedUnderLease && len(excluded) == 0 {
		n.recordStopped()
	}
	if n.drainedUnderLease { // the same machines, but possibly for a newer drain, which DrainCompleted has to confirm
		n.emit(n.draining)
	}
}

// ownMachineDraining reports whether the agreed state drains this gateway's own machine, in this incarnation.
func (n *Node) ownMachineDraining() bool {
	for _, r := range n.view.Requests {
		if r.Machine == n.cfg.Self && r.Stage == maintenance.Draining && r.Incarnation == n.cfg.Incarnation {
			return true
		}
	}
	return false
}

// drainCompleted records that nothing is in flight at the machines of a generation, if that is the current one. A gateway that
// shuts down reports that it has stopped only once the shutdown is complete.
func (n *Node) drainCompleted(generation uint64) {
	current := generation == n.draining.Generation && n.view != nil && n.drainedUnderLease
	if current && (!n.shuttingDown || n.shutdownComplete) {
		n.recordStopped()
		n.requestLeaseSoon()
	}
}

func (n *Node) shutdownCompleted() {
	n.shutdownComplete = true
	if n.view != nil {
		n.recordStopped()
	}
	n.requestLeaseSoon()
}

// recordStopped records that this gateway has stopped sending for all drains that its view lists.
func (n *Node) recordStopped() {
	n.stoppedEpoch = max(n.stoppedEpoch, n.view.LatestDrainEpoch())
}
