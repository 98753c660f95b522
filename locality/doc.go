// Package locality selects the locality that serves a request where the own one cannot serve all of
// its load: how much of the load stays, how much spills over to other localities and within what
// limits, which requests are rejected instead, and how an ejected locality gets its load back.
//
// A [Selector] learns of attempts by AttemptStarted, AttemptFinished, BypassFinished and
// HandleRejection, and of endpoints by SetCachesUp. It is ticked every Config.Tick, and Pick
// selects the locality of each request.
//
// The package does no I/O, reads no clock and holds no global state. Equal inputs and an equal
// Config.Seed give equal results. Times are durations on one clock that never goes back, with any
// origin. A Selector is not safe for concurrent use: it belongs to the gateway's event loop.
package locality
