package replication

import "time"

const (
	// ownBulkDivisor limits what a node's own bulk slots may cost all members together to 1/ownBulkDivisor of
	// BytesPerSecond.
	ownBulkDivisor = 4
	// bulkBurstSeconds is the number of seconds for which the budget of own bulk slots accumulates.
	bulkBurstSeconds = 4
	// minBulkBurst is the minimum, in bytes, up to which that budget accumulates.
	minBulkBurst = 4096
	// minBulkBudget is the budget in bytes below which it counts as spent, since one more bulk slot may cost as much.
	minBulkBudget = 256
	// safetyReserveDivisor reserves the last 1/safetyReserveDivisor of the send budget for safety slots, so that they
	// need not wait behind bulk.
	safetyReserveDivisor = 4
)

// refillBudgets adds to the budgets what may be sent for the time since the previous event. The send budget accumulates
// for at most one second.
func (n *Node) refillBudgets() {
	elapsed := (n.now - n.budgetsUpdatedAt).Seconds()
	n.budgetsUpdatedAt = n.now
	rate := float64(n.cfg.BytesPerSecond)
	n.sendBudget = min(rate, n.sendBudget+elapsed*rate)
	ownRate := rate / ownBulkDivisor / float64(len(n.cfg.Members))
	n.bulkBudget = min(max(bulkBurstSeconds*ownRate, minBulkBurst), n.bulkBudget+elapsed*ownRate)
}

// BulkBudgetSpent reports whether the budget for this node's own bulk slots is spent for now.
func (n *Node) BulkBudgetSpent() bool { return n.bulkBudget < minBulkBudget }

// publishBulk writes a bulk slot, if its size is within the budget for own bulk slots. It reports whether the slot was
// written.
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
