package gateway

import (
	"fmt"
	"runtime/debug"

	"github.com/sirupsen/logrus"

	"larchusher/internal/logfields"
	"larchusher/routing"
)

// dispatch is the part of a gateway that passes events to directors and applies the actions that
// they return. Events that occur while an action is applied are queued, so that a director handles
// events one at a time and in order.
type dispatch struct {
	events        []event
	handlingEvent bool             // an event is being handled further up the stack
	actions       []routing.Action // buffer that is reused for each event
}

// event is an event for the director of one locality.
type event struct {
	routing.Event
	locality int
	request  *Request // the request of a routing.Request event; nil for other events
}

// GossipSender sends messages to other gateways. SendGossip is called on the loop and must not
// block. to is a gateway's index or routing.AllDirectors. Messages may get lost.
type GossipSender interface {
	SendGossip(to int, data string)
}

// UpdateEndpoints applies an update of the endpoint list.
func (g *Gateway) UpdateEndpoints(u routing.EndpointUpdate) {
	u = g.drain.applyList(u)
	g.updateLocalityEndpoints(u)
	g.handleInAll(u)
}

// Purge applies a purge event.
func (g *Gateway) Purge(p routing.Purge) {
	g.Counters.Purges++
	g.handleInAll(p)
}

// ReceiveGossip handles a message of another gateway, by its index. It is passed to the own
// locality's director.
func (g *Gateway) ReceiveGossip(from int, data string) {
	g.Counters.GossipReceived++
	g.handleEvent(event{Event: routing.GossipReceived{From: from, Data: data}})
}

// handleInAll passes an event to every director.
func (g *Gateway) handleInAll(e routing.Event) {
	for i := range g.directors {
		g.handleEvent(event{Event: e, locality: i})
	}
}

// handleEvent passes an event to its director and applies the actions that it returns.
func (g *Gateway) handleEvent(e event) {
	g.events = append(g.events, e)
	if g.handlingEvent {
		return
	}
	g.handlingEvent = true
	for len(g.events) > 0 {
		e := g.events[0]
		g.events = g.events[1:]
		for _, a := range g.callDirector(e) {
			g.apply(a, e.locality)
		}
	}
	g.handlingEvent, g.events = false, nil
}

// callDirector returns a director's actions for an event. If the director panics, the panic is
// logged, the request of the event, if it has one, fails, and the gateway goes on.
func (g *Gateway) callDirector(e event) (actions []routing.Action) {
	defer func() {
		if p := recover(); p != nil {
			g.Counters.DirectorPanics++
			g.cfg.Log.WithFields(logrus.Fields{logfields.Input: fmt.Sprintf("%T", e.Event), logfields.Reason: p,
				logfields.Stack: string(debug.Stack())}).Error(logfields.DirectorPanicked)
			actions = nil
			if e.request != nil {
				g.answerRequest(e.request, Answer{Outcome: OutcomeFailed, cause: causeDirectorPanic})
			}
		}
	}()
	g.actions = g.directors[e.locality].Handle(g.now(), e.Event, g.actions[:0])
	return g.actions
}

// apply carries out an action of the director of a locality.
func (g *Gateway) apply(a routing.Action, locality int) {
	switch a := a.(type) {
	case routing.ForwardAttempt:
		g.startAttempt(a, locality)
	case routing.Reject:
		if g.rerouteRejected(a.ID, locality) == rejectionFinal {
			g.answerUnserved(g.requests[a.ID], a.RetryAfter)
		}
	case routing.Fail:
		// The request may have been rerouted to another locality, whose director answers it now.
		if r := g.requests[a.ID]; r != nil && r.locality == locality {
			g.answerUnserved(r, g.LongRetryAfter(r.ID))
		}
	case routing.CancelAttempt:
		if at := g.findAttempt(a.ID, a.Attempt, locality); at != nil {
			g.cancelAttempt(at, routing.Canceled)
		}
	case routing.SetTimer:
		g.setDirectorTimer(a, locality)
	case routing.SendGossip:
		if g.cfg.Gossip != nil {
			g.Counters.GossipSent++
			g.cfg.Gossip.SendGossip(a.To, a.Data)
		}
	case routing.Log:
		g.cfg.Log.WithField(logfields.Detail, a.Text).Info(logfields.DirectorNote)
	case routing.StartHealthCheck, routing.PollEndpoints: // the platform allows no health checks, and pushes the endpoint list
	}
}

// setDirectorTimer sets a director's timer. A timer for a request is stopped when that request is
// closed.
func (g *Gateway) setDirectorTimer(a routing.SetTimer, locality int) {
	r := g.requests[a.RequestID]
	if a.RequestID != "" && r == nil {
		return
	}
	timer := g.cfg.Loop.At(g.wallTime(a.At), func() {
		g.handleEvent(event{locality: locality, Event: routing.TimerFired{Token: a.Token}})
	})
	if r != nil {
		r.directorTimers = append(r.directorTimers, timer)
	}
}
