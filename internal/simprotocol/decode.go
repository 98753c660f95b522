// Package simprotocol encodes and decodes the simulator's adapter protocol: each input line is a JSON batch of
// events, each output line the JSON reply with the actions.
//
// It translates between the names of the protocol and the types of package routing, and makes no decisions. It uses
// no clock and no goroutines, and does not block.
package simprotocol

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"larchusher/routing"
)

// ItemKind is the kind of an Item.
type ItemKind int

// Kinds of item.
const (
	ItemEvent ItemKind = iota // an event for a running director
	ItemStart                 // a director starts, with Seed and Settings set
	ItemStop                  // a director is stopped
)

// Item is one entry of a batch for one director.
type Item struct {
	Kind     ItemKind
	Director string
	Event    routing.Event
	Seed     uint64
	Settings routing.Settings
}

// Batch is one line of input. Now is the simulation time of all of its items.
type Batch struct {
	Now   time.Duration
	Items []Item
}

// Decoder decodes batches. It keeps the numbered endpoint lists between them, which all directors of the process
// share. The zero value is ready for use. It must not be used concurrently.
type Decoder struct {
	// OnUnknown, if not nil, is called with the name of each event that the decoder does not know. Such events are
	// skipped.
	OnUnknown func(name string)

	lists   [maxListNumber + 1][]routing.Endpoint // by number
	defined [maxListNumber + 1]bool
}

