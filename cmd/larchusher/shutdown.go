package main

import (
	"time"

	"larchusher/internal/logfields"
	"larchusher/internal/net/transport"
)

const (
	acceptAfterTerm         = 700 * time.Millisecond // clients go on coming for up to 0.6 s
	minDrainTime            = 3 * time.Second        // a kill comes no sooner than the longest deadline, or this, and
	answerTimeAfterDeadline = 500 * time.Millisecond // 0.7 s after SIGTERM
	flushTime               = 150 * time.Millisecond
	shutdownNoticeTime      = time.Second           // for the fleet to take in that this gateway has left
	finalSnapshotTimeout    = 30 * time.Millisecond // for a snapshot that is being written, after all answers
)

// shutDown goes on accepting for as long as clients may still come, answers all that is open, and ends.
func (p *program) shutDown() {
	if p.draining { // for its own turn, and then by a signal
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

// longestDeadline is how long any client may wait, and 3 s at the least.
func (p *program) longestDeadline() time.Duration {
	longest := minDrainTime
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// answerTimeAfterUpgrade is how long after SIGTERM all must be answered where a new process has taken over: the kill comes 0.7 s behind
// the longest deadline, which counts as 3 s where it is longer.
func (p *program) answerTimeAfterUpgrade() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, minDrainTime) + answerTimeAfterDeadline
}

// endWhenAnswered ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) endWhenAnswered(last time.Time) {
	now := p.loop.Now()
	late := !now.Before(last)
	if late {
		p.gateway.Close()
	}
	if late || p.gateway.OpenRequests() == 0 && p.front.Idle() && (p.signedFront == nil || p.signedFront.Idle()) {
		p.front.CloseAll()
		if p.signedFront != nil {
			p.signedFront.CloseAll()
		}
		until := now.Add(transport.LingerTime)
		if most := last.Add(flushTime); until.After(most) {
			until = most
		}
		p.endWhenClosed(until)
		return
	}
	p.loop.After(10*time.Millisecond, func() { p.endWhenAnswered(last) })
}

// endWhenClosed waits until all clients have taken their last answers and closed. Guards against the reset that ending with
// unread bytes sends: it takes away what a client has not read.
func (p *program) endWhenClosed(until time.Time) {
	if p.engine.Lingering() == 0 || !p.loop.Now().Before(until) {
		p.end()
		return
	}
	p.loop.After(5*time.Millisecond, func() { p.endWhenClosed(until) })
}

// end ends the program; where others wait for its own turn, they hear of it first.
func (p *program) end() {
	if p.onShutDown == nil {
		p.loop.Close()
		return
	}
	p.onShutDown()
	p.onShutDown = nil
	p.loop.After(shutdownNoticeTime, p.loop.Close)
}
