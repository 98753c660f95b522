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

// Host is a store as the journal names it.
type Host struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMs int64   `json:"since_ms"`
}

// Hosts is an event about the list of stores.
type Hosts struct {
	Index     int64  `json:"index"`
	Snapshot  bool   `json:"snapshot"`
	Endpoints []Host `json:"endpoints"`
}

// Expire is a purge: of an object, or of a group.
type Expire struct {
	Name  string `json:"name"`
	Set   *int   `json:"set"`
	Stamp int64  `json:"stamp"`
}

// Event is one entry of the journal.
type Event struct {
	Pos    int64   `json:"pos"`
	Hosts  *Hosts  `json:"hosts"`
	Expire *Expire `json:"expire"`
}

// Known is what a gateway is told of the journal at its start.
type Known struct {
	Pos     int64   `json:"pos"`
	Entries []Event `json:"entries"`
}

var phases = map[string]routing.Phase{"SERVING": routing.Up, "DRAINING": routing.Draining,
	"DELETED": routing.Removed}

// check names the first part of an event that cannot be used.
func (e Event) check() error {
	if e.Hosts != nil {
		for _, h := range e.Hosts.Endpoints {
			if h.Name == "" {
				return fmt.Errorf("event %d: a store without a name", e.Pos)
			}
			if _, ok := phases[h.Status]; !ok {
				return fmt.Errorf("event %d: store %s: unknown status %q", e.Pos, h.Name, h.Status)
			}
		}
	}
	if e.Expire != nil && e.Expire.Name == "" && e.Expire.Set == nil {
		return fmt.Errorf("event %d: a purge of nothing", e.Pos)
	}
	return nil
}

// parse reads the data of one event.
func parse(data []byte) (e Event, err error) {
	if err = json.Unmarshal(data, &e); err != nil {
		return e, fmt.Errorf("not an event: %w", err)
	}
	return e, e.check()
}

// Sink takes in what the journal tells. Its methods are called on the loop.
type Sink interface {
	Members(routing.EndpointUpdate)
	Purge(routing.Purge)
	Place(id, addr string, since int64)
	Remove(id string)
}

// Book turns events into what the director and the pool of stores are told.
type Book struct {
	Sink  Sink
	Clock func(time.Time) time.Duration // the director's

	boots map[string]boot
	here  map[string]Host // stores that are on the list
}

// boot is when a store started, on the journal's clock and on the director's. It is turned once: a start
// whose time moves would look like another start.
type boot struct {
	since int64
	at    time.Duration
}

// Start takes in what is known at the start, as one stale list.
func (b *Book) Start(now time.Time, k Known) error {
	b.boots, b.here = map[string]boot{}, map[string]Host{}
	hosts := map[string]Host{}
	var order []string
	for _, e := range k.Entries {
		if err := e.check(); err != nil {
			return err
		}
		if e.Hosts == nil {
			continue
		}
		if e.Hosts.Snapshot {
			clear(hosts)
			order = order[:0]
		}
		for _, h := range e.Hosts.Endpoints {
			if _, ok := hosts[h.Name]; !ok {
				order = append(order, h.Name)
			}
			hosts[h.Name] = h
		}
	}
	all := make([]Host, 0, len(order))
	for _, name := range order {
		all = append(all, hosts[name])
	}
	b.hosts(now, routing.StaleList, all)
	for _, e := range k.Entries {
		if e.Expire != nil {
			b.purge(now, *e.Expire)
		}
	}
	return nil
}

// List is the present list of stores as a process could be told it at its start, after the event pos.
func (b *Book) List(pos int64) Known {
	list := &Hosts{Snapshot: true}
	for _, name := range slices.Sorted(maps.Keys(b.here)) {
		list.Endpoints = append(list.Endpoints, b.here[name])
	}
	return Known{Pos: pos, Entries: []Event{{Pos: pos, Hosts: list}}}
}

// Take takes in one further event.
func (b *Book) Take(now time.Time, e Event) {
	if e.Hosts != nil {
		kind := routing.DeltaList
		if e.Hosts.Snapshot {
			kind = routing.FullList
		}
		b.hosts(now, kind, e.Hosts.Endpoints)
	}
	if e.Expire != nil {
		b.purge(now, *e.Expire)
	}
}

func (b *Book) hosts(now time.Time, kind routing.UpdateKind, hosts []Host) {
	m := routing.EndpointUpdate{Kind: kind}
	named := map[string]bool{}
	for _, h := range hosts {
		at := b.boots[h.Name]
		if at.since != h.SinceMs {
			at = boot{since: h.SinceMs}
			if h.SinceMs > 0 {
				at.at = b.Clock(now) - now.Sub(time.UnixMilli(h.SinceMs))
			}
			b.boots[h.Name] = at
		}
		m.Endpoints = append(m.Endpoints, routing.Endpoint{ID: h.Name, Zone: h.Zone, Kind: h.Type, Cell: h.Group,
			Incarnation: at.at, Weight: h.Weight, Phase: phases[h.Status]})
		if phases[h.Status] == routing.Removed {
			b.Sink.Remove(h.Name)
			delete(b.here, h.Name)
			delete(b.boots, h.Name) // ids come and go all day
			continue
		}
		named[h.Name], b.here[h.Name] = true, h
		b.Sink.Place(h.Name, h.Address, h.SinceMs)
	}
	if kind != routing.DeltaList { // what a whole list does not name is gone
		for name := range b.here {
			if !named[name] {
				b.Sink.Remove(name)
				delete(b.here, name)
				delete(b.boots, name)
			}
		}
	}
	b.Sink.Members(m)
}

func (b *Book) purge(now time.Time, x Expire) {
	p := routing.Purge{Object: x.Name, Age: max(0, now.Sub(time.UnixMilli(x.Stamp)))}
	if x.Set != nil && x.Name == "" {
		p.Group = *x.Set
	}
	b.Sink.Purge(p)
}
