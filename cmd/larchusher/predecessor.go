package main

import (
	"encoding/json"
	"time"

	"larchusher/internal/hotrestart"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// The predecessor's part of an upgrade: it hands its state, its listening sockets and its clients' connections to the
// process that takes over. The successor's part is in successor.go.

// handOver hands this process's state to its successor. From now on the successor has the slow-start budget.
func (p *program) handOver(answer hotrestart.AnswerFunc) {
	p.log.Info(logfields.UpgradeHandingOver)
	p.gateway.PauseSlowStart(-1)
	p.useResourceShare(overlapShare)
	state := handedState{Format: stateFormat, Since: p.initialEventsID, Known: p.endpoints.CurrentState(p.discovery.Position()),
		Learned: p.exportSnapshot(maxHandedListings)}
	sockets := p.listeningSockets()
	go func() { // encoding and writing would block the loop
		data, err := json.Marshal(state)
		if err != nil { // a figure has no form in JSON: the endpoint list matters more
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

// hasSuccessor reports whether a successor accepts clients.
func (p *program) hasSuccessor() bool { return p.process != nil && p.process.SuccessorServes() }

// migrateConn hands a client's connection to the successor.
func (p *program) migrateConn(conn *transport.Conn, received []transport.ReceivedChunk) error {
	now := time.Now()
	var buffered []hotrestart.BufferedInput
	for _, chunk := range received {
		buffered = append(buffered, hotrestart.BufferedInput{Data: chunk.Data, Age: now.Sub(chunk.At)})
	}
	addr := p.platformListener.Addr().String()
	return conn.Detach(func(descriptor int) error { return p.successor.Migrate(addr, buffered, descriptor) })
}

// leaveToSuccessor leaves clients to the successor: nothing new is accepted, and each connection goes over as soon as
// nothing is open on it. Where it cannot go over it is closed in that moment.
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

// migrateIdleConns lets idle connections go until none is left, and ends the program then, or at the latest moment with an
// answer to what is open. It goes on until the earliest moment in any case: connections that the kernel had accepted may
// still be on their way to the front.
func (p *program) migrateIdleConns(earliest, latest time.Time) {
	now := p.loop.Now()
	if !now.Before(latest) {
		p.gateway.Close()
	}
	var left int
	if p.successor != nil { // the link may have come up a moment ago
		p.front.BufferRequests()
		left = p.front.MigrateIdle(p.migrateConn)
	} else {
		left = p.front.CloseIdle()
	}
	unfinished := left > 0 || p.gateway.OpenRequests() > 0
	if now.Before(earliest) || now.Before(latest) && unfinished {
		p.loop.After(migrateInterval, func() { p.migrateIdleConns(earliest, latest) })
		return
	}
	p.endWhenAnswered(latest)
}
