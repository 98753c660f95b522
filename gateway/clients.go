package gateway

import "larchusher/overload"

// Client is the connection that a request's answer goes to, where it may be slow to take it. [Gateway.AddClient] makes it.
type Client struct {
	account     *overload.Client
	unsentBytes func() int64
	closeConn   func(error)
}

// AddClient counts a client in. unsentBytes tells how much waits to be written to it, closeConn closes it.
func (g *Gateway) AddClient(unsentBytes func() int64, closeConn func(error)) *Client {
	c := &Client{unsentBytes: unsentBytes, closeConn: closeConn}
	c.account = g.memory.AddClient(c)
	return c
}

// RemoveClient counts a client out. A nil one is none.
func (g *Gateway) RemoveClient(c *Client) {
	if c != nil {
		g.memory.RemoveClient(c.account)
	}
}

// reserveAnswer sets memory aside for a request's answer, and reports false if there is none.
func (g *Gateway) reserveAnswer(r *Request) bool {
	if r.Client == nil {
		return true
	}
	n, ok := g.memory.Reserve(r.Client.account)
	if ok {
		r.reservedBytes = n
	}
	return ok
}

// accountAnswer counts the memory that a request's answer takes until its client has read it.
func (g *Gateway) accountAnswer(r *Request, a Answer) {
	size := -1
	if a.Outcome == OutcomeServed {
		size = len(a.Body)
	}
	g.releaseReservation(r, size)
	if r.Client != nil {
		g.memory.SetBuffered(r.Client.account, r.Client.unsentBytes(), int64(max(0, size)))
		g.Load.PeakAnswerBytes = max(g.Load.PeakAnswerBytes, g.memory.Used())
	}
}

// releaseReservation gives back what was set aside for a request's answer. size is that of the answer in bytes, negative
// if there was none.
func (g *Gateway) releaseReservation(r *Request, size int) {
	if r.Client != nil {
		g.memory.Release(r.Client.account, r.reservedBytes, size)
		r.reservedBytes = 0
	}
}

// closeSlowClients closes clients that leave answers unread while memory runs short.
func (g *Gateway) closeSlowClients() {
	unsent := func(c *overload.Client) int64 { return c.Value.(*Client).unsentBytes() }
	for _, c := range g.memory.Sweep(g.now(), unsent) {
		g.Load.SlowClientsClosed++
		c.Value.(*Client).closeConn(errSlowClient)
	}
}
