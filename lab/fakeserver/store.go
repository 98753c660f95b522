// Package fakeserver provides fake servers for the peers of a gateway: stores that speak the platform's RESP protocol,
// and the journal service with its event stream. They listen on loopback, record the requests that they receive, and
// answer as the test's handler decides.
package fakeserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchusher/lab/loopback"
)

// Loopback is a loopback address with a port chosen by the system.
const Loopback = "127.0.0.1:0"

// Request is an ASK command that a store received.
type Request struct {
	ID, Body string
	Fields   map[string]string
	Store    *Store
	Conn     net.Conn // for handlers that write raw bytes or close the connection
	At       time.Time
	Note     string // source given to ServeWith, such as warm or fill; guarded by the store's lock; unset with CountOnly

	link *link
}

// Reply sends an answer to the request: its status word, its fields and its body. It may be called from any goroutine,
// at any time and more than once.
func (a *Request) Reply(word, fields, body string) { a.link.write(a.ID, word, fields, body) }

// Array encodes a RESP array of bulk strings.
func Array(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		b.WriteString("$" + strconv.Itoa(len(a)) + "\r\n" + a + "\r\n")
	}
	return b.String()
}

// Content returns the content of a part on every fake server: its object and part names, repeated 400 times. That is
// about 7.6 kB with a 16-digit object name.
func Content(object, part string) string {
	word := object + "/" + part + ";"
	if body, ok := contentCache.Load(word); ok {
		return body.(string)
	}
	body := strings.Repeat(word, 400)
	if cachedContents.Add(1) < maxCachedContents {
		contentCache.Store(word, body)
	}
	return body
}

// contentCache holds the bodies of the first parts that were requested. Building each body anew cost as much CPU time as
// the gateway under test.
var (
	contentCache   sync.Map
	cachedContents atomic.Int64
)

// maxCachedContents is how many bodies contentCache holds.
const maxCachedContents = 4096

// ContentOfSize returns the content of a part of n bytes: its object and part names, repeated.
func ContentOfSize(object, part string, n int) string {
	word := object + "/" + part + ";"
	return strings.Repeat(word, n/len(word)+1)[:n]
}

// ServeHit answers with [Content], like a store that holds the part.
func ServeHit(a *Request) { a.Serve("warm", Content(a.Fields["name"], a.Fields["piece"])) }

// Serve answers with a body and its source, such as warm or fill, and with a fixed load report.
func (a *Request) Serve(note, body string) { a.ServeWith(note, "inflight:1;x1:0.5;x0:0.9", body) }

// ServeWith answers like Serve, with the given load report.
func (a *Request) ServeWith(note, report, body string) {
	if !a.Store.CountOnly {
		a.Store.Lock()
		a.Note = note
		a.Store.Unlock()
	}
	a.Reply("DONE", "why="+note+",digest=tag-"+a.Fields["name"]+",dated=1,rep="+report, body)
}

// Store is a fake cache, parent or origin. The fields below the mutex are guarded by it.
type Store struct {
	Name, Kind, Addr string
	Listener         net.Listener

	sync.Mutex
	Handler            func(*Request) // answers requests; see SetHandler
	Requests           []*Request     // requests received, unless CountOnly is set
	CountOnly          bool           // for long runs: count requests, but keep neither Requests, Quits nor notes
	RequestCount       int            // requests received
	Quits              []string       // request ids that were cancelled with QUIT
	Noops              int            // health checks (NOOP) received
	Conns              int            // connections accepted
	IgnoreHealthChecks bool           // NOOP, the health check, gets no answer

	links  map[net.Conn]bool // open connections
	copies map[string]bool   // parts held after [Store.ActAsCache], by object/part
}

