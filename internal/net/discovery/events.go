// Package discovery watches the service that pushes the endpoint list and purges as server-sent events, at the path
// /journal. A Client receives the events and an EventApplier applies them. Both are used on the gateway's loop and
// never block.
package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// EndpointEntry is an endpoint in the service's JSON.
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

// EndpointListEvent is a complete endpoint list (Snapshot), or changes to it.
type EndpointListEvent struct {
	Index     int64           `json:"index"`
	Snapshot  bool            `json:"snapshot"`
	Endpoints []EndpointEntry `json:"endpoints"`
}

// PurgeEvent is a purge of an object, or of a group of objects.
type PurgeEvent struct {
	Object     string `json:"name"`
	Group      *int   `json:"set"`
	IssuedAtMs int64  `json:"stamp"`
}

// Event is one event of the service. Both contents may be nil.
type Event struct {
	Position     int64              `json:"pos"`
	EndpointList *EndpointListEvent `json:"hosts"`
	Purge        *PurgeEvent        `json:"expire"`
}

// InitialState is the state with which a gateway starts: the events up to a position.
type InitialState struct {
	Position int64   `json:"pos"`
	Entries  []Event `json:"entries"`
}

// phases are the phases of endpoints by status word.
var phases = map[string]routing.Phase{"SERVING": routing.Up, "DRAINING": routing.Draining,
	"DELETED": routing.Removed}

// validate returns an error if the event cannot be used.
func (e Event) validate() error {
	if e.EndpointList != nil {
		for _, h := range e.EndpointList.Endpoints {
			if h.Name == "" {
				return fmt.Errorf("event %d: endpoint without a name", e.Position)
			}
			if _, ok := phases[h.Status]; !ok {
				return fmt.Errorf("event %d: endpoint %s: unknown status %q", e.Position, h.Name, h.Status)
			}
		}
	}
	if e.Purge != nil && e.Purge.Object == "" && e.Purge.Group == nil {
		return fmt.Errorf("event %d: purge names neither an object nor a group", e.Position)
	}
	return nil
}

// parseEvent parses and validates the data of one event. After an error the event must not be applied.
func parseEvent(data []byte) (e Event, err error) {
	if err = json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("event data is not a JSON event: %w", err)
	}
	return e, e.validate()
}

// Sink receives the updates that follow from events. Its methods are called on the loop.
type Sink interface {
	UpdateEndpoints(routing.EndpointUpdate)
	Purge(routing.Purge)
	SetAddress(id, addr string, since int64)
	RemoveEndpoint(id string)
}

// EventApplier converts events into updates for directors and for the connection pool. It must be used on the loop.
type EventApplier struct {
	Sink  Sink
	Clock func(time.Time) time.Duration // converts a time to the directors' clock: the time since its zero

	incarnations map[string]incarnation
	listed       map[string]EndpointEntry // current endpoints by name
}

// incarnation is an endpoint's start time on the service's clock (Unix ms) and on the directors' clock. The
// conversion is done only once: if the converted time changed, it would look like a restart of the endpoint.
type incarnation struct {
	startedAtMs  int64
	directorTime time.Duration
}

// ApplyInitial applies the state at startup: its lists are merged into one update, marked as stale, and its purges
// follow. It returns an error, and applies nothing, if an event is invalid.
func (b *EventApplier) ApplyInitial(now time.Time, k InitialState) error {
	b.incarnations, b.listed = map[string]incarnation{}, map[string]EndpointEntry{}
	endpoints := map[string]EndpointEntry{}
	var order []string
	for _, e := range k.Entries {
		if err := e.validate(); err != nil {
			return err
		}
		if e.EndpointList == nil {
			continue
		}
		if e.EndpointList.Snapshot {
			clear(endpoints)
			order = order[:0]
		}
		for _, h := range e.EndpointList.Endpoints {
			if _, ok := endpoints[h.Name]; !ok {
				order = append(order, h.Name)
			}
			endpoints[h.Name] = h
		}
	}
	all := make([]EndpointEntry, 0, len(order))
	for _, name := range order {
		all = append(all, endpoints[name])
	}
	b.applyList(now, routing.StaleList, all)
	for _, e := range k.Entries {
		if e.Purge != nil {
			b.applyPurge(now, *e.Purge)
		}
	}
	return nil
}

// CurrentState returns the current endpoint list as of the event at pos, in the form with which another process can
// start. Purges are not included.
func (b *EventApplier) CurrentState(pos int64) InitialState {
	list := &EndpointListEvent{Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		list.Endpoints = append(list.Endpoints, b.listed[name])
	}
	return InitialState{Position: pos, Entries: []Event{{Position: pos, EndpointList: list}}}
}

// Apply applies one later event.
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

// applyList applies a complete endpoint list, or changes to it.
func (b *EventApplier) applyList(now time.Time, kind routing.UpdateKind, entries []EndpointEntry) {
	update := routing.EndpointUpdate{Kind: kind}
	inUpdate := map[string]bool{}
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
		inUpdate[e.Name], b.listed[e.Name] = true, e
		b.Sink.SetAddress(e.Name, e.Address, e.StartedAtMs)
	}
	if kind != routing.DeltaList { // endpoints missing from a complete list are removed
		for name := range b.listed {
			if !inUpdate[name] {
				b.remove(name)
			}
		}
	}
	b.Sink.UpdateEndpoints(update)
}

// remove removes an endpoint and everything that is stored about it, since endpoint names come and go all day.
func (b *EventApplier) remove(name string) {
	b.Sink.RemoveEndpoint(name)
	delete(b.listed, name)
	delete(b.incarnations, name)
}

// incarnationOf returns an endpoint's start time on the directors' clock; 0 if the service does not state one.
func (b *EventApplier) incarnationOf(now time.Time, e EndpointEntry) time.Duration {
	current := b.incarnations[e.Name]
	if current.startedAtMs != e.StartedAtMs {
		current = incarnation{startedAtMs: e.StartedAtMs}
		if e.StartedAtMs > 0 {
			current.directorTime = b.Clock(now) - now.Sub(time.UnixMilli(e.StartedAtMs))
		}
		b.incarnations[e.Name] = current
	}
	return current.directorTime
}

// applyPurge passes a purge to the sink, with its age. The object takes precedence over the group.
func (b *EventApplier) applyPurge(now time.Time, x PurgeEvent) {
	p := routing.Purge{Object: x.Object, Age: max(0, now.Sub(time.UnixMilli(x.IssuedAtMs)))}
	if x.Group != nil && x.Object == "" {
		p.Group = *x.Group
	}
	b.Sink.Purge(p)
}
