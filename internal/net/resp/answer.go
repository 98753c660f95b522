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

// reserve says whether an answer may be held, and counts it. Guards the memory: what was asked of stores for slow clients
// may come all at once, and longer than expected.
func (c *conn) reserve(n int) bool {
	p := c.pool
	if held := p.answerBytes.Add(int64(n)); p.cfg.MaxAnswerBytes > 0 && held > p.cfg.MaxAnswerBytes {
		p.answerBytes.Add(int64(-n))
		return false
	}
	c.reservedBytes.Add(int64(n))
	return true
}

// releaseReserved gives back what is held for an answer that will not come whole. It may run beside OnBytes: each calls it once
// the connection has ended, and what the other has taken meanwhile evens out.
func (c *conn) releaseReserved() { c.pool.answerBytes.Add(-c.reservedBytes.Swap(0)) }

// releaseBody gives an answer's memory back.
func (p *Pool) releaseBody(body []byte) {
	if len(body) > maxUnreservedBytes {
		p.answerBytes.Add(int64(-len(body)))
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
			if len(s) > maxUnreservedBytes {
				c.reservedBytes.Add(int64(-len(s)))
			}
		}
		batch = append(batch, args)
		return nil
	})
	if c.closed.Load() {
		c.releaseReserved()
	}
	within := c.parser.partial()
	c.pool.loop.Post(func() {
		if within && (!c.partial || len(batch) > 0) {
			c.partialSince = at
		}
		c.lastByte, c.partial = at, within
		for i, args := range batch {
			bad := c.handleAnswer(args, at)
			for _, s := range args { // the body is nil if it has become the answer's
				c.pool.releaseBody(s)
			}
			if bad != nil {
				for _, rest := range batch[i+1:] {
					for _, s := range rest {
						c.pool.releaseBody(s)
					}
				}
				c.pool.log.WithError(bad).WithField(logfields.Endpoint, c.endpoint.id).Warn(logfields.EndpointAnswerFaulty)
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
var reasons = map[string]routing.Reason{"warm": routing.ReasonHit, "fill": routing.ReasonFilled,
	"deep_fill": routing.ReasonFilledByOrigin, "piggy": routing.ReasonCoalesced, "aged": routing.ReasonStale,
	"bounced": routing.ReasonSourceRejected, "dropped": routing.ReasonSourceLost, "lacking": routing.ReasonSourceMiss,
	"jammed": routing.ReasonNoFillSlot, "backfire": routing.ReasonOriginFailed}

// handleAnswer takes one answer in, that came at a time. It takes the body out of args if that is to live on.
func (c *conn) handleAnswer(args [][]byte, at time.Time) error {
	if c.ended {
		return nil
	}
	id, word := string(args[0]), string(args[1])
	if word == "FIT" || word == "UNFIT" { // whatever it says of the store, the connection works
		if id == c.pingID {
			c.pingID = ""
		}
		return nil
	}
	status, ok := statuses[word]
	if !ok || len(args) != 4 {
		return fmt.Errorf("the answer %.20q", word)
	}
	a := c.inFlight[id]
	if a == nil { // it was given up, and its answer crossed that
		c.pool.Counters.LateAnswers++
		return nil
	}
	body := args[3]
	if body == nil {
		c.pool.Counters.AnswersDropped++
		delete(c.inFlight, id)
		c.lastUsed = c.pool.loop.Now()
		c.canceled[id] = c.lastUsed
		c.pool.Gateway.AttemptEnded(a, gateway.Result{Status: status, ReceivedAt: at, BodyDropped: status == routing.OK})
		return nil
	}
	res := gateway.Result{Status: status, Body: body, NotModified: word == "KEEP", ReceivedAt: at}
	if err := c.parseFields(string(args[2]), &res); err != nil {
		return err
	}
	if res.NotModified && a.Request.IfNoneMatch == "" {
		return errors.New("KEEP without a copy")
	}
	delete(c.inFlight, id)
	c.lastUsed = c.pool.loop.Now()
	if status != routing.OK { // a second copy of this answer must not be taken for that of another try
		c.canceled[id] = c.lastUsed
	}
	args[3] = nil
	res.ReleaseBody = func() { c.pool.releaseBody(body) }
	c.pool.Gateway.AttemptEnded(a, res)
	return nil
}

// parseFields reads the fields of an answer.
func (c *conn) parseFields(list string, res *gateway.Result) error {
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
			res.Reason = reasons[value]
		case "first":
			if ms, err := strconv.ParseFloat(value, 64); err == nil && ms > 0 && ms < maxFillWaitMs {
				res.FillWait = time.Duration(ms * float64(time.Millisecond))
			}
		case "digest":
			res.ETag = value
		case "rep":
			res.LoadReport = c.parseLoadReport(value)
		}
	}
	return nil
}

// loadFieldAliases are the simulator's words for values of load reports by those of its wire, and back: the settings may use
// either, whatever stores do.
var loadFieldAliases = func() map[string]string {
	all := map[string]string{"inflight": "busy_reqs", "util": "cpu_share", "queue": "pending", "latency_ms": "svc_ms", "qps": "served_ps", "eps": "failed_ps"}
	for a, b := range maps.Clone(all) {
		all[b] = a
	}
	return all
}()

// parseLoadReport reads a load report into the order of the settings.
func (c *conn) parseLoadReport(report string) []float64 {
	load := make([]float64, len(c.pool.cfg.LoadReportFields))
	for i := range load {
		load[i] = math.NaN()
	}
	for part := range strings.SplitSeq(report, ";") {
		name, value, _ := strings.Cut(part, ":")
		x, err := strconv.ParseFloat(value, 64)
		i := slices.Index(c.pool.cfg.LoadReportFields, name)
		if other, ok := loadFieldAliases[name]; ok && i < 0 {
			i = slices.Index(c.pool.cfg.LoadReportFields, other)
		}
		if i >= 0 && err == nil {
			load[i] = x
		}
	}
	return load
}
