// Package routing decides, for one director in front of a location's caches, where each request goes, who fills a miss, at
// which rank a copy is cached, what is retried or hedged, and what is rejected. It places objects by Adaptive Distributed
// Caching (Kaiser, Tsui, Liu).
//
// A [Director] does no I/O, reads no clock and starts no goroutine. Its caller hands it one event at a time through
// [Director.Handle], from one goroutine at a time, and carries out the actions that it returns, in order. No call blocks.
// The same settings, seed and events always give the same actions: the order of iteration, of floating-point sums and of
// random draws is part of the behavior.
//
// Times are durations on the caller's clock, which must not run backwards. Sizes are in kB. Work, the unit of slow-start
// budgets and of request costs, is in seconds of transfer at full pace.
//
// Each file holds one decision, with its constants at the top (recentWindow in slow_start.go is also the window of fills and
// listings):
//
//	director.go      dispatches events
//	endpoints.go     which endpoints are in use
//	request.go       the way of a request: route, check, forward
//	result.go        what the result of an attempt teaches, and what follows
//	mapping_table.go what is remembered of an object, and what is evicted
//	placement.go     which cache serves, and which rank a copy gets
//	fill_source.go   who fills a miss
//	freshness.go     which copies are too old
//	inference.go     what answers imply that don't tell how they were served
//	limits.go        whether one more may be in flight
//	slow_start.go    what endpoints that are warming up may be sent
//	transfer_time.go how long an answer's transfer takes
//	retry.go         when a repeat is allowed, and the budgets of retries and hedges; result.go and deadline.go start them
//	deadline.go      when a silent endpoint is left, and when a request is rejected or failed
//	outlier.go       which endpoint is ejected, and when it returns
//	gossip.go        what is sent to other directors, and what is taken over from them
//	snapshot.go      what outlives the process
//	observe.go       what is known of endpoints, for planned maintenance
//	settings.go, events.go, actions.go, gossip_format.go, hash.go: types, encodings and hashing; they decide nothing
package routing
