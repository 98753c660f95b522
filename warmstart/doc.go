// Package warmstart decides which learned state a gateway may use that its present process has not learned itself, so that a
// restarted gateway does not start without any:
//
//   - [Snapshot] is the state saved by an earlier process of the gateway. Its confidence falls with its age, and an invalid snapshot
//     is not used.
//   - [Sharer] publishes learned state to other gateways through package replication, and collects theirs.
//   - [SaveSchedule] decides when snapshots are written.
//
// The package does no I/O, reads no clock and never blocks. Its types are not safe for concurrent use.
package warmstart
