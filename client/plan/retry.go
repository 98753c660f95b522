package plan

// initialRetryBudget is how many retries a new client has: few, since many clients that start at once must not add up.
const initialRetryBudget = 2

// retryBudget limits retries over all calls. Each success earns a part of a retry, up to a limit, so that retries
// stay a small part of the traffic while a fault lasts. Its unit is one retry.
type retryBudget struct {
	saved            float64
	earnedPerSuccess float64
	limit            float64
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{saved: min(initialRetryBudget, cfg.BudgetMost), earnedPerSuccess: cfg.Budget, limit: cfg.BudgetMost}
}

func (b *retryBudget) earn() { b.saved = min(b.limit, b.saved+b.earnedPerSuccess) }

// allows reports whether one more retry may be sent.
func (b *retryBudget) allows() bool { return b.saved >= 1 }

func (b *retryBudget) spend() { b.saved-- }

// retryOrFinish has a call wait for another attempt after the one that ended, or ends it.
func (p *Planner) retryOrFinish(c *call, as Ending, t *attempt) {
	if as == Unknown {
		c.recordMayHaveRun(t)
	}
	if !p.scheduleRetry(c) {
		p.finish(c, as, t.id)
	}
}

// scheduleRetry has a call wait for another attempt, and reports whether it may have one: it has attempts left, what may
// have run may be repeated, there is time for an answer, and the retry budget allows it.
func (p *Planner) scheduleRetry(c *call) bool {
	switch {
	case c.attemptCount > max(0, p.cfg.Retries):
		p.Counters.AttemptsUsedUp++
	case !p.mayRepeat(c):
		p.Counters.NotRepeatable++
	case p.tooLateToSend(c):
		p.Counters.NoTime++
	case !p.retryBudget.allows():
		p.Counters.BudgetSpent++
	default:
		p.retryBudget.spend()
		p.enqueue(c)
		return true
	}
	return false
}

// mayRepeat reports whether another attempt may be sent now. If one may have run, only idempotent calls may be
// repeated, and those with an idempotency key only so early that the repeat arrives within the class's window.
func (p *Planner) mayRepeat(c *call) bool {
	if c.class.Effect == Idempotent || c.mayHaveRunSince < 0 {
		return true
	}
	return c.class.Effect == IdempotentWithKey && p.now+p.cfg.Way < c.mayHaveRunSince+c.class.Window
}

// stopRetrying ends a call that may not be sent again, unless one of its attempts may still be answered.
func (p *Planner) stopRetrying(c *call) {
	p.Counters.NotRepeatable++
	switch {
	case len(c.inFlight) > 0:
		p.dequeue(c)
	case c.failed:
		p.finish(c, Failed, 0)
	default:
		p.finish(c, Unknown, 0)
	}
}
