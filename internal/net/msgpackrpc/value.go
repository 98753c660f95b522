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

// valueHead is the beginning of a value: its type, and what follows.
type valueHead struct {
	kind   kind
	n      uint64 // a number, a boolean, or the number of items that follow
	length int    // bytes that follow, of a value that has bytes
}

// decodeHead decodes the beginning of the value at the start of b, and returns the bytes after it. It returns errIncomplete if more
// bytes are needed.
func decodeHead(b []byte) (h valueHead, rest []byte, err error) {
	if len(b) == 0 {
		return h, nil, errIncomplete
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
	setLength := func(k kind, n uint64) {
		h.kind = k
		if err != nil {
			return
		}
		if n > maxFrameBytes {
			err = fmt.Errorf("value of %d bytes is too long", n)
			return
		}
		h.length = int(n)
	}
	switch {
	case c <= 0x7f:
		h = valueHead{kind: kindUint, n: uint64(c)}
	case c <= 0x8f:
		h = valueHead{kind: kindMap, n: uint64(c & 0x0f)}
	case c <= 0x9f:
		h = valueHead{kind: kindArray, n: uint64(c & 0x0f)}
	case c <= 0xbf:
		setLength(kindBytes, uint64(c&0x1f))
	case c == 0xc0:
		h.kind = kindNil
	case c == 0xc2 || c == 0xc3:
		h = valueHead{kind: kindBool, n: uint64(c & 1)}
	case c >= 0xc4 && c <= 0xc6: // bin
		setLength(kindBytes, readUint(1<<(c-0xc4)))
	case c >= 0xc7 && c <= 0xc9: // ext: a type byte precedes the data
		n := readUint(1 << (c - 0xc7))
		setLength(kindExt, n+1)
	case c == 0xca || c == 0xcb:
		h = valueHead{kind: kindFloat, n: readUint(4 << (c - 0xca))}
	case c >= 0xcc && c <= 0xcf:
		h = valueHead{kind: kindUint, n: readUint(1 << (c - 0xcc))}
	case c >= 0xd0 && c <= 0xd3:
		width := 1 << (c - 0xd0)
		n := readUint(width)
		h = valueHead{kind: kindUint, n: n}
		if n>>(8*width-1)&1 == 1 {
			h.kind = kindInt
		}
	case c >= 0xd4 && c <= 0xd8:
		setLength(kindExt, 1+1<<(c-0xd4))
	case c >= 0xd9 && c <= 0xdb: // str
		setLength(kindBytes, readUint(1<<(c-0xd9)))
	case c == 0xdc || c == 0xdd:
		h = valueHead{kind: kindArray, n: readUint(2 << (c - 0xdc))}
	case c == 0xde || c == 0xdf:
		h = valueHead{kind: kindMap, n: readUint(2 << (c - 0xde))}
	case c >= 0xe0:
		h = valueHead{kind: kindInt, n: uint64(int64(int8(c)))}
	default:
		err = fmt.Errorf("byte %#x does not begin a MessagePack value", c)
	}
	if h.hasItems() && err == nil && h.n > maxItems {
		err = fmt.Errorf("value has too many items: %d", h.n)
	}
	return h, b, err
}

// hasItems reports whether the value is an array or a map, whose items follow.
func (h valueHead) hasItems() bool { return h.kind == kindArray || h.kind == kindMap }

// items returns the number of values that follow as items; keys and values of a map count each.
func (h valueHead) items() uint64 {
	switch h.kind {
	case kindArray:
		return h.n
	case kindMap:
		return 2 * h.n
	default:
		return 0
	}
}

// decodeValue decodes the value at the start of b and returns the bytes after it. For an array or a map these begin
// with its items. It returns errIncomplete if more bytes are needed.
func decodeValue(b []byte) (v value, rest []byte, err error) {
	h, rest, err := decodeHead(b)
	v = value{kind: h.kind, n: h.n}
	if err != nil || h.length == 0 {
		return v, rest, err
	}
	if len(rest) < h.length {
		return v, rest, errIncomplete
	}
	v.bytes = rest[:h.length]
	return v, rest[h.length:], nil
}
