// Package rpc implements the client side of the platform's protocol, MessagePack-RPC over TCP. It translates between the
// field names on the wire (limit, item, n, shard, second, unique, mine, later, still) and those of the client library.
//
// The methods of an [Encoder] and a [Reader] block while the underlying stream blocks. They are not safe for concurrent use.
package rpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of an answer. A longer value is an error, which is returned before memory is allocated for it.
const (
	maxBodyBytes = 256 << 10 // above the largest object, which has 240,000 bytes
	maxTextBytes = 4 << 10   // for an error code, and for the name and the value of a field
	maxFields    = 16
)

// Message types of MessagePack-RPC.
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// Backoff is the error code (Response.Error) of a rejection.
const Backoff = "Backoff"

// Request is a message with an attempt of a request.
type Request struct {
	ID     uint32 // message id, unique on the connection
	Class  string
	Txn    string        // transaction id: 16 hex digits, new for each attempt
	Limit  time.Duration // time within which the gateway must answer; sent in whole milliseconds, at least 1
	Retry  bool          // the attempt is not the first of its request
	Key    string        // idempotency key; empty: none
	Object string        // object id: 16 hex digits
	Part   int
	Group  int
	Have   string // tag of the client's copy; empty: no copy
	Body   []byte
}

// Encoder writes messages to a stream. Its methods return the errors of the stream.
type Encoder struct{ enc *msgpack.Encoder }

// NewEncoder returns an encoder that writes to w, without buffering.
func NewEncoder(w io.Writer) *Encoder {
	e := msgpack.NewEncoder(w)
	e.UseCompactInts(true)
	return &Encoder{e}
}

// Request writes a request message.
func (e *Encoder) Request(r *Request) error {
	fields := r.appendFields(make([]field, 0, maxRequestFields)) // allocated on the stack
	body := r.Body
	if body == nil {
		body = []byte{} // encoded as an empty string, while nil would be encoded as the MessagePack nil
	}
	err := errors.Join(e.header(r.ID, r.Class), e.enc.EncodeArrayLen(2), e.enc.EncodeMapLen(len(fields)))
	for _, f := range fields {
		err = errors.Join(err, e.enc.EncodeString(f.name), e.enc.EncodeString(f.value))
	}
	return errors.Join(err, e.enc.EncodeBytes(body))
}

type field struct{ name, value string }

// maxRequestFields is the maximum number of fields of a request.
const maxRequestFields = 8

// appendFields appends the fields of a request to a slice, in the order in which they are sent.
func (r *Request) appendFields(fields []field) []field {
	fields = append(fields,
		field{"txn", r.Txn},
		field{"limit", strconv.FormatInt(max(1, r.Limit.Milliseconds()), 10)},
		field{"item", r.Object},
		field{"n", strconv.Itoa(r.Part)},
		field{"shard", strconv.Itoa(r.Group)})
	if r.Retry {
		fields = append(fields, field{"second", "1"})
	}
	if r.Key != "" {
		fields = append(fields, field{"unique", r.Key})
	}
	if r.Have != "" {
		fields = append(fields, field{"mine", r.Have})
	}
	return fields
}

// header writes the beginning of a request message, up to its parameters.
func (e *Encoder) header(id uint32, method string) error {
	return errors.Join(e.enc.EncodeArrayLen(4), e.enc.EncodeInt(kindRequest), e.enc.EncodeUint(uint64(id)), e.enc.EncodeString(method))
}

// Cancel writes a notification that cancels the request with a message id.
func (e *Encoder) Cancel(id uint32) error {
	return errors.Join(e.enc.EncodeArrayLen(3), e.enc.EncodeInt(kindNotification), e.enc.EncodeString("cancelRequest"),
		e.enc.EncodeArrayLen(1), e.enc.EncodeUint(uint64(id)))
}

// HealthCheck writes a health check with a message id.
func (e *Encoder) HealthCheck(id uint32) error {
	return errors.Join(e.header(id, "alive"), e.enc.EncodeArrayLen(1), e.enc.EncodeMapLen(0))
}

// Response is the answer to a request or a health check.
type Response struct {
	ID         uint32 // id of the message that is answered
	Error      string // error code; empty: served
	Body       []byte
	Still      bool          // with an empty body: the client's copy is current
	RetryAfter time.Duration // for a rejection: how long to wait before the next attempt; 0: not given
	Healthy    bool          // the answer to a health check, and the gateway is healthy
}

// Reader reads answers from a stream.
type Reader struct {
	Reuse bool // reuse one buffer for the bodies: a Response.Body is valid until the next call of Next only

	dec  *msgpack.Decoder
	body []byte // buffer for bodies if Reuse is set
}

// NewReader returns a reader that reads from r through a buffer.
func NewReader(r io.Reader) *Reader {
	return &Reader{dec: msgpack.NewDecoder(bufio.NewReaderSize(r, 64<<10))}
}

