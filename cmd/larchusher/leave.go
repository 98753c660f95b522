package main

import (
	"encoding/json"
	"time"

	"larchusher/internal/hotrestart"
	"larchusher/internal/net/transport"
	"larchusher/warmstart"
)

// This file has the part of an upgrade of the process that ends: it hands its state, its listening sockets and its clients'
// connections to the new process.

// handState hands this process's state to its successor. From this moment on the successor has the budget for cold stores.
func (p *program) handState(answer hotrestart.AnswerFunc) {
	p.log.Info("upgrade: handing over to a new process")
	p.gw.PauseSlowStart(-1)
	p.useShares(overlapShare)
	state := handedState{Format: stateFormat, Since: p.since, Known: p.book.CurrentState(p.feed.Position()),
		Learned: &warmstart.Snapshot{Made: p.gw.DirectorTime(p.loop.Now()), Gateway: p.cfg.Name, Settings: p.cfg.Fingerprint(),
			Position: p.feed.Position(), Directors: p.gw.ExportLearned(listingsMost)}}
	sockets := p.sockets()
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
			p.log.WithError(err).Error("upgrade: not all is handed over")
		}
		p.loop.Post(func() { p.successor = link })
	}()
}

// sockets are the listening sockets that go over to a successor.
func (p *program) sockets() (all []hotrestart.Socket) {
	for _, l := range p.accept {
		if raw, err := l.RawConn(); err == nil {
			all = append(all, hotrestart.Socket{Addr: l.Addr().String(), Conn: raw})
		}
	}
	return all
}

// takenOver says whether a new process takes clients in place of this one.
func (p *program) takenOver() bool { return p.process != nil && p.process.SuccessorServes() }

// move hands a client's connection to the successor.
func (p *program) move(conn *transport.Conn, pieces []transport.ReceivedChunk) error {
	now := time.Now()
	var over []hotrestart.BufferedInput
	for _, piece := range pieces {
		over = append(over, hotrestart.BufferedInput{Data: piece.Data, Age: now.Sub(piece.At)})
	}
	addr := p.clients.Addr().String()
	return conn.Detach(func(descriptor int) error { return p.successor.Migrate(addr, over, descriptor) })
}

// yield leaves clients to the successor: nothing new is accepted, and each connection goes over as soon as nothing is open on it.
// Where connections can't go over they end in that moment.
func (p *program) yield() {
	p.log.Info("upgrade: leaving clients to the new process")
	for _, l := range p.accept {
		l.CloseAfterQueued()
	}
	if p.link != nil {
		p.link.Close()
	}
	if p.signed != nil {
		p.signed.CloseAfterAnswers()
	}
	began := p.loop.Now()
	p.leaveIdle(began.Add(queueWithin), began.Add(p.answerWithin()))
}

// leaveIdle lets connections go on which nothing is open, until none is left, or at the last moment with an answer to what is
// open. It goes on for a while in any case: what the kernel had accepted may still be on its way.
func (p *program) leaveIdle(least, last time.Time) {
	now := p.loop.Now()
	if !now.Before(last) {
		p.gw.Close()
	}
	var left int
	if p.successor != nil { // the link may have come up a moment ago
		p.front.HoldRequests()
		left = p.front.MigrateIdle(p.move)
	} else {
		left = p.front.CloseIdle()
	}
	if now.Before(least) || now.Before(last) && (left > 0 || p.gw.OpenRequests() > 0) {
		p.loop.After(leaveTick, func() { p.leaveIdle(least, last) })
		return
	}
	p.finish(last)
}
