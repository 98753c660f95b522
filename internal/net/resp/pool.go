package resp

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	pool "github.com/libp2p/go-buffer-pool"
	"github.com/sirupsen/logrus"

	"larchusher/control"
	"larchusher/gateway"
	"larchusher/internal/net/transport"
)

const (
	sweep     = 100 * time.Millisecond
	silence   = 700 * time.Millisecond // with work out and no byte for so long, a connection is tested;
	testFor   = time.Second            // without an answer to that, it is given up
	stall     = 600 * time.Millisecond // an answer that has begun and stops for so long has broken off
	few       = 4                      // attempts that share a connection while there are descriptors for others
	quitKept  = 10 * time.Second       // an id given up on a connection is not used there again for so long
	waitMost  = 60_000                 // ms that a fill can have waited; more can't be read
	idleShare = 0.8                    // of the keep-alive time after which an idle connection is closed
)

// Config says how stores are spoken to.
type Config struct {
	Streams        int // attempts on one connection at once
	ConnectTimeout time.Duration
	KeepAlive      time.Duration
	Conns          int // connections held at once
	LoadFields     []string
	Answers        int64         // bytes of answers that may be held until their clients have been written to; 0: any
	Whole          time.Duration // an answer that has begun comes whole within this, or its connection is given up; 0: it may take any time
}

// Counters count what went on with stores.
type Counters struct {
	Dialled, Refused, Broken   uint64 // connections: begun, not come up, lost with work out
	Written, Given, Late, Noop uint64 // attempts written, given up, answers that came too late; tests
	Dropped                    uint64 // answers passed over for want of memory
}

// Gateway is what the pool needs of its gateway.
type Gateway interface {
	Clear(*gateway.Attempt) bool
	Ended(*gateway.Attempt, gateway.Result)
}

// Pool holds the connections to all stores. It lives on the loop.
type Pool struct {
	Gateway  Gateway // to be set before anything is sent
	Counters Counters

	cfg    Config
	loop   *gateway.Loop
	engine *transport.Engine
	log    logrus.FieldLogger
	stores map[string]*store
	conns  int
	tests  uint64
	held   atomic.Int64 // bytes of answers
}

// New returns an empty pool.
func New(cfg Config, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) *Pool {
	p := &Pool{cfg: cfg, loop: loop, engine: engine, log: log, stores: map[string]*store{}}
	loop.After(sweep, p.sweep)
	return p
}

// SetConns sets how many connections are held at once. More that are up stay until they are idle.
func (p *Pool) SetConns(most int) { p.cfg.Conns = most }

// AllowWhole sets how long an answer that has begun may take to come whole.
func (p *Pool) AllowWhole(d time.Duration) { p.cfg.Whole = d }

// store is one member of the list. Connections belong to it, not to its address: addresses are reused.
type store struct {
	id, addr string
	since    int64
	conns    []*conn
}

// Place says where a store listens and since when it runs, as the list named it.
func (p *Pool) Place(id, addr string, since int64) {
	s := p.stores[id]
	if s == nil {
		s = &store{id: id}
		p.stores[id] = s
	}
	// Guards against connections to what ran before: a machine that vanished left them open without a word.
	if s.addr != addr || s.since != since {
		s.retire()
		s.addr, s.since = addr, since
	}
}

// room says whether an answer may be held, and counts it. Guards the memory: what was asked of stores for slow clients
// may come all at once, and longer than expected.
func (c *conn) room(n int) bool {
	p := c.pool
	if held := p.held.Add(int64(n)); p.cfg.Answers > 0 && held > p.cfg.Answers {
		p.held.Add(int64(-n))
		return false
	}
	c.coming.Add(int64(n))
	return true
}

// drop gives back what is held for an answer that will not come whole. It may run beside OnBytes: each calls it once
// the connection has ended, and what the other has taken meanwhile evens out.
func (c *conn) drop() { c.pool.held.Add(-c.coming.Swap(0)) }

