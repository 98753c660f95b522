// Package routing decides, for one director in front of a location's caches, which endpoint serves each
// request, which endpoint fills a miss, at which rank a copy is cached, what is retried or hedged, and
// what is rejected. Objects are placed by Adaptive Distributed Caching (Kaiser, Tsui, Liu).
//
// A [Director] does no I/O, reads no clock and starts no goroutine. Its caller passes one event at a time
// to [Director.Handle] and carries out the returned actions in order. Calls must not be concurrent; none
// of them blocks. The same settings, seed and events always give the same actions: the order of iteration,
// of floating-point sums and of random draws is part of the behavior.
//
// Times are durations on the caller's clock, which must not run backwards. Sizes are in kB. Work, the unit
// of slow-start budgets and of request costs, is in seconds of transfer at full pace.
//
// Each file holds one decision, with its constants at the top (recentWindow in slow_start.go is also the
// window in which fill latencies and hits count as recent):
//
//	director.go      dispatches events
//	endpoints.go     which endpoints are in use
//	request.go       steps of a request: choose a route, check the limits, forward
//	result.go        what is learned from the result of an attempt, and what follows it
//	mapping_table.go what is stored about an object, and which entries are evicted
//	placement.go     which cache serves a request, and which rank a copy gets
//	fill_source.go   which endpoint fills a miss
//	freshness.go     which copies are too old
//	inference.go     how an answer was served, where the result does not state it
//	limits.go        whether one more attempt may be in flight
//	slow_start.go    how much endpoints that are warming up may be sent
//	transfer_time.go how long an answer's transfer takes
//	retry.go         when a repeat is allowed, and the retry and hedge budgets; result.go and deadline.go start repeats
//	deadline.go      when a silent endpoint is abandoned, and when a request is rejected or failed
//	outlier.go       which endpoint is ejected, and when it returns
//	gossip.go        what is sent to other directors, and what is applied of their messages
//	snapshot.go      export and import of learned state across restarts
//	observe.go       state of endpoints, for planned maintenance
//	settings.go, events.go, actions.go, gossip_format.go, hash.go: types, encodings and hashing, no decisions
package routing
