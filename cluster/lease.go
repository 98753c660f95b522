package cluster

import (
	"time"

	"larchusher/maintenance"
)

const (
	// leaseRequestsPerLease is how often a gateway renews: some answers may be lost before the lease runs out.
	leaseRequestsPerLease = 5
	// maxUnanswered is how many requests in a row a voter may leave without an answer before the next voter is asked.
	maxUnanswered = 2
	// repliesUntilFirstVoter is how many answers, of whichever voters, it takes to try the first one again.
	repliesUntilFirstVoter = 8
)

// HasLease reports whether the view is fresh: no machine that it does not name has been taken out.
func (n *Node) HasLease(now time.Duration) bool { return n.view != nil && now < n.leaseUntil }

// leaseRequestInterval is the mean time between two requests.
func (n *Node) leaseRequestInterval() time.Duration {
	return n.cfg.Limits.Lease / leaseRequestsPerLease
}

// requestLeaseSoon sends the next request at the next tick: there is something to tell the voters.
func (n *Node) requestLeaseSoon() { n.nextLeaseRequest = min(n.nextLeaseRequest, n.now) }

// requestLease asks a voter for the agreed state. The time to the next request is drawn from 3/4 to 5/4 of the interval, so that
// gateways that started together don't ask together.
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

// notifiedEpoch is the epoch up to which this gateway will not forget a grant: with a durable view, not even at a restart.
func (n *Node) notifiedEpoch() uint64 {
	if !n.cfg.Durable && n.view != nil {
		return n.view.Epoch
	}
	return n.durableEpoch
}

// receiveView takes in an answer to a lease request.
func (n *Node) receiveView(m Message) {
	sentAt, ok := n.leaseRequests[m.ID]
	if !ok {
		return // given up, or a duplicate
	}
	delete(n.leaseRequests, m.ID)
	n.unanswered = 0
	n.Counters.Views++
	n.preferFirstVoter()
	if m.Revision < n.viewRevision {
		return // overtaken by a newer answer: it proves nothing of what is known by now
	}
	changed := false
	if m.Value != nil && m.ViewDigest != n.viewDigest {
		if !n.adoptView(m) {
			return
		}
		changed = true
	}
	if n.view == nil || m.ViewDigest != n.viewDigest {
		return // the answer takes for granted a view that this node no longer has
	}
	n.viewRevision = m.Revision
	// The answer holds what was agreed on when the request left: the lease counts from then.
	n.leaseUntil = max(n.leaseUntil, sentAt+n.cfg.Limits.Lease)
	if changed || !n.drainedUnderLease {
		n.updateDrain()
	}
}

// preferFirstVoter has the first voter tried again after every repliesUntilFirstVoter answers, whoever gave them. It is the
// coordinator while it runs, and needs all reports. Tried again, it may leave one request less without an answer than another
// voter, so that little time is lost where it is down; that holds after its own answers, too, until the next one.
func (n *Node) preferFirstVoter() {
	n.repliesSinceFirstVoter++
	if n.repliesSinceFirstVoter >= repliesUntilFirstVoter {
		n.targetVoter, n.repliesSinceFirstVoter, n.unanswered = 0, 0, maxUnanswered-1
	}
}

// adoptView takes over the view of an answer; false: it can't be read.
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

// viewStored takes in that a view is durable. Of views that were stored since, nothing is known yet.
func (n *Node) viewStored(revision uint64) {
	if n.view != nil && revision == n.storingRevision {
		n.durableEpoch = n.view.Epoch
		n.requestLeaseSoon()
	}
}
