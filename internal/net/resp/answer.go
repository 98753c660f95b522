package resp

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	pool "github.com/libp2p/go-buffer-pool"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
	"larchusher/routing"
)

// room says whether an answer may be held, and counts it. Guards the memory: what was asked of stores for slow clients
// may come all at once, and longer than expected.
func (c *conn) room(n int) bool {
	p := c.pool
	if held := p.held.Add(int64(n)); p.cfg.MaxAnswerBytes > 0 && held > p.cfg.MaxAnswerBytes {
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
				c.pool.log.WithError(bad).WithField(logfields.Endpoint, c.store.id).Warn(logfields.EndpointAnswerFaulty)
				tc.Close(bad)
				c.end(bad)
				return
			}
		}
	})
	return err
}

var statuses = map[string]routing.Status{"DONE": routing.OK, "KEEP": routing.OK, "LACK": routing.Miss,
	"WAIT": routing.Rejected, "BROKE": routing.ServerError, "PAST": routing.NotSent}

// What stores may say of how they served a request, or why not; a word that is not here says nothing.
var notes = map[string]routing.Reason{"warm": routing.ReasonHit, "fill": routing.ReasonFilled,
	"deep_fill": routing.ReasonFilledByOrigin, "piggy": routing.ReasonCoalesced, "aged": routing.ReasonStale,
	"bounced": routing.ReasonSourceRejected, "dropped": routing.ReasonSourceLost, "lacking": routing.ReasonSourceMiss,
	"jammed": routing.ReasonNoFillSlot, "backfire": routing.ReasonOriginFailed}

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
		c.pool.Counters.LateAnswers++
		return nil
	}
	body := args[3]
	if body == nil {
		c.pool.Counters.AnswersDropped++
		delete(c.open, id)
		c.used = c.pool.loop.Now()
		c.quit[id] = c.used
		c.pool.Gateway.AttemptEnded(a, gateway.Result{Status: status, ReceivedAt: at, BodyDropped: status == routing.OK})
		return nil
	}
	res := gateway.Result{Status: status, Body: body, NotModified: word == "KEEP", ReceivedAt: at}
	if err := c.fields(string(args[2]), &res); err != nil {
		return err
	}
	if res.NotModified && a.Request.IfNoneMatch == "" {
		return errors.New("KEEP without a copy")
	}
	delete(c.open, id)
	c.used = c.pool.loop.Now()
	if status != routing.OK { // a second copy of this answer must not be taken for that of another try
		c.quit[id] = c.used
	}
	args[3] = nil
	res.ReleaseBody = func() { c.pool.free(body) }
	c.pool.Gateway.AttemptEnded(a, res)
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
			res.Reason = notes[value]
		case "first":
			if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < waitMost {
				res.FillWait = time.Duration(ms * float64(time.Millisecond))
			}
		case "digest":
			res.ETag = value
		case "rep":
			res.LoadReport = c.load(value)
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
	load := make([]float64, len(c.pool.cfg.LoadReportFields))
	for i := range load {
		load[i] = math.NaN()
	}
	for part := range strings.SplitSeq(report, ";") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		i := slices.Index(c.pool.cfg.LoadReportFields, name)
		if other, ok := reportNames[name]; ok && i < 0 {
			i = slices.Index(c.pool.cfg.LoadReportFields, other)
		}
		if i >= 0 && err == nil {
			load[i] = x
		}
	}
	return load
}
