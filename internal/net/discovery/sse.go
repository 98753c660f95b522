package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of what the service may send.
const (
	maxHeadBytes  = 16 << 10
	maxChunkLine  = 1024
	maxEventBytes = 1 << 20
)

const (
	headEnd = "\r\n\r\n"
	lineEnd = "\r\n"
)

var (
	errHeadTooLong      = errors.New("a response head that does not end")
	errChunkLineTooLong = errors.New("a chunk's length that does not end")
	errEventTooLong     = errors.New("an event that does not end")
	errEnded            = errors.New("the journal ended")
)

// responseState is what of a response comes next.
type responseState int

const (
	inHead responseState = iota
	inBody
	inChunkLine
	inChunk
	atEnd
)

// responseParser reads an HTTP/1.1 response with server-sent events, chunked or not. The zero value is ready for use.
type responseParser struct {
	buf            []byte
	state          responseState
	chunkBytesLeft int64 // of the present chunk, with the line end behind it
	events         eventParser
}

// feed takes the next bytes of a response and calls emit with the data and the id of each complete event.
func (p *responseParser) feed(b []byte, emit func(data []byte, id string)) error {
	p.buf = append(p.buf, b...)
	for len(p.buf) > 0 {
		incomplete, err := p.step(emit)
		if incomplete || err != nil {
			return err
		}
	}
	return nil
}

// step reads the next part of the response. incomplete: more bytes are needed.
func (p *responseParser) step(emit func(data []byte, id string)) (incomplete bool, err error) {
	switch p.state {
	case inHead:
		return p.readHead()
	case inBody:
		err = p.events.feed(p.buf, emit)
		p.buf = p.buf[:0]
		return false, err
	case inChunkLine:
		return p.readChunkLine()
	case inChunk:
		return false, p.readChunk(emit)
	default:
		return false, errEnded
	}
}

// readHead reads the status line and the fields.
func (p *responseParser) readHead() (incomplete bool, err error) {
	i := bytes.Index(p.buf, []byte(headEnd))
	if i < 0 {
		if len(p.buf) > maxHeadBytes {
			return false, errHeadTooLong
		}
		return true, nil
	}
	head := string(p.buf[:i])
	p.buf = p.buf[i+len(headEnd):]
	lines := strings.Split(head, lineEnd)
	words := strings.SplitN(lines[0], " ", 3)
	if len(words) < 2 || !strings.HasPrefix(words[0], "HTTP/1.") || words[1] != "200" {
		return false, fmt.Errorf("the answer %.60q", lines[0])
	}
	p.state = inBody
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ":")
		if strings.EqualFold(name, "transfer-encoding") && strings.EqualFold(strings.TrimSpace(value), "chunked") {
			p.state = inChunkLine
		}
	}
	return false, nil
}

// readChunkLine reads the line with a chunk's length; a length of 0 ends the response.
func (p *responseParser) readChunkLine() (incomplete bool, err error) {
	i := bytes.IndexByte(p.buf, '\n')
	if i < 0 {
		if len(p.buf) > maxChunkLine {
			return false, errChunkLineTooLong
		}
		return true, nil
	}
	length, _, _ := strings.Cut(strings.TrimSpace(string(p.buf[:i])), ";")
	n, err := strconv.ParseUint(strings.TrimSpace(length), 16, 31)
	if err != nil {
		return false, fmt.Errorf("the chunk's length %.20q", length)
	}
	p.buf = p.buf[i+1:]
	p.chunkBytesLeft = int64(n) + int64(len(lineEnd))
	p.state = inChunk
	if n == 0 {
		p.state = atEnd
	}
	return false, nil
}

// readChunk reads what has come of a chunk.
func (p *responseParser) readChunk(emit func(data []byte, id string)) error {
	n := min(p.chunkBytesLeft, int64(len(p.buf)))
	body := min(n, max(0, p.chunkBytesLeft-int64(len(lineEnd))))
	if err := p.events.feed(p.buf[:body], emit); err != nil {
		return err
	}
	p.buf = p.buf[n:]
	p.chunkBytesLeft -= n
	if p.chunkBytesLeft == 0 {
		p.state = inChunkLine
	}
	return nil
}

// eventParser reads the lines of server-sent events. The zero value is ready for use.
type eventParser struct {
	buf  []byte // a line that is not complete
	data []byte // of the event that is read
	id   string // of the latest event that had one
}

// feed takes the next bytes and calls emit with the data and the id of each complete event.
func (p *eventParser) feed(b []byte, emit func(data []byte, id string)) error {
	p.buf = append(p.buf, b...)
	for {
		i := bytes.IndexByte(p.buf, '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(p.buf[:i], []byte("\r"))
		p.buf = p.buf[i+1:]
		p.takeLine(line, emit)
	}
	if len(p.buf)+len(p.data) > maxEventBytes {
		return errEventTooLong
	}
	return nil
}

// takeLine takes one line: a field, a comment, or the empty line that ends an event.
func (p *eventParser) takeLine(line []byte, emit func(data []byte, id string)) {
	if len(line) == 0 {
		if len(p.data) > 0 {
			emit(p.data, p.id)
			p.data = nil
		}
		return
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.TrimPrefix(value, []byte(" "))
	switch string(name) {
	case "data":
		if len(p.data) > 0 {
			p.data = append(p.data, '\n')
		}
		p.data = append(p.data, value...)
	case "id":
		p.id = string(value)
	}
}
