package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
)

// failureCause is the reason of a failed request in the log.
type failureCause string

const (
	causeDeadline         failureCause = "deadline passed"
	causeNoFurtherAttempt failureCause = "no further attempt allowed"
	causeDirectorPanic    failureCause = "director panicked"
	causeDuplicateID      failureCause = "request id in use"
	causeNoIdempotencyKey failureCause = "no idempotency key"
	causeNoMemory         failureCause = "no memory for the answer"
)

// failureLogInterval is the shortest time between two log lines about failed requests. Where many
// requests fail, one line tells as much as all would, and writing all would take resources that the
// gateway needs then.
const failureLogInterval = time.Second

// failureLog limits the rate of log lines about failed requests.
type failureLog struct {
	latest     time.Time // time of the latest line; zero: there was none
	suppressed int       // lines left out since then
}

// logFailure logs why a request has failed, unless a line about another request was logged within
// failureLogInterval.
func (g *Gateway) logFailure(r *Request, a Answer) {
	now := g.cfg.Loop.Now()
	f := &g.failureLog
	if !f.latest.IsZero() && now.Sub(f.latest) < failureLogInterval {
		f.suppressed++
		return
	}
	fields := logrus.Fields{
		logfields.RequestID:  r.ID,
		logfields.Class:      r.Class,
		logfields.Outcome:    a.Outcome.String(),
		logfields.Reason:     string(a.cause),
		logfields.Attempts:   len(r.attempts),
		logfields.Suppressed: f.suppressed,
	}
	if n := len(r.attempts); n > 0 { // the latest attempt is the most telling one
		last := r.attempts[n-1]
		fields[logfields.Endpoint] = last.Endpoint
		fields[logfields.Status] = "in flight"
		if last.ended {
			fields[logfields.Status] = statusNames[last.status]
		}
	}
	f.latest, f.suppressed = now, 0
	g.cfg.Log.WithFields(fields).Warn(logfields.RequestFailed)
}
