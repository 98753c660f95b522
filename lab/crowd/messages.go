package crowd

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"larchusher/client/rpc"
)

const (
	imageLimit  = 2500 * time.Millisecond
	orderLimit  = 3 * time.Second
	answerSlack = 58 * time.Millisecond // by which the platform allows an answer to be late on sockets

	// floodObjects is the number of objects that floods ask for.
	floodObjects = 50
)

// encode returns a request as a message.
func encode(r *rpc.Request) []byte {
	var b bytes.Buffer
	_ = rpc.NewEncoder(&b).Request(r) // a bytes.Buffer takes everything
	return b.Bytes()
}

// nextTxn returns a transaction id that no other request of this process has.
func (c *Crowd) nextTxn() (number uint64, txn string) {
	number = c.txn.Add(1)
	return number, fmt.Sprintf("%08x%08x", uint32(0xc0000000|c.spec.Seed), uint32(number))
}

// order returns an order of the largest size.
func (c *Crowd) order() []byte {
	n, txn := c.nextTxn()
	return encode(&rpc.Request{ID: uint32(n), Class: "orders", Txn: txn, Limit: orderLimit, Key: "k-" + txn, Object: txn, Body: make([]byte, orderBytes)})
}

// image returns a request for a small object.
func (c *Crowd) image() []byte {
	n, txn := c.nextTxn()
	return encode(&rpc.Request{ID: uint32(n), Class: "images", Txn: txn, Limit: imageLimit, Object: fmt.Sprintf("%016x", n%floodObjects)})
}

// unknownClass returns a request of a class that does not exist, with a name that is not used again.
func (c *Crowd) unknownClass() []byte {
	n, txn := c.nextTxn()
	return encode(&rpc.Request{ID: uint32(n), Class: "class-" + txn, Txn: txn, Limit: imageLimit, Object: txn})
}

// unsoundRequest returns a request whose transaction id is invalid.
func unsoundRequest() []byte {
	return encode(&rpc.Request{ID: 1, Class: "images", Txn: "not an id", Limit: imageLimit, Object: "00000000000000aa"})
}

// repeat returns as many copies of a message as fill a large write.
func repeat(message []byte) []byte {
	const writeBytes = 64 << 10
	return bytes.Repeat(message, writeBytes/len(message))
}

// manyFields returns an incomplete request with as many short fields as the protocol's front accepts, and of the size
// at which it still waits for the rest.
func manyFields() []byte {
	const (
		fields    = 60
		announced = 64
		value     = 1200 // bytes
	)
	b := append([]byte{0x94, 0, 1, 0xa6}, "images"...)
	b = append(b, 0x92, 0xde, 0, announced)
	for i := range fields {
		b = append(b, 0xa3)
		b = append(b, fmt.Sprintf("f%02d", i)...)
		b = binary.BigEndian.AppendUint16(append(b, 0xda), value)
		b = append(b, strings.Repeat("x", value)...)
	}
	return b
}