// free gives an answer's memory back.
func (p *Pool) free(body []byte) {
	if len(body) > shortMost {
		p.held.Add(int64(-len(body)))
	}
	pool.Put(body)
}

// Remove says that a store is gone from the list. What is out there may still end.
func (p *Pool) Remove(id string) {
	if s := p.stores[id]; s != nil {
		s.addr = ""
		s.retire()
		if len(s.conns) == 0 {
			delete(p.stores, id)
		}
	}
}

// retire has the store's connections take nothing new.
func (s *store) retire() {
	for _, c := range s.conns {
		c.retired = true
	}
}

// conn is one connection to a store, or one that is coming up.
type conn struct {
	pool    *Pool
	store   *store
	parser  parser       // poller
	coming  atomic.Int64 // bytes held for an answer that has not come whole
	closed  atomic.Bool  // the connection has ended
	tc      *transport.Conn
	waiting []*gateway.Attempt // until it is up
	open    map[string]*gateway.Attempt
	quit    map[string]time.Time // ids that were given up here: a late answer must not be taken for another's
	heard   time.Time            // latest byte, or since when work is out
	within  bool                 // an answer has begun to come,
	begun   time.Time            // since then
	used    time.Time
	test    string // tag of the test that is out
	tested  time.Time
	retired bool // takes nothing new
	dead    bool
	timer   *gateway.Timer
}

// Send queues an attempt at its store, on a connection that is up if there is one.
func (p *Pool) Send(a *gateway.Attempt) {
	s := p.stores[a.Server]
	if s == nil || s.addr == "" { // only what our own list has named
		p.Gateway.Ended(a, gateway.Result{Status: control.NotConnected})
		return
	}
	c := p.choose(s, a.Request.Ref)
	// Guards against a request on a connection that its store has closed, which nobody has read yet: it would look as if it
	// might have run.
	for c != nil && c.tc != nil && c.tc.Left() {
		if c.retired = true; len(c.open) == 0 { // else its answers may have come, and wait to be read
			c.end(errors.New("closed by the store"))
		}
		c = p.choose(s, a.Request.Ref)
	}
	if c == nil || c.dead {
		p.Gateway.Ended(a, gateway.Result{Status: control.NotConnected})
		return
	}
	a.Wire = c
	if c.tc == nil {
		c.waiting = append(c.waiting, a)
		return
	}
	c.write(a)
}

// choose returns a connection for a request's next attempt, a new one if need be; nil: there is none to be had.
func (p *Pool) choose(s *store, ref string) *conn {
	// Guards against one spoilt answer that takes many others down: what shares its connection is lost with it.
	c := s.pick(ref, min(few, p.cfg.Streams))
	if c == nil && p.conns < p.cfg.Conns/2 {
		c = p.dial(s)
	}
	if c == nil {
		c = s.pick(ref, p.cfg.Streams)
	}
	if c == nil && p.conns < p.cfg.Conns {
		c = p.dial(s)
	}
	return c
}

// pick returns the connection with the least out that can take the id, one that is up before one that is not.
func (s *store) pick(ref string, streams int) *conn {
	var best *conn
	for _, c := range s.conns {
		n := len(c.open) + len(c.waiting)
		_, quit := c.quit[ref]
		if c.retired || c.dead || n >= streams || quit || c.open[ref] != nil || c.test != "" ||
			slices.ContainsFunc(c.waiting, func(a *gateway.Attempt) bool { return a.Request.Ref == ref }) {
			continue
		}
		if best == nil || (c.tc != nil) != (best.tc != nil) && c.tc != nil ||
			(c.tc != nil) == (best.tc != nil) && n < len(best.open)+len(best.waiting) {
			best = c
		}
	}
	return best
}

func (p *Pool) dial(s *store) *conn {
	c := &conn{pool: p, store: s, open: map[string]*gateway.Attempt{}, quit: map[string]time.Time{}, used: p.loop.Now()}
	c.parser.room = c.room
	s.conns = append(s.conns, c)
	p.conns++
	p.Counters.Dialled++
	// A store that is cut off answers no connect at all, so the time-out is ours.
	c.timer = p.loop.After(p.cfg.ConnectTimeout, func() { c.end(errors.New("no connection in time")) })
	p.engine.Dial(s.addr, p.cfg.ConnectTimeout+sweep, c,
		func(tc *transport.Conn) { p.loop.Post(func() { c.opened(tc) }) },
		func(err error) { p.loop.Post(func() { c.end(err) }) })
	return c
}

