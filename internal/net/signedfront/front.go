package signedfront

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/httpapi"
	"larchusher/internal/net/transport"
)

const (
	sweepInterval     = 250 * time.Millisecond
	maxPipelinedBytes = maxHeadBytes + httpapi.MaxBodyBytes + 4 // bytes that may come ahead of an answer
)

var (
	errEnding  = errors.New("the program ends")
	errRetired = errors.New("the front was taken out of service")
)

// Front takes signed requests over HTTP/1.1. One request of a connection is in work at a time; others that
// have come wait for their turn, so that answers leave in order.
type Front struct {
	loop             *gateway.Loop
	gateway          *gateway.Gateway
	api              *httpapi.API
	log              logrus.FieldLogger
	conns            map[*conn]bool
	tracker          *transport.ConnTracker
	requestNumber    uint64
	seed             uint64
	closeAfterAnswer bool
	closed           bool // Shut or Retire was called

	Admitted         uint64
	ProblemsByReason map[string]uint64 // by reason
	AnswersByStatus  map[int]uint64
}

// New returns a front for so many connections. Its Accept makes the handlers of a listener.
func New(loop *gateway.Loop, g *gateway.Gateway, api *httpapi.API, most int, seed uint64, log logrus.FieldLogger) *Front {
	f := &Front{loop: loop, gateway: g, api: api, log: log, conns: map[*conn]bool{}, seed: seed,
		tracker: transport.NewConnTracker(most), ProblemsByReason: map[string]uint64{}, AnswersByStatus: map[int]uint64{}}
	loop.After(sweepInterval, f.sweep)
	return f
}

// SetAPI has what is admitted from now on go by another API, after a change of keys say.
func (f *Front) SetAPI(api *httpapi.API) { f.api = api }

// NewHandler returns the callbacks of a new connection.
func (f *Front) NewHandler() transport.Handler { return &conn{front: f} }

// Idle says whether all that was answered has left.
func (f *Front) Idle() bool {
	for c := range f.conns {
		if c.tc.UnsentBytes() > 0 || c.current != nil || c.checking {
			return false
		}
	}
	return true
}

// CloseAfterAnswers has connections close after the answer that is due.
func (f *Front) CloseAfterAnswers() {
	f.closeAfterAnswer = true
}

// CloseAll ends all connections, once nothing is in work on them.
func (f *Front) CloseAll() {
	f.closed = true
	for c := range f.conns {
		c.tc.CloseGracefully(errEnding, transport.LingerTime)
	}
}

// Retire ends the front while the program goes on: nothing is admitted any more, what was is answered, and each connection ends
// behind its last answer.
func (f *Front) Retire() {
	f.closed, f.closeAfterAnswer = true, true
	for c := range f.conns {
		if c.closing = true; c.current == nil && !c.checking {
			c.tc.CloseGracefully(errRetired, transport.LingerTime)
		}
	}
}

// SetMaxConns sets how many connections are held at once.
func (f *Front) SetMaxConns(most int) { f.tracker.SetMaxConns(most) }

// EvictIdle has an idle connection closed, for one that waits to be accepted. It may be called from anywhere.
func (f *Front) EvictIdle() { f.loop.Post(func() { f.tracker.EvictIdle(f.loop.Now(), 1) }) }

// sweep closes connections that hold their places for nothing; one whose request does not come to its end is told.
func (f *Front) sweep() {
	f.tracker.Sweep(f.loop.Now(), func(n *transport.TrackedConn) {
		for c := range f.conns {
			if c.tracked == n && !c.closing {
				c.closing = true
				c.respondProblem(&httpapi.Problem{Status: http.StatusRequestTimeout, Reason: "the request did not come whole"})
			}
		}
	})
	f.loop.After(sweepInterval, f.sweep)
}

// conn is one client's connection. All of it lives on the loop.
type conn struct {
	front        *Front
	tc           *transport.Conn
	client       *gateway.Client
	buf          []byte
	at           time.Time // when the latest bytes came
	tracked      *transport.TrackedConn
	current      *httpapi.AdmittedRequest // the request in work
	queued       gateway.QueuedWork       // of checking the next request
	checking     bool                     // it waits for that
	sentContinue bool                     // 100 Continue was sent for the request that is coming
	closing      bool                     // nothing is read after the present answer
	gone         bool
}

// OnOpened counts the connection among those that are swept, though it may never send a byte.
func (c *conn) OnOpened(tc *transport.Conn) {
	c.front.loop.Post(func() {
		if c.front.closed { // it was accepted just before the end
			tc.CloseGracefully(errEnding, transport.LingerTime)
		} else if !c.gone {
			c.tc = tc
			c.tracked = c.front.tracker.Add(tc, c.front.loop.Now(), func() bool { return c.current != nil || c.checking })
			c.front.conns[c] = true
			c.client = c.front.gateway.AddClient(tc.UnsentBytes, tc.Close)
		}
	})
}

// OnBytes hands on what came.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	if err := tc.ReserveInput(len(b)); err != nil {
		tc.ReleaseInput(len(b))
		return err
	}
	b = append([]byte(nil), b...)
	if !c.front.loop.Post(func() { c.receive(tc, b, at); tc.ReleaseInput(len(b)) }) {
		return errEnding
	}
	return nil
}

// OnClosed gives up what is in work.
func (c *conn) OnClosed(_ *transport.Conn, _ error) {
	c.front.loop.Post(func() {
		c.gone = true
		delete(c.front.conns, c)
		c.front.tracker.Remove(c.tracked)
		c.front.gateway.CancelQueued(&c.queued)
		if c.current != nil {
			ad := c.current
			c.current = nil
			c.front.gateway.Abandon(ad.Request)
		}
		c.front.gateway.RemoveClient(c.client)
	})
}

