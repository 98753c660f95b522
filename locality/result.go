package locality

import "larchusher/routing"

// Result is how an attempt at a locality ended.
type Result int

// Results of an attempt.
const (
	ResultSuccess  Result = iota // answered in time
	ResultLate                   // answered after its latency objective
	ResultFailure                // ended by an error, a broken connection or a timeout
	ResultRejected               // rejected by the locality, or by its director, for want of capacity
	ResultNeutral                // says nothing of the locality: canceled, never sent, or a miss of what needn't be filled
)

// resultWeights are how much a result counts as good and as bad.
var resultWeights = [...]struct{ good, bad float64 }{
	ResultSuccess:  {1, 0},
	ResultLate:     {0.5, 0.5},
	ResultFailure:  {0, 1},
	ResultRejected: {0.5, 0.5},
	ResultNeutral:  {},
}

// ClassifyResult returns what the end of an attempt says of its locality. cache: it went to a cache there, and not past them,
// which speaks against a locality that has caches. late: its answer came after its latency objective. collateral: it was
// another attempt's answer that broke the connection which they shared.
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
