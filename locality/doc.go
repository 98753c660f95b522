// Package locality decides which locality serves a request when the own one can't serve all: how much of the load stays, how
// much spills over to other localities and within what bounds, what is rejected instead, and how a locality that was ejected
// gets its load back.
//
// A [Selector] is told of attempts by AttemptStarted, AttemptFinished and HandleRejection, is ticked every Config.Tick, and
// answers for each request by Pick.
//
// The package does no I/O, reads no clock and holds no global state. Equal inputs and an equal Config.Seed give equal answers.
// Times are on one clock that runs forward, from any beginning. A Selector is not safe for concurrent use: it belongs to the
// gateway's event loop.
package locality
