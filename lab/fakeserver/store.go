// Package fakeserver has fake servers for what a gateway talks to: stores that speak the platform's RESP, the journal
// service and its events. They listen on loopback, record what they are asked, and misbehave as they are told.
package fakeserver

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"larchusher/lab/loopback"
)

// Loopback is an address at which the system picks the port.
const Loopback = "127.0.0.1:0"

// Request is one ASK, with what it takes to answer it.
type Request struct {
	ID, Body string
	Fields   map[string]string
	Store    *Store
	Conn     net.Conn // for answers that are none
	At       time.Time
	Note     string // that it was served with; guarded by the store's lock

	link *link
}

// Reply sends an answer. It may be called from any goroutine, at any time.
func (a *Request) Reply(word, fields, body string) { a.link.write(a.ID, word, fields, body) }

// Array words a RESP array of bulk strings.
func Array(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		b.WriteString("$" + strconv.Itoa(len(a)) + "\r\n" + a + "\r\n")
	}
	return b.String()
}

// Content is what every fake server holds for a part: about 7.6 kB that name the object and the part.
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

// What was asked for is kept, up to a number: making it anew took as long as the gateway that is measured.
var (
	contentCache   sync.Map
	cachedContents atomic.Int64
)

const maxCachedContents = 4096

// Sized is what they hold for a part of n bytes.
func ContentOfSize(object, part string, n int) string {
	word := object + "/" + part + ";"
	return strings.Repeat(word, n/len(word)+1)[:n]
}

// Done answers with [Content], as a store does that holds the part.
func ServeHit(a *Request) { a.Serve("warm", Content(a.Fields["name"], a.Fields["piece"])) }

// Serve answers with a body and the note on where it came from.
func (a *Request) Serve(note, body string) { a.ServeWith(note, "inflight:1;x1:0.5;x0:0.9", body) }

// ServeWith is Serve with a load report.
func (a *Request) ServeWith(note, report, body string) {
	if !a.Store.CountOnly {
		a.Store.Lock()
		a.Note = note
		a.Store.Unlock()
	}
	a.Reply("DONE", "why="+note+",digest=tag-"+a.Fields["name"]+",dated=1,rep="+report, body)
}

// Store is a fake store. Its fields are guarded by its lock.
type Store struct {
	Name, Kind, Addr string
	Listener         net.Listener

	sync.Mutex
	Handler            func(*Request)
	Requests           []*Request // what it was asked, unless Forget is set
	CountOnly          bool       // for long runs: Asked counts, and nothing else is kept
	RequestCount       int
	Quits              []string
	Noops              int
	Conns              int
	IgnoreHealthChecks bool // it answers no NOOP

	links  map[net.Conn]bool
	copies map[string]bool // copies, of a store that [Store.Cache] made a cache
}

// NewStore starts one at an address, such as [Loopback].
func NewStore(name, kind, addr string) (*Store, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in %s: %w", name, err)
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

// Close ends the server as a dying process would: its connections are reset.
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

// On sets how the store answers.
func (s *Store) SetHandler(answer func(*Request)) {
	s.Lock()
	defer s.Unlock()
	s.Handler = answer
}

// Cache has the store hold what it serves, and fill what it lacks from the store that a request names. The origin,
// and a parent that may ask it, hold everything.
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

// link is one connection. Answers gather while more requests have come and are read at once.
type link struct {
	conn       net.Conn
	mu         sync.Mutex
	w          *bufio.Writer
	deferFlush bool // the reader flushes
}

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

func (l *link) setDeferFlush(deferFlush bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.deferFlush = deferFlush; !deferFlush {
		_ = l.w.Flush()
	}
}

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

// ReadArray reads one RESP array of bulk strings.
func ReadArray(r *bufio.Reader) ([]string, error) {
	length := func(kind byte) (int, error) {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return 0, err
		}
		if len(line) < 3 || line[0] != kind {
			return 0, fmt.Errorf("%q where a length %c was due", line, kind)
		}
		n, err := strconv.Atoi(strings.TrimSpace(string(line[1:])))
		if err == nil && (n < 0 || n > 1<<20) {
			err = errors.New("a length out of range")
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
		err = errors.New("an empty array")
	}
	return args, err
}

// CloseIdle closes the store's connections in good order, as one does that thinks them idle. It goes on accepting.
func (s *Store) CloseIdle() {
	s.Lock()
	defer s.Unlock()
	for c := range s.links {
		loopback.Close(c)
	}
}
