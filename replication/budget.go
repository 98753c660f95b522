package replication

import "time"

const (
	// ownBulkShare is the part of its budget that a node's own bulk may cost all members: one in so many bytes.
	ownBulkShare = 4
	// bulkBurstSeconds is for how long a node may save up its own bulk budget.
	bulkBurstSeconds = 4
	// minBulkBurst is what may be saved up in any case, in bytes.
	minBulkBurst = 4096
	// minBulkBudget is what one more bulk slot may cost, in bytes.
	minBulkBudget = 256
	// safetyReserve is the part of a node's budget that bulk may not use, so that safety slots need not wait: one in so many bytes a second.
	safetyReserve = 4
)

// refillBudgets adds what may be sent since the last event.
func (n *Node) refillBudgets() {
	elapsed := (n.now - n.budgetsAt).Seconds()
	n.budgetsAt = n.now
	rate := float64(n.cfg.BytesPerSecond)
	n.sendBudget = min(rate, n.sendBudget+elapsed*rate)
	ownRate := rate / ownBulkShare / float64(len(n.cfg.Members))
	n.bulkBudget = min(max(bulkBurstSeconds*ownRate, minBulkBurst), n.bulkBudget+elapsed*ownRate)
}

// BulkBudgetSpent reports that this node's own bulk has cost its peers what it may for now.
func (n *Node) BulkBudgetSpent() bool { return n.bulkBudget < minBulkBudget }

// publishBulk writes a bulk slot, if what it costs each other member is within the budget.
func (n *Node) publishBulk(now time.Duration, k Kind, key string, value []byte, seen time.Duration) bool {
	cost := float64(estimateSlotBytes(key, value, n.cfg.Self.Name))
	if n.bulkBudget < cost {
		n.Stats.Throttled++
		return false
	}
	if !n.Write(now, n.cfg.WallClock(), k, key, value, seen) {
		return false
	}
	n.bulkBudget -= cost
	return true
}
