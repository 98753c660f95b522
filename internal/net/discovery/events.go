// Package discovery watches the service that pushes the endpoint list and purges as server-sent events. The wire calls it
// the journal. A Client reads the events, an EventApplier applies them; both live on the gateway's loop and never block.
package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// EndpointEntry is an endpoint as the wire has it.
type EndpointEntry struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	Kind        string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"since_ms"`
}

// EndpointListEvent is a complete endpoint list, or changes to it.
type EndpointListEvent struct {
	Index     int64           `json:"index"`
	Snapshot  bool            `json:"snapshot"`
	Endpoints []EndpointEntry `json:"endpoints"`
}

// PurgeEvent is a purge of an object, or of a group.
type PurgeEvent struct {
	Object     string `json:"name"`
	Group      *int   `json:"set"`
	IssuedAtMs int64  `json:"stamp"`
}

// Event is one event of the service.
type Event struct {
	Position     int64              `json:"pos"`
	EndpointList *EndpointListEvent `json:"hosts"`
	Purge        *PurgeEvent        `json:"expire"`
}

// InitialState is what a gateway is given at its start of the events so far.
type InitialState struct {
	Position int64   `json:"pos"`
	Entries  []Event `json:"entries"`
}

var phases = map[string]routing.Phase{"SERVING": routing.Up, "DRAINING": routing.Draining,
	"DELETED": routing.Removed}

// validate is why an event cannot be used; nil: it can.
func (e Event) validate() error {
	if e.EndpointList != nil {
		for _, h := range e.EndpointList.Endpoints {
			if h.Name == "" {
				return fmt.Errorf("event %d: a store without a name", e.Position)
			}
			if _, ok := phases[h.Status]; !ok {
				return fmt.Errorf("event %d: store %s: unknown status %q", e.Position, h.Name, h.Status)
			}
		}
	}
	if e.Purge != nil && e.Purge.Object == "" && e.Purge.Group == nil {
		return fmt.Errorf("event %d: a purge of nothing", e.Position)
	}
	return nil
}

// parseEvent reads the data of one event. With an error, the event is not to be used.
func parseEvent(data []byte) (e Event, err error) {
	if err = json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("not an event: %w", err)
	}
	return e, e.validate()
}

// Sink takes in what events say. Its methods are called on the loop.
type Sink interface {
	UpdateEndpoints(routing.EndpointUpdate)
	Purge(routing.Purge)
	SetAddress(id, addr string, since int64)
	RemoveEndpoint(id string)
}

// EventApplier turns events into updates for directors and for the pool of connections.
type EventApplier struct {
	Sink  Sink
	Clock func(time.Time) time.Duration // converts to the directors' clock

	incarnations map[string]incarnation
	listed       map[string]EndpointEntry // endpoints on the list, by name
}

// incarnation is when an endpoint started, on the service's clock and on the directors'. It is converted once: a start whose
// time moves would look like another start.
type incarnation struct {
	startedAtMs  int64
	directorTime time.Duration
}

// ApplyInitial applies what is known at the start, as one stale list.
func (b *EventApplier) ApplyInitial(now time.Time, k InitialState) error {
	b.incarnations, b.listed = map[string]incarnation{}, map[string]EndpointEntry{}
	hosts := map[string]EndpointEntry{}
	var order []string
	for _, e := range k.Entries {
		if err := e.validate(); err != nil {
			return err
		}
		if e.EndpointList == nil {
			continue
		}
		if e.EndpointList.Snapshot {
			clear(hosts)
			order = order[:0]
		}
		for _, h := range e.EndpointList.Endpoints {
			if _, ok := hosts[h.Name]; !ok {
				order = append(order, h.Name)
			}
			hosts[h.Name] = h
		}
	}
	all := make([]EndpointEntry, 0, len(order))
	for _, name := range order {
		all = append(all, hosts[name])
	}
	b.applyList(now, routing.StaleList, all)
	for _, e := range k.Entries {
		if e.Purge != nil {
			b.applyPurge(now, *e.Purge)
		}
	}
	return nil
}

// CurrentState is the present endpoint list, behind the event at a position, as another process could start with it.
func (b *EventApplier) CurrentState(pos int64) InitialState {
	list := &EndpointListEvent{Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		list.Endpoints = append(list.Endpoints, b.listed[name])
	}
	return InitialState{Position: pos, Entries: []Event{{Position: pos, EndpointList: list}}}
}

// Apply applies one further event.
func (b *EventApplier) Apply(now time.Time, e Event) {
	if e.EndpointList != nil {
		kind := routing.DeltaList
		if e.EndpointList.Snapshot {
			kind = routing.FullList
		}
		b.applyList(now, kind, e.EndpointList.Endpoints)
	}
	if e.Purge != nil {
		b.applyPurge(now, *e.Purge)
	}
}

// applyList applies a list of endpoints, or of changes to one.
func (b *EventApplier) applyList(now time.Time, kind routing.UpdateKind, entries []EndpointEntry) {
	update := routing.EndpointUpdate{Kind: kind}
	named := map[string]bool{}
	for _, e := range entries {
		phase := phases[e.Status]
		update.Endpoints = append(update.Endpoints, routing.Endpoint{
			ID:          e.Name,
			Zone:        e.Zone,
			Kind:        e.Kind,
			Cell:        e.Cell,
			Incarnation: b.incarnationOf(now, e),
			Weight:      e.Weight,
			Phase:       phase,
		})
		if phase == routing.Removed {
			b.remove(e.Name)
			continue
		}
		named[e.Name], b.listed[e.Name] = true, e
		b.Sink.SetAddress(e.Name, e.Address, e.StartedAtMs)
	}
	if kind != routing.DeltaList { // what a complete list does not name is gone
		for name := range b.listed {
			if !named[name] {
				b.remove(name)
			}
		}
	}
	b.Sink.UpdateEndpoints(update)
}

// remove forgets an endpoint. Names come and go all day, so that nothing of it is kept.
func (b *EventApplier) remove(name string) {
	b.Sink.RemoveEndpoint(name)
	delete(b.listed, name)
	delete(b.incarnations, name)
}

// incarnationOf is when an endpoint started, on the directors' clock; 0: long ago.
func (b *EventApplier) incarnationOf(now time.Time, e EndpointEntry) time.Duration {
	known := b.incarnations[e.Name]
	if known.startedAtMs != e.StartedAtMs {
		known = incarnation{startedAtMs: e.StartedAtMs}
		if e.StartedAtMs > 0 {
			known.directorTime = b.Clock(now) - now.Sub(time.UnixMilli(e.StartedAtMs))
		}
		b.incarnations[e.Name] = known
	}
	return known.directorTime
}

// applyPurge applies a purge.
func (b *EventApplier) applyPurge(now time.Time, x PurgeEvent) {
	p := routing.Purge{Object: x.Object, Age: max(0, now.Sub(time.UnixMilli(x.IssuedAtMs)))}
	if x.Group != nil && x.Object == "" {
		p.Group = *x.Group
	}
	b.Sink.Purge(p)
}
