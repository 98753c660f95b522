package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// MessagePack-RPC message types.
const (
	typeRequest  = 0
	typeResponse = 1
	typeNotify   = 2
)

// Error words of a response.
const (
	errorRejected = "Backoff"
	errorFailed   = "Lost"
)

// MessagePack codes used in responses.
const (
	codeMap0   = 0x80
	codeMap1   = 0x81
	codeArray2 = 0x92
	codeArray4 = 0x94
	codeNil    = 0xc0
	codeTrue   = 0xc3
)

// message is one request or notification. Its byte slices point into the input buffer.
type message struct {
	kind   uint64
	id     uint64
	method []byte
	fields requestFields
	body   []byte
	number uint64 // first parameter of a notification, if it is a whole number
}

// isAlive reports whether the message is a health check of the gateway.
func (m *message) isAlive() bool { return string(m.method) == "alive" }

// isCancel reports whether the message cancels the request whose message ID is its first parameter.
func (m *message) isCancel() bool { return m.kind == typeNotify && string(m.method) == "cancelRequest" }

// requestFields are the fields of a request as text, not validated.
type requestFields struct {
	id             []byte
	object         []byte
	idempotencyKey []byte
	ifNoneMatch    []byte // tag of the client's copy of the object
	retry          []byte // "1" marks a retry
	timeLimit      []byte // how long the client waits, in ms
	part           []byte
	group          []byte
	sizeKB         []byte
}

// isRetry reports whether the client marked the request as a retry.
func (f *requestFields) isRetry() bool { return string(f.retry) == "1" }

// byName returns the field with the given name in the protocol, or nil if the name is unknown.
func (f *requestFields) byName(name []byte) *[]byte {
	switch string(name) { // does not allocate a string
	case "txn":
		return &f.id
	case "item":
		return &f.object
	case "unique":
		return &f.idempotencyKey
	case "mine":
		return &f.ifNoneMatch
	case "second":
		return &f.retry
	case "limit":
		return &f.timeLimit
	case "n":
		return &f.part
	case "shard":
		return &f.group
	case "ram":
		return &f.sizeKB
	}
	return nil
}

// nextMessage parses the first message in b and returns the bytes after it. incomplete means that more bytes are
// needed, and then rest is b. An error means that no valid message can follow.
func nextMessage(b []byte) (m message, rest []byte, incomplete bool, err error) {
	var s scanner
	rest, done, err := s.feed(b)
	if err == nil && !done {
		return m, b, true, nil
	}
	if err == nil {
		m, err = decode(b[:len(b)-len(rest)])
	}
	if err != nil {
		return m, b, false, fmt.Errorf("malformed message: %w", err)
	}
	return m, rest, false, nil
}

// decodeStart decodes the message ID and the method of a request from the beginning of its message. ok is false if that does not
// contain both, or is not of a request.
func decodeStart(b []byte) (id uint64, method []byte, ok bool) {
	d := decoder{rest: b}
	items := d.array()
	kind := d.uint()
	id, method = d.uint(), d.bytes()
	return id, method, d.err == nil && items == 4 && kind == typeRequest
}

// decode decodes a complete frame: [0, id, method, [fields, body]] or [2, method, parameters].
func decode(frame []byte) (m message, err error) {
	d := decoder{rest: frame}
	n := d.array()
	m.kind = d.uint()
	switch {
	case d.err != nil:
	case m.kind == typeRequest && n == 4:
		m.id, m.method = d.uint(), d.bytes()
		if m.id > 1<<32-1 {
			d.fail("message id exceeds 32 bits")
		}
		items := d.array()
		if items < 1 || items > 2 {
			d.fail("request parameters are not [FIELDS] or [FIELDS, BODY]")
		}
		d.fields(&m.fields)
		if items == 2 {
			m.body = d.bytes()
		}
	case m.kind == typeNotify && n == 3:
		m.method = d.bytes()
		if items := d.array(); items >= 1 {
			v := d.value()
			if v.kind == kindUint {
				m.number = v.n
			}
		}
	default:
		d.fail("message is neither a request nor a notification")
	}
	return m, d.err
}