func (c *conn) receive(tc *transport.Conn, b []byte, at time.Time) {
	if c.gone || c.closing || tc.Closing() {
		return
	}
	c.at = at
	if len(c.buf)+len(b) > maxPipelinedBytes {
		c.closing = true
		tc.CloseGracefully(fmt.Errorf("more than %d bytes ahead of an answer", maxPipelinedBytes), transport.LingerTime)
		return
	}
	c.buf = append(c.buf, b...)
	c.startNext()
}

// startNext begins the next request, once it has come whole.
func (c *conn) startNext() {
	for c.current == nil && !c.checking && !c.closing && !c.gone && len(c.buf) > 0 {
		h, size, p := parseHead(c.buf)
		if p != nil { // where the next request begins can't be told
			c.closing = true
			c.respondProblem(p)
			return
		}
		if h == nil {
			c.tracked.Received(c.front.loop.Now(), 0, true)
			return
		}
		if len(c.buf) < size+h.bodyLength {
			c.tracked.Received(c.front.loop.Now(), 0, true)
			if h.expectContinue && !c.sentContinue {
				c.sentContinue = true
				_ = c.tc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
			}
			return
		}
		body := append([]byte(nil), c.buf[size:size+h.bodyLength]...)
		c.buf = append(c.buf[:0], c.buf[size+h.bodyLength:]...)
		c.sentContinue, c.closing = false, !h.keepAlive || c.front.closeAfterAnswer
		c.tracked.Received(c.front.loop.Now(), 1, false)
		c.enqueueCheck(h, body, c.at)
	}
}

// enqueueCheck has a request checked when its turn comes. Guards the platform's clients: checking tokens takes longer than
// all that the loop does for one of their requests before its turn.
func (c *conn) enqueueCheck(h *head, body []byte, at time.Time) {
	f := c.front
	class := f.api.Class(h.target)
	_, welcome := f.gateway.Admit(gateway.SignedFront, []byte(class), httpapi.IsRetry(h.get), []byte(h.target))
	run := func(shed bool) {
		c.checking = false
		c.checkAndSubmit(h, body, at, shed)
		if c.current == nil && !c.closing {
			f.loop.Post(c.startNext)
		}
	}
	c.checking = true
	if !welcome {
		f.gateway.EnqueueRejection(&c.queued, gateway.SignedFront, func() { run(true) })
		return
	}
	f.gateway.Enqueue(&c.queued, gateway.SignedFront, class, at, run)
}

// checkAndSubmit checks a request's token and hands it in, or refuses it if it is to be shed: which of both is told only to who
// has a good token.
func (c *conn) checkAndSubmit(h *head, body []byte, at time.Time, shed bool) {
	f := c.front
	if f.closed { // its turn came after the end: by keys that are not there any more nothing is admitted
		c.closing = true
		c.respondProblem(httpapi.Overloaded(f.gateway.RetryAfter(h.target)))
		return
	}
	ad, p := f.api.Authorize(httpapi.Request{Method: h.method, Target: h.target, Header: h.get, Body: body, ReceivedAt: at})
	if p == nil && shed {
		p = httpapi.Overloaded(f.gateway.RetryAfter(h.target))
	}
	if p != nil {
		c.respondProblem(p)
		return
	}
	f.Admitted++
	f.requestNumber++
	ad.Request.ID = fmt.Sprintf("%016x", (f.seed^f.requestNumber*0x9e3779b97f4a7c15)|1<<63)
	c.current = ad
	ad.Request.ArrivedAt, ad.Request.Front, ad.Request.Client, ad.Request.Admitted = at, gateway.SignedFront, c.client, true
	ad.Request.ClientConnected = func() bool { return !c.tc.Closing() && !c.tc.PeerClosed() }
	ad.Request.Answer = func(a gateway.Answer) {
		if c.current != ad { // the client has left
			return
		}
		c.current = nil
		c.respond(f.api.Respond(ad, a, time.Now()), ad.HeadOnly)
		if !c.closing {
			f.loop.Post(c.startNext)
		}
	}
	f.gateway.Submit(ad.Request)
}

func (c *conn) respondProblem(p *httpapi.Problem) {
	c.front.ProblemsByReason[p.Reason]++
	c.respond(p.Response(), false)
}

// respond writes one answer.
func (c *conn) respond(r httpapi.Response, headOnly bool) {
	c.front.AnswersByStatus[r.Status]++
	c.tracked.LastActive = c.front.loop.Now()
	b := append(make([]byte, 0, 512), "HTTP/1.1 "...)
	b = append(strconv.AppendInt(b, int64(r.Status), 10), ' ')
	b = append(append(b, http.StatusText(r.Status)...), "\r\n"...)
	for _, f := range r.Header {
		b = append(append(append(append(b, f[0]...), ": "...), f[1]...), "\r\n"...)
	}
	if r.Status != http.StatusNotModified {
		b = append(strconv.AppendInt(append(b, "Content-Length: "...), int64(len(r.Body)), 10), "\r\n"...)
	}
	if c.closing {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, "\r\n"...)
	if headOnly {
		r.Body = nil
	}
	if c.tc.Write(b, r.Body) == nil && c.closing {
		c.closeWhenFlushed()
	}
}

// closeWhenFlushed closes the connection once its last answer has left.
func (c *conn) closeWhenFlushed() {
	if c.gone {
		return
	}
	if c.tc.UnsentBytes() == 0 {
		c.tc.CloseGracefully(errors.New("done"), transport.LingerTime)
		return
	}
	c.front.loop.After(5*time.Millisecond, c.closeWhenFlushed)
}
