// Package routing decides, for one director in front of a location's caches, where each request goes,
// where a miss is filled from, what is kept, and what is refused.
//
// The package does no I/O and reads no clock: the caller hands events to [Director.Handle] and carries out
// the actions it returns, in order. A Director is not safe for concurrent use. Given the same settings, seed
// and events it always returns the same actions.
package routing
