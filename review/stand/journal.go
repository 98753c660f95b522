//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// journal is a stand-in of the journal service.
type journal struct {
	addr string

	mu       sync.Mutex
	l        net.Listener
	events   []event
	more     chan struct{} // closed and replaced with each event
	stalled  bool          // it takes connections and says nothing
	released chan struct{} // closed when the stall ends
	spokeAt  time.Time     // when it first wrote to a gateway
}

type event struct {
	pos  int
	text string
}

// startJournal starts a journal; events that a gateway knows from its configuration have positions up to known.
func startJournal() *journal {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	fatal(err)
	j := &journal{addr: l.Addr().String(), l: l, more: make(chan struct{}), released: make(chan struct{})}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go j.serve(c)
		}
	}()
	return j
}

// stall makes the service take connections and say nothing, for a time.
func (j *journal) stall(d time.Duration) {
	j.mu.Lock()
	j.stalled = true
	j.mu.Unlock()
	time.AfterFunc(d, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.stalled = false
		close(j.released)
	})
}

// publish adds an event. payload is what follows the position.
func (j *journal) publish(pos int, payload string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.events = append(j.events, event{pos, fmt.Sprintf("id: %d\ndata: {\"pos\":%d,%s}\n\n", pos, pos, payload)})
	close(j.more)
	j.more = make(chan struct{})
	note("journal: event %d %s", pos, payload)
}

func (j *journal) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	note("journal: GET %s Last-Event-ID %d", q.URL.Path, last)
	j.mu.Lock()
	stalled, released := j.stalled, j.released
	j.mu.Unlock()
	if stalled {
		<-released
	}
	j.mu.Lock()
	if j.spokeAt.IsZero() {
		j.spokeAt = time.Now()
		note("journal: speaks for the first time")
	}
	j.mu.Unlock()
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n"); err != nil {
		return
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		var b strings.Builder
		j.mu.Lock()
		for _, e := range j.events {
			if e.pos > last {
				last = e.pos
				b.WriteString(e.text)
			}
		}
		more := j.more
		j.mu.Unlock()
		if _, err := io.WriteString(c, b.String()); err != nil {
			return
		}
		select {
		case <-more:
		case <-tick.C:
			if _, err := io.WriteString(c, ": still here\n\n"); err != nil {
				return
			}
		}
	}
}

func (j *journal) firstWord() time.Time {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.spokeAt
}

// entry is a store as the journal lists it.
func entry(s *store, status string, since int64) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":%d}`, s.name, s.addr, s.zone, s.kind, status, since)
}

// hosts is a list of stores, whole or a change.
func hosts(index int, whole bool, entries ...string) string {
	return fmt.Sprintf(`"hosts":{"index":%d,"snapshot":%v,"endpoints":[%s]}`, index, whole, strings.Join(entries, ","))
}

// forgetWords makes firstWord tell of words that follow.
func (j *journal) forgetWords() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.spokeAt = time.Time{}
}