// opened writes what waited for the connection.
func (c *conn) opened(tc *transport.Conn) {
	if c.dead {
		tc.Close(errors.New("given up"))
		return
	}
	c.timer.Stop()
	c.tc, c.heard = tc, c.pool.loop.Now()
	waiting := c.waiting
	c.waiting = nil
	for _, a := range waiting {
		if !c.dead {
			c.write(a)
		} else {
			c.pool.Gateway.Ended(a, gateway.Result{Status: control.NotConnected})
		}
	}
}

// write sends one attempt, if it may still go.
func (c *conn) write(a *gateway.Attempt) {
	if !c.pool.Gateway.Clear(a) {
		return
	}
	now := c.pool.loop.Now()
	if len(c.open) == 0 {
		c.heard = now
	}
	c.used = now
	c.open[a.Request.Ref] = a
	c.pool.Counters.Written++
	r := a.Request
	head := append(make([]byte, 0, 256), "*4\r\n"...)
	for _, s := range [...]string{"ASK", r.Ref, fields(a, now)} {
		head = append(append(appendLength(head, len(s)), s...), "\r\n"...)
	}
	if err := c.tc.Write(appendLength(head, len(r.Body)), r.Body, []byte("\r\n")); err != nil {
		c.end(err)
	}
}

// fields words the fields of an attempt.
func fields(a *gateway.Attempt, now time.Time) string {
	r := a.Request
	b := make([]byte, 0, 192)
	add := func(name, value string) {
		if len(b) > 0 {
			b = append(b, ',')
		}
		b = append(append(append(b, name...), '='), value...)
	}
	add("lane", r.Class)
	add("name", r.Object)
	add("piece", strconv.Itoa(r.Part))
	add("ttl", strconv.FormatInt(max(1, a.Expiry.Sub(now).Milliseconds()), 10))
	if r.Key != "" {
		add("dedupe", r.Key)
	}
	if a.Source != "" {
		add("parent", a.Source)
	}
	if a.Keep > 0 {
		add("shelf", strconv.Itoa(a.Keep))
	}
	if a.MaxAge > 0 {
		add("accept", strconv.FormatInt(max(1, a.MaxAge.Milliseconds()), 10))
	}
	var hints []string
	for _, h := range [...]struct {
		set  bool
		word string
	}{{a.Join, "merge"}, {a.Held, "local"}, {a.NoCopy, "skip"}, {a.Renew, "revalidate"}} {
		if h.set {
			hints = append(hints, h.word)
		}
	}
	if len(hints) > 0 {
		add("hints", strings.Join(hints, "+"))
	}
	if r.Have != "" {
		add("got", r.Have)
	}
	return string(b)
}

// Cancel gives an attempt up: the store is told, if it was written.
func (p *Pool) Cancel(a *gateway.Attempt) {
	c, _ := a.Wire.(*conn)
	if c == nil || c.dead {
		return
	}
	if i := slices.Index(c.waiting, a); i >= 0 {
		c.waiting = slices.Delete(c.waiting, i, i+1)
		return
	}
	if c.open[a.Request.Ref] != a {
		return
	}
	p.Counters.Given++
	delete(c.open, a.Request.Ref)
	c.quit[a.Request.Ref] = p.loop.Now()
	if err := c.tc.Write(appendCommand(nil, "QUIT", a.Request.Ref)); err != nil {
		c.end(err)
	}
}