// decoder decodes values from a frame. It keeps the first error, after which all values are zero.
type decoder struct {
	rest []byte
	err  error
}

// fail records an error unless one has occurred before.
func (d *decoder) fail(text string) {
	if d.err == nil {
		d.err = errors.New(text)
	}
}

// value decodes the next value.
func (d *decoder) value() (v value) {
	if d.err == nil {
		v, d.rest, d.err = decodeValue(d.rest)
	}
	return v
}

func (d *decoder) expect(k kind, name string) value {
	v := d.value()
	if v.kind != k {
		d.fail("unexpected value: not " + name)
	}
	return v
}

func (d *decoder) array() int    { return int(d.expect(kindArray, "an array").n) }
func (d *decoder) uint() uint64  { return d.expect(kindUint, "a whole number").n }
func (d *decoder) bytes() []byte { return d.expect(kindBytes, "bytes").bytes }

// fields decodes a map of request fields. Unknown names are skipped.
func (d *decoder) fields(f *requestFields) {
	for n := d.expect(kindMap, "a map").n; n > 0 && d.err == nil; n-- {
		name := d.bytes()
		if value := d.bytes(); d.err == nil {
			if to := f.byName(name); to != nil {
				*to = value
			}
		}
	}
}

// appendUint appends n in the shortest form; n must fit into 32 bits.
func appendUint(b []byte, n uint64) []byte {
	switch {
	case n <= 0x7f:
		return append(b, byte(n))
	case n <= 0xff:
		return append(b, 0xcc, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(n))
}

// appendText appends a string of at most 255 bytes.
func appendText(b []byte, s string) []byte {
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		b = append(b, 0xd9, byte(len(s)))
	}
	return append(b, s...)
}

// appendBinHead appends the header of a binary value of n bytes.
func appendBinHead(b []byte, n int) []byte {
	switch {
	case n <= 0xff:
		return append(b, 0xc4, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}

// appendFields appends a map with one field, or an empty map if name is empty.
func appendFields(b []byte, name, value string) []byte {
	if name == "" {
		return append(b, codeMap0)
	}
	return appendText(appendText(append(b, codeMap1), name), value)
}

// appendError appends an error response with at most one field.
func appendError(b []byte, id uint64, word, name, value string) []byte {
	b = appendText(append(appendResponse(b, id), codeArray2), word)
	return append(appendFields(b, name, value), codeNil)
}

// appendRejection appends the response that rejects a request. retryAfter is when the client may retry; 0: no advice.
func appendRejection(b []byte, id uint64, retryAfter time.Duration) []byte {
	name, value := "", ""
	if ms := retryAfter.Milliseconds(); ms > 0 {
		name, value = "later", strconv.FormatInt(ms, 10)
	}
	return appendError(b, id, errorRejected, name, value)
}

// appendServedHead appends a response that serves an object, up to and excluding its body of size bytes. The body and
// noFields must follow.
func appendServedHead(b []byte, id uint64, size int) []byte {
	return appendBinHead(append(appendResponse(b, id), codeNil, codeArray2), size)
}

// noFields is the empty map that ends a response without fields.
var noFields = []byte{codeMap0}

// appendNotModified appends the response that the client's copy is current.
func appendNotModified(b []byte, id uint64) []byte {
	b = appendBinHead(append(appendResponse(b, id), codeNil, codeArray2), 0)
	return appendFields(b, "still", "1")
}

// appendAlive appends the response to a health check.
func appendAlive(b []byte, id uint64) []byte {
	b = append(appendResponse(b, id), codeNil, codeArray2, codeTrue)
	return appendFields(b, "", "")
}

// appendResponse appends the beginning of a response: its type and message ID.
func appendResponse(b []byte, id uint64) []byte {
	return appendUint(append(b, codeArray4, typeResponse), id)
}
