package fakeserver

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"larchusher/lab/loopback"
)

// Journal is a fake journal service.
type Journal struct {
	Addr      string
	Connected chan string // Last-Event-ID of each connection
	Events    chan string // to be sent; an empty one ends the connection

	server    *http.Server
	mu        sync.Mutex
	replay    bool
	stored    []storedEvent
	published chan struct{} // closed, and made anew, with each that is kept
}

// NewJournal starts one at an address, such as [Loopback].
func NewJournal(addr string) (*Journal, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("stand-in journal: %w", err)
	}
	j := &Journal{Addr: l.Addr().String(), Connected: make(chan string, 100), Events: make(chan string, 100)}
	j.server = &http.Server{Handler: j}
	go func() { _ = j.server.Serve(l) }()
	return j, nil
}

// Close ends the service and its connections.
func (j *Journal) Close() { loopback.Close(j.server) }

type storedEvent struct {
	pos  int
	text string
}

// Replay has the service keep what it tells, and tell it again to those that connect with an older position.
func (j *Journal) EnableReplay() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.replay, j.published = true, make(chan struct{})
}

// after gives what was kept after a position, and what to wait on for more; nil: nothing is kept.
func (j *Journal) storedAfter(pos int) (events []storedEvent, published <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, k := range j.stored {
		if k.pos > pos {
			events = append(events, k)
		}
	}
	return events, j.published
}

// ServeHTTP sends events until one is empty or the client leaves.
func (j *Journal) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path != "/journal" || q.Method != http.MethodGet {
		http.NotFound(w, q)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	_, _ = io.WriteString(w, ": hello\n\n")
	w.(http.Flusher).Flush()
	select {
	case j.Connected <- q.Header.Get("Last-Event-ID"):
	default: // nobody minds
	}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	last, _ := strconv.Atoi(q.Header.Get("Last-Event-ID"))
	for {
		events, published := j.storedAfter(last)
		for _, k := range events {
			last = k.pos
			_, _ = io.WriteString(w, k.text)
		}
		if len(events) > 0 {
			w.(http.Flusher).Flush()
		}
		select {
		case <-published:
			continue
		case e := <-j.Events:
			if e == "" {
				return
			}
			_, _ = io.WriteString(w, e)
		case <-tick.C:
			_, _ = io.WriteString(w, ": still here\n\n")
		case <-q.Context().Done():
			return
		}
		w.(http.Flusher).Flush()
	}
}

// Tell sends one event. The rest is what follows its number, such as "expire":{...}.
func (j *Journal) Publish(pos int, payload string) {
	text := fmt.Sprintf("id: %d\ndata: {\"pos\":%d,%s}\n\n", pos, pos, payload)
	j.mu.Lock()
	if j.replay {
		j.stored = append(j.stored, storedEvent{pos, text})
		close(j.published)
		j.published = make(chan struct{})
		j.mu.Unlock()
		return
	}
	j.mu.Unlock()
	j.Events <- text
}