// OnBytes cuts what came into answers.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	var batch [][][]byte
	err := c.parser.feed(b, func(args [][]byte) error {
		if len(args) != 4 && len(args) != 2 {
			return fmt.Errorf("an answer of %d strings", len(args))
		}
		for _, s := range args {
			if len(s) > shortMost {
				c.coming.Add(int64(-len(s)))
			}
		}
		batch = append(batch, args)
		return nil
	})
	if c.closed.Load() {
		c.drop()
	}
	within := c.parser.within()
	c.pool.loop.Post(func() {
		if within && (!c.within || len(batch) > 0) {
			c.begun = at
		}
		c.heard, c.within = at, within
		for i, args := range batch {
			bad := c.answer(args, at)
			for _, s := range args { // the body is nil if it has become the answer's
				c.pool.free(s)
			}
			if bad != nil {
				for _, rest := range batch[i+1:] {
					for _, s := range rest {
						c.pool.free(s)
					}
				}
				c.pool.log.WithError(bad).WithField("store", c.store.id).Warn("an answer that cannot be read")
				tc.Close(bad)
				c.end(bad)
				return
			}
		}
	})
	return err
}

// OnClosed ends what is out on the connection.
func (c *conn) OnClosed(_ *transport.Conn, err error) {
	if err == nil {
		err = errors.New("closed")
	}
	c.closed.Store(true)
	c.drop()
	c.pool.loop.Post(func() { c.end(err) })
}

// end drops the connection. What was written may have run; what was not, has not.
func (c *conn) end(err error) {
	if c.dead {
		return
	}
	c.dead = true
	c.timer.Stop()
	p := c.pool
	p.conns--
	if i := slices.Index(c.store.conns, c); i >= 0 {
		c.store.conns = slices.Delete(c.store.conns, i, i+1)
	}
	if c.store.addr == "" && len(c.store.conns) == 0 && p.stores[c.store.id] == c.store {
		delete(p.stores, c.store.id)
	}
	if c.tc != nil {
		c.tc.Close(err)
	} else {
		p.Counters.Refused++
	}
	if len(c.open) > 0 {
		p.Counters.Broken++
		p.log.WithError(err).WithFields(logrus.Fields{"store": c.store.id, "out": len(c.open)}).Debug("connection lost")
	}
	var out []*gateway.Attempt
	for _, a := range c.open {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b *gateway.Attempt) int { return strings.Compare(a.Request.Ref, b.Request.Ref) })
	c.open = nil
	// Guards against a store that looks ill for one bad answer: that it broke counts once, not for each attempt.
	for i, a := range out {
		p.Gateway.Ended(a, gateway.Result{Status: control.Reset, Along: i > 0})
	}
	waiting := c.waiting
	c.waiting = nil
	for _, a := range waiting {
		p.Gateway.Ended(a, gateway.Result{Status: control.NotConnected})
	}
}

var statuses = map[string]control.Status{"DONE": control.OK, "KEEP": control.OK, "LACK": control.Miss,
	"WAIT": control.TurnedAway, "BROKE": control.ServerError, "PAST": control.NotSent}

// What stores may say of how they served a request, or why not; a word that is not here says nothing.
var notes = map[string]control.Note{"warm": control.NoteHit, "fill": control.NoteFilled,
	"deep_fill": control.NoteFilledByOrigin, "piggy": control.NoteJoined, "aged": control.NoteStale,
	"bounced": control.NoteSourceRefused, "dropped": control.NoteSourceLost, "lacking": control.NoteSourceLacks,
	"jammed": control.NoteNoPlace, "backfire": control.NoteOriginFailed}