// MessagePack type codes that determine how an answer is read.
const (
	codeNil   = 0xc0
	codeFalse = 0xc2
	codeTrue  = 0xc3
)

// Next reads the next answer. The error is io.EOF only if the stream ends between two answers; it wraps io.ErrUnexpectedEOF
// if the stream ends within one. An answer that is malformed or exceeds a limit is an error as well. After any error the
// stream must not be used any more.
func (r *Reader) Next() (Response, error) {
	if _, err := r.dec.PeekCode(); err != nil {
		return Response{}, err
	}
	a, err := r.readResponse()
	if errors.Is(err, io.EOF) { // the decoder returns io.EOF between any two values of an answer
		return Response{}, fmt.Errorf("rpc: stream ended within an answer: %w", io.ErrUnexpectedEOF)
	}
	return a, err
}

func (r *Reader) readResponse() (a Response, err error) {
	if a.ID, err = r.readHeader(); err != nil {
		return a, err
	}
	code, err := r.dec.PeekCode()
	if err != nil {
		return a, err
	}
	if code == codeNil {
		err = r.readResult(&a)
	} else {
		err = r.readError(&a)
	}
	return a, err
}

// readHeader reads the beginning of an answer, up to its error and result, and returns the id of the answered message.
func (r *Reader) readHeader() (id uint32, err error) {
	n, err := r.dec.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	kind, err1 := r.dec.DecodeInt()
	id, err2 := r.dec.DecodeUint32()
	if err = errors.Join(err1, err2); err != nil || n != 4 || kind != kindResponse {
		return 0, fmt.Errorf("rpc: message of type %d with %d items: %w", kind, n, errors.Join(err, errors.New("want an answer: type 1 with 4 items")))
	}
	return id, nil
}

// readError reads an error, [CODE, FIELDS], and the nil in place of a result.
func (r *Reader) readError(a *Response) error {
	n, err := r.dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return fmt.Errorf("rpc: error with %d items: %w", n, errors.Join(err, errors.New("want 2 items, [CODE, FIELDS]")))
	}
	word, err := r.readBytes(nil, maxTextBytes)
	if err != nil {
		return err
	}
	if a.Error = string(word); a.Error == "" {
		return errors.New("rpc: the error code of an answer is empty")
	}
	if err = r.readFields(a); err != nil {
		return err
	}
	return r.dec.DecodeNil()
}

// readResult reads the nil in place of an error, and a result, [BODY, FIELDS].
func (r *Reader) readResult(a *Response) error {
	if err := r.dec.DecodeNil(); err != nil {
		return err
	}
	n, err := r.dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return fmt.Errorf("rpc: result with %d items: %w", n, errors.Join(err, errors.New("want 2 items, [BODY, FIELDS]")))
	}
	if err := r.readContent(a); err != nil {
		return err
	}
	return r.readFields(a)
}

// readContent reads the first item of a result: a body, or the boolean that answers a health check.
func (r *Reader) readContent(a *Response) error {
	code, err := r.dec.PeekCode()
	if err != nil {
		return err
	}
	if code == codeFalse || code == codeTrue {
		a.Healthy, err = r.dec.DecodeBool()
		return err
	}
	var buf []byte
	if r.Reuse {
		buf = r.body
	}
	a.Body, err = r.readBytes(buf, maxBodyBytes)
	if r.Reuse {
		r.body = a.Body
	}
	return err
}

// readBytes reads a string of at most maxLen bytes. It reads into buf if its capacity suffices, and allocates otherwise.
func (r *Reader) readBytes(buf []byte, maxLen int) ([]byte, error) {
	n, err := r.dec.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > maxLen {
		return nil, fmt.Errorf("rpc: string of %d bytes in an answer is nil (-1) or too long", n)
	}
	if cap(buf) < n {
		buf = make([]byte, n)
	}
	buf = buf[:n]
	return buf, r.dec.ReadFull(buf)
}

// readFields reads the fields of an answer, a map of strings. It ignores unknown fields.
func (r *Reader) readFields(a *Response) error {
	n, err := r.dec.DecodeMapLen()
	if err != nil {
		return err
	}
	if n > maxFields {
		return fmt.Errorf("rpc: answer with %d fields, want at most 16", n)
	}
	for range n {
		name, err := r.readBytes(nil, maxTextBytes)
		if err != nil {
			return err
		}
		value, err := r.readBytes(nil, maxTextBytes)
		if err != nil {
			return err
		}
		if err := a.setField(string(name), string(value)); err != nil {
			return err
		}
	}
	return nil
}

func (a *Response) setField(name, value string) error {
	switch name {
	case "later":
		ms, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return err
		}
		if ms < 0 {
			return errors.New("rpc: field later of an answer is negative")
		}
		a.RetryAfter = time.Duration(ms) * time.Millisecond
	case "still":
		a.Still = value == "1"
	}
	return nil
}
