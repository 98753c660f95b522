package plan

// Counters count decisions since the planner was made.
type Counters struct {
	Calls            uint64
	Attempts         uint64
	Retries          uint64 // attempts beyond a call's first
	Crossed          uint64 // attempts that crossed an orderly close on the way and were sent again
	Late             uint64 // answers to attempts that were abandoned, answered before or never sent
	RejectionsHeeded uint64 // rejections with a Retry-After

	Ended [Closed + 1]uint64 // by Ending

	// Retries that were not made, by reason.
	BudgetSpent    uint64
	NoTime         uint64
	NotRepeatable  uint64
	AttemptsUsedUp uint64

	Connects     uint64
	Ejections    uint64
	HealthChecks uint64
	Redirected   uint64 // attempts sent to another gateway because theirs was ejected
	Unresponsive uint64 // health checks that stayed unanswered
}

// All returns the counters by the names under which they are published.
func (c *Counters) All() map[string]uint64 {
	all := map[string]uint64{
		"calls":             c.Calls,
		"tries":             c.Attempts,
		"retries":           c.Retries,
		"crossed":           c.Crossed,
		"late_answers":      c.Late,
		"held_by_refusal":   c.RejectionsHeeded,
		"retry_no_budget":   c.BudgetSpent,
		"retry_no_time":     c.NoTime,
		"retry_not_allowed": c.NotRepeatable,
		"retry_used_up":     c.AttemptsUsedUp,
		"connects":          c.Connects,
		"deaths":            c.Ejections,
		"probes":            c.HealthChecks,
		"redirected":        c.Redirected,
		"hung_up":           c.Unresponsive,
	}
	for i, n := range c.Ended {
		all["ended_"+Ending(i).String()] = n
	}
	return all
}