// answer takes one answer in, that came at a time. It takes the body out of args if that is to live on.
func (c *conn) answer(args [][]byte, at time.Time) error {
	if c.dead {
		return nil
	}
	id, word := string(args[0]), string(args[1])
	if word == "FIT" || word == "UNFIT" { // whatever it says of the store, the connection works
		if id == c.test {
			c.test = ""
		}
		return nil
	}
	status, ok := statuses[word]
	if !ok || len(args) != 4 {
		return fmt.Errorf("the answer %.20q", word)
	}
	a := c.open[id]
	if a == nil { // it was given up, and its answer crossed that
		c.pool.Counters.Late++
		return nil
	}
	body := args[3]
	if body == nil {
		c.pool.Counters.Dropped++
		delete(c.open, id)
		c.used = c.pool.loop.Now()
		c.quit[id] = c.used
		c.pool.Gateway.Ended(a, gateway.Result{Status: status, At: at, Dropped: status == control.OK})
		return nil
	}
	res := gateway.Result{Status: status, Body: body, Unchanged: word == "KEEP", At: at}
	if err := c.fields(string(args[2]), &res); err != nil {
		return err
	}
	if res.Unchanged && a.Request.Have == "" {
		return errors.New("KEEP without a copy")
	}
	delete(c.open, id)
	c.used = c.pool.loop.Now()
	if status != control.OK { // a second copy of this answer must not be taken for that of another try
		c.quit[id] = c.used
	}
	args[3] = nil
	res.Free = func() { c.pool.free(body) }
	c.pool.Gateway.Ended(a, res)
	return nil
}

// fields reads the fields of an answer.
func (c *conn) fields(list string, res *gateway.Result) error {
	if list == "-" || list == "" {
		return nil
	}
	for f := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return fmt.Errorf("the field %.40q", f)
		}
		switch name {
		case "why":
			res.Note = notes[value]
		case "first":
			if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < waitMost {
				res.FillWait = time.Duration(ms * float64(time.Millisecond))
			}
		case "digest":
			res.Tag = value
		case "rep":
			res.Load = c.load(value)
		}
	}
	return nil
}

// reportNames are the simulator's words for values of load reports by those of its wire, and back: the settings may use
// either, whatever stores do.
var reportNames = func() map[string]string {
	all := map[string]string{"inflight": "busy_reqs", "util": "cpu_share", "queue": "pending", "latency_ms": "svc_ms", "qps": "served_ps", "eps": "failed_ps"}
	for a, b := range maps.Clone(all) {
		all[b] = a
	}
	return all
}()

// load reads a load report into the order of the settings.
func (c *conn) load(report string) []float64 {
	load := make([]float64, len(c.pool.cfg.LoadFields))
	for i := range load {
		load[i] = math.NaN()
	}
	for part := range strings.SplitSeq(report, ";") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		i := slices.Index(c.pool.cfg.LoadFields, name)
		if other, ok := reportNames[name]; ok && i < 0 {
			i = slices.Index(c.pool.cfg.LoadFields, other)
		}
		if i >= 0 && err == nil {
			load[i] = x
		}
	}
	return load
}

// sweep closes idle connections and tests silent ones: a machine that was cut off leaves its connections
// open without a word.
func (p *Pool) sweep() {
	now := p.loop.Now()
	for _, s := range p.stores {
		for _, c := range slices.Clone(s.conns) {
			if c.tc == nil || c.dead {
				continue
			}
			for id, at := range c.quit {
				if now.Sub(at) > quitKept {
					delete(c.quit, id)
				}
			}
			switch {
			case c.within && now.Sub(c.heard) > stall:
				c.end(errors.New("an answer stops short"))
			// Guards the requests that share the connection: they wait behind an answer that comes a byte at a time, for ever.
			case c.within && p.cfg.Whole > 0 && now.Sub(c.begun) > p.cfg.Whole:
				c.end(errors.New("an answer does not end"))
			case c.test != "" && c.heard.After(c.tested): // any byte will do
				c.test = ""
			case c.test != "" && now.Sub(c.tested) > testFor:
				c.end(errors.New("silent"))
			case c.test == "" && len(c.open) > 0 && now.Sub(c.heard) > silence:
				p.tests++
				p.Counters.Noop++
				c.test, c.tested = "t"+strconv.FormatUint(p.tests, 10), now
				if err := c.tc.Write(appendCommand(nil, "NOOP", c.test)); err != nil {
					c.end(err)
				}
			case len(c.open) == 0 && (c.retired ||
				now.Sub(c.used) > time.Duration(idleShare*float64(p.cfg.KeepAlive))):
				c.end(errors.New("idle"))
			}
		}
	}
	p.loop.After(sweep, p.sweep)
}