// NewStore starts a store that answers with [ServeHit] on an address such as [Loopback]. Its kind is box (a cache), parent
// or origin. It fails if the address cannot be listened on.
func NewStore(name, kind, addr string) (*Store, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("fake store %s: %w", name, err)
	}
	s := &Store{Name: name, Kind: kind, Listener: l, Addr: l.Addr().String(), Handler: ServeHit, links: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.Lock()
			s.Conns++
			s.links[c] = true
			s.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

// HasQuit reports whether a request was cancelled with QUIT. It must not be called with the store locked.
func (s *Store) HasQuit(id string) bool {
	s.Lock()
	defer s.Unlock()
	return slices.Contains(s.Quits, id)
}

// Close stops the store like a process that dies: its connections are reset.
func (s *Store) Close() {
	loopback.Close(s.Listener)
	s.Lock()
	defer s.Unlock()
	for c := range s.links {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		loopback.Close(c)
	}
}

// SetHandler sets the function that answers later requests. It is called from the connections' goroutines.
func (s *Store) SetHandler(answer func(*Request)) {
	s.Lock()
	defer s.Unlock()
	s.Handler = answer
}

// ActAsCache makes the store answer like a cache. It serves the parts that it holds, takes a copy of a missing one if the
// request names a known fill source, and otherwise answers LACK. A parent takes a copy without a fill source as well, and
// the origin holds everything. The function size gives the size of an object's parts in bytes.
func (s *Store) ActAsCache(stores map[string]*Store, size func(object string) int) {
	s.copies = map[string]bool{}
	s.SetHandler(func(a *Request) {
		key := a.Fields["name"] + "/" + a.Fields["piece"]
		body := ContentOfSize(a.Fields["name"], a.Fields["piece"], size(a.Fields["name"]))
		s.Lock()
		hasCopy := s.copies[key] || s.Kind == "origin"
		if !hasCopy && (stores[a.Fields["parent"]] != nil || s.Kind == "parent") {
			s.copies[key] = true
			s.Unlock()
			a.Serve("fill", body)
			return
		}
		s.Unlock()
		if !hasCopy {
			a.Reply("LACK", "-", "")
			return
		}
		a.Serve("warm", body)
	})
}

// link is one connection. While buffered requests wait to be read, answers are buffered too and written together.
type link struct {
	conn       net.Conn
	mu         sync.Mutex
	w          *bufio.Writer
	deferFlush bool // the reading goroutine flushes when it has read the buffered requests
}

// write writes an answer, and flushes it unless deferFlush is set. It may be called from any goroutine.
func (l *link) write(args ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n [24]byte
	head := func(kind byte, size int) {
		_, _ = l.w.Write(append(strconv.AppendInt(append(n[:0], kind), int64(size), 10), '\r', '\n'))
	}
	head('*', len(args))
	for _, a := range args {
		head('$', len(a))
		_, _ = l.w.WriteString(a)
		_, _ = l.w.WriteString("\r\n")
	}
	if !l.deferFlush {
		_ = l.w.Flush()
	}
}

// setDeferFlush sets deferFlush and flushes the buffered answers when it is cleared.
func (l *link) setDeferFlush(deferFlush bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deferFlush = deferFlush; !deferFlush {
		_ = l.w.Flush()
	}
}

// serve reads commands from a connection until it fails, and passes requests to the handler.
func (s *Store) serve(c net.Conn) {
	defer func() {
		loopback.Close(c)
		s.Lock()
		delete(s.links, c)
		s.Unlock()
	}()
	r := bufio.NewReaderSize(c, 64<<10)
	l := &link{conn: c, w: bufio.NewWriterSize(c, 64<<10)}
	for {
		if r.Buffered() == 0 {
			l.setDeferFlush(false)
		}
		args, err := ReadArray(r)
		if err != nil {
			return
		}
		l.setDeferFlush(r.Buffered() > 0)
		s.Lock()
		answer := s.Handler
		switch {
		case args[0] == "ASK" && len(args) == 4:
			a := &Request{ID: args[1], Body: args[3], Fields: map[string]string{}, Store: s, Conn: c, At: time.Now(), link: l}
			for f := range strings.SplitSeq(args[2], ",") {
				k, v, _ := strings.Cut(f, "=")
				a.Fields[k] = v
			}
			if s.RequestCount++; !s.CountOnly {
				s.Requests = append(s.Requests, a)
			}
			s.Unlock()
			answer(a)
			continue
		case args[0] == "QUIT" && len(args) == 2:
			if !s.CountOnly {
				s.Quits = append(s.Quits, args[1])
			}
		case args[0] == "NOOP" && len(args) == 2:
			if s.Noops++; !s.IgnoreHealthChecks {
				l.write(args[1], "FIT", "-", "")
			}
		}
		s.Unlock()
	}
}

// ReadArray reads a RESP array of bulk strings. It fails on other kinds of values, an empty array, and lengths above
// 1 MiB (1<<20).
func ReadArray(r *bufio.Reader) ([]string, error) {
	length := func(kind byte) (int, error) {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 3 || line[0] != kind {
			return 0, fmt.Errorf("got %q, want a length that begins with %c", line, kind)
		}
		n, err := strconv.Atoi(strings.TrimSpace(string(line[1:])))
		if err == nil && (n < 0 || n > 1<<20) {
			err = errors.New("length out of range: want 0 to 1 MiB")
		}
		return n, err
	}
	n, err := length('*')
	var args []string
	for ; err == nil && n > 0; n-- {
		var size int
		if size, err = length('$'); err == nil {
			b := make([]byte, size+2)
			if _, err = io.ReadFull(r, b); err == nil {
				args = append(args, string(b[:size]))
			}
		}
	}
	if err == nil && len(args) == 0 {
		err = errors.New("got an empty array, want a command")
	}
	return args, err
}

// CloseIdle closes all connections of the store in order, without a reset, like a server that closes idle ones. The
// store still accepts new connections.
func (s *Store) CloseIdle() {
	s.Lock()
	defer s.Unlock()
	for c := range s.links {
		loopback.Close(c)
	}
}
