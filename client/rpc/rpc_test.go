package rpc

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"
)

// Answers are decoded however the stream is split into reads. A malformed answer is an error, which is returned before
// memory is allocated for the lengths that the answer claims.
func TestReaderDecodesAndRejectsAnswers(t *testing.T) {
	body := bytes.Repeat([]byte("x"), 240_000)
	served := append([]byte{0x94, 1, 7, 0xc0, 0x92, 0xc6, 0, 3, 0xa9, 0x80}, body...)
	stream := append(append([]byte{}, served...), 0x80)
	stream = append(stream, "\x94\x01\x08\x92\xa7Backoff\x81\xa5later\xa4\x31\x32\x33\x34\xc0"...)
	stream = append(stream, "\x94\x01\x09\xc0\x92\xc3\x80"...)
	stream = append(stream, "\x94\x01\x0a\xc0\x92\xc4\x00\x81\xa5still\xa11"...)
	for name, r := range map[string]io.Reader{"whole": bytes.NewReader(stream), "a byte at a time": iotest.OneByteReader(bytes.NewReader(stream))} {
		d := NewReader(r)
		if a, err := d.Next(); err != nil || a.ID != 7 || a.Error != "" || !bytes.Equal(a.Body, body) {
			t.Fatalf("%s: answer %d: error code %q, body of %d bytes, error %v, want answer 7 with 240000 bytes", name, a.ID, a.Error, len(a.Body), err)
		}
		if a, err := d.Next(); err != nil || a.ID != 8 || a.Error != Backoff || a.RetryAfter != 1234*time.Millisecond {
			t.Fatalf("%s: got %+v, error %v, want a rejection of message 8 with a Retry-After of 1234 ms", name, a, err)
		}
		if a, err := d.Next(); err != nil || !a.Healthy {
			t.Fatalf("%s: got %+v, error %v, want a healthy answer", name, a, err)
		}
		if a, err := d.Next(); err != nil || !a.Still || len(a.Body) != 0 {
			t.Fatalf("%s: got %+v, error %v, want an unchanged copy without a body", name, a, err)
		}
		if _, err := d.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s: after the last answer: %v, want io.EOF", name, err)
		}
	}
	for _, bad := range []string{"\x94\x00\x01\xc0\x92\xc4\x00\x80", "\x93\x01\x01\xc0", "\x94\x01\x01\xc0\x92\xc6\x7f\xff\xff\xff", "\x94\x01\x01\x92\xa0\x80\xc0",
		"\x94\x01\x01\x92\xa7Backoff\xdf\xff\xff\xff\xff", "\x94\x01\x01\x92\xa7Backoff\x81\xa5later\xa1x\xc0", "\x94\x01\x01\x92\xa7Backoff\x81\xa5later\xa2-1\xc0",
		"\x94\x01\x01\x92\xdb\xff\xff\xff\xff", "\xc1", "\x94\x01\x01\xc0\x93\xc4\x00\x80\x80"} {
		if a, err := NewReader(bytes.NewReader([]byte(bad))).Next(); err == nil || errors.Is(err, io.EOF) && len(bad) > 12 {
			t.Errorf("%q: got %+v, error %v, want an error", bad, a, err)
		}
	}
}

// If the stream ends after any byte within an answer, the error is io.ErrUnexpectedEOF. It is io.EOF only between two
// answers, where the end is an orderly close.
func TestTruncatedAnswerIsUnexpectedEOF(t *testing.T) {
	for name, answer := range map[string]string{
		"body":             "\x94\x01\x07\xc0\x92\xc4\x03abc\x80",
		"long body":        "\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x03abc\x80",
		"fields":           "\x94\x01\xcd\x01\x07\xc0\x92\xc4\x00\x82\xa5still\xa11\xa5other\xd9\x03two",
		"error":            "\x94\x01\x07\x92\xa7Backoff\x81\xa5later\xa4\x31\x32\x33\x34\xc0",
		"error, empty map": "\x94\x01\x07\x92\xa6Failed\x80\xc0",
		"health check":     "\x94\x01\x07\xc0\x92\xc3\x80",
		"long header":      "\xdc\x00\x04\x01\xce\x00\x00\x00\x07\xc0\xdc\x00\x02\xc4\x00\xde\x00\x00",
	} {
		for cut := 1; cut < len(answer); cut++ {
			r := NewReader(bytes.NewReader([]byte(answer[:cut])))
			if a, err := r.Next(); !errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
				t.Errorf("%s, stream ended after %d of %d bytes: got %+v, error %v, want io.ErrUnexpectedEOF", name, cut, len(answer), a, err)
			}
		}
		r := NewReader(bytes.NewReader([]byte(answer)))
		if _, err := r.Next(); err != nil {
			t.Errorf("%s, complete answer: error %v, want none", name, err)
		}
		if _, err := r.Next(); !errors.Is(err, io.EOF) {
			t.Errorf("%s, stream ended after the answer: %v, want io.EOF", name, err)
		}
	}
}
