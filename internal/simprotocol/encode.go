package simprotocol

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"larchusher/routing"
)

// Reply collects the actions that answer one batch. The zero value is an empty reply.
type Reply struct {
	buf []byte // the encoded actions, separated by commas
}

// open begins an action of a director.
func (r *Reply) open(name, director string) {
	if len(r.buf) > 0 {
		r.buf = append(r.buf, ',')
	}
	r.buf = append(r.buf, '[')
	r.buf = quote(r.buf, name)
	r.text(director)
}

func (r *Reply) close()        { r.buf = append(r.buf, ']') }
func (r *Reply) text(s string) { r.buf = quote(append(r.buf, ','), s) }

// time appends a duration in milliseconds.
func (r *Reply) time(d time.Duration) {
	r.buf = strconv.AppendFloat(append(r.buf, ','), ms(d), 'f', -1, 64)
}

func (r *Reply) integer(n int) { r.buf = strconv.AppendInt(append(r.buf, ','), int64(n), 10) }

func (r *Reply) flag(b bool) { r.buf = strconv.AppendBool(append(r.buf, ','), b) }

// quote appends s as a JSON string.
func quote(b []byte, s string) []byte {
	q, err := json.Marshal(s)
	if err != nil { // cannot happen: every string can be encoded
		panic(err)
	}
	return append(b, q...)
}

// AddAction appends one action of a director. It returns an error for an action that the protocol does not have.
func (r *Reply) AddAction(director string, a routing.Action) error {
	switch a := a.(type) {
	case routing.ForwardAttempt:
		r.open(actionForwardAttempt, director)
		r.text(a.ID)
		r.time(a.Timeout)
		r.time(a.MaxAge)
		r.text(a.FillSource)
		how := 0
		for _, b := range [...]struct {
			set bool
			bit int
		}{{a.Coalesce, howCoalesce}, {a.OnlyIfCached, howOnlyIfCached}, {a.NoParentCopy, howNoParentCopy}, {a.RefreshAhead, howRefreshAhead}} {
			if b.set {
				how += b.bit
			}
		}
		r.integer(how)
		r.integer(int(a.CacheRank))
		r.text(a.Endpoint)
	case routing.Reject:
		r.open(actionReject, director)
		r.text(a.ID)
		r.time(a.RetryAfter)
	case routing.Fail:
		r.open(actionFail, director)
		r.text(a.ID)
	case routing.CancelAttempt:
		r.open(actionCancelAttempt, director)
		r.text(a.ID)
		r.integer(a.Attempt)
	case routing.SetTimer:
		r.open(actionSetTimer, director)
		r.time(a.At)
		r.buf = strconv.AppendUint(append(r.buf, ','), a.Token, 10)
	case routing.SendGossip:
		r.open(actionSendGossip, director)
		if a.To == routing.AllDirectors {
			r.buf = append(r.buf, ",null"...)
		} else {
			r.integer(a.To)
		}
		r.text(a.Data)
	case routing.StartHealthCheck:
		r.open(actionStartHealthCheck, director)
		r.text(a.Endpoint)
	case routing.PollEndpoints:
		r.open(actionPollEndpoints, director)
		r.flag(true)
	case routing.Log:
		r.open(actionLog, director)
		r.text(a.Text)
	default:
		return fmt.Errorf("no wire form for action %T", a)
	}
	r.close()
	return nil
}

// AddFault appends the report that a director has failed, with the error text.
func (r *Reply) AddFault(director, text string) {
	r.open(actionFault, director)
	r.text(text)
	r.close()
}

// Line returns the reply as one line, including the newline.
func (r *Reply) Line() []byte {
	line := make([]byte, 0, len(r.buf)+16)
	line = append(line, `{"cmds":[`...)
	line = append(line, r.buf...)
	return append(line, "]}\n"...)
}
