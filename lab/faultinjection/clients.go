package faultinjection

import (
	"fmt"
	"net"
	"sync"
	"time"

	"larchusher/client/rpc"
	"larchusher/lab/loopback"
)

// clients ask one gateway, at a steady pace, over one connection at a time.
type clientLoad struct {
	addr     string
	interval time.Duration
	class    string

	mu              sync.Mutex
	paused          bool // they ask nothing
	gatewayDown     bool // the gateway was killed or stopped: what it leaves open is no fault
	Sent            int
	Served          int
	Rejected        int
	Failed          int
	Duplicates      int
	Unanswered      int // the connection ended, or nothing came in time, though the gateway ran
	LostWithGateway int
	open            map[uint32]time.Time
	answered        map[uint32]bool
	conn            net.Conn
}

const clientDeadline = 1500 * time.Millisecond

// run asks until the time is over, on a new connection where one ends.
func (c *clientLoad) run(until time.Time, first int) {
	n := 0
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
		n = c.sendRequests(conn, ended, until, first, n)
		if !time.Now().Before(until) { // the last answers
			closedWithin(ended, clientDeadline+300*time.Millisecond)
		}
		loopback.Close(conn)
		<-ended
		c.mu.Lock()
		c.countAllLost()
		c.mu.Unlock()
	}
}

// read takes answers until the connection ends.
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

// ask sends requests on a connection until it ends or the time is over, n having been sent before, and returns how many were sent.
func (c *clientLoad) sendRequests(conn net.Conn, ended <-chan struct{}, until time.Time, first, n int) int {
	e := rpc.NewEncoder(conn)
	for id := uint32(1); time.Now().Before(until); {
		if !c.isPaused() {
			n++
			c.mu.Lock()
			c.Sent++
			c.open[id] = time.Now()
			c.countOverdue()
			c.mu.Unlock()
			if err := e.Request(&rpc.Request{ID: id, Class: c.class, Txn: fmt.Sprintf("%016x", first<<32+n), Limit: clientDeadline,
				Object: fmt.Sprintf("%016x", first<<16+n%objectsPerGateway), Group: n % objectsPerGateway % groupCount}); err != nil {
				return n
			}
			id++
		}
		if closedWithin(ended, c.interval) {
			return n
		}
	}
	return n
}

// endedWithin waits for the end of a connection, and says whether it came within a time.
func closedWithin(ended <-chan struct{}, within time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

func (c *clientLoad) recordAnswer(a rpc.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered[a.ID] {
		c.Duplicates++
		return
	}
	if _, ok := c.open[a.ID]; !ok {
		return // it came after its time, and was counted as lost
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

// sweep counts what was not answered in time.
func (c *clientLoad) countOverdue() {
	for id, at := range c.open {
		if time.Since(at) > clientDeadline+500*time.Millisecond {
			c.countLost(id)
		}
	}
}

func (c *clientLoad) countAllLost() {
	for id := range c.open {
		c.countLost(id)
	}
}

func (c *clientLoad) countLost(id uint32) {
	delete(c.open, id)
	if c.gatewayDown {
		c.LostWithGateway++
	} else {
		c.Unanswered++
	}
}

// rest has them ask nothing for a while; what is open is to be answered.
func (c *clientLoad) setPaused(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = yes
}

func (c *clientLoad) isPaused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paused
}

// excuse says whether what is lost from now on is the plot's doing.
func (c *clientLoad) setGatewayDown(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.countOverdue()
	if !yes {
		c.countAllLost() // what was open while it was away
	}
	c.gatewayDown = yes
}
