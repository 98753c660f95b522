package client

import "fmt"

// Limits of a request, which the gateways check as well.
const (
	objectIDLen  = 16      // hex digits
	maxPart      = 1 << 20 // highest part number
	maxGroup     = 255
	maxBodyBytes = 48000
	maxTextBytes = 128 // of Key and Have
)

// Request is what a caller asks for. It must not be changed until Do has returned.
type Request struct {
	Class  string
	Object string // 16 hex digits
	Part   int
	Group  int    // 0 to 255
	Have   string // tag of a copy that the caller holds
	Key    string // idempotency key, of classes with the effect Keyed; empty: one is drawn
	Body   []byte // up to 48,000 bytes
}

// Response is what a caller gets.
type Response struct {
	Body      []byte // the caller's to keep
	Unchanged bool   // the copy that the caller holds is current
	Tag       string // of the copy, where the transport tells
	Tries     int    // attempts that were sent
}

// check returns an ErrRequest that names what can't be sent.
func (r *Request) check() error {
	switch {
	case r.Class == "":
		return fmt.Errorf("%w: Class is empty", ErrRequest)
	case len(r.Object) != objectIDLen || !isHex(r.Object):
		return fmt.Errorf("%w: Object %q has not 16 hex digits", ErrRequest, r.Object)
	case r.Part < 0 || r.Part > maxPart:
		return fmt.Errorf("%w: Part %d", ErrRequest, r.Part)
	case r.Group < 0 || r.Group > maxGroup:
		return fmt.Errorf("%w: Group %d", ErrRequest, r.Group)
	case len(r.Body) > maxBodyBytes:
		return fmt.Errorf("%w: Body has %d bytes", ErrRequest, len(r.Body))
	case len(r.Key) > maxTextBytes || len(r.Have) > maxTextBytes:
		return fmt.Errorf("%w: Key or Have is too long", ErrRequest)
	}
	return nil
}

// isHex reports whether s has lower-case hex digits only.
func isHex(s string) bool {
	for i := range len(s) {
		if c := s[i]; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}
