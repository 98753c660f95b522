package resp

import (
	"strconv"
	"strings"
	"time"

	"larchusher/gateway"
)

// writeAttempt writes an attempt to the connection, unless the gateway withdraws it.
func (c *conn) writeAttempt(a *gateway.Attempt) {
	if !c.pool.Gateway.PrepareWrite(a) {
		return
	}
	now := c.pool.loop.Now()
	if len(c.inFlight) == 0 {
		c.lastByte = now
	}
	c.lastUsed = now
	c.inFlight[a.Request.ID] = a
	if a.Request.LightClient {
		c.favored.Add(a.Request.ID)
	}
	c.pool.Counters.Written++
	r := a.Request
	head := append(make([]byte, 0, 256), "*4\r\n"...)
	for _, s := range [...]string{"ASK", r.ID, encodeFields(a, now)} {
		head = append(append(appendLength(head, len(s)), s...), "\r\n"...)
	}
	if err := c.tc.Write(appendLength(head, len(r.Body)), r.Body, []byte("\r\n")); err != nil {
		c.end(err)
	}
}

// encodeFields encodes the fields of an attempt. The field names of the protocol appear only here.
func encodeFields(a *gateway.Attempt, now time.Time) string {
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
	add("ttl", strconv.FormatInt(max(1, a.Deadline.Sub(now).Milliseconds()), 10))
	if r.IdempotencyKey != "" {
		add("dedupe", r.IdempotencyKey)
	}
	if a.FillSource != "" {
		add("parent", a.FillSource)
	}
	if a.CacheRank > 0 {
		add("shelf", strconv.Itoa(a.CacheRank))
	}
	if a.MaxAge > 0 {
		add("accept", strconv.FormatInt(max(1, a.MaxAge.Milliseconds()), 10))
	}
	if hints := encodeHints(a); hints != "" {
		add("hints", hints)
	}
	if r.IfNoneMatch != "" {
		add("got", r.IfNoneMatch)
	}
	return string(b)
}

// encodeHints encodes the options of an attempt, joined with "+".
func encodeHints(a *gateway.Attempt) string {
	var hints []string
	for _, h := range [...]struct {
		set  bool
		word string
	}{{a.Coalesce, "merge"}, {a.OnlyIfCached, "local"}, {a.NoParentCopy, "skip"}, {a.RefreshAhead, "revalidate"}} {
		if h.set {
			hints = append(hints, h.word)
		}
	}
	return strings.Join(hints, "+")
}
