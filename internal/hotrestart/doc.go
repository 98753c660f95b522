// Package hotrestart lets a new process of a gateway take over from a process that is still serving. The processes find each other
// by locks on files in a folder that they share. The kernel releases the locks of a process when it ends, so that a lock is
// never left behind by a process that has crashed.
//
// The process that serves is the active one. A process that joins while another is active is its successor:
//
//	successor                              active process
//	Join
//	RequestHandover: writes a token   -->  Watch sees the token, and calls back
//	returns a Handover                <--  AnswerFunc: writes the state, sends listening sockets
//	StartServing: takes a lock        -->  SuccessorServes
//	Handover.Connections.Next         <--  Link.Migrate: sends connections of clients
//	OnPredecessorExit calls back      <--  Close, or the end of the process
//
// The state is opaque to this package. Where Unix sockets don't work, the state is handed over without sockets.
//
// [Join], [Process.RequestHandover] and [Receiver.Next] block. [Process.Watch] and [Process.OnPredecessorExit] start goroutines,
// which [Process.Close] ends. The methods of a Process may be called from any goroutine. RequestHandover and OnPredecessorExit may
// be called once each, and not at the same time.
package hotrestart
