// Package logfields defines the log's vocabulary: the event that each line names as its message, and the fields that give
// its particulars. docs/operators/logs.md lists both for operators. Packages that log take their names from here, so that a
// search for an event or a field finds all of its lines.
package logfields

// Fields.
const (
	Address    = "listen"      // address that is listened on, or that a connection came to
	Attempts   = "attempts"    // attempts that a request has had
	Audit      = "audit"       // what an entry of the audit trail is about
	BadRecords = "bad_records" // records of a file that were skipped
	Class      = "class"       // of a request
	Detail     = "detail"      // particulars in words
	Endpoint   = "endpoint"    // cache, parent or origin, by its name on the endpoint list
	Endpoints  = "endpoints"   // several of them
	Error      = "error"       // what went wrong
	File       = "file"        // name of a file
	Folder     = "folder"      // path of a folder
	Format     = "format"      // of data that is not understood
	From       = "from"        // where something came from: an address or a gateway
	Gateway    = "gateway"     // name of the gateway that logs
	InFlight   = "in_flight"   // attempts that were in flight
	Input      = "input"       // type of the event that a director was given
	Keys       = "keys"        // configuration keys
	Listener   = "listener"    // what a listening socket is for
	Member     = "member"      // another gateway of the cluster
	Outcome    = "outcome"     // of a request
	Position   = "position"    // of the latest event of the endpoint list's feed that was taken in
	Reason     = "reason"      // why something was done or not done
	RequestID  = "request_id"  // the client's id of a request
	Self       = "self"        // this gateway, by its name in the cluster
	Stack      = "stack"       // of a goroutine
	Status     = "status"      // how an attempt ended
	Suppressed = "suppressed"  // lines of the same event that were left out since the latest one
	Truncated  = "truncated"   // a file ends early
	To         = "to"          // where something goes to: an address or a gateway
)