// Decode decodes one line. Errors name the event and its invalid field.
func (d *Decoder) Decode(line []byte) (Batch, error) {
	var raw struct {
		Now   *float64           `json:"tMs"`
		Input *[]json.RawMessage `json:"input"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, fmt.Errorf("not a batch: %w", err)
	}
	if raw.Now == nil {
		return Batch{}, errors.New("not a batch: tMs is missing")
	}
	if raw.Input == nil {
		return Batch{}, errors.New("not a batch: input is missing")
	}
	b := Batch{Now: duration(*raw.Now)}
	for i, r := range *raw.Input {
		var f fields
		if err := json.Unmarshal(r, &f.values); err != nil {
			return Batch{}, fmt.Errorf("event %d: not an array: %w", i, err)
		}
		if len(f.values) == 0 {
			return Batch{}, fmt.Errorf("event %d: empty", i)
		}
		name := f.text(0, "name")
		if f.err != nil {
			return Batch{}, fmt.Errorf("event %d: %w", i, f.err)
		}
		item, use := d.event(name, &f)
		if f.err != nil {
			return Batch{}, fmt.Errorf("event %d, %s: %w", i, name, f.err)
		}
		if use {
			b.Items = append(b.Items, item)
		}
	}
	return b, nil
}

// event decodes the event called name. It returns false if the event is not for a director: it defines a list, or is
// unknown.
func (d *Decoder) event(name string, f *fields) (Item, bool) {
	if name == eventDefineList {
		d.defineList(f)
		return Item{}, false
	}
	decode, ok := decoders[name]
	if !ok && name != eventStart && name != eventStop && name != eventEndpointUpdate {
		if d.OnUnknown != nil {
			d.OnUnknown(name)
		}
		return Item{}, false
	}
	item := Item{Director: f.text(1, "i")}
	switch name {
	case eventStart:
		item.Kind = ItemStart
		item.Seed = f.seed(2, "initSeed")
		item.Settings = f.settings(3, "env")
	case eventStop:
		item.Kind = ItemStop
	case eventEndpointUpdate:
		item.Event = d.endpointUpdate(f)
	default:
		item.Event = decode(f)
	}
	return item, true
}

// endpointUpdate decodes an update of the endpoint list. It returns nil after an error.
func (d *Decoder) endpointUpdate(f *fields) routing.Event {
	how := f.text(3, "how")
	kind, ok := updateKinds[how]
	if !ok {
		f.fail("how", fmt.Errorf("unknown kind of list %q", how))
		return nil
	}
	if kind == routing.WatchLost {
		return routing.EndpointUpdate{Kind: kind}
	}
	n := f.integer(2, "list")
	if n < 0 || n > maxListNumber || !d.defined[n] {
		f.fail("list", fmt.Errorf("list %d was not defined", n))
		return nil
	}
	return routing.EndpointUpdate{Kind: kind, Endpoints: d.lists[n]}
}

// defineList stores a numbered list of endpoints for later updates.
func (d *Decoder) defineList(f *fields) {
	n := f.integer(1, "list")
	if f.err == nil && (n < 0 || n > maxListNumber) {
		f.fail("list", fmt.Errorf("%d is not from 0 to %d", n, maxListNumber))
	}
	var rows [][]json.RawMessage
	f.value(2, "records", &rows, true)
	if f.err != nil {
		return
	}
	endpoints := make([]routing.Endpoint, 0, len(rows))
	for i, row := range rows {
		e := fields{values: row}
		m := routing.Endpoint{
			Cell:        int(e.optional(0, "pod")),
			Incarnation: duration(e.optional(1, "bootTimeMs")),
			Kind:        e.optionalText(2, "machine"),
			Zone:        e.text(3, "az"),
			Weight:      e.optional(5, "size"),
			ID:          e.text(6, "node"),
		}
		phase := e.text(4, "phase")
		p, ok := phases[phase]
		if e.err == nil && !ok {
			e.fail("phase", fmt.Errorf("unknown phase %q", phase))
		}
		m.Phase = p
		if e.err != nil {
			f.fail("records", fmt.Errorf("entry %d: %w", i, e.err))
			return
		}
		endpoints = append(endpoints, m)
	}
	d.lists[n], d.defined[n] = endpoints, true
}

// status reads the code with which an attempt or a health check ended.
func (f *fields) status(i int, name string) routing.Status {
	n := f.integer(i, name)
	s, ok := statuses[n]
	if f.err == nil && !ok {
		f.fail(name, fmt.Errorf("unknown outcome %d", n))
	}
	return s
}

// decoders decode the events for a running director, except updates of the endpoint list, by event name. Numbers are
// the positions of fields in the event; names are for errors.
var decoders = map[string]func(*fields) routing.Event{
	eventRequest: func(f *fields) routing.Event {
		marks := int(f.optional(10, "marks"))
		return routing.Request{
			ID: f.text(2, "job"), Class: f.text(3, "profile"), Tenant: f.tenantName(4, "team"),
			Object: f.optionalText(5, "asset"), Deadline: duration(f.number(6, "deadlineMs")),
			SizeKB: f.optional(7, "bytesK"), Group: int(f.optional(8, "tag")),
			Part: int(f.optional(9, "chunk")), Retry: marks&markRetry != 0, Write: marks&markWrite != 0,
		}
	},
	eventFirstByte: func(f *fields) routing.Event {
		return routing.FirstByte{ID: f.text(2, "job"), Attempt: f.integer(3, "copy"),
			Endpoint: f.optionalText(5, "node")}
	},
	eventAttemptResult: func(f *fields) routing.Event {
		reason := f.optional(7, "info")
		if reason < 0 || reason > float64(routing.ReasonOriginFailed) {
			reason = 0
		}
		return routing.AttemptResult{
			ID: f.text(2, "job"), FillWait: duration(f.optional(3, "fillWaitMs")),
			Attempt: f.integer(4, "copy"), Endpoint: f.text(5, "node"), Status: f.status(6, "ending"),
			Reason: routing.Reason(reason), Final: f.flag(8, "complete"),
			Latency: duration(f.optional(9, "latencyMs")), LoadReport: f.numbers(10, "feedback"),
		}
	},
	eventGossip: func(f *fields) routing.Event {
		return routing.GossipReceived{From: f.integer(2, "srcPeer"), Data: f.optionalText(3, "data")}
	},
	eventPurge: func(f *fields) routing.Event {
		return routing.Purge{Object: f.optionalText(2, "asset"), Group: int(f.optional(3, "familyId")),
			Age: duration(f.optional(4, "ageSpanMs"))}
	},
	eventHealthCheckResult: func(f *fields) routing.Event {
		return routing.HealthCheckResult{Status: f.status(2, "ending"), Endpoint: f.text(3, "node"),
			Latency: duration(f.optional(4, "latencyMs")), LoadReport: f.numbers(5, "feedback")}
	},
	eventClientGone: func(f *fields) routing.Event { return routing.ClientGone{ID: f.text(2, "job")} },
	eventTimerFired: func(f *fields) routing.Event {
		var n uint64
		f.value(2, "tag", &n, true)
		return routing.TimerFired{Token: n}
	},
}

// fields are the values of one event by position. The first error is kept, and later reads may return zero values.
type fields struct {
	values []json.RawMessage
	err    error
}

// fail records an error for the named field unless one was recorded before.
func (f *fields) fail(name string, err error) {
	if f.err == nil {
		f.err = fmt.Errorf("%s: %w", name, err)
	}
}

// value decodes value i into v and reports whether it was present. If required, its absence is an error.
func (f *fields) value(i int, name string, v any, required bool) bool {
	if i >= len(f.values) || bytes.Equal(f.values[i], []byte("null")) {
		if required {
			f.fail(name, errors.New("missing"))
		}
		return false
	}
	if err := json.Unmarshal(f.values[i], v); err != nil {
		f.fail(name, err)
		return false
	}
	return true
}

// text reads a required string.
func (f *fields) text(i int, name string) (s string) {
	f.value(i, name, &s, true)
	return s
}

// optionalText reads a string; empty if absent or null.
func (f *fields) optionalText(i int, name string) (s string) {
	f.value(i, name, &s, false)
	return s
}

// tenantName reads the name of a tenant; empty if it is absent, null or 0.
func (f *fields) tenantName(i int, name string) string {
	if i < len(f.values) && bytes.Equal(f.values[i], []byte("0")) {
		return ""
	}
	return f.optionalText(i, name)
}

// number reads a required number.
func (f *fields) number(i int, name string) (x float64) {
	f.value(i, name, &x, true)
	return x
}

// optional reads a number; 0 if absent or null.
func (f *fields) optional(i int, name string) (x float64) {
	f.value(i, name, &x, false)
	return x
}

// integer reads a required whole number.
func (f *fields) integer(i int, name string) (n int) {
	f.value(i, name, &n, true)
	return n
}

// flag reads a boolean; false if absent or null.
func (f *fields) flag(i int, name string) (b bool) {
	f.value(i, name, &b, false)
	return b
}

// numbers reads an array of numbers; nil if absent or null. Null elements become NaN.
func (f *fields) numbers(i int, name string) (x []float64) {
	var p []*float64
	if !f.value(i, name, &p, false) {
		return nil
	}
	for _, v := range p {
		if v == nil {
			x = append(x, math.NaN())
			continue
		}
		x = append(x, *v)
	}
	return x
}

// seed reads a required whole number of either sign and returns its 64 bits.
func (f *fields) seed(i int, name string) uint64 {
	var u uint64
	if i < len(f.values) && len(f.values[i]) > 0 && f.values[i][0] == '-' {
		var n int64
		f.value(i, name, &n, true)
		return uint64(n)
	}
	f.value(i, name, &u, true)
	return u
}

// duration converts the protocol's milliseconds to a Duration, rounded to microseconds and limited to what a Duration
// can hold. NaN becomes the upper limit.
func duration(ms float64) time.Duration {
	const limit = float64(math.MaxInt64 / int64(time.Microsecond) / 4)
	us := math.Round(ms * 1000)
	if !(us < limit) {
		us = limit
	}
	if us < -limit {
		us = -limit
	}
	return time.Duration(us) * time.Microsecond
}
