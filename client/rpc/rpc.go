// Package rpc encodes and decodes the platform's protocol, MessagePack-RPC over TCP, from a client's side. It converts the
// names of the fields on the wire (limit, item, n, shard, second, unique, mine, later, still) for the client library.
//
// An [Encoder] and a [Reader] block as their stream does, and are not safe for concurrent use.
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

// Limits of an answer; what is longer is an error before memory is taken for it.
const (
	maxBodyBytes = 256 << 10 // an object has 240,000 bytes at most
	maxTextBytes = 4 << 10   // of an error word, and of a field's name and value
	maxFields    = 16
)

// Kinds of messages, by MessagePack-RPC.
const (
	kindRequest      = 0
	kindResponse     = 1
	kindNotification = 2
)

// Backoff is the error word of a rejection.
const Backoff = "Backoff"

// Request is one attempt of a request.
type Request struct {
	ID     uint32 // of the message; new with each on a connection
	Class  string
	Txn    string        // 16 hex digits, new with every attempt
	Limit  time.Duration // for an answer; sent in whole milliseconds, one at least
	Retry  bool          // it is not the request's first attempt
	Key    string        // idempotency key; empty: none
	Object string        // 16 hex digits
	Part   int
	Group  int
	Have   string // tag of a copy that the client holds; empty: none
	Body   []byte
}

// Encoder writes messages.
type Encoder struct{ enc *msgpack.Encoder }

// NewEncoder returns an encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	e := msgpack.NewEncoder(w)
	e.UseCompactInts(true)
	return &Encoder{e}
}

// Request writes a request.
func (e *Encoder) Request(r *Request) error {
	fields := r.appendFields(make([]field, 0, maxRequestFields)) // on the stack
	body := r.Body
	if body == nil {
		body = []byte{} // an empty body, where nil would be encoded as none
	}
	err := errors.Join(e.header(r.ID, r.Class), e.enc.EncodeArrayLen(2), e.enc.EncodeMapLen(len(fields)))
	for _, f := range fields {
		err = errors.Join(err, e.enc.EncodeString(f.name), e.enc.EncodeString(f.value))
	}
	return errors.Join(err, e.enc.EncodeBytes(body))
}

type field struct{ name, value string }

// maxRequestFields is the number of fields that a request can have.
const maxRequestFields = 8

// appendFields appends a request's fields as they are sent, in their order.
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

// header writes what comes before a request's parameters.
func (e *Encoder) header(id uint32, method string) error {
	return errors.Join(e.enc.EncodeArrayLen(4), e.enc.EncodeInt(kindRequest), e.enc.EncodeUint(uint64(id)), e.enc.EncodeString(method))
}

// Cancel writes that no answer to a request is wanted any more.
func (e *Encoder) Cancel(id uint32) error {
	return errors.Join(e.enc.EncodeArrayLen(3), e.enc.EncodeInt(kindNotification), e.enc.EncodeString("cancelRequest"),
		e.enc.EncodeArrayLen(1), e.enc.EncodeUint(uint64(id)))
}

// HealthCheck writes the question whether the gateway serves.
func (e *Encoder) HealthCheck(id uint32) error {
	return errors.Join(e.header(id, "alive"), e.enc.EncodeArrayLen(1), e.enc.EncodeMapLen(0))
}

// Response is one answer.
type Response struct {
	ID         uint32 // of the message that it answers
	Error      string // word of the error; empty: served
	Body       []byte
	Still      bool          // with an empty body: the client's copy is current
	RetryAfter time.Duration // of a rejection: when to come back; 0: it was not told
	Healthy    bool          // the answer to a health check is yes
}

// Reader reads answers. What it can't read, and what is longer than any answer may be, is an error; the stream is of no
// use after one. The error is io.EOF only if the stream ends between two answers, and io.ErrUnexpectedEOF within one.
type Reader struct {
	Reuse bool // a Body holds until the next call only

	dec  *msgpack.Decoder
	body []byte
}

// NewReader returns a reader of a connection.
func NewReader(r io.Reader) *Reader {
	return &Reader{dec: msgpack.NewDecoder(bufio.NewReaderSize(r, 64<<10))}
}

// The codes of MessagePack that an answer is told apart by.
const (
	codeNil   = 0xc0
	codeFalse = 0xc2
	codeTrue  = 0xc3
)

// Next reads an answer.
func (r *Reader) Next() (Response, error) {
	if _, err := r.dec.PeekCode(); err != nil {
		return Response{}, err
	}
	a, err := r.readResponse()
	if errors.Is(err, io.EOF) { // the decoder gives it between any two items
		return Response{}, fmt.Errorf("within an answer: %w", io.ErrUnexpectedEOF)
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

// readHeader reads what comes before an answer's error and result, and returns the id of its request.
func (r *Reader) readHeader() (id uint32, err error) {
	n, err := r.dec.DecodeArrayLen()
	if err != nil {
		return 0, err
	}
	kind, err1 := r.dec.DecodeInt()
	id, err2 := r.dec.DecodeUint32()
	if err = errors.Join(err1, err2); err != nil || n != 4 || kind != kindResponse {
		return 0, fmt.Errorf("a message of type %d with %d items: %w", kind, n, errors.Join(err, errors.New("not an answer")))
	}
	return id, nil
}

// readError reads [WORD, FIELDS], and no result.
func (r *Reader) readError(a *Response) error {
	n, err := r.dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return fmt.Errorf("an error of %d items: %w", n, errors.Join(err, errors.New("not [WORD, FIELDS]")))
	}
	word, err := r.readBytes(nil, maxTextBytes)
	if err != nil {
		return err
	}
	if a.Error = string(word); a.Error == "" {
		return errors.New("an error without a word")
	}
	if err = r.readFields(a); err != nil {
		return err
	}
	return r.dec.DecodeNil()
}

// readResult reads no error, and [BODY, FIELDS].
func (r *Reader) readResult(a *Response) error {
	if err := r.dec.DecodeNil(); err != nil {
		return err
	}
	n, err := r.dec.DecodeArrayLen()
	if err != nil || n != 2 {
		return fmt.Errorf("a result of %d items: %w", n, errors.Join(err, errors.New("not [BODY, FIELDS]")))
	}
	if err := r.readContent(a); err != nil {
		return err
	}
	return r.readFields(a)
}

// readContent reads a body, or the answer to a health check.
func (r *Reader) readContent(a *Response) error {
	code, err := r.dec.PeekCode()
	if err != nil {
		return err
	}
	if code == codeFalse || code == codeTrue {
		a.Healthy, err = r.dec.DecodeBool()
		return err
	}
	var into []byte
	if r.Reuse {
		into = r.body
	}
	a.Body, err = r.readBytes(into, maxBodyBytes)
	if r.Reuse {
		r.body = a.Body
	}
	return err
}

// readBytes reads a string of up to most bytes, into a buffer if it holds so many.
func (r *Reader) readBytes(into []byte, most int) ([]byte, error) {
	n, err := r.dec.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > most {
		return nil, fmt.Errorf("a string of %d bytes", n)
	}
	if cap(into) < n {
		into = make([]byte, n)
	}
	into = into[:n]
	return into, r.dec.ReadFull(into)
}

// readFields reads a map of strings; fields that are not known are ignored.
func (r *Reader) readFields(a *Response) error {
	n, err := r.dec.DecodeMapLen()
	if err != nil {
		return err
	}
	if n > maxFields {
		return fmt.Errorf("%d fields", n)
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
			return errors.New("later is negative")
		}
		a.RetryAfter = time.Duration(ms) * time.Millisecond
	case "still":
		a.Still = value == "1"
	}
	return nil
}
