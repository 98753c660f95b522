// Package logfields defines the names that log lines use: the event, which is the message of a line, and the fields with its
// details. docs/operators/logs.md lists both for operators. Packages that log use these constants only, so that a search for an
// event or a field finds all of its lines.
package logfields

// Names of fields.
const (
	Address    = "listen"      // local address: of a listener, or one that a connection was accepted on
	Attempts   = "attempts"    // number of attempts made for a request
	Audit      = "audit"       // subject of an entry of the audit trail
	BadRecords = "bad_records" // number of damaged records of a file that were skipped
	Class      = "class"       // class of a request
	Detail     = "detail"      // details in words
	Endpoint   = "endpoint"    // cache, parent or origin, by its name on the endpoint list
	Endpoints  = "endpoints"   // names of several endpoints
	Error      = "error"       // text of an error
	File       = "file"        // name of a file
	Folder     = "folder"      // path of a folder
	Format     = "format"      // version number of data whose format is unknown
	From       = "from"        // source: an address or a gateway's name
	Gateway    = "gateway"     // name of the gateway that logs
	InFlight   = "in_flight"   // number of attempts in flight
	Input      = "input"       // Go type of the event that a director was processing
	Keys       = "keys"        // configuration keys, separated by spaces
	Listener   = "listener"    // purpose of a listener
	Member     = "member"      // name of another gateway of the cluster
	Outcome    = "outcome"     // how a request ended
	Position   = "position"    // position in the endpoint list's events of the latest one that was applied
	Reason     = "reason"      // why something was done or not done
	RequestID  = "request_id"  // id that the client gave a request
	Self       = "self"        // name of this gateway in the cluster
	Stack      = "stack"       // stack trace of a goroutine
	Status     = "status"      // how an attempt ended
	Suppressed = "suppressed"  // number of lines of the same event that were not logged since the previous one
	Truncated  = "truncated"   // whether a file is truncated
	To         = "to"          // destination: an address or a gateway's name
)
