package plan

import "time"

// retryAfterJitter is the largest part of a Retry-After that is added to it, so that clients that were rejected
// together don't return together.
const retryAfterJitter = 0.25

// Scores of an attempt's result in a gateway's success rate.
const (
	servedScore   = 1
	rejectedScore = 0.5
	failedScore   = 0
)

// handleAnswer settles the attempt that was answered.
func (p *Planner) handleAnswer(cn *conn, a Answered) {
	cn.lastReceived = p.now
	if !cn.checkingHealth { // a gateway under a health check has to answer that one
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

// recordLateAnswer counts the answer to an attempt that was abandoned, answered before or never sent. Its
// Retry-After can't be heeded: the class is not known any more.
func (p *Planner) recordLateAnswer(a Answered) {
	p.Counters.Late++
	if a.Rejected && a.RetryAfter > 0 {
		p.Counters.RejectionsHeeded++
	}
}

func (p *Planner) handleServed(t *attempt) {
	p.retryBudget.earn()
	t.conn.gateway.recordResult(servedScore)
	p.finish(t.call, Served, t.id)
}

// handleRejected holds back all calls of the class from the gateway until its Retry-After has passed, and retries the
// call elsewhere if it may.
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
