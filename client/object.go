package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Object says what to read.
type Object struct {
	Class, Object string
	Group         int
	Parts         int           // how many there are
	Ahead         int           // parts fetched ahead of the reader, which bounds memory; 0: 2
	PartDeadline  time.Duration // of each part; 0: the client's
}

// defaultAhead is how many parts are fetched ahead where an Object does not say.
const defaultAhead = 2

// Open returns a reader over the parts of an object. It may seek to what it has passed, and to the end of what it has
// seen; a part that could not be had is asked for again by the next Read. Close ends what is fetched ahead. The context
// holds for all of it. One goroutine may use it at a time.
func (c *Client) Open(ctx context.Context, o Object) (io.ReadSeekCloser, error) {
	if o.Parts <= 0 {
		return nil, fmt.Errorf("%w: Parts is %d", ErrRequest, o.Parts)
	}
	if err := (&Request{Class: o.Class, Object: o.Object, Group: o.Group}).check(); err != nil {
		return nil, err
	}
	if o.Ahead <= 0 {
		o.Ahead = defaultAhead
	}
	ctx, cancel := context.WithCancel(ctx)
	return &objectReader{client: c, object: o, ctx: ctx, cancel: cancel, parts: map[int]*part{}}, nil
}

// part is a part that is being fetched, or has been.
type part struct {
	done chan struct{} // closed when body and err are set
	body []byte
	err  error
}

// objectReader is what Open returns.
type objectReader struct {
	client     *Client
	object     Object
	ctx        context.Context
	cancel     context.CancelFunc
	parts      map[int]*part
	partStarts []int64 // by part: the offset at which it begins, as far as is known
	partIndex  int     // the part that is read next,
	partOffset int     // and the offset in it
	fetches    sync.WaitGroup
	closed     bool
}

var errObjectClosed = errors.New("client: the object is closed")

// fetch begins to fetch a part, if that has not begun.
func (r *objectReader) fetch(n int) *part {
	if p := r.parts[n]; p != nil {
		return p
	}
	p := &part{done: make(chan struct{})}
	r.parts[n] = p
	r.fetches.Go(func() {
		defer close(p.done)
		ctx, cancel := r.ctx, context.CancelFunc(func() {})
		if r.object.PartDeadline > 0 {
			ctx, cancel = context.WithTimeout(ctx, r.object.PartDeadline)
		}
		defer cancel()
		got, err := r.client.Do(ctx, Request{Class: r.object.Class, Object: r.object.Object, Part: n, Group: r.object.Group})
		p.body, p.err = got.Body, err
	})
	return p
}

// Read reads on. An error of a part leaves the position as it is: the next Read fetches that part again.
func (r *objectReader) Read(b []byte) (int, error) {
	for {
		if r.closed {
			return 0, errObjectClosed
		}
		if r.partIndex >= r.object.Parts {
			return 0, io.EOF
		}
		if len(b) == 0 {
			return 0, nil
		}
		p, err := r.currentPart()
		if err != nil {
			return 0, err
		}
		if r.partOffset < len(p.body) {
			n := copy(b, p.body[r.partOffset:])
			r.partOffset += n
			return n, nil
		}
		delete(r.parts, r.partIndex)
		r.partIndex, r.partOffset = r.partIndex+1, 0
	}
}

// currentPart waits for the part that is read next, has those ahead of it fetched, and notes where it ends.
func (r *objectReader) currentPart() (*part, error) {
	p := r.fetch(r.partIndex)
	for n := r.partIndex + 1; n <= min(r.partIndex+r.object.Ahead, r.object.Parts-1); n++ {
		r.fetch(n)
	}
	<-p.done // by the context's or the client's deadline at the latest
	if p.err != nil {
		delete(r.parts, r.partIndex)
		return nil, fmt.Errorf("part %d: %w", r.partIndex, p.err)
	}
	for len(r.partStarts) < r.partIndex+2 {
		r.partStarts = append(r.partStarts, r.knownEnd())
	}
	r.partStarts[r.partIndex+1] = r.partStarts[r.partIndex] + int64(len(p.body))
	return p, nil
}

// knownEnd is the offset up to which the lengths of parts are known.
func (r *objectReader) knownEnd() int64 {
	if len(r.partStarts) == 0 {
		return 0
	}
	return r.partStarts[len(r.partStarts)-1]
}

// Seek goes to an offset that is known: the length of a part is known once it has been read. The end can't be sought.
func (r *objectReader) Seek(offset int64, whence int) (int64, error) {
	if r.closed {
		return 0, errObjectClosed
	}
	position := r.position()
	switch whence {
	case io.SeekCurrent:
		offset += position
	case io.SeekEnd:
		return position, errors.New("client: the end is not known before it is read")
	}
	if offset < 0 || offset > r.knownEnd() {
		return position, fmt.Errorf("client: place %d is not known yet; %d is", offset, r.knownEnd())
	}
	n := r.partAt(offset)
	if n != r.partIndex {
		r.dropFetchedOutside(n)
	}
	r.partIndex, r.partOffset = n, 0
	if len(r.partStarts) > 0 {
		r.partOffset = int(offset - r.partStarts[n])
	}
	return offset, nil
}

// position is the offset of the next byte to be read.
func (r *objectReader) position() int64 {
	position := int64(r.partOffset)
	if r.partIndex < len(r.partStarts) {
		position += r.partStarts[r.partIndex]
	}
	return position
}

// partAt is the part that holds a known offset.
func (r *objectReader) partAt(offset int64) int {
	n := 0
	for n+1 < len(r.partStarts) && r.partStarts[n+1] <= offset {
		n++
	}
	return n
}

// dropFetchedOutside drops parts that have been fetched and are not wanted by a reader at part n.
func (r *objectReader) dropFetchedOutside(n int) {
	for k, p := range r.parts {
		if k >= n && k <= n+r.object.Ahead {
			continue
		}
		select {
		case <-p.done:
			delete(r.parts, k)
		default: // still on its way: it would be fetched twice if the reader came back
		}
	}
}

// Close cancels what is being fetched, and waits for it.
func (r *objectReader) Close() error {
	if r.closed {
		return errObjectClosed
	}
	r.closed = true
	r.cancel()
	r.fetches.Wait()
	return nil
}
