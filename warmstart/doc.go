// Package warmstart decides what a gateway may use of state that it has not learned itself just now:
//
//   - of a [Snapshot] that it, or the process before it, has left: whether it is valid, and what it still counts for at its age;
//   - of what other gateways publish by way of package replication, and what it publishes itself: [Sharer];
//   - and when snapshots are written: [SaveSchedule].
//
// The package does no I/O and reads no clock. Nothing blocks. Its types are not safe for concurrent use.
package warmstart
