package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Limits of the service's response, in bytes.
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
	errHeadTooLong      = errors.New("response head is too long")
	errChunkLineTooLong = errors.New("line with a chunk's length is too long")
	errEventTooLong     = errors.New("event is too long")
	errEnded            = errors.New("event stream ended")
)

// responseState is the part of the response that comes next.
type responseState int

const (
	inHead responseState = iota
	inBody
	inChunkLine
	inChunk
	atEnd
)

// responseParser parses an HTTP/1.1 response with server-sent events, chunked or not. The zero value is ready for
// use.
type responseParser struct {
	buf            []byte
	state          responseState
	chunkBytesLeft int64 // of the current chunk, including the line end after it
	events         eventParser
}

// spoke reports whether a line of the event stream, such as a comment, has been read completely.
func (p *responseParser) spoke() bool { return p.events.lines > 0 }

// feed parses the next bytes of a response and calls emit with the data and the ID of each complete event. The parser
// must not be used after an error.
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

// step parses the next part of the response. incomplete means that more bytes are needed.
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

// readHead parses the status line and the header fields.
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
		return false, fmt.Errorf("unexpected response %.60q, want HTTP status 200", lines[0])
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

// readChunkLine parses the line with a chunk's length; a length of 0 ends the response.
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
		return false, fmt.Errorf("invalid chunk length %.20q", length)
	}
	p.buf = p.buf[i+1:]
	p.chunkBytesLeft = int64(n) + int64(len(lineEnd))
	p.state = inChunk
	if n == 0 {
		p.state = atEnd
	}
	return false, nil
}

// readChunk parses the available bytes of a chunk.
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

// eventParser parses server-sent events. The zero value is ready for use.
type eventParser struct {
	buf   []byte // an incomplete line
	data  []byte // of the current event
	id    string // latest ID received
	lines uint64 // complete lines
}

// feed parses the next bytes and calls emit with the data and the ID of each complete event.
func (p *eventParser) feed(b []byte, emit func(data []byte, id string)) error {
	p.buf = append(p.buf, b...)
	for {
		i := bytes.IndexByte(p.buf, '\n')
		if i < 0 {
			break
		}
		line := bytes.TrimSuffix(p.buf[:i], []byte("\r"))
		p.buf = p.buf[i+1:]
		p.lines++
		p.handleLine(line, emit)
	}
	if len(p.buf)+len(p.data) > maxEventBytes {
		return errEventTooLong
	}
	return nil
}

// handleLine handles one line: a field, a comment, or the empty line that ends an event.
func (p *eventParser) handleLine(line []byte, emit func(data []byte, id string)) {
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
