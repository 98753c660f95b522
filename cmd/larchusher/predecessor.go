package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"larchusher/internal/hotrestart"
	"larchusher/internal/logfields"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/transport"
	"larchusher/membudget"
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
	err := conn.Detach(func(descriptor int) error { return p.successor.Migrate(addr, buffered, descriptor) })
	if errors.Is(err, hotrestart.ErrSuccessorBusy) {
		return fmt.Errorf("%w: %w", msgpackrpc.ErrMigrateLater, err)
	}
	return err
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

// Durations of the migration of clients' connections.
const (
	migrateInterval = 2 * time.Millisecond   // interval of polling for idle connections
	maxBufferTime   = 50 * time.Millisecond  // longest wait of input for its connection to become idle; then it is handled here
	lastBufferTime  = 400 * time.Millisecond // at the end input waits for up to this, since what is begun here may be cut short
	unreadDrainTime = 2 * time.Second        // at the end in which no request is begun behind unread answers, so that these can be written
	migrationGrace  = 50 * time.Millisecond  // to migrate connections after the last requests were answered as expired
)

// migrateIdleConns repeatedly hands over idle connections until no connection or request is left, and then ends the program. It
// does not end before earliest, since connections that the kernel has accepted may not have reached the front yet. At
// latest it answers the open requests as expired, rejects those that arrive on connections which cannot migrate, and soon ends
// the program.
func (p *program) migrateIdleConns(earliest, latest time.Time) {
	now := p.loop.Now()
	if !now.Before(latest) {
		p.gateway.Close()
	}
	unfinished := p.migrateOrCloseIdle(now, latest) > 0 || p.gateway.OpenRequests() > 0
	if now.Before(earliest) || unfinished && now.Before(latest.Add(migrationGrace)) {
		p.loop.After(migrateInterval, func() { p.migrateIdleConns(earliest, latest) })
		return
	}
	p.endWhenAnswered(latest)
}

// migrateOrCloseIdle starts to hand over idle connections to the successor, or closes them if it does not take connections. It
// returns how many connections are left.
func (p *program) migrateOrCloseIdle(now, latest time.Time) (left int) {
	if p.successor == nil { // not yet, perhaps: the handover may complete only after the shutdown has begun
		return p.platformFront.CloseIdle()
	}
	p.platformFront.BufferRequests(p.budget.Max(membudget.MigratingInput))
	return p.platformFront.MigrateIdle(p.migrateConn, bufferPolicy(latest.Sub(now)))
}

// bufferPolicy returns what becomes of input on connections that cannot migrate yet, in a process that answers its open requests
// as expired after the time left.
func bufferPolicy(left time.Duration) msgpackrpc.BufferPolicy {
	policy := msgpackrpc.BufferPolicy{MaxWait: maxBufferTime, MaxWaitUnread: unreadDrainTime, RejectUnread: left <= unreadDrainTime}
	switch {
	case left <= 0:
		policy.MaxWait, policy.MaxWaitUnread = 0, 0
	case left <= lastBufferTime:
		policy.MaxWait = lastBufferTime
	}
	return policy
}
