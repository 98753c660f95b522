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

// Journal is a fake journal service: an event stream over HTTP at /journal.
type Journal struct {
	Addr      string
	Connected chan string // receives the Last-Event-ID of each connection; dropped when full
	Events    chan string // raw events to send, each to one connection; an empty one closes that connection

	server    *http.Server
	mu        sync.Mutex
	replay    bool
	stored    []storedEvent
	published chan struct{} // closed and replaced with each stored event; nil unless replay is enabled
}

// NewJournal starts a journal service on an address such as [Loopback]. It fails if the address cannot be listened on.
func NewJournal(addr string) (*Journal, error) {
	l, err := loopback.Listen(addr)
	if err != nil {
		return nil, fmt.Errorf("fake journal: %w", err)
	}
	j := &Journal{Addr: l.Addr().String(), Connected: make(chan string, 100), Events: make(chan string, 100)}
	j.server = &http.Server{Handler: j}
	go func() { _ = j.server.Serve(l) }()
	return j, nil
}

// Close stops the service and closes its connections.
func (j *Journal) Close() { loopback.Close(j.server) }

// storedEvent is an event with its position in the journal.
type storedEvent struct {
	pos  int
	text string
}

// EnableReplay makes the service store the events that Publish sends from now on. Each connection receives all stored
// events with positions above its Last-Event-ID.
func (j *Journal) EnableReplay() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.replay, j.published = true, make(chan struct{})
}

// storedAfter returns the stored events with positions above pos, and a channel that is closed when the next event is
// stored. The channel is nil unless replay is enabled.
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

// ServeHTTP sends events, and a comment every second, until it takes an empty event from Events or the client
// disconnects.
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
	default: // the channel is full: no test reads it
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

// Publish sends an event with a position; payload is the JSON that follows the position, such as "expire":{...}. With
// replay enabled the event is stored for all connections; otherwise it is queued for one, and Publish blocks while Events
// is full.
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
