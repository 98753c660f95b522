package faultinjection

import (
	"fmt"
	"net"
	"sync"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// clientLoad sends requests to one gateway at a fixed interval, over one connection at a time, and counts how
// they end. mu guards every field below it; run and readAnswers use them from two goroutines, and the plot's
// events from others.
type clientLoad struct {
	addr     string
	interval time.Duration
	class    string

	mu              sync.Mutex
	paused          bool // no new requests are sent; answers are still read
	gatewayDown     bool // the plot killed or stopped the gateway: requests left unanswered count as LostWithGateway
	Sent            int  // requests, including those whose write failed
	Served          int
	Rejected        int                  // answered with a backoff error
	Failed          int                  // answered with any other error
	Duplicates      int                  // answers to a request that had been answered already
	Unanswered      int                  // no answer before the connection ended or the time was over, while the gateway was running
	LostWithGateway int                  // the same while the plot had killed or stopped the gateway
	open            map[uint32]time.Time // by request ID of the current connection, when it was sent
	answered        map[uint32]bool      // by request ID of the current connection
	conn            net.Conn             // the current connection, or the latest
}

// clientDeadline is the time limit that each request carries.
const clientDeadline = 1500 * time.Millisecond

// run sends requests until a point in time, and connects again whenever the connection ends. clientID, the gateway's position
// in the plot plus 1, makes transaction IDs and object names unique among the clients of different gateways.
func (c *clientLoad) run(until time.Time, clientID int) {
	sent := 0
	for time.Now().Before(until) {
		conn, err := loopback.DialTimeout(c.addr, 300*time.Millisecond)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		c.mu.Lock()
		c.conn, c.open, c.answered = conn, map[uint32]time.Time{}, map[uint32]bool{}
		c.mu.Unlock()
		ended := make(chan struct{})
		go c.readAnswers(conn, ended)
		sent = c.sendRequests(conn, ended, until, clientID, sent)
		if !time.Now().Before(until) { // wait for the last answers
			closedWithin(ended, clientDeadline+300*time.Millisecond)
		}
		loopback.Close(conn)
		<-ended
		c.mu.Lock()
		c.countAllLost()
		c.mu.Unlock()
	}
}

// readAnswers reads and records answers until the connection ends, and then closes ended.
func (c *clientLoad) readAnswers(conn net.Conn, ended chan<- struct{}) {
	defer close(ended)
	r := rpc.NewReader(conn)
	for {
		a, err := r.Next()
		if err != nil {
			return
		}
		c.recordAnswer(a)
	}
}

// sendRequests sends requests on one connection until the connection ends or the time is over. sent is how many requests
// earlier connections carried; the result is the new total.
func (c *clientLoad) sendRequests(conn net.Conn, ended <-chan struct{}, until time.Time, clientID, sent int) int {
	e := rpc.NewEncoder(conn)
	for id := uint32(1); time.Now().Before(until); {
		if !c.isPaused() {
			sent++
			c.mu.Lock()
			c.Sent++
			c.open[id] = time.Now()
			c.countOverdue()
			c.mu.Unlock()
			if err := e.Request(&rpc.Request{ID: id, Class: c.class, Txn: fmt.Sprintf("%016x", clientID<<32+sent), Limit: clientDeadline,
				Object: fmt.Sprintf("%016x", clientID<<16+sent%objectsPerGateway), Group: sent % objectsPerGateway % groupCount}); err != nil {
				return sent
			}
			id++
		}
		if closedWithin(ended, c.interval) {
			return sent
		}
	}
	return sent
}

// closedWithin waits for the channel of an ended connection to close, and reports whether that happened within the given time.
func closedWithin(ended <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}

// recordAnswer counts an answer by its outcome.
func (c *clientLoad) recordAnswer(a rpc.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered[a.ID] {
		c.Duplicates++
		return
	}
	if _, ok := c.open[a.ID]; !ok {
		return // late: already counted as unanswered
	}
	delete(c.open, a.ID)
	c.answered[a.ID] = true
	switch a.Error {
	case "":
		c.Served++
	case rpc.Backoff:
		c.Rejected++
	default:
		c.Failed++
	}
}

// countOverdue counts the requests that are more than 500 ms past their deadline as lost. The caller holds mu.
func (c *clientLoad) countOverdue() {
	for id, at := range c.open {
		if time.Since(at) > clientDeadline+500*time.Millisecond {
			c.countLost(id)
		}
	}
}

// countAllLost counts every request that is still open as lost. The caller holds mu.
func (c *clientLoad) countAllLost() {
	for id := range c.open {
		c.countLost(id)
	}
}

// countLost counts one open request as LostWithGateway while the gateway is down, otherwise as Unanswered. The caller holds mu.
func (c *clientLoad) countLost(id uint32) {
	delete(c.open, id)
	if c.gatewayDown {
		c.LostWithGateway++
	} else {
		c.Unanswered++
	}
}

// setPaused stops or resumes sending. Requests that are open must still be answered.
func (c *clientLoad) setPaused(paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = paused
}

// isPaused reports whether sending is stopped.
func (c *clientLoad) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// setGatewayDown records whether the plot has taken the gateway down, which decides how requests lost from now on are
// counted. When the gateway is back, requests that are still open count as lost with it.
func (c *clientLoad) setGatewayDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countOverdue()
	if !down {
		c.countAllLost() // sent before or while the gateway was down
	}
	c.gatewayDown = down
}
