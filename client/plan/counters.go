package plan

// Counters counts the planner's decisions since it was created.
type Counters struct {
	Calls            uint64
	Attempts         uint64
	Retries          uint64 // attempts after the first of a call
	Crossed          uint64 // attempts that crossed an orderly close of their connection, so that the call was queued again
	Late             uint64 // answers to attempts that were abandoned, answered before or never sent
	RejectionsHeeded uint64 // rejections with a Retry-After, including those among late answers

	Ended [Closed + 1]uint64 // calls by Ending

	// Retries that were not made, by reason.
	BudgetSpent    uint64 // the retry budget was empty
	NoTime         uint64 // the call had no time left for an answer
	NotRepeatable  uint64 // an earlier attempt may have run, and the class does not allow another one
	AttemptsUsedUp uint64 // the call had made all its attempts (Config.Retries)

	Connects     uint64 // connections that the planner began to open
	Ejections    uint64 // including those of gateways that were ejected already
	HealthChecks uint64 // health checks sent
	Redirected   uint64 // attempts sent to another gateway because that of the call was ejected
	Unresponsive uint64 // health checks that were not answered in time
}

// All returns the counters by their published names.
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
