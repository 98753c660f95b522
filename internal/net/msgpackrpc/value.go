// Package msgpackrpc is the platform's front: MessagePack-RPC over TCP.
package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
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
func skipValue(b []byte, depth int, valuesLeft *int) (rest []byte, err error) {
	if depth > maxDepth {
		return nil, errors.New("values nested too deeply")
	}
	*valuesLeft--
	if *valuesLeft < 0 {
		return nil, errors.New("too many values")
	}
	v, rest, err := decodeValue(b)
	items := uint64(0)
	switch v.kind {
	case kindArray:
		items = v.n
	case kindMap:
		items = 2 * v.n // names and values
	default: // it has none
	}
	for ; err == nil && items > 0; items-- {
		rest, err = skipValue(rest, depth+1, valuesLeft)
	}
	return rest, err
}
