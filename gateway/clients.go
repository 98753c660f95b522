package gateway

import "larchusher/overload"

// Client is a client's connection for which the memory of unsent answers is accounted, as the
// client may read slowly. [Gateway.AddClient] makes it.
type Client struct {
	account     *overload.Client
	flow        overload.Flow // requests of the client have turns together
	unsentBytes func() int64
	closeConn   func(error)
}

// AddClient registers a client. unsentBytes returns the number of bytes that wait to be written to
// it; closeConn closes its connection with an error. Both are called on the loop.
func (g *Gateway) AddClient(unsentBytes func() int64, closeConn func(error)) *Client {
	c := &Client{unsentBytes: unsentBytes, closeConn: closeConn}
	c.account = g.memory.AddClient(c)
	return c
}

// RemoveClient removes a client and releases its memory. It does nothing for nil.
func (g *Gateway) RemoveClient(c *Client) {
	if c != nil {
		g.memory.RemoveClient(c.account)
	}
}

// SetMemoryLimits replaces the limits on the bytes of open requests' bodies, and on the bytes of answers that clients have not
// read; 0: no limit. Requests that are open are not affected.
func (g *Gateway) SetMemoryLimits(bodies int, unreadAnswers int64) {
	g.cfg.MaxBodyBytes = bodies
	g.memory.SetLimit(unreadAnswers)
}

// reserveAnswer reserves memory for the answer to a request, and reports whether there was enough.
func (g *Gateway) reserveAnswer(r *Request) bool {
	if r.Client == nil {
		return true
	}
	n, ok := g.memory.ReserveFor(r.Client.account, r.LightClient)
	if ok {
		r.reservedBytes = n
	}
	return ok
}

// accountAnswer replaces a request's reservation by the memory that its answer takes until the
// client has read it.
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

// releaseReservation releases the memory reserved for the answer to a request. size is the size of
// the answer in bytes; negative: there was no answer to learn the size from.
func (g *Gateway) releaseReservation(r *Request, size int) {
	if r.Client != nil {
		g.memory.Release(r.Client.account, r.reservedBytes, size)
		r.reservedBytes = 0
	}
}

// closeSlowClients closes clients that leave their answers unread while the memory for answers is
// nearly full.
func (g *Gateway) closeSlowClients() {
	unsent := func(c *overload.Client) int64 { return c.Value.(*Client).unsentBytes() }
	for _, c := range g.memory.Sweep(g.now(), unsent) {
		g.Load.SlowClientsClosed++
		c.Value.(*Client).closeConn(errSlowClient)
	}
}
