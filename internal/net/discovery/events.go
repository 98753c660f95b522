// Package discovery follows the journal service: server-sent events that tell of stores and purges.
package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"larchusher/routing"
)

// EndpointEntry is a store as the journal names it.
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

// EndpointListEvent is an event about the list of stores.
type EndpointListEvent struct {
	Index     int64           `json:"index"`
	Snapshot  bool            `json:"snapshot"`
	Endpoints []EndpointEntry `json:"endpoints"`
}

// PurgeEvent is a purge: of an object, or of a group.
type PurgeEvent struct {
	Object     string `json:"name"`
	Group      *int   `json:"set"`
	IssuedAtMs int64  `json:"stamp"`
}

// Event is one entry of the journal.
type Event struct {
	Position     int64              `json:"pos"`
	EndpointList *EndpointListEvent `json:"hosts"`
	Purge        *PurgeEvent        `json:"expire"`
}

// InitialState is what a gateway is told of the journal at its start.
type InitialState struct {
	Position int64   `json:"pos"`
	Entries  []Event `json:"entries"`
}

var phases = map[string]routing.Phase{"SERVING": routing.Up, "DRAINING": routing.Draining,
	"DELETED": routing.Removed}

// validate names the first part of an event that cannot be used.
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

// parseEvent reads the data of one event.
func parseEvent(data []byte) (e Event, err error) {
	if err = json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("not an event: %w", err)
	}
	return e, e.validate()
}

// Sink takes in what the journal tells. Its methods are called on the loop.
type Sink interface {
	UpdateEndpoints(routing.EndpointUpdate)
	Purge(routing.Purge)
	SetAddress(id, addr string, since int64)
	RemoveEndpoint(id string)
}

// EventApplier turns events into what the director and the pool of stores are told.
type EventApplier struct {
	Sink  Sink
	Clock func(time.Time) time.Duration // the director's

	incarnations map[string]incarnation
	listed       map[string]EndpointEntry // stores that are on the list
}

// incarnation is when a store started, on the journal's clock and on the director's. It is turned once: a start
// whose time moves would look like another start.
type incarnation struct {
	startedAtMs  int64
	directorTime time.Duration
}

// ApplyInitial takes in what is known at the start, as one stale list.
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

// CurrentState is the present list of stores as a process could be told it at its start, after the event pos.
func (b *EventApplier) CurrentState(pos int64) InitialState {
	list := &EndpointListEvent{Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(b.listed)) {
		list.Endpoints = append(list.Endpoints, b.listed[name])
	}
	return InitialState{Position: pos, Entries: []Event{{Position: pos, EndpointList: list}}}
}

// Apply takes in one further event.
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

func (b *EventApplier) applyList(now time.Time, kind routing.UpdateKind, hosts []EndpointEntry) {
	m := routing.EndpointUpdate{Kind: kind}
	named := map[string]bool{}
	for _, h := range hosts {
		at := b.incarnations[h.Name]
		if at.startedAtMs != h.StartedAtMs {
			at = incarnation{startedAtMs: h.StartedAtMs}
			if h.StartedAtMs > 0 {
				at.directorTime = b.Clock(now) - now.Sub(time.UnixMilli(h.StartedAtMs))
			}
			b.incarnations[h.Name] = at
		}
		m.Endpoints = append(m.Endpoints, routing.Endpoint{ID: h.Name, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			Incarnation: at.directorTime, Weight: h.Weight, Phase: phases[h.Status]})
		if phases[h.Status] == routing.Removed {
			b.Sink.RemoveEndpoint(h.Name)
			delete(b.listed, h.Name)
			delete(b.incarnations, h.Name) // ids come and go all day
			continue
		}
		named[h.Name], b.listed[h.Name] = true, h
		b.Sink.SetAddress(h.Name, h.Address, h.StartedAtMs)
	}
	if kind != routing.DeltaList { // what a whole list does not name is gone
		for name := range b.listed {
			if !named[name] {
				b.Sink.RemoveEndpoint(name)
				delete(b.listed, name)
				delete(b.incarnations, name)
			}
		}
	}
	b.Sink.UpdateEndpoints(m)
}

func (b *EventApplier) applyPurge(now time.Time, x PurgeEvent) {
	p := routing.Purge{Object: x.Object, Age: max(0, now.Sub(time.UnixMilli(x.IssuedAtMs)))}
	if x.Group != nil && x.Object == "" {
		p.Group = *x.Group
	}
	b.Sink.Purge(p)
}
