package plan

import "time"

// retryAfterJitter is the maximum random fraction of a Retry-After that is added to it, so that clients that were rejected
// at the same time don't all come back at the same time.
const retryAfterJitter = 0.25

// Scores of an attempt in the success rate of its gateway, by the attempt's result.
const (
	servedScore   = 1
	rejectedScore = 0.5
	failedScore   = 0
)

// handleAnswer processes the answer to an attempt. It closes an unresponsive connection whose last attempt was answered.
func (p *Planner) handleAnswer(cn *conn, a Answered) {
	cn.lastReceived = p.now
	if !cn.checkingHealth { // an ejected gateway must answer the health check itself
		cn.healthCheckSentAt = 0
	}
	t := cn.attempts[a.Attempt]
	if t == nil {
		p.recordLateAnswer(a)
		return
	}
	p.releaseAttempt(t)
	t.call.removeAttempt(t)
	switch {
	case a.OK:
		p.handleServed(t)
	case a.Rejected:
		p.handleRejected(t, a.RetryAfter)
	default:
		p.handleFailed(t)
	}
	if cn.unresponsive && len(cn.attempts) == 0 {
		p.closeConn(cn)
	}
}

// recordLateAnswer counts the answer to an attempt that was abandoned, has been answered before or was never sent. A
// Retry-After in it has no effect on the gateway, since the class of the attempt is no longer known.
func (p *Planner) recordLateAnswer(a Answered) {
	p.Counters.Late++
	if a.Rejected && a.RetryAfter > 0 {
		p.Counters.RejectionsHeeded++
	}
}

func (p *Planner) handleServed(t *attempt) {
	p.retryBudget.earn()
	t.conn.gateway.recordResult(servedScore)
	t.call.recordMayHaveRun(t)
	p.finish(t.call, Served, t.id)
}

// handleRejected sends no call of the class to the gateway until the Retry-After, plus jitter, has passed. It retries the
// call if that is allowed, and ends it as Refused otherwise.
func (p *Planner) handleRejected(t *attempt, retryAfter time.Duration) {
	c, g := t.call, t.conn.gateway
	g.recordResult(rejectedScore)
	if retryAfter > 0 {
		p.Counters.RejectionsHeeded++
		until := p.now + retryAfter + time.Duration(p.rng.Float64()*retryAfterJitter*float64(retryAfter))
		g.rejectedUntil[c.Class] = max(g.rejectedUntil[c.Class], until)
		c.rejectedUntil = max(c.rejectedUntil, until)
	}
	if !p.superseded(c) {
		p.retryOrFinish(c, Refused, t)
	}
}

func (p *Planner) handleFailed(t *attempt) {
	c := t.call
	t.conn.gateway.recordResult(failedScore)
	c.failed = true
	c.recordMayHaveRun(t)
	if !p.superseded(c) {
		p.retryOrFinish(c, Failed, t)
	}
}
