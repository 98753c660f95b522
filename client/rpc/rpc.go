// Package rpc words the platform's protocol, MessagePack-RPC over TCP, from a client's side.
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

const (
	maxBodyBytes = 256 << 10 // an object has 240,000 bytes at most
	maxTextBytes = 4 << 10
	maxFields    = 16
)

// Backoff is the error that means refused.
const Backoff = "Backoff"

// Request is one request.
type Request struct {
	ID     uint32
	Class  string
	Txn    string // 16 hex digits, new with every try
	Limit  time.Duration
	Retry  bool // a client's retry
	Key    string
	Object string // 16 hex digits
	Part   int
	Group  int
	Have   string // tag of a copy that the client holds
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
	fields := make([][2]string, 0, 8)
	add := func(name, value string) { fields = append(fields, [2]string{name, value}) }
	add("txn", r.Txn)
	add("limit", strconv.FormatInt(max(1, r.Limit.Milliseconds()), 10))
	add("item", r.Object)
	add("n", strconv.Itoa(r.Part))
	add("shard", strconv.Itoa(r.Group))
	if r.Retry {
		add("second", "1")
	}
	if r.Key != "" {
		add("unique", r.Key)
	}
	if r.Have != "" {
		add("mine", r.Have)
	}
	body := r.Body
	if body == nil {
		body = []byte{} // nil would be worded as such
	}
	err := errors.Join(e.enc.EncodeArrayLen(4), e.enc.EncodeInt(0), e.enc.EncodeUint(uint64(r.ID)), e.enc.EncodeString(r.Class),
		e.enc.EncodeArrayLen(2), e.enc.EncodeMapLen(len(fields)))
	for _, f := range fields {
		err = errors.Join(err, e.enc.EncodeString(f[0]), e.enc.EncodeString(f[1]))
	}
	return errors.Join(err, e.enc.EncodeBytes(body))
}

// Cancel writes that no answer to a request is wanted any more.
func (e *Encoder) Cancel(id uint32) error {
	return errors.Join(e.enc.EncodeArrayLen(3), e.enc.EncodeInt(2), e.enc.EncodeString("cancelRequest"), e.enc.EncodeArrayLen(1),
		e.enc.EncodeUint(uint64(id)))
}

// HealthCheck writes the question whether the gateway serves.
func (e *Encoder) HealthCheck(id uint32) error {
	return errors.Join(e.enc.EncodeArrayLen(4), e.enc.EncodeInt(0), e.enc.EncodeUint(uint64(id)), e.enc.EncodeString("alive"),
		e.enc.EncodeArrayLen(1), e.enc.EncodeMapLen(0))
}

// Response is one answer.
type Response struct {
	ID         uint32
	Error      string // word of the error; empty: served
	Body       []byte
	Still      bool          // with an empty body: the client's copy is the one
	RetryAfter time.Duration // of a refusal: when to come back
	Healthy    bool          // the answer to Alive is yes
}

// Reader reads answers. What it can't read, and what is longer than any answer may be, is an error; the stream is of no
// use after one.
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
func (r *Reader) Next() (a Response, err error) {
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
	if err = errors.Join(err1, err2); err != nil || n != 4 || kind != 1 {
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

// readContent reads a body, or whether the gateway serves.
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

// readBytes reads a string of bytes, into a buffer if it holds so many.
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

func (r *Reader) readFields(a *Response) error {
	n, err := r.dec.DecodeMapLen()
	if err == nil && n > maxFields {
		err = fmt.Errorf("%d fields", n)
	}
	for ; err == nil && n > 0; n-- {
		var k, v []byte
		if k, err = r.readBytes(nil, maxTextBytes); err != nil {
			break
		}
		if v, err = r.readBytes(nil, maxTextBytes); err != nil {
			break
		}
		switch string(k) {
		case "later":
			var ms int64
			if ms, err = strconv.ParseInt(string(v), 10, 32); err == nil && ms < 0 {
				err = errors.New("later is negative")
			}
			a.RetryAfter = time.Duration(ms) * time.Millisecond
		case "still":
			a.Still = string(v) == "1"
		}
	}
	return err
}
