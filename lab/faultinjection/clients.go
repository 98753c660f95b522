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
type clients struct {
	addr  string
	every time.Duration
	class string

	mu       sync.Mutex
	resting  bool // they ask nothing
	excused  bool // the gateway was killed or stopped: what it leaves open is no fault
	Asked    int
	Served   int
	Refused  int
	Failed   int
	Twice    int
	Lost     int // the connection ended, or nothing came in time, though the gateway ran
	Excused  int
	open     map[uint32]time.Time
	answered map[uint32]bool
	conn     net.Conn
}

const clientWaits = 1500 * time.Millisecond

// run asks until the time is over, on a new connection where one ends.
func (c *clients) run(until time.Time, first int) {
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
		go c.read(conn, ended)
		n = c.ask(conn, ended, until, first, n)
		if !time.Now().Before(until) { // the last answers
			endedWithin(ended, clientWaits+300*time.Millisecond)
		}
		loopback.Close(conn)
		<-ended
		c.mu.Lock()
		c.sweepAll()
		c.mu.Unlock()
	}
}

// read takes answers until the connection ends.
func (c *clients) read(conn net.Conn, ended chan<- struct{}) {
	defer close(ended)
	r := rpc.NewReader(conn)
	for {
		a, err := r.Next()
		if err != nil {
			return
		}
		c.answer(a)
	}
}

// ask sends requests on a connection until it ends or the time is over, n having been sent before, and returns how many were sent.
func (c *clients) ask(conn net.Conn, ended <-chan struct{}, until time.Time, first, n int) int {
	e := rpc.NewEncoder(conn)
	for id := uint32(1); time.Now().Before(until); {
		if !c.rests() {
			n++
			c.mu.Lock()
			c.Asked++
			c.open[id] = time.Now()
			c.sweep()
			c.mu.Unlock()
			if err := e.Request(&rpc.Request{ID: id, Class: c.class, Txn: fmt.Sprintf("%016x", first<<32+n), Limit: clientWaits,
				Object: fmt.Sprintf("%016x", first<<16+n%objects), Group: n % objects % groups}); err != nil {
				return n
			}
			id++
		}
		if endedWithin(ended, c.every) {
			return n
		}
	}
	return n
}

// endedWithin waits for the end of a connection, and says whether it came within a time.
func endedWithin(ended <-chan struct{}, within time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(within):
		return false
	}
}

func (c *clients) answer(a rpc.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answered[a.ID] {
		c.Twice++
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
		c.Refused++
	default:
		c.Failed++
	}
}

// sweep counts what was not answered in time.
func (c *clients) sweep() {
	for id, at := range c.open {
		if time.Since(at) > clientWaits+500*time.Millisecond {
			c.lose(id)
		}
	}
}

func (c *clients) sweepAll() {
	for id := range c.open {
		c.lose(id)
	}
}

func (c *clients) lose(id uint32) {
	delete(c.open, id)
	if c.excused {
		c.Excused++
	} else {
		c.Lost++
	}
}

// rest has them ask nothing for a while; what is open is to be answered.
func (c *clients) rest(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resting = yes
}

func (c *clients) rests() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.resting
}

// excuse says whether what is lost from now on is the plot's doing.
func (c *clients) excuse(yes bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sweep()
	if !yes {
		c.sweepAll() // what was open while it was away
	}
	c.excused = yes
}
