package resp

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"larchusher/gateway"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
	"larchusher/routing"
)

// errUnexpectedNotModified reports a "not modified" answer to a request that did not name a copy of the client's.
var errUnexpectedNotModified = errors.New(notModified + " in answer to a request without the tag of a copy")

// OnBytes parses the input into answers and posts them to the loop. It runs on the poller goroutine.
func (c *conn) OnBytes(tc *transport.Conn, b []byte, at time.Time) error {
	var answers [][][]byte
	size := 0
	err := c.parser.feed(b, func(args [][]byte) error {
		if len(args) != answerStrings && len(args) != pingAnswerStrings {
			return fmt.Errorf("answer has %d strings, want 2 or 4", len(args))
		}
		for _, s := range args { // the memory of complete strings now belongs to the answer, not to the connection
			size += len(s)
			if len(s) > maxUnreservedBytes {
				c.reservedBytes.Add(int64(-len(s)))
			}
		}
		answers = append(answers, args)
		return nil
	})
	if c.closed.Load() {
		c.releaseReserved()
	}
	partial := c.parser.partial()
	tc.HoldInput(membudget.EndpointAnswers, size) // answers are read no faster than they are handled
	c.pool.loop.Post(func() {
		c.handleAnswers(tc, answers, partial, at)
		tc.ReleaseHeldInput(membudget.EndpointAnswers, size)
	})
	return err
}

// handleAnswers handles the answers of one read, on the loop. partial means that a part of a further answer has
// arrived.
func (c *conn) handleAnswers(tc *transport.Conn, answers [][][]byte, partial bool, at time.Time) {
	if partial && (!c.partial || len(answers) > 0) {
		c.partialSince = at
	}
	c.lastByte, c.partial = at, partial
	for i, args := range answers {
		err := c.handleAnswer(args, at)
		c.pool.releaseStrings(args) // the body is nil here if the gateway has taken it
		if err == nil {
			continue
		}
		for _, rest := range answers[i+1:] {
			c.pool.releaseStrings(rest)
		}
		c.pool.log.WithError(err).WithField(logfields.Endpoint, c.endpoint.id).Warn(logfields.EndpointAnswerUnreadable)
		tc.Close(err)
		c.end(err)
		return
	}
}

// handleAnswer handles one answer, whose last byte arrived at the given time. It sets args[3] to nil if the gateway
// takes the body. An error means that the connection must be closed.
func (c *conn) handleAnswer(args [][]byte, at time.Time) error {
	if c.ended {
		return nil
	}
	id, word := string(args[0]), string(args[1])
	if isPingAnswer(word) {
		if id == c.pingID {
			c.pingID = ""
		}
		return nil
	}
	status, ok := statuses[word]
	if !ok || len(args) != answerStrings {
		return fmt.Errorf("unknown answer status %.20q or wrong number of strings", word)
	}
	a := c.inFlight[id]
	if a == nil { // canceled here while the answer was on its way
		c.pool.Counters.LateAnswers++
		return nil
	}
	body := args[3]
	if body == nil { // dropped for lack of memory, see reserve
		c.pool.Counters.AnswersDropped++
		c.finish(id)
		c.canceled[id] = c.lastUsed
		c.pool.Gateway.AttemptEnded(a, gateway.Result{Status: status, ReceivedAt: at, BodyDropped: status == routing.OK})
		return nil
	}
	res := gateway.Result{Status: status, Body: body, NotModified: word == notModified, ReceivedAt: at}
	if err := c.parseFields(string(args[2]), &res); err != nil {
		return err
	}
	if res.NotModified && a.Request.IfNoneMatch == "" {
		return errUnexpectedNotModified
	}
	c.finish(id)
	if status != routing.OK { // a second answer with this id must not be mistaken for that of a later attempt
		c.canceled[id] = c.lastUsed
	}
	args[3] = nil
	res.ReleaseBody = func() { c.pool.releaseBody(body) }
	c.pool.Gateway.AttemptEnded(a, res)
	return nil
}

// finish removes an attempt from those in flight.
func (c *conn) finish(id string) {
	delete(c.inFlight, id)
	c.favored.Remove(id)
	c.lastUsed = c.pool.loop.Now()
}

// parseFields parses the comma-separated NAME=VALUE fields of an answer into res. Unknown names and unreadable values
// are ignored; a field without "=" is an error.
func (c *conn) parseFields(list string, res *gateway.Result) error {
	if list == "-" || list == "" {
		return nil
	}
	for f := range strings.SplitSeq(list, ",") {
		name, value, ok := strings.Cut(f, "=")
		if !ok {
			return fmt.Errorf("answer field %.40q is not NAME=VALUE", f)
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

// parseLoadReport parses a load report into the order of Config.LoadReportFields. Values that are not reported are
// NaN.
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
