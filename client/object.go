package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Object describes an object that [Client.Open] reads.
type Object struct {
	Class, Object string        // as in Request
	Group         int           // as in Request
	Parts         int           // number of parts, from part 0; at least 1
	Ahead         int           // number of parts that are fetched ahead of the current one, and kept in memory; 0: 2
	PartDeadline  time.Duration // longest time to fetch a part; 0: Config.Deadline, unless ctx has a deadline
}

// defaultAhead is the default of Object.Ahead.
const defaultAhead = 2

// Open returns a reader over the parts of an object, in their order, or [ErrRequest] if o is invalid. No request is sent
// before the first Read. ctx applies to all requests of the reader; its end cancels them.
//
// The reader can seek to any offset up to the end of the last part that it has fetched for Read. If a part cannot be fetched,
// Read returns the error, and the next Read fetches the part again. Close cancels the fetches in progress and waits for them.
// The reader must not be used by several goroutines at the same time.
func (c *Client) Open(ctx context.Context, o Object) (io.ReadSeekCloser, error) {
	if o.Parts <= 0 {
		return nil, fmt.Errorf("%w: Parts is %d, want at least 1", ErrRequest, o.Parts)
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

// part is a part that is being fetched or has been fetched.
type part struct {
	done chan struct{} // closed once body and err are set
	body []byte
	err  error
}

// objectReader reads the parts of an object in their order. It implements io.ReadSeekCloser.
type objectReader struct {
	client     *Client
	object     Object
	ctx        context.Context
	cancel     context.CancelFunc
	parts      map[int]*part // by index: parts that are being fetched, or are fetched and not read to their end
	partStarts []int64       // by index: offset of the part in the object, as far as the lengths of parts are known
	partIndex  int           // the part that the next Read reads
	partOffset int           // offset of the next byte within that part
	fetches    sync.WaitGroup
	closed     bool
}

var errObjectClosed = errors.New("client: the object reader is closed")

// fetch returns a part, and starts to fetch it in a new goroutine if that has not been done.
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

// Read implements io.Reader. If a part cannot be fetched, Read returns the error and keeps the position, so that the next
// Read fetches that part again.
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

// currentPart starts to fetch the current part and those ahead of it, waits for the current one and records its length.
func (r *objectReader) currentPart() (*part, error) {
	p := r.fetch(r.partIndex)
	for n := r.partIndex + 1; n <= min(r.partIndex+r.object.Ahead, r.object.Parts-1); n++ {
		r.fetch(n)
	}
	<-p.done // closed at the deadline of the part, the context or the client at the latest
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

// knownEnd returns the offset up to which the lengths of parts are known.
func (r *objectReader) knownEnd() int64 {
	if len(r.partStarts) == 0 {
		return 0
	}
	return r.partStarts[len(r.partStarts)-1]
}

// Seek implements io.Seeker, for offsets up to the end of the last part that has been fetched for Read, since only these
// lengths are known. It returns an error and keeps the position for an offset outside of that, and for io.SeekEnd.
func (r *objectReader) Seek(offset int64, whence int) (int64, error) {
	if r.closed {
		return 0, errObjectClosed
	}
	position := r.position()
	switch whence {
	case io.SeekCurrent:
		offset += position
	case io.SeekEnd:
		return position, errors.New("client: seeking from the end of an object is not supported: its length is not known")
	}
	if offset < 0 || offset > r.knownEnd() {
		return position, fmt.Errorf("client: cannot seek to offset %d, want 0 to %d, the end of the parts read so far", offset, r.knownEnd())
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

// position returns the offset in the object of the next byte to be read.
func (r *objectReader) position() int64 {
	position := int64(r.partOffset)
	if r.partIndex < len(r.partStarts) {
		position += r.partStarts[r.partIndex]
	}
	return position
}

// partAt returns the index of the part that contains a known offset.
func (r *objectReader) partAt(offset int64) int {
	n := 0
	for n+1 < len(r.partStarts) && r.partStarts[n+1] <= offset {
		n++
	}
	return n
}

// dropFetchedOutside drops the fetched parts that a reader at part n does not need, which are those before it and those more
// than Object.Ahead after it.
func (r *objectReader) dropFetchedOutside(n int) {
	for index, p := range r.parts {
		if index >= n && index <= n+r.object.Ahead {
			continue
		}
		select {
		case <-p.done:
			delete(r.parts, index)
		default: // still being fetched: kept, so that it is not fetched twice if the reader seeks back
		}
	}
}

// Close cancels the fetches in progress and waits for them. A second call returns an error.
func (r *objectReader) Close() error {
	if r.closed {
		return errObjectClosed
	}
	r.closed = true
	r.cancel()
	r.fetches.Wait()
	return nil
}
