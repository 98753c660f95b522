package main

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

// The steps of a graceful shutdown. The platform kills the program 0.7 s behind the longest deadline, or behind 3 s if that
// is longer.
const (
	acceptAfterTerm         = 700 * time.Millisecond // clients go on coming for up to 0.6 s after SIGTERM
	minDrainTime            = 3 * time.Second
	answerTimeAfterDeadline = 500 * time.Millisecond // for the last answers, behind the longest deadline
	flushTime               = 150 * time.Millisecond // for them to be written
	shutdownNoticeTime      = time.Second            // for the cluster to hear that this gateway has shut down
	finalSnapshotTimeout    = 30 * time.Millisecond  // for a snapshot that is being written, behind all answers

	answeredPollInterval = 10 * time.Millisecond
	closedPollInterval   = 5 * time.Millisecond
)

// shutDown goes on accepting for as long as clients may still come, answers everything that is open, and ends the program.
func (p *program) shutDown() {
	if p.draining { // for its own maintenance, and then by a signal
		return
	}
	p.log.Info(logfields.Draining)
	p.draining = true
	if p.snapshots != nil {
		p.snapshots.SaveNow(p.gateway.DirectorTime(p.loop.Now()))
	}
	if p.hasSuccessor() {
		p.leaveToSuccessor()
		return
	}
	if p.process != nil {
		p.process.StopServing()
	}
	began := p.loop.Now()
	p.loop.After(acceptAfterTerm, func() {
		for _, l := range p.listeners {
			l.Close()
		}
		if p.signedFront != nil {
			p.signedFront.CloseAfterAnswers()
		}
		p.endWhenAnswered(began.Add(p.longestDeadline() + answerTimeAfterDeadline))
	})
}

// longestDeadline is how long any client may wait, and minDrainTime at least.
func (p *program) longestDeadline() time.Duration { return max(p.longestClassDeadline(), minDrainTime) }

// longestClassDeadline is the longest deadline of a class.
func (p *program) longestClassDeadline() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// answerTimeAfterUpgrade is how long after SIGTERM everything must be answered where a successor serves: there the kill
// counts a longest deadline beyond minDrainTime as minDrainTime.
func (p *program) answerTimeAfterUpgrade() time.Duration {
	return min(p.longestClassDeadline(), minDrainTime) + answerTimeAfterDeadline
}

// endWhenAnswered ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) endWhenAnswered(last time.Time) {
	now := p.loop.Now()
	late := !now.Before(last)
	if late {
		p.gateway.Close()
	}
	if !late && !p.allAnswered() {
		p.loop.After(answeredPollInterval, func() { p.endWhenAnswered(last) })
		return
	}
	p.front.CloseAll()
	if p.signedFront != nil {
		p.signedFront.CloseAll()
	}
	until := now.Add(transport.LingerTime)
	if latest := last.Add(flushTime); until.After(latest) {
		until = latest
	}
	p.endWhenClosed(until)
}

// allAnswered reports whether no request is open and every answer has been written.
func (p *program) allAnswered() bool {
	return p.gateway.OpenRequests() == 0 && p.front.Idle() && (p.signedFront == nil || p.signedFront.Idle())
}

// endWhenClosed waits until all clients have taken their last answers and closed. Ending with unread bytes would send a
// reset, which takes away what a client has not read.
func (p *program) endWhenClosed(until time.Time) {
	if p.engine.Lingering() > 0 && p.loop.Now().Before(until) {
		p.loop.After(closedPollInterval, func() { p.endWhenClosed(until) })
		return
	}
	p.end()
}

// end ends the program; where the cluster waits for that, it hears of it first.
func (p *program) end() {
	if p.onAnswered == nil {
		p.loop.Close()
		return
	}
	p.onAnswered()
	p.onAnswered = nil
	p.loop.After(shutdownNoticeTime, p.loop.Close)
}
