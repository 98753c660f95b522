package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// The types of a message.
const (
	typeRequest  = 0
	typeResponse = 1
	typeNotify   = 2
)

// The errors of a response.
const (
	errorRejected = "Backoff"
	errorFailed   = "Lost"
)

// Codes of values that responses are made of.
const (
	codeMap0   = 0x80
	codeMap1   = 0x81
	codeArray2 = 0x92
	codeArray4 = 0x94
	codeNil    = 0xc0
	codeTrue   = 0xc3
)

// message is one request or notification. All of its bytes belong to the frame.
type message struct {
	kind   uint64
	id     uint64
	method []byte
	fields requestFields
	body   []byte
	number uint64 // first parameter of a notification
}

// isAlive reports whether the message asks whether the gateway is alive.
func (m *message) isAlive() bool { return string(m.method) == "alive" }

// isCancel reports whether the message cancels the request that its first parameter numbers.
func (m *message) isCancel() bool { return m.kind == typeNotify && string(m.method) == "cancelRequest" }

// requestFields are the fields of a request, as text.
type requestFields struct {
	id             []byte
	object         []byte
	idempotencyKey []byte
	ifNoneMatch    []byte // tag of a copy that the client holds
	retry          []byte // "1": the request is a retry
	timeLimit      []byte // ms that the client waits
	part           []byte
	group          []byte
	sizeKB         []byte
}

func (f *requestFields) isRetry() bool { return string(f.retry) == "1" }

// named is the field that has a name on the wire; nil: the name has no meaning.
func (f *requestFields) named(name []byte) *[]byte {
	switch string(name) { // makes no string
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

// nextMessage cuts the first message off b, and returns what follows it. incomplete: more bytes are needed.
func nextMessage(b []byte) (m message, rest []byte, incomplete bool, err error) {
	valuesLeft := maxValues
	rest, err = skipValue(b, 0, &valuesLeft)
	if errors.Is(err, errShort) && len(b) <= maxFrameBytes {
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

// decode reads a complete frame.
func decode(frame []byte) (m message, err error) {
	d := decoder{rest: frame}
	n := d.array()
	m.kind = d.uint()
	switch {
	case d.err != nil:
	case m.kind == typeRequest && n == 4:
		m.id, m.method = d.uint(), d.bytes()
		if m.id > 1<<32-1 {
			d.fail("a message id over 32 bits")
		}
		items := d.array()
		if items < 1 || items > 2 {
			d.fail("not the parameters [FIELDS, BODY]")
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
		d.fail("neither a request nor a notification")
	}
	return m, d.err
}

// decoder reads values from a frame. The first error sticks.
type decoder struct {
	rest []byte
	err  error
}

func (d *decoder) fail(text string) {
	if d.err == nil {
		d.err = errors.New(text)
	}
}

func (d *decoder) value() (v value) {
	if d.err == nil {
		v, d.rest, d.err = decodeValue(d.rest)
	}
	return v
}

func (d *decoder) of(k kind, name string) value {
	v := d.value()
	if v.kind != k {
		d.fail("a value that is not " + name)
	}
	return v
}

func (d *decoder) array() int    { return int(d.of(kindArray, "an array").n) }
func (d *decoder) uint() uint64  { return d.of(kindUint, "a whole number").n }
func (d *decoder) bytes() []byte { return d.of(kindBytes, "bytes").bytes }

func (d *decoder) fields(f *requestFields) {
	for n := d.of(kindMap, "a map").n; n > 0 && d.err == nil; n-- {
		name := d.bytes()
		if value := d.bytes(); d.err == nil {
			if to := f.named(name); to != nil {
				*to = value
			}
		}
	}
}

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

func appendText(b []byte, s string) []byte {
	if len(s) < 32 {
		b = append(b, 0xa0|byte(len(s)))
	} else {
		b = append(b, 0xd9, byte(len(s)))
	}
	return append(b, s...)
}

// appendBinHead begins a bin of n bytes.
func appendBinHead(b []byte, n int) []byte {
	switch {
	case n <= 0xff:
		return append(b, 0xc4, byte(n))
	case n <= 0xffff:
		return binary.BigEndian.AppendUint16(append(b, 0xc5), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, 0xc6), uint32(n))
}

// appendFields writes one field, or none if its name is empty.
func appendFields(b []byte, name, value string) []byte {
	if name == "" {
		return append(b, codeMap0)
	}
	return appendText(appendText(append(b, codeMap1), name), value)
}

// appendError words an error with at most one field.
func appendError(b []byte, id uint64, word, name, value string) []byte {
	b = appendText(append(appendResponse(b, id), codeArray2), word)
	return append(appendFields(b, name, value), codeNil)
}

// appendRejection words a rejection. retryAfter is when to come back; 0: no advice.
func appendRejection(b []byte, id uint64, retryAfter time.Duration) []byte {
	name, value := "", ""
	if ms := retryAfter.Milliseconds(); ms > 0 {
		name, value = "later", strconv.FormatInt(ms, 10)
	}
	return appendError(b, id, errorRejected, name, value)
}

// appendServedHead words the response that serves an object, up to its body of a size. noFields follow the body.
func appendServedHead(b []byte, id uint64, size int) []byte {
	return appendBinHead(append(appendResponse(b, id), codeNil, codeArray2), size)
}

// noFields ends a response without fields.
var noFields = []byte{codeMap0}

// appendNotModified words the response to a client whose copy is current.
func appendNotModified(b []byte, id uint64) []byte {
	b = appendBinHead(append(appendResponse(b, id), codeNil, codeArray2), 0)
	return appendFields(b, "still", "1")
}

// appendAlive words the response that the gateway is alive.
func appendAlive(b []byte, id uint64) []byte {
	b = append(appendResponse(b, id), codeNil, codeArray2, codeTrue)
	return appendFields(b, "", "")
}

// appendResponse begins a response: its type and id.
func appendResponse(b []byte, id uint64) []byte {
	return appendUint(append(b, codeArray4, typeResponse), id)
}
