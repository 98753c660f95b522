package resp

import (
	"maps"

	"larchusher/routing"
)

// Number of strings in an answer (ID, status, fields and body) and in the short form of the answer to a ping (ID and
// status).
const (
	answerStrings     = 4
	pingAnswerStrings = 2
)

// notModified is the status word of an answer that says that the client's copy is current.
const notModified = "KEEP"

// statuses are the statuses of attempts by the status words of answers.
var statuses = map[string]routing.Status{"DONE": routing.OK, notModified: routing.OK, "LACK": routing.Miss,
	"WAIT": routing.Rejected, "BROKE": routing.ServerError, "PAST": routing.NotSent}

// reasons are the reasons of results by the words with which endpoints explain how they served a request, or why they
// did not. Other words are ignored.
var reasons = map[string]routing.Reason{"warm": routing.ReasonHit, "fill": routing.ReasonFilled,
	"deep_fill": routing.ReasonFilledByOrigin, "piggy": routing.ReasonCoalesced, "aged": routing.ReasonStale,
	"bounced": routing.ReasonSourceRejected, "dropped": routing.ReasonSourceLost, "lacking": routing.ReasonSourceMiss,
	"jammed": routing.ReasonNoFillSlot, "backfire": routing.ReasonOriginFailed}

// isPingAnswer reports whether a status word answers a ping. Both words show that the connection works, whatever they
// say about the endpoint's health.
func isPingAnswer(status string) bool { return status == "FIT" || status == "UNFIT" }

// loadFieldAliases has the protocol's name for each of the simulator's names of load report fields, and vice versa:
// the settings may use either names, independent of what endpoints send.
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
