package plan

import "time"

// initialRetryBudget is the retry budget of a new client, in retries. It is small because many clients may start at once,
// and their budgets add up.
const initialRetryBudget = 2

// retryBudget is a token bucket that limits the retries of all calls together. Each served call adds a fraction of a retry,
// so that retries remain a small share of the traffic during a fault. All values are in retries.
type retryBudget struct {
	tokens           float64
	earnedPerSuccess float64 // Config.Budget
	limit            float64 // Config.BudgetMost
}

func newRetryBudget(cfg Config) retryBudget {
	return retryBudget{tokens: min(initialRetryBudget, cfg.BudgetMost), earnedPerSuccess: cfg.Budget, limit: cfg.BudgetMost}
}

func (b *retryBudget) earn() { b.tokens = min(b.limit, b.tokens+b.earnedPerSuccess) }

// allows reports whether the budget contains at least one retry.
func (b *retryBudget) allows() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() { b.tokens-- }

// retryOrFinish queues a call for another attempt after attempt t failed, or ends the call with the given ending if it may
// not be retried.
func (p *Planner) retryOrFinish(c *call, ending Ending, t *attempt) {
	if ending == Unknown {
		c.recordMayHaveRun(t)
	}
	if !p.scheduleRetry(c) {
		p.finish(c, ending, t.id)
	}
}

// scheduleRetry queues a call for another attempt and takes a retry from the budget. It returns false and counts the reason
// if the call has no attempts left, may not be repeated, has no time left for an answer, or if the retry budget is empty.
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

// mayRepeat reports whether another attempt of a call may be sent now: the repeat must arrive before repeatableUntil.
func (p *Planner) mayRepeat(c *call) bool { return p.now+p.cfg.Way < c.repeatableUntil() }

// repeatableUntil returns until when gateways may get another attempt of a call. If no attempt may have run, or the call is
// idempotent, there is no limit (never). Otherwise the call must have an idempotency key, and the repeat must arrive within the
// class's window, which begins when the first attempt that may have run was sent, to whichever gateway.
func (c *call) repeatableUntil() time.Duration {
	switch {
	case c.repeatableAnyTime():
		return never
	case c.class.Effect == IdempotentWithKey:
		return c.firstMayHaveRun() + c.class.Window
	default:
		return c.firstMayHaveRun()
	}
}

// stopRetrying ends a waiting call that may no longer be repeated. If an attempt is still in flight, the call is only taken
// from the waiting calls, since that attempt may be answered.
func (p *Planner) stopRetrying(c *call) {
	p.Counters.NotRepeatable++
	if len(c.inFlight) > 0 {
		p.dequeue(c)
		return
	}
	p.finish(c, c.uncertainEnding(), 0)
}
