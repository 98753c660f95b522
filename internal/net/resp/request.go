package resp

import (
	"strconv"
	"strings"
	"time"

	"larchusher/gateway"
)

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
