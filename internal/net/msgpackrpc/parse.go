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

// Limits of a request's fields. What they allow can be passed on to any endpoint.
const (
	maxBodyBytes  = 48000
	maxPart       = 1 << 20     // of one object
	maxGroup      = 255         // the last group
	maxSizeKB     = 1 << 20     // of a part
	maxTimeLimit  = time.Minute // that a client may wait
	maxFieldBytes = 128
	idDigits      = 16 // of the ids of requests and objects
)

// Errors of a request that cannot be read.
var (
	errIDs       = fmt.Errorf("txn and item have %d hex digits", idDigits)
	errNotPlain  = errors.New("unique or mine has a character that cannot be passed on, or is too long")
	errBodyBytes = fmt.Errorf("the body has more than %d bytes", maxBodyBytes)
)

// clientMessage is one message on its way to the loop.
type clientMessage struct {
	kind    clientMessageKind
	id      uint64
	request *gateway.Request
	class   string // of a request that cannot be read
}

type clientMessageKind byte

const (
	requestMessage    clientMessageKind = iota
	unreadableMessage                   // a request that cannot be read
	cancelMessage
	aliveMessage
	ignoredMessage // a notification that means nothing here
)

// parseMessage reads a message; the frame's memory is used again afterwards. A request counts its time from when its last
// byte came.
func (c *conn) parseMessage(m *message, at time.Time) clientMessage {
	switch {
	case m.isCancel():
		return clientMessage{kind: cancelMessage, id: m.number}
	case m.kind == typeNotify: // unknown notifications are ignored
		return clientMessage{kind: ignoredMessage}
	case m.isAlive():
		return clientMessage{kind: aliveMessage, id: m.id}
	}
	class, ok := (*c.front.classes.Load())[string(m.method)] // makes no string
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

// parseRequest reads all of a request but its class. What it cannot pass on is an error: an endpoint would close the
// connection that other requests share.
func parseRequest(m *message, at time.Time) (*gateway.Request, error) {
	f := &m.fields
	all := string(slices.Concat(f.id, f.object, f.idempotencyKey, f.ifNoneMatch)) // one string that all are parts of
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
		ArrivedAt:      time.Now(), // at may be long ago, if another process has held the connection
		Front:          gateway.PlatformFront,
		Admitted:       true,
	}
	numbers := numberParser{}
	limit := min(time.Duration(numbers.required("limit", f.timeLimit, 1<<31))*time.Millisecond, maxTimeLimit)
	r.Part = int(numbers.optional("n", f.part, maxPart))
	r.Group = int(numbers.optional("shard", f.group, maxGroup))
	switch {
	case !isHexID(r.ID) || !isHexID(r.Object):
		return nil, errIDs
	case !isPlainOrEmpty(r.IdempotencyKey) || !isPlainOrEmpty(r.IfNoneMatch):
		return nil, errNotPlain
	case len(r.Body) > maxBodyBytes:
		return nil, errBodyBytes
	case numbers.err != nil:
		return nil, numbers.err
	}
	// A size helps to decide and reaches no endpoint: one that cannot be read counts as not stated.
	if kb, err := strconv.ParseFloat(string(f.sizeKB), 64); err == nil && kb > 0 && kb <= maxSizeKB {
		r.SizeKB = kb
	}
	r.Deadline = at.Add(limit)
	return r, nil
}

// numberParser reads whole numbers. The first error sticks.
type numberParser struct{ err error }

// optional reads a number up to a limit; 0 if it is absent.
func (p *numberParser) optional(field string, text []byte, limit uint64) uint64 {
	if len(text) == 0 {
		return 0
	}
	return p.required(field, text, limit)
}

// required reads a number up to a limit.
func (p *numberParser) required(field string, text []byte, limit uint64) uint64 {
	if p.err != nil {
		return 0
	}
	const bits = 31
	n, err := strconv.ParseUint(string(text), 10, bits)
	switch {
	case err != nil:
		p.err = fmt.Errorf("%s: %w", field, err)
	case n > limit:
		p.err = fmt.Errorf("%s: %d is out of range", field, n)
	}
	return n
}

// isHexID reports whether s is an id: lower-case hex digits.
func isHexID(s string) bool {
	for i := range len(s) {
		if !isDigit(s[i]) && (s[i] < 'a' || s[i] > 'f') {
			return false
		}
	}
	return len(s) == idDigits
}

// isPlainOrEmpty reports whether s is empty, or can stand in a field of any protocol that it is passed on to.
func isPlainOrEmpty(s string) bool {
	for i := range len(s) {
		if !isPlain(s[i]) {
			return false
		}
	}
	return len(s) <= maxFieldBytes
}

func isPlain(c byte) bool {
	letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z'
	return letter || isDigit(c) || c == '-' || c == '_' || c == '.'
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }
