// Package hotrestart lets a new process of a gateway take over from one that still serves. The processes find each other by locks
// on files in a folder that they share. The kernel releases a process's locks when it ends, so a lock never claims a process
// that is gone.
//
// The process that serves is the active one. A process that joins while one is active is its successor:
//
//	successor                              active process
//	Join
//	RequestHandover: writes a token   -->  Watch sees the token, and calls back
//	returns a Handover                <--  AnswerFunc: writes the state, sends listening sockets
//	StartServing: takes a lock        -->  SuccessorServes
//	Handover.Connections.Next         <--  Link.Migrate: sends connections of clients
//	OnPredecessorExit calls back      <--  Close, or the end of the process
//
// The package knows nothing of what the state is. Where Unix sockets don't work, no sockets go over, and the state does.
//
// [Join], [Process.RequestHandover] and [Receiver.Next] block. [Process.Watch] and [Process.OnPredecessorExit] start goroutines,
// which [Process.Close] ends. The methods of a Process may be called from any goroutine; RequestHandover and OnPredecessorExit
// once, one after the other.
package hotrestart
