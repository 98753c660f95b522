// Package resp carries attempts to endpoints: RESP arrays of bulk strings, many attempts on one connection. Its Pool lives on
// the gateway's loop; what comes on connections is parsed on the poller.
package resp

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	pool "github.com/libp2p/go-buffer-pool"
)

const (
	maxStringBytes = 256 << 10 // bytes of one string; objects go up to 240,000
	maxStrings     = 8
	maxLineBytes   = 32

	maxUnreservedBytes = 4 << 10 // a string no longer than this is always held
)

// lineEnd ends lines and strings.
const lineEnd = "\r\n"

var (
	errStringEnd   = errors.New("a string does not end where it should")
	errLineTooLong = errors.New("a length's line is too long")
)

// parser cuts a stream into arrays of bulk strings. The zero value is ready for use.
type parser struct {
	reserve func(n int) bool // whether so long a string may be held; nil: any may

	skipBytes   int      // bytes that are still to be passed over, of a string for which there was no room
	line        []byte   // of a line that has not come whole
	args        [][]byte // of the array that is read
	stringsLeft int      // strings of it that are still to come
	current     []byte   // the string that is read, with its closing CR LF; of the pool
	received    int      // bytes of it
}

// partial reports whether an answer has begun and is not complete.
func (p *parser) partial() bool { return p.stringsLeft > 0 || len(p.line) > 0 || p.skipBytes > 0 }

// feed takes the next bytes and calls emit with each complete array. Its strings are emit's, to be given back to the pool;
// one that there was no memory for is nil.
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

// feedSkipped passes over bytes of a string that there was no memory for, and returns what follows.
func (p *parser) feedSkipped(b []byte, emit func(args [][]byte) error) (rest []byte, err error) {
	n := min(p.skipBytes, len(b))
	p.skipBytes -= n
	if p.skipBytes == 0 {
		err = p.addString(nil, emit)
	}
	return b[n:], err
}

// feedString adds bytes to the string that is read, and returns what follows.
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

// feedLine adds bytes to the line that is read, and returns what follows it.
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

// addString takes a complete string, and emits the array if that is complete, too.
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

// parseLength takes the line that begins an array or a string.
func (p *parser) parseLength(line []byte) error {
	kind, most := byte('*'), maxStrings
	if p.stringsLeft > 0 {
		kind, most = '$', maxStringBytes
	}
	if len(line) < 3 || line[0] != kind || line[len(line)-1] != '\r' {
		return fmt.Errorf("%q where a length %c was due", line, kind)
	}
	n, err := strconv.ParseUint(string(line[1:len(line)-1]), 10, 31)
	if err != nil || int(n) > most || kind == '*' && n == 0 {
		return fmt.Errorf("length %q", line)
	}
	if kind == '*' {
		p.stringsLeft, p.args = int(n), make([][]byte, 0, n)
		return nil
	}
	if p.reserve != nil && n > maxUnreservedBytes && !p.reserve(int(n)) {
		p.skipBytes = int(n) + 2
		return nil
	}
	p.current, p.received = pool.Get(int(n)+2), 0
	return nil
}

// appendCommand writes one array.
func appendCommand(b []byte, args ...string) []byte {
	b = append(strconv.AppendInt(append(b, '*'), int64(len(args)), 10), "\r\n"...)
	for _, a := range args {
		b = append(appendLength(b, len(a)), a...)
		b = append(b, "\r\n"...)
	}
	return b
}

func appendLength(b []byte, n int) []byte {
	return append(strconv.AppendInt(append(b, '$'), int64(n), 10), "\r\n"...)
}
