package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
)

// failureCause is why a request has failed, as the log words it.
type failureCause string

const (
	causeDeadline         failureCause = "deadline passed"
	causeGivenUp          failureCause = "no further attempt allowed"
	causeDirectorPanic    failureCause = "director panicked"
	causeDuplicateID      failureCause = "request id in use"
	causeNoIdempotencyKey failureCause = "no idempotency key"
	causeNoMemory         failureCause = "no memory for the answer"
)

// failureLogInterval is the least time between two lines about failed requests: where many fail, one line says as much as
// all, and writing all would cost what the gateway needs then.
const failureLogInterval = time.Second

// failureLog bounds the lines about failed requests.
type failureLog struct {
	latest     time.Time // zero: there was none
	suppressed int       // since the latest
}

// logFailure writes why a request has failed, unless a line about another one was just written.
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
	if n := len(r.attempts); n > 0 { // the latest one says most
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
