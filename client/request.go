package client

import "fmt"

// Limits of a request. The gateways check them as well.
const (
	objectIDLen  = 16      // hex digits
	maxPart      = 1 << 20 // highest part number
	maxGroup     = 255
	maxBodyBytes = 48000
	maxTextBytes = 128 // for each of Key and Have
)

// Request is a request for a part of an object. It must not be changed until [Client.Do] has returned.
type Request struct {
	Class  string // the name of one of Config.Classes
	Object string // id of the object: 16 lower-case hex digits
	Part   int    // 0 to 1,048,576
	Group  int    // 0 to 255
	Have   string // tag of the caller's copy, for revalidation, up to 128 bytes; empty: no copy
	Key    string // idempotency key for classes with the effect Keyed, up to 128 bytes; empty: a random one. To be used again only within Class.Window of its first call
	Body   []byte // up to 48,000 bytes
}

// Response is the answer to a request that was served.
type Response struct {
	Body      []byte // belongs to the caller; empty if Unchanged
	Unchanged bool   // the copy named by Request.Have is current
	Tag       string // tag of the object, for Request.Have; empty: not given (the RPC transport gives none)
	Tries     int    // attempts that were sent
}

// check returns an error that wraps ErrRequest and names the first invalid field, or nil.
func (r *Request) check() error {
	switch {
	case r.Class == "":
		return fmt.Errorf("%w: Class is empty, want the name of a class", ErrRequest)
	case len(r.Object) != objectIDLen || !isHex(r.Object):
		return fmt.Errorf("%w: Object is %q, want 16 lower-case hex digits", ErrRequest, r.Object)
	case r.Part < 0 || r.Part > maxPart:
		return fmt.Errorf("%w: Part is %d, want 0 to 1048576", ErrRequest, r.Part)
	case r.Group < 0 || r.Group > maxGroup:
		return fmt.Errorf("%w: Group is %d, want 0 to 255", ErrRequest, r.Group)
	case len(r.Body) > maxBodyBytes:
		return fmt.Errorf("%w: Body has %d bytes, want at most 48000", ErrRequest, len(r.Body))
	case len(r.Key) > maxTextBytes || len(r.Have) > maxTextBytes:
		return fmt.Errorf("%w: Key or Have is longer than 128 bytes", ErrRequest)
	}
	return nil
}

// isHex reports whether s consists of lower-case hex digits only.
func isHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
