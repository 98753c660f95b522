package msgpackrpc

import (
	"errors"
	"fmt"
)

// maxHeadBytes is the length of the longest beginning of a value: a type byte and a number of eight bytes.
const maxHeadBytes = 9

var (
	errTooDeep       = errors.New("values are nested too deeply")
	errTooManyValues = errors.New("message has too many values")
)

// scanner follows the structure of one message whose bytes may come in any pieces, to find its end. It keeps none of the bytes
// but those of an incomplete beginning of a value. The zero value is at the start of a message.
type scanner struct {
	levels [maxDepth + 1]uint64 // values that are still to come, by nesting
	depth  int                  // open levels
	begun  bool
	values int
	size   int // bytes of the message so far
	skip   int // bytes of the current value that are still to come

	head     [maxHeadBytes]byte // an incomplete beginning of a value
	headSize int
}

// feed takes the next bytes, and reports whether the message is complete. If it is, rest is what follows the message. After an
// error no valid message can follow.
func (s *scanner) feed(b []byte) (rest []byte, done bool, err error) {
	if !s.begun {
		s.begun, s.depth, s.levels[0] = true, 1, 1
	}
	for {
		b = s.skipBytes(b)
		if s.skip == 0 && s.depth == 0 {
			return b, true, nil
		}
		if s.size > maxFrameBytes {
			return b, false, fmt.Errorf("message exceeds %d bytes", maxFrameBytes)
		}
		if len(b) == 0 {
			return nil, false, nil
		}
		h, after, err := s.readHead(b)
		if errors.Is(err, errIncomplete) {
			return nil, false, nil
		}
		if err == nil {
			err = s.enter(h)
		}
		if err != nil {
			return b, false, err
		}
		b = after
	}
}

// skipBytes skips bytes of the current value, and returns the bytes after them.
func (s *scanner) skipBytes(b []byte) []byte {
	n := min(s.skip, len(b))
	s.skip -= n
	s.size += n
	return b[n:]
}

// readHead decodes the beginning of the next value, whose first bytes may have come earlier, and returns the bytes after it.
func (s *scanner) readHead(b []byte) (h valueHead, rest []byte, err error) {
	if s.headSize == 0 {
		h, rest, err = decodeHead(b)
		if errors.Is(err, errIncomplete) {
			s.headSize = copy(s.head[:], b)
			s.size += len(b)
			return h, nil, err
		}
		s.size += len(b) - len(rest)
		return h, rest, err
	}
	earlier := s.headSize
	added := copy(s.head[earlier:], b)
	h, unused, err := decodeHead(s.head[:earlier+added])
	if errors.Is(err, errIncomplete) {
		s.headSize += added
		s.size += added
		return h, nil, err
	}
	s.headSize = 0
	used := added - len(unused)
	s.size += used
	return h, b[used:], err
}

// enter counts a value whose beginning was read, and opens a level for its items.
func (s *scanner) enter(h valueHead) error {
	s.values++
	if s.values > maxValues {
		return errTooManyValues
	}
	s.levels[s.depth-1]--
	s.skip = h.length
	if items := h.items(); items > 0 {
		if s.depth == len(s.levels) {
			return errTooDeep
		}
		s.levels[s.depth] = items
		s.depth++
	}
	for s.depth > 0 && s.levels[s.depth-1] == 0 {
		s.depth--
	}
	return nil
}
