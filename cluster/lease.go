package cluster

import (
	"time"

	"larchusher/maintenance"
)

const (
	// leaseRequestsPerLease is the mean number of lease requests during a lease, so that the lease survives a few lost replies.
	leaseRequestsPerLease = 5
	// maxUnanswered is the number of consecutive lease requests without a reply after which the next voter is asked.
	maxUnanswered = 2
	// repliesUntilFirstVoter is the number of replies, from any voter, after which the first voter is tried again.
	repliesUntilFirstVoter = 8
)

// HasLease reports whether the view is fresh at that time: no machine is out of service that the view does not list.
func (n *Node) HasLease(now time.Duration) bool { return n.view != nil && now < n.leaseUntil }

// leaseRequestInterval is the mean time between two lease requests.
func (n *Node) leaseRequestInterval() time.Duration {
	return n.cfg.Limits.Lease / leaseRequestsPerLease
}

// requestLeaseSoon has the next tick send a lease request, because there is something new to report to the voters.
func (n *Node) requestLeaseSoon() { n.nextLeaseRequest = min(n.nextLeaseRequest, n.now) }

// requestLease sends a lease request to the current voter, or to the next one after maxUnanswered requests without a reply.
// The time to the next request is random, 3/4 to 5/4 of the interval, so that gateways that started together don't send at
// the same time.
func (n *Node) requestLease() {
	interval := n.leaseRequestInterval()
	n.nextLeaseRequest = n.now + interval*3/4 + time.Duration(n.rng.Int64N(int64(interval/2)))
	n.unanswered++
	if n.unanswered > maxUnanswered {
		n.targetVoter = (n.targetVoter + 1) % len(n.cfg.Voters)
		n.unanswered = 1
	}
	n.lastID++
	n.leaseRequests[n.lastID] = n.now
	n.Counters.LeaseRequests++
	m := Message{Kind: RenewLease, ID: n.lastID, Incarnation: n.cfg.Incarnation, NoView: n.view == nil, ViewDigest: n.viewDigest,
		NotifiedEpoch: n.notifiedEpoch(), StoppedEpoch: n.stoppedEpoch, Report: &n.ownReport}
	n.send(n.cfg.Voters[n.targetVoter], m)
}

// notifiedEpoch is the epoch up to which this gateway knows all grants and won't forget them; with a durable view not even in
// a restart.
func (n *Node) notifiedEpoch() uint64 {
	if !n.cfg.Durable && n.view != nil {
		return n.view.Epoch
	}
	return n.durableEpoch
}

// receiveView handles the reply to a lease request: it adopts the view and renews the lease.
func (n *Node) receiveView(m Message) {
	sentAt, ok := n.leaseRequests[m.ID]
	if !ok {
		return // expired, or a duplicate
	}
	delete(n.leaseRequests, m.ID)
	n.unanswered = 0
	n.Counters.Views++
	n.preferFirstVoter()
	if m.Revision < n.viewRevision {
		return // overtaken by a newer reply: it does not confirm the current view
	}
	changed := false
	if m.Value != nil && m.ViewDigest != n.viewDigest {
		if !n.adoptView(m) {
			return
		}
		changed = true
	}
	if n.view == nil || m.ViewDigest != n.viewDigest {
		return // the voter left out the view that this node had when it sent the request, and has replaced since
	}
	n.viewRevision = m.Revision
	// The reply contains at least what was agreed on when the request was sent, so the lease is counted from then.
	n.leaseUntil = max(n.leaseUntil, sentAt+n.cfg.Limits.Lease)
	if changed || !n.drainedUnderLease {
		n.updateDrain()
	}
}

// preferFirstVoter switches back to the first voter after every repliesUntilFirstVoter replies, whichever voter sent them:
// the first voter is the coordinator while it runs, and needs the reports of all gateways. After the switch it may leave
// one request less without a reply than another voter may, so that little time is lost if it is down. That also applies
// when the replies came from the first voter itself, until its next reply.
func (n *Node) preferFirstVoter() {
	n.repliesSinceFirstVoter++
	if n.repliesSinceFirstVoter >= repliesUntilFirstVoter {
		n.targetVoter, n.repliesSinceFirstVoter, n.unanswered = 0, 0, maxUnanswered-1
	}
}

// adoptView replaces the view by that of a reply, and has it stored if views are durable. It reports false if the view can't
// be decoded.
func (n *Node) adoptView(m Message) bool {
	s, err := maintenance.Decode(m.Value)
	if err != nil {
		n.Counters.Unknown++
		return false
	}
	n.view, n.viewDigest = s, m.ViewDigest
	if n.cfg.Durable {
		n.storingRevision = m.Revision
		n.emit(StoreView{m.Revision, m.Value})
	}
	n.requestLeaseSoon()
	return true
}

// viewStored records that a view is durable, unless a newer one is being stored: of that nothing is known yet.
func (n *Node) viewStored(revision uint64) {
	if n.view != nil && revision == n.storingRevision {
		n.durableEpoch = n.view.Epoch
		n.requestLeaseSoon()
	}
}
