// Package msgpackrpc is the platform's front: MessagePack-RPC over TCP.
package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"time"
)

// errShort says that more bytes are needed.
var errShort = errors.New("incomplete")

const (
	maxFrameBytes = 96 << 10 // bytes of one message; bodies go up to 48,000
	maxDepth      = 5
	maxItems      = 64  // of one array or map
	maxValues     = 256 // values in one message: what has not come whole is looked at again with each further byte
)

// kind is the family of a MessagePack value.
type kind byte

const (
	kindNil kind = iota
	kindBool
	kindUint
	kindInt // negative
	kindFloat
	kindBytes // str and bin
	kindArray
	kindMap
	kindExt
)

// value is one decoded value. Bytes are those of the frame, not a copy.
type value struct {
	kind  kind
	n     uint64 // a number, a truth, or how many items follow
	bytes []byte
}

// decodeValue decodes the value at the start of b and returns what follows it. The items of an array or a map are
// values of their own.
func decodeValue(b []byte) (v value, rest []byte, err error) {
	if len(b) == 0 {
		return v, nil, errShort
	}
	c := b[0]
	b = b[1:]
	fixed := func(width int) (n uint64) {
		if len(b) < width {
			err = errShort
			return 0
		}
		var wide [8]byte
		copy(wide[8-width:], b[:width])
		b = b[width:]
		return binary.BigEndian.Uint64(wide[:])
	}
	body := func(k kind, n uint64) {
		if v.kind = k; err != nil {
			return
		}
		if n > maxFrameBytes {
			err = fmt.Errorf("a value of %d bytes", n)
		} else if uint64(len(b)) < n {
			err = errShort
		} else {
			v.bytes, b = b[:n], b[n:]
		}
	}
	switch {
	case c <= 0x7f:
		v = value{kind: kindUint, n: uint64(c)}
	case c <= 0x8f:
		v = value{kind: kindMap, n: uint64(c & 0x0f)}
	case c <= 0x9f:
		v = value{kind: kindArray, n: uint64(c & 0x0f)}
	case c <= 0xbf:
		body(kindBytes, uint64(c&0x1f))
	case c == 0xc0:
		v.kind = kindNil
	case c == 0xc2 || c == 0xc3:
		v = value{kind: kindBool, n: uint64(c & 1)}
	case c >= 0xc4 && c <= 0xc6: // bin
		body(kindBytes, fixed(1<<(c-0xc4)))
	case c >= 0xc7 && c <= 0xc9: // ext: a type goes before the bytes
		n := fixed(1 << (c - 0xc7))
		body(kindExt, n+1)
	case c == 0xca || c == 0xcb:
		v = value{kind: kindFloat, n: fixed(4 << (c - 0xca))}
	case c >= 0xcc && c <= 0xcf:
		v = value{kind: kindUint, n: fixed(1 << (c - 0xcc))}
	case c >= 0xd0 && c <= 0xd3:
		width := 1 << (c - 0xd0)
		n := fixed(width)
		v = value{kind: kindUint, n: n}
		if n>>(8*width-1)&1 == 1 {
			v.kind = kindInt
		}
	case c >= 0xd4 && c <= 0xd8:
		body(kindExt, 1+1<<(c-0xd4))
	case c >= 0xd9 && c <= 0xdb: // str
		body(kindBytes, fixed(1<<(c-0xd9)))
	case c == 0xdc || c == 0xdd:
		v = value{kind: kindArray, n: fixed(2 << (c - 0xdc))}
	case c == 0xde || c == 0xdf:
		v = value{kind: kindMap, n: fixed(2 << (c - 0xde))}
	case c >= 0xe0:
		v = value{kind: kindInt, n: uint64(int64(int8(c)))}
	default:
		err = fmt.Errorf("byte %#x begins no value", c)
	}
	if (v.kind == kindArray || v.kind == kindMap) && err == nil && v.n > maxItems {
		err = fmt.Errorf("a value of %d items", v.n)
	}
	return v, b, err
}

// skipValue passes over the value at the start of b, items and all, if it has no more values than are left.
func skipValue(b []byte, depth int, left *int) (rest []byte, err error) {
	if depth > maxDepth {
		return nil, errors.New("values nested too deeply")
	}
	if *left--; *left < 0 {
		return nil, errors.New("too many values")
	}
	v, rest, err := decodeValue(b)
	items := uint64(0)
	switch v.kind {
	case kindArray:
		items = v.n
	case kindMap:
		items = 2 * v.n
	}
	for ; err == nil && items > 0; items-- {
		rest, err = skipValue(rest, depth+1, left)
	}
	return rest, err
}

// The types of a message.
const (
	typeRequest  = 0
	typeResponse = 1
	typeNotify   = 2
)

// message is one request or notification. All of its bytes belong to the frame.
type message struct {
	kind   uint64
	id     uint64
	method []byte
	fields fields
	body   []byte
	number uint64 // first parameter of a notification
}

// fields are those of a request that have a meaning here.
type fields struct{ txn, item, unique, mine, second, limit, n, shard, ram []byte }

// of is the place of the field with a name; nil: it has no meaning.
func (f *fields) of(name []byte) *[]byte {
	switch string(name) { // makes no string
	case "txn":
		return &f.txn
	case "item":
		return &f.item
	case "unique":
		return &f.unique
	case "mine":
		return &f.mine
	case "second":
		return &f.second
	case "limit":
		return &f.limit
	case "n":
		return &f.n
	case "shard":
		return &f.shard
	case "ram":
		return &f.ram
	}
	return nil
}

// decode reads a whole frame.
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

func (d *decoder) fields(f *fields) {
	for n := d.of(kindMap, "a map").n; n > 0 && d.err == nil; n-- {
		name := d.bytes()
		if value := d.bytes(); d.err == nil {
			if to := f.of(name); to != nil {
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
		return append(b, 0x80)
	}
	return appendText(appendText(append(b, 0x81), name), value)
}

// appendError words an error with at most one field.
func appendError(b []byte, id uint64, word, name, value string) []byte {
	b = appendText(append(appendResponse(b, id), 0x92), word)
	return append(appendFields(b, name, value), 0xc0)
}

// appendRefusal words a refusal; later is when to come back, 0: not told.
func appendRefusal(b []byte, id uint64, later time.Duration) []byte {
	name, value := "", ""
	if ms := later.Milliseconds(); ms > 0 {
		name, value = "later", strconv.FormatInt(ms, 10)
	}
	return appendError(b, id, errorRejected, name, value)
}

// appendResponse begins a response: its type and id.
func appendResponse(b []byte, id uint64) []byte {
	return appendUint(append(b, 0x94, typeResponse), id)
}
