package locality

import "larchusher/routing"

// Result is the result of an attempt at a locality.
type Result int

// Results of an attempt.
const (
	ResultSuccess  Result = iota // succeeded within its latency objective
	ResultLate                   // succeeded after its latency objective
	ResultFailure                // ended by an error, a broken connection or a timeout
	ResultRejected               // rejected by the locality or by its director for want of capacity
	ResultNeutral                // no evidence about the locality: canceled, never sent, or a miss that need not be filled
)

// resultWeights are the weights with which each result counts as good and as bad.
var resultWeights = [...]struct{ good, bad float64 }{
	ResultSuccess:  {1, 0},
	ResultLate:     {0.5, 0.5},
	ResultFailure:  {0, 1},
	ResultRejected: {0.5, 0.5},
	ResultNeutral:  {},
}

// ClassifyResult returns the result of an attempt by its status. cache is whether the attempt went
// to a cache of the locality; if it bypassed the caches, it counts as a failure, as the locality
// has caches that should have served it. late is whether the answer came after the latency
// objective. collateral is whether the connection was broken by the answer to another attempt.
func ClassifyResult(s routing.Status, cache, late, collateral bool) Result {
	r := ResultNeutral
	switch s {
	case routing.OK:
		r = ResultSuccess
		if late {
			r = ResultLate
		}
	case routing.ServerError, routing.TimedOut, routing.ConnectFailed, routing.Reset:
		if !collateral {
			r = ResultFailure
		}
	case routing.Rejected:
		r = ResultRejected
	default: // canceled, never sent or a miss
	}
	if !cache && r != ResultNeutral {
		return ResultFailure
	}
	return r
}
