package msgpackrpc

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"larchusher/gateway"
	"larchusher/internal/logfields"
)

// Limits of a request's fields. Values within them can be passed on to any endpoint.
const (
	maxBodyBytes  = 48000
	maxPart       = 1 << 20     // highest part number of an object
	maxGroup      = 255         // highest group number
	maxSizeKB     = 1 << 20     // size of a part, in kB
	maxTimeLimit  = time.Minute // longer time limits of clients are cut to this
	maxFieldBytes = 128
	idDigits      = 16 // hex digits of request and object IDs

	numberBits = 31 // bits of a number in a field
)

// Errors of an unreadable request.
var (
	errMalformedID = fmt.Errorf("txn or item is not an id of %d lower-case hex digits", idDigits)
	errUnsafeText  = errors.New("unique or mine is too long, or has characters other than '-', '_', '.', digits and ASCII letters")
	errBodyTooLong = fmt.Errorf("body exceeds %d bytes", maxBodyBytes)
)

// clientMessage is one message on its way from the poller to the loop.
type clientMessage struct {
	kind    clientMessageKind
	id      uint64
	request *gateway.Request
	class   string // of an unreadable or dropped request
}

// clientMessageKind is the kind of a clientMessage.
type clientMessageKind byte

const (
	requestMessage    clientMessageKind = iota
	unreadableMessage                   // a request with a missing or invalid field
	cancelMessage
	aliveMessage
	droppedRequest // a request that there was no memory for
	ignoredMessage // an unknown notification
)

// parseMessage converts a message, copying what it needs from the frame, whose memory is reused afterwards. at is
// when the message's last byte arrived; a request's time limit counts from then.
func (c *conn) parseMessage(m *message, at time.Time) clientMessage {
	switch {
	case m.isCancel():
		return clientMessage{kind: cancelMessage, id: m.number}
	case m.kind == typeNotify: // unknown notifications are ignored
		return clientMessage{kind: ignoredMessage}
	case m.isAlive():
		return clientMessage{kind: aliveMessage, id: m.id}
	}
	class, ok := (*c.front.classes.Load())[string(m.method)] // does not allocate a string
	if !ok {
		class = string(m.method)
	}
	r, err := parseRequest(m, at)
	if err != nil {
		c.front.log.WithError(err).Debug(logfields.RequestUnreadable)
		return clientMessage{kind: unreadableMessage, id: m.id, class: class}
	}
	r.Class = class
	return clientMessage{kind: requestMessage, id: m.id, request: r}
}

// parseRequest parses a request except for its class. A field that cannot be passed on is an error: an endpoint would
// close the connection, which other requests share.
func parseRequest(m *message, at time.Time) (*gateway.Request, error) {
	f := &m.fields
	all := string(slices.Concat(f.id, f.object, f.idempotencyKey, f.ifNoneMatch)) // one allocation for all strings
	cut := func(b []byte) (s string) {
		s, all = all[:len(b)], all[len(b):]
		return s
	}
	r := &gateway.Request{
		ID:             cut(f.id),
		Object:         cut(f.object),
		IdempotencyKey: cut(f.idempotencyKey),
		IfNoneMatch:    cut(f.ifNoneMatch),
		Retry:          f.isRetry(),
		Body:           bytes.Clone(m.body),
		ArrivedAt:      time.Now(), // not at, which may be long ago if another process buffered the input
		Front:          gateway.PlatformFront,
		Admitted:       true,
	}
	numbers := numberParser{}
	limit := min(time.Duration(numbers.required("limit", f.timeLimit, 1<<numberBits))*time.Millisecond, maxTimeLimit)
	r.Part = int(numbers.optional("n", f.part, maxPart))
	r.Group = int(numbers.optional("shard", f.group, maxGroup))
	switch {
	case !isHexID(r.ID) || !isHexID(r.Object):
		return nil, errMalformedID
	case !isSafeOrEmpty(r.IdempotencyKey) || !isSafeOrEmpty(r.IfNoneMatch):
		return nil, errUnsafeText
	case len(r.Body) > maxBodyBytes:
		return nil, errBodyTooLong
	case numbers.err != nil:
		return nil, numbers.err
	}
	// The size only informs decisions and is not sent to endpoints: an unreadable one counts as absent.
	if kb, err := strconv.ParseFloat(string(f.sizeKB), 64); err == nil && kb > 0 && kb <= maxSizeKB {
		r.SizeKB = kb
	}
	r.Deadline = at.Add(limit)
	return r, nil
}

// numberParser parses whole numbers and keeps the first error.
type numberParser struct{ err error }

// optional parses a number of at most limit, and returns 0 if the field is absent.
func (p *numberParser) optional(field string, text []byte, limit uint64) uint64 {
	if len(text) == 0 {
		return 0
	}
	return p.required(field, text, limit)
}

// required parses a number of at most limit.
func (p *numberParser) required(field string, text []byte, limit uint64) uint64 {
	if p.err != nil {
		return 0
	}
	n, err := strconv.ParseUint(string(text), 10, numberBits)
	switch {
	case err != nil:
		p.err = fmt.Errorf("%s: %w", field, err)
	case n > limit:
		p.err = fmt.Errorf("%s: %d exceeds its limit", field, n)
	}
	return n
}

// isHexID reports whether s is an ID: idDigits lower-case hex digits.
func isHexID(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return len(s) == idDigits
}

// isSafeOrEmpty reports whether s is empty or can be passed on in a field of any of the endpoint protocols.
func isSafeOrEmpty(s string) bool {
	for i := range len(s) {
		if !isSafeChar(s[i]) {
			return false
		}
	}
	return len(s) <= maxFieldBytes
}

func isSafeChar(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return letter || isDigit(c) || c == '-' || c == '_' || c == '.'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
