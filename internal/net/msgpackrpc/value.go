// Package msgpackrpc is the front for the platform's clients: MessagePack-RPC over TCP. Input is parsed on the poller
// goroutine and handled on the gateway's loop.
package msgpackrpc

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// errIncomplete reports that more bytes are needed.
var errIncomplete = errors.New("incomplete")

const (
	maxFrameBytes = 96 << 10 // bytes of one message; bodies have up to 48,000
	maxDepth      = 5        // nesting of arrays and map values
	maxItems      = 64       // items of one array or map
	maxValues     = 256      // values in one message: an incomplete message is parsed again on each read
)

// kind is the type of a MessagePack value.
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

// value is one decoded value. Its bytes point into the frame.
type value struct {
	kind  kind
	n     uint64 // a number, a boolean, or the number of items that follow
	bytes []byte
}

// decodeValue decodes the value at the start of b and returns the bytes after it. For an array or a map these begin
// with its items. It returns errIncomplete if more bytes are needed.
func decodeValue(b []byte) (v value, rest []byte, err error) {
	if len(b) == 0 {
		return v, nil, errIncomplete
	}
	c := b[0]
	b = b[1:]
	readUint := func(width int) (n uint64) {
		if len(b) < width {
			err = errIncomplete
			return 0
		}
		var wide [8]byte
		copy(wide[8-width:], b[:width])
		b = b[width:]
		return binary.BigEndian.Uint64(wide[:])
	}
	readBytes := func(k kind, n uint64) {
		if v.kind = k; err != nil {
			return
		}
		if n > maxFrameBytes {
			err = fmt.Errorf("value of %d bytes is too long", n)
		} else if uint64(len(b)) < n {
			err = errIncomplete
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
		readBytes(kindBytes, uint64(c&0x1f))
	case c == 0xc0:
		v.kind = kindNil
	case c == 0xc2 || c == 0xc3:
		v = value{kind: kindBool, n: uint64(c & 1)}
	case c >= 0xc4 && c <= 0xc6: // bin
		readBytes(kindBytes, readUint(1<<(c-0xc4)))
	case c >= 0xc7 && c <= 0xc9: // ext: a type byte precedes the data
		n := readUint(1 << (c - 0xc7))
		readBytes(kindExt, n+1)
	case c == 0xca || c == 0xcb:
		v = value{kind: kindFloat, n: readUint(4 << (c - 0xca))}
	case c >= 0xcc && c <= 0xcf:
		v = value{kind: kindUint, n: readUint(1 << (c - 0xcc))}
	case c >= 0xd0 && c <= 0xd3:
		width := 1 << (c - 0xd0)
		n := readUint(width)
		v = value{kind: kindUint, n: n}
		if n>>(8*width-1)&1 == 1 {
			v.kind = kindInt
		}
	case c >= 0xd4 && c <= 0xd8:
		readBytes(kindExt, 1+1<<(c-0xd4))
	case c >= 0xd9 && c <= 0xdb: // str
		readBytes(kindBytes, readUint(1<<(c-0xd9)))
	case c == 0xdc || c == 0xdd:
		v = value{kind: kindArray, n: readUint(2 << (c - 0xdc))}
	case c == 0xde || c == 0xdf:
		v = value{kind: kindMap, n: readUint(2 << (c - 0xde))}
	case c >= 0xe0:
		v = value{kind: kindInt, n: uint64(int64(int8(c)))}
	default:
		err = fmt.Errorf("byte %#x does not begin a MessagePack value", c)
	}
	if (v.kind == kindArray || v.kind == kindMap) && err == nil && v.n > maxItems {
		err = fmt.Errorf("value has too many items: %d", v.n)
	}
	return v, b, err
}

// skipValue skips the value at the start of b including its items, and returns the bytes after it. It is an error if
// the value is nested too deeply or has more values than *valuesLeft, from which it subtracts them.
func skipValue(b []byte, depth int, valuesLeft *int) (rest []byte, err error) {
	if depth > maxDepth {
		return nil, errors.New("values are nested too deeply")
	}
	*valuesLeft--
	if *valuesLeft < 0 {
		return nil, errors.New("message has too many values")
	}
	v, rest, err := decodeValue(b)
	items := uint64(0)
	switch v.kind {
	case kindArray:
		items = v.n
	case kindMap:
		items = 2 * v.n // keys and values
	default: // no items
	}
	for ; err == nil && items > 0; items-- {
		rest, err = skipValue(rest, depth+1, valuesLeft)
	}
	return rest, err
}
