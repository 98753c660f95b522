package main

import (
	"time"

	"larchusher/internal/net/transport"
)

const (
	graceAfterTerm = 700 * time.Millisecond // clients go on coming for up to 0.6 s
	leastDeadline  = 3 * time.Second        // a kill comes no sooner than the longest deadline, or this, and
	lastAnswers    = 500 * time.Millisecond // 0.7 s after SIGTERM
	flushFor       = 150 * time.Millisecond
	lastWord       = time.Second           // for the fleet to take in that this gateway has left
	lastSnapshot   = 30 * time.Millisecond // for a snapshot that is being written, after all answers
)

// drain goes on accepting for as long as clients may still come, answers all that is open, and ends.
func (p *program) drain() {
	if p.draining { // for its own turn, and then by a signal
		return
	}
	p.log.Info("draining")
	p.draining = true
	if p.keeper != nil {
		p.keeper.SaveNow(p.gw.DirectorTime(p.loop.Now()))
	}
	if p.takenOver() {
		p.yield()
		return
	}
	if p.process != nil {
		p.process.StopServing()
	}
	began := p.loop.Now()
	p.loop.After(graceAfterTerm, func() {
		for _, l := range p.accept {
			l.Close()
		}
		if p.signed != nil {
			p.signed.CloseAfterAnswers()
		}
		p.finish(began.Add(p.longest() + lastAnswers))
	})
}

// longest is how long any client may wait, and 3 s at the least.
func (p *program) longest() time.Duration {
	longest := leastDeadline
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// answerWithin is how long after SIGTERM all must be answered where a new process has taken over: the kill comes 0.7 s behind
// the longest deadline, which counts as 3 s where it is longer.
func (p *program) answerWithin() time.Duration {
	longest := time.Duration(0)
	for _, c := range p.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, leastDeadline) + lastAnswers
}

// finish ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) finish(last time.Time) {
	now := p.loop.Now()
	late := !now.Before(last)
	if late {
		p.gw.Close()
	}
	if late || p.gw.OpenRequests() == 0 && p.front.Idle() && (p.signed == nil || p.signed.Idle()) {
		p.front.CloseAll()
		if p.signed != nil {
			p.signed.CloseAll()
		}
		until := now.Add(transport.LingerTime)
		if most := last.Add(flushFor); until.After(most) {
			until = most
		}
		p.linger(until)
		return
	}
	p.loop.After(10*time.Millisecond, func() { p.finish(last) })
}

// linger waits until all clients have taken their last answers and closed. Guards against the reset that ending with
// unread bytes sends: it takes away what a client has not read.
func (p *program) linger(until time.Time) {
	if p.engine.Lingering() == 0 || !p.loop.Now().Before(until) {
		p.end()
		return
	}
	p.loop.After(5*time.Millisecond, func() { p.linger(until) })
}

// end ends the program; where others wait for its own turn, they hear of it first.
func (p *program) end() {
	if p.left == nil {
		p.loop.Close()
		return
	}
	p.left()
	p.left = nil
	p.loop.After(lastWord, p.loop.Close)
}
