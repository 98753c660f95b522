package main

import (
	"encoding/json"
	"time"

	"larchusher/internal/hotrestart"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
	"larchusher/warmstart"
)

// This file has the part of an upgrade of the process that ends: it hands its state, its listening sockets and its clients'
// connections to the new process.

// handOver hands this process's state to its successor. From this moment on the successor has the budget for cold stores.
func (p *program) handOver(answer hotrestart.AnswerFunc) {
	p.log.Info(logfields.UpgradeHandingOver)
	p.gateway.PauseSlowStart(-1)
	p.useResourceShare(overlapShare)
	state := handedState{Format: stateFormat, Since: p.initialEventsID, Known: p.endpoints.CurrentState(p.discovery.Position()),
		Learned: &warmstart.Snapshot{Made: p.gateway.DirectorTime(p.loop.Now()), Gateway: p.cfg.Name, Settings: p.cfg.Fingerprint(),
			Position: p.discovery.Position(), Directors: p.gateway.ExportLearned(maxHandedListings)}}
	sockets := p.listeningSockets()
	go func() { // the loop waits for no file
		data, err := json.Marshal(state)
		if err != nil { // of a figure that JSON has no form for: the list is what matters
			state.Learned = nil
			data, err = json.Marshal(state)
		}
		var link *hotrestart.Link
		if err == nil {
			link, err = answer(data, sockets)
		}
		if err != nil {
			p.log.WithError(err).Error(logfields.UpgradeHandoverFailed)
		}
		p.loop.Post(func() { p.successor = link })
	}()
}

// listeningSockets are the listening sockets that go over to a successor.
func (p *program) listeningSockets() (all []hotrestart.Socket) {
	for _, l := range p.listeners {
		if raw, err := l.RawConn(); err == nil {
			all = append(all, hotrestart.Socket{Addr: l.Addr().String(), Conn: raw})
		}
	}
	return all
}

// hasSuccessor says whether a new process takes clients in place of this one.
func (p *program) hasSuccessor() bool { return p.process != nil && p.process.SuccessorServes() }

// migrateConn hands a client's connection to the successor.
func (p *program) migrateConn(conn *transport.Conn, pieces []transport.ReceivedChunk) error {
	now := time.Now()
	var over []hotrestart.BufferedInput
	for _, piece := range pieces {
		over = append(over, hotrestart.BufferedInput{Data: piece.Data, Age: now.Sub(piece.At)})
	}
	addr := p.platformListener.Addr().String()
	return conn.Detach(func(descriptor int) error { return p.successor.Migrate(addr, over, descriptor) })
}

// leaveToSuccessor leaves clients to the successor: nothing new is accepted, and each connection goes over as soon as nothing is open on it.
// Where connections can't go over they end in that moment.
func (p *program) leaveToSuccessor() {
	p.log.Info(logfields.UpgradeMigratingClients)
	for _, l := range p.listeners {
		l.CloseAfterQueued()
	}
	if p.gossip != nil {
		p.gossip.Close()
	}
	if p.signedFront != nil {
		p.signedFront.CloseAfterAnswers()
	}
	began := p.loop.Now()
	p.migrateIdleConns(began.Add(acceptQueueTime), began.Add(p.answerTimeAfterUpgrade()))
}

// migrateIdleConns lets connections go on which nothing is open, until none is left, or at the last moment with an answer to what is
// open. It goes on for a while in any case: what the kernel had accepted may still be on its way.
func (p *program) migrateIdleConns(least, last time.Time) {
	now := p.loop.Now()
	if !now.Before(last) {
		p.gateway.Close()
	}
	var left int
	if p.successor != nil { // the link may have come up a moment ago
		p.front.HoldRequests()
		left = p.front.MigrateIdle(p.migrateConn)
	} else {
		left = p.front.CloseIdle()
	}
	if now.Before(least) || now.Before(last) && (left > 0 || p.gateway.OpenRequests() > 0) {
		p.loop.After(migrateInterval, func() { p.migrateIdleConns(least, last) })
		return
	}
	p.endWhenAnswered(last)
}
