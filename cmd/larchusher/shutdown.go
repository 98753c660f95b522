package main

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// Durations of the steps of a graceful shutdown. The platform kills the program 0.7 s after the longest deadline of a class, or
// after 3 s (minDrainTime), whichever is longer, counted from SIGTERM.
const (
	acceptAfterTerm         = 700 * time.Millisecond // clients may still connect for up to 0.6 s after SIGTERM
	minDrainTime            = 3 * time.Second
	answerTimeAfterDeadline = 500 * time.Millisecond // to send the last answers after the longest deadline
	flushTime               = 150 * time.Millisecond // after the deadline, to write the last answers to sockets
	shutdownNoticeTime      = time.Second            // to notify the cluster that this gateway has shut down
	finalSnapshotTimeout    = 30 * time.Millisecond  // to complete a snapshot in progress, after all answers

	answeredPollInterval = 10 * time.Millisecond
	closedPollInterval   = 5 * time.Millisecond
)

// shutDown begins a graceful shutdown. The program goes on accepting for acceptAfterTerm, answers the open requests, and then ends
// the loop. If a successor serves, clients are handed over to it instead. Further calls have no effect.
func (p *program) shutDown() {
	if p.draining { // a maintenance request for this gateway and a signal may both call this method
		return
	}
	p.log.Info(logfields.Draining)
	p.draining = true
	if p.snapshots != nil {
		p.snapshots.SaveNow(p.gateway.DirectorTime(p.loop.Now()))
	}
	if p.hasSuccessor() {
		p.migrateToSuccessor()
		return
	}
	if p.process != nil {
		p.process.StopServing()
	}
	start := p.loop.Now()
	p.loop.After(acceptAfterTerm, func() {
		for _, l := range p.listeners {
			l.Close()
		}
		if p.signedFront != nil {
			p.signedFront.CloseAfterAnswers()
		}
		p.endWhenAnswered(start.Add(p.longestDeadline() + answerTimeAfterDeadline))
	})
}

// longestDeadline returns the longest deadline of a class, but no less than minDrainTime.
func (p *program) longestDeadline() time.Duration { return max(p.longestClassDeadline(), minDrainTime) }

// longestClassDeadline returns the longest deadline of a class.
func (p *program) longestClassDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// answerTimeAfterUpgrade returns the time after SIGTERM in which all open requests must be answered if a successor serves. In
// that case the platform caps the deadline from which it counts the time until the kill at minDrainTime.
func (p *program) answerTimeAfterUpgrade() time.Duration {
	return min(p.longestClassDeadline(), minDrainTime) + answerTimeAfterDeadline
}

// endWhenAnswered polls until all open requests are answered, or at the deadline answers them as expired. Then it closes all
// connections of clients and ends the program.
func (p *program) endWhenAnswered(deadline time.Time) {
	now := p.loop.Now()
	expired := !now.Before(deadline)
	if expired {
		p.gateway.Close()
	}
	if !expired && !p.allAnswered() {
		p.loop.After(answeredPollInterval, func() { p.endWhenAnswered(deadline) })
		return
	}
	p.platformFront.CloseAll()
	if p.signedFront != nil {
		p.signedFront.CloseAll()
	}
	closeDeadline := now.Add(transport.LingerTime)
	if flushDeadline := deadline.Add(flushTime); closeDeadline.After(flushDeadline) {
		closeDeadline = flushDeadline
	}
	p.endWhenClosed(closeDeadline)
}

// allAnswered reports whether no request is open and all answers have been written to sockets.
func (p *program) allAnswered() bool {
	return p.gateway.OpenRequests() == 0 && p.platformFront.Idle() && (p.signedFront == nil || p.signedFront.Idle())
}

// endWhenClosed polls until all clients have read their last answers and closed their connections, or until the deadline, and
// ends the program. If the process ended earlier the kernel might reset connections, and a client then loses the bytes that it
// has not read.
func (p *program) endWhenClosed(deadline time.Time) {
	if p.engine.Lingering() > 0 && p.loop.Now().Before(deadline) {
		p.loop.After(closedPollInterval, func() { p.endWhenClosed(deadline) })
		return
	}
	p.endProgram()
}

// endProgram stops the loop, which ends the program. If the cluster waits for this shutdown it is notified first, and the loop
// stops after shutdownNoticeTime.
func (p *program) endProgram() {
	if p.onAllAnswered == nil {
		p.loop.Close()
		return
	}
	p.onAllAnswered()
	p.onAllAnswered = nil
	p.loop.After(shutdownNoticeTime, p.loop.Close)
}
