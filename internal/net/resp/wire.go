package resp

import (
	"maps"

	"larchusher/routing"
)

// How many strings an answer has: id, status, fields and body; and that to a ping: id and status.
const (
	answerStrings     = 4
	pingAnswerStrings = 2
)

// notModified is the status of an answer that the client's copy is current.
const notModified = "KEEP"

// statuses are what an answer's status word says of its attempt.
var statuses = map[string]routing.Status{"DONE": routing.OK, notModified: routing.OK, "LACK": routing.Miss,
	"WAIT": routing.Rejected, "BROKE": routing.ServerError, "PAST": routing.NotSent}

// reasons are what endpoints say of how they served a request, or why not. Any other word says nothing.
var reasons = map[string]routing.Reason{"warm": routing.ReasonHit, "fill": routing.ReasonFilled,
	"deep_fill": routing.ReasonFilledByOrigin, "piggy": routing.ReasonCoalesced, "aged": routing.ReasonStale,
	"bounced": routing.ReasonSourceRejected, "dropped": routing.ReasonSourceLost, "lacking": routing.ReasonSourceMiss,
	"jammed": routing.ReasonNoFillSlot, "backfire": routing.ReasonOriginFailed}

// isPingAnswer reports whether an answer's status word answers a ping. Both words say that the connection works, whatever
// they say of the endpoint.
func isPingAnswer(status string) bool { return status == "FIT" || status == "UNFIT" }

// loadFieldAliases are the simulator's names of load report fields by those of this protocol, and the other way round: the
// settings may use either, whatever endpoints do.
var loadFieldAliases = func() map[string]string {
	aliases := map[string]string{
		"inflight":   "busy_reqs",
		"util":       "cpu_share",
		"queue":      "pending",
		"latency_ms": "svc_ms",
		"qps":        "served_ps",
		"eps":        "failed_ps",
	}
	for simulator, here := range maps.Clone(aliases) {
		aliases[here] = simulator
	}
	return aliases
}()
