// Package resp sends attempts to endpoints over RESP: commands and answers are arrays of bulk strings, with many
// attempts in flight on one connection. A Pool is used on the gateway's loop; input is parsed on the poller
// goroutine.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	pool "github.com/libp2p/go-buffer-pool"
)

const (
	maxStringBytes = 256 << 10 // maximum bytes of one string; objects have up to 240,000
	maxStrings     = 8         // in one array
	maxLineBytes   = 32        // of a line with a length

	maxUnreservedBytes = 512 // strings up to this length need no reservation
)

// lineEnd terminates lines and strings.
const lineEnd = "\r\n"

var (
	errStringEnd   = errors.New("bulk string is not followed by CR LF")
	errLineTooLong = errors.New("line with a length is too long")
)

// parser splits a byte stream into arrays of bulk strings. The zero value is ready for use.
type parser struct {
	// reserve reports whether n bytes of memory are available for a string of the array that begins with a string first; nil: always.
	reserve func(first []byte, n int) bool

	skipBytes   int      // bytes left to skip, of a string for which there was no memory
	line        []byte   // incomplete line
	args        [][]byte // complete strings of the current array
	stringsLeft int      // strings of the current array that are incomplete
	current     []byte   // the current string with its closing CR LF; from the buffer pool
	received    int      // bytes of current that have arrived
}

// partial reports whether the stream so far ends within an array.
func (p *parser) partial() bool { return p.stringsLeft > 0 || len(p.line) > 0 || p.skipBytes > 0 }

// feed parses the next bytes and calls emit with each complete array. emit owns the strings and must return them to
// the buffer pool. A string for which there was no memory is nil. feed returns the first error of the stream or of
// emit; the parser must not be used after that.
func (p *parser) feed(b []byte, emit func(args [][]byte) error) error {
	for len(b) > 0 {
		var err error
		switch {
		case p.skipBytes > 0:
			b, err = p.feedSkipped(b, emit)
		case p.current != nil:
			b, err = p.feedString(b, emit)
		default:
			b, err = p.feedLine(b)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// feedSkipped skips bytes of a string for which there was no memory, and returns the bytes after it.
func (p *parser) feedSkipped(b []byte, emit func(args [][]byte) error) (rest []byte, err error) {
	n := min(p.skipBytes, len(b))
	p.skipBytes -= n
	if p.skipBytes == 0 {
		err = p.addString(nil, emit)
	}
	return b[n:], err
}

// feedString adds bytes to the current string and returns the bytes after it.
func (p *parser) feedString(b []byte, emit func(args [][]byte) error) (rest []byte, err error) {
	n := copy(p.current[p.received:], b)
	p.received, b = p.received+n, b[n:]
	if p.received < len(p.current) {
		return b, nil
	}
	end := len(p.current) - len(lineEnd)
	if string(p.current[end:]) != lineEnd {
		return b, errStringEnd
	}
	s := p.current[:end]
	p.current = nil
	return b, p.addString(s, emit)
}

// feedLine adds bytes to the current line and returns the bytes after it.
func (p *parser) feedLine(b []byte) (rest []byte, err error) {
	i := bytes.IndexByte(b, '\n')
	if i < 0 && len(p.line)+len(b) <= maxLineBytes {
		p.line = append(p.line, b...)
		return nil, nil
	}
	if i < 0 || len(p.line)+i > maxLineBytes {
		return b, errLineTooLong
	}
	line := append(p.line, b[:i]...)
	p.line = p.line[:0]
	return b[i+1:], p.parseLength(line)
}

// addString adds a complete string to the current array, and emits the array if it is complete.
func (p *parser) addString(s []byte, emit func(args [][]byte) error) error {
	p.args = append(p.args, s)
	p.stringsLeft--
	if p.stringsLeft > 0 {
		return nil
	}
	args := p.args
	p.args = nil
	return emit(args)
}

// parseLength parses the line with the length of an array or of a string.
func (p *parser) parseLength(line []byte) error {
	kind, limit := byte('*'), maxStrings
	if p.stringsLeft > 0 {
		kind, limit = '$', maxStringBytes
	}
	if len(line) < 3 || line[0] != kind || line[len(line)-1] != '\r' {
		return fmt.Errorf("line %q is not a length that begins with %c", line, kind)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-1]), 10, 31)
	if err != nil || int(n) > limit || kind == '*' && n == 0 {
		return fmt.Errorf("length %q is invalid or too large", line)
	}
	if kind == '*' {
		p.stringsLeft, p.args = int(n), make([][]byte, 0, n)
		return nil
	}
	if n > maxUnreservedBytes && !p.hasMemory(int(n)) {
		p.skipBytes = int(n) + 2
		return nil
	}
	p.current, p.received = pool.Get(int(n)+2), 0
	return nil
}

// hasMemory reports whether n bytes of memory are available for the next string of the current array.
func (p *parser) hasMemory(n int) bool {
	if p.reserve == nil {
		return true
	}
	var first []byte
	if len(p.args) > 0 {
		first = p.args[0]
	}
	return p.reserve(first, n)
}

// appendCommand appends args as an array of bulk strings.
func appendCommand(b []byte, args ...string) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(args)), 10), "\r\n"...)
	for _, a := range args {
		b = append(appendLength(b, len(a)), a...)
		b = append(b, "\r\n"...)
	}
	return b
}

// appendLength appends the line with the length of a bulk string.
func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, '$'), int64(n), 10), "\r\n"...)
}
