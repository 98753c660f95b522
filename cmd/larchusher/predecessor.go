package main

import (
	"encoding/json"
	"time"

	"larchusher/internal/hotrestart"
	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// This file contains the predecessor's part of a hot restart: it hands its state, its listening sockets and its clients'
// connections over to the successor. The successor's part is in successor.go.

// handOverState sends this process's state and listening sockets to its successor, without blocking the loop. It also stops
// sending to endpoints that are warming up, since the successor uses the slow-start budget from now on.
func (p *program) handOverState(answer hotrestart.AnswerFunc) {
	p.log.Info(logfields.UpgradeHandingOver)
	p.gateway.PauseSlowStart(-1)
	p.useResourceShare(overlapResourceShare)
	state := handedState{Format: stateFormat, Since: p.eventStreamID, Known: p.endpoints.CurrentState(p.discovery.Position()),
		Learned: p.exportSnapshot(maxHandedListings)}
	sockets := p.listeningSockets()
	go func() { // encoding and writing take too long for the loop
		data, err := json.Marshal(state)
		if err != nil { // learned state contains NaN or infinity, which JSON cannot encode: hand over the endpoint list at least
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

// listeningSockets returns the listening sockets that are handed over to a successor. The admin listener is not among them.
func (p *program) listeningSockets() (all []hotrestart.Socket) {
	for _, l := range p.listeners {
		if raw, err := l.RawConn(); err == nil {
			all = append(all, hotrestart.Socket{Addr: l.Addr().String(), Conn: raw})
		}
	}
	return all
}

// hasSuccessor reports whether a successor runs and accepts clients.
func (p *program) hasSuccessor() bool { return p.process != nil && p.process.SuccessorServes() }

// migrateConn hands a client's connection over to the successor, together with the bytes that were received on it and not yet
// processed.
func (p *program) migrateConn(conn *transport.Conn, received []transport.ReceivedChunk) error {
	now := time.Now()
	var buffered []hotrestart.BufferedInput
	for _, chunk := range received {
		buffered = append(buffered, hotrestart.BufferedInput{Data: chunk.Data, Age: now.Sub(chunk.At)})
	}
	addr := p.platformListener.Addr().String()
	return conn.Detach(func(descriptor int) error { return p.successor.Migrate(addr, buffered, descriptor) })
}

// migrateToSuccessor shuts down in favour of the successor. This process stops accepting connections. Each connection to the
// platform's front is handed over once no request is open on it, or closed at that moment if it cannot be handed over; each to the
// signed front closes after its next answer.
func (p *program) migrateToSuccessor() {
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
	start := p.loop.Now()
	p.migrateIdleConns(start.Add(acceptQueueTime), start.Add(p.answerTimeAfterUpgrade()))
}

// migrateIdleConns repeatedly hands over idle connections until no connection or request is left, and then ends the program. It
// does not end before earliest, since connections that the kernel has accepted may not have reached the front yet. At
// latest it answers the open requests as expired and ends the program.
func (p *program) migrateIdleConns(earliest, latest time.Time) {
	now := p.loop.Now()
	if !now.Before(latest) {
		p.gateway.Close()
	}
	var left int
	if p.successor != nil { // set once the handover has completed, which may have been only after the shutdown began
		p.platformFront.BufferRequests(int64(p.memoryFraction(migratingInputDivisor)))
		left = p.platformFront.MigrateIdle(p.migrateConn)
	} else {
		left = p.platformFront.CloseIdle()
	}
	unfinished := left > 0 || p.gateway.OpenRequests() > 0
	if now.Before(earliest) || now.Before(latest) && unfinished {
		p.loop.After(migrateInterval, func() { p.migrateIdleConns(earliest, latest) })
		return
	}
	p.endWhenAnswered(latest)
}
