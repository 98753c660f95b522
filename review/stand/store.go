//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ask is a request that reached a store.
type ask struct {
	store  *store
	id     string
	fields map[string]string
	body   string
	at     time.Time // when it had come whole
	write  func(args ...string)
	conn   net.Conn
}

// reset ends the connection on which the request came.
func (a *ask) reset() {
	_ = a.conn.(*net.TCPConn).SetLinger(0)
	_ = a.conn.Close()
}

// done answers with bytes.
func (a *ask) done(body string, dated time.Time) {
	a.write(a.id, "DONE", fmt.Sprintf("why=warm,digest=d%s,dated=%d,rep=inflight:1;x1:0.3;x0:0.9", a.fields["name"], dated.UnixMilli()), body)
}

// store is a stand-in of a cache, an upper cache or the origin: RESP arrays as PROTOCOL describes them.
type store struct {
	name, kind, zone, addr string

	mu     sync.Mutex
	l      net.Listener
	conns  map[net.Conn]bool
	answer func(*ask)
	quits  map[string]bool
}

// body is what every store holds of a part.
func body(object, piece string) string { return strings.Repeat(object+"/"+piece+";", 50) }

func startStore(name, kind, zone string, answer func(*ask)) *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	fatal(err)
	s := &store{name: name, kind: kind, zone: zone, addr: l.Addr().String(), l: l, conns: map[net.Conn]bool{}, answer: answer, quits: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s
}

func (s *store) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var mu sync.Mutex
	write := func(args ...string) {
		var b strings.Builder
		fmt.Fprintf(&b, "*%d\r\n", len(args))
		for _, a := range args {
			fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
		}
		mu.Lock()
		defer mu.Unlock()
		_, _ = io.WriteString(c, b.String())
	}
	for {
		args, err := readArray(r)
		if err != nil {
			return
		}
		switch {
		case args[0] == "ASK" && len(args) == 4:
			a := &ask{store: s, id: args[1], fields: map[string]string{}, body: args[3], at: time.Now(), write: write, conn: c}
			for f := range strings.SplitSeq(args[2], ",") {
				k, v, _ := strings.Cut(f, "=")
				a.fields[k] = v
			}
			note("store %s: ASK %s lane=%s name=%s piece=%s accept=%s dedupe=%s", s.name, a.id, a.fields["lane"], a.fields["name"],
				a.fields["piece"], a.fields["accept"], a.fields["dedupe"])
			go s.answer(a)
		case args[0] == "QUIT" && len(args) == 2:
			note("store %s: QUIT %s", s.name, args[1])
			s.mu.Lock()
			s.quits[args[1]] = true
			s.mu.Unlock()
		case args[0] == "NOOP" && len(args) == 2:
			write(args[1], "FIT", "-", "")
		}
	}
}

// die ends the store as a process that dies: its connections are reset, and new ones refused.
func (s *store) die() {
	_ = s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func readArray(r *bufio.Reader) ([]string, error) {
	size := func(kind byte) (int, error) {
		line, err := r.ReadString('\n')
		if err != nil {
			return 0, err
		}
		if line[0] != kind {
			return 0, fmt.Errorf("unreadable: %q", line)
		}
		return strconv.Atoi(strings.TrimSpace(line[1:]))
	}
	n, err := size('*')
	if err != nil || n < 1 || n > 8 {
		return nil, fmt.Errorf("unreadable array: %d, %v", n, err)
	}
	var args []string
	for range n {
		m, err := size('$')
		if err != nil || m < 0 || m > 1<<20 {
			return nil, fmt.Errorf("unreadable string: %d, %v", m, err)
		}
		b := make([]byte, m+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		args = append(args, string(b[:m]))
	}
	return args, nil
}
