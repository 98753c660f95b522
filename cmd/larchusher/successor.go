package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchusher/internal/hotrestart"
	"larchusher/internal/logfields"
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/transport"
	"larchusher/warmstart"
)

// An upgrade: a new process of a gateway starts beside the one that serves, takes over its state, and serves beside it until
// that one is sent SIGTERM and has answered what is open.

const (
	joinTimeout       = 3 * time.Second       // for which a third process waits until one of the two that run has ended
	stateTimeout      = 2 * time.Second       // for which a new process waits for the state of the one that serves
	overlapShare      = 0.4                   // of its descriptors and memory that each process may use while both run
	maxHandedListings = 20000                 // listings that are handed over
	acceptQueueTime   = 50 * time.Millisecond // until what the kernel had accepted is known to the fronts
	migrateInterval   = 2 * time.Millisecond  // between two looks for connections that can go
	stateFormat       = 1                     // of handedState; another one is not used
	softMemoryShare   = 0.6                   // of the limit on memory at which garbage is collected at once
)

// handedState is what a process hands over to its successor.
type handedState struct {
	Format  int                    `json:"Format"`
	Known   discovery.InitialState `json:"Known"`   // the present list of stores, and the latest event taken in
	Since   string                 `json:"Since"`   // fingerprint of the journal's events that this process was started with
	Learned *warmstart.Snapshot    `json:"Learned"` // nil: none
}

// eventsID tells the journal's events of one start from those of another: they are numbered from 1 in each.
func eventsID(known discovery.InitialState) string {
	b, err := json.Marshal(known)
	if err != nil { // it was read from JSON
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// joinProcess finds out whether another process of this gateway serves. Where the folder can't be used the program goes
// without: a new process then starts as if the other one were none of its business.
func (p *program) joinProcess() error {
	addr, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil || addr.Port() == 0 { // whoever draws its port has no address in common with anybody
		return nil
	}
	// Short: a Unix socket in it has a path of 107 bytes at most.
	name := fmt.Sprintf("larchusher-%012x", xxhash.Sum64String(fmt.Sprintf("%d %s", os.Geteuid(), p.cfg.Listen))>>16)
	p.process, err = hotrestart.Join(filepath.Join(os.TempDir(), name), joinTimeout)
	if err != nil {
		p.process = nil
		p.log.WithError(err).Warn(logfields.UpgradeUnavailable)
		return nil
	}
	if p.process.IsSuccessor() && p.operator.Cluster != nil {
		p.process.Close()
		return errors.New("fleet: another process of this gateway runs, and would be the same member: end it first")
	}
	return nil
}

// requestState takes over the state of the process that serves, if there is one, and returns the list of stores to start with.
// Its listening sockets are left to the engine.
func (p *program) requestState() (known discovery.InitialState, learned *warmstart.Snapshot) {
	known = p.cfg.InitialState
	if p.process == nil || !p.process.IsSuccessor() {
		return known, nil
	}
	p.setMemory(overlapShare)
	handed, err := p.process.RequestHandover(stateTimeout)
	var state handedState
	if err == nil {
		err = json.Unmarshal(handed.State, &state)
	}
	p.closeUnusedSockets, p.migratedConns = p.engine.Inherit(handed.Sockets), handed.Connections
	if handed.SocketsErr != nil {
		p.log.WithError(handed.SocketsErr).Warn(logfields.UpgradeSocketsMissing)
	}
	switch {
	case err != nil:
		p.log.WithError(err).Warn(logfields.UpgradeStateMissing)
		return known, nil
	case state.Format != stateFormat:
		p.log.WithField(logfields.Format, state.Format).Warn(logfields.UpgradeStateUnknown)
		return known, nil
	case state.Since == eventsID(p.cfg.InitialState) && state.Known.Position >= known.Position:
		known = state.Known
	}
	p.log.WithField(logfields.Position, known.Position).Info(logfields.UpgradeTakingOver)
	return known, state.Learned
}

// startHandover takes in what the former process had learned, has this one use all of its shares once it is alone, and
// answers its own successor.
func (p *program) startHandover(learned *warmstart.Snapshot) {
	if p.process == nil {
		return
	}
	if learned != nil {
		report := p.gateway.ImportSnapshot(learned, p.cfg.Name, p.cfg.Fingerprint())
		p.log.WithField(logfields.Detail, report.String()).Info(logfields.UpgradeStateImported)
	}
	if p.process.IsSuccessor() {
		p.useResourceShare(overlapShare)
		p.takeSlowStartBudget(learned != nil)
		p.process.AwaitAlone(func() {
			p.loop.Post(func() {
				p.log.Info(logfields.UpgradePredecessorGone)
				p.useResourceShare(1)
				if learned == nil {
					p.takeSlowStartBudget(true)
				}
			})
		})
	}
	p.process.Watch(func(answer hotrestart.AnswerFunc) {
		p.loop.Post(func() { p.handOver(answer) })
	}, func() {
		p.loop.Post(func() {
			p.log.Warn(logfields.UpgradeSuccessorGone)
			p.useResourceShare(1)
			p.takeSlowStartBudget(true)
		})
	})
}

// takeSlowStartBudget has this process send to cold stores once a whole window has passed since the other one has stopped: it has
// stopped now, or (false) it does not know of this one and goes on until it ends.
func (p *program) takeSlowStartBudget(stopped bool) {
	if stopped {
		p.gateway.PauseSlowStart(p.cfg.Settings.OverloadWindow)
	} else {
		p.gateway.PauseSlowStart(-1)
	}
}

// useResourceShare has this process use a part of the descriptors and the memory that the program may use.
func (p *program) useResourceShare(part float64) {
	p.setMemory(part)
	p.pool.SetMaxConns(scaled(p.connQuotas().Stores, part))
	p.useConnShare(part)
}

// useConnShare has this process use a part of the descriptors that clients may have.
func (p *program) useConnShare(part float64) {
	share := p.connQuotas()
	p.front.SetMaxConns(scaled(share.Clients, part))
	p.platformListener.SetMaxConns(scaled(share.Clients, part))
	if p.signedFront != nil {
		p.signedFront.SetMaxConns(scaled(share.Signed, part))
		p.signedListener.SetMaxConns(scaled(share.Signed, part))
	}
}

// scaled is a part of a number of descriptors, and one at least.
func scaled(n int, part float64) int { return max(1, int(part*float64(n))) }

func (p *program) setMemory(part float64) {
	debug.SetMemoryLimit(int64(part * softMemoryShare * float64(p.cfg.Limits.MemoryMB<<20)))
}

// startAccepting notes that clients are taken from now on.
func (p *program) startAccepting() {
	p.accepting = true
	if p.process == nil {
		return
	}
	if err := p.process.StartServing(); err != nil {
		p.log.WithError(err).Warn(logfields.UpgradeNotAnnounced)
	}
}

// adoptConns serves clients' connections that the former process hands over, until it has ended.
func (p *program) adoptConns() {
	for first := true; ; first = false {
		moved, err := p.migratedConns.Next()
		if err != nil {
			p.migratedConns.Close()
			return
		}
		if first { // the former process accepts no more
			p.loop.Post(func() { p.useConnShare(1) })
		}
		conn, err := net.FileConn(moved.File)
		_ = moved.File.Close()
		if err != nil {
			p.log.WithError(err).Warn(logfields.UpgradeConnFaulty)
			continue
		}
		at := slices.IndexFunc(p.listeners, func(l *transport.Listener) bool { return l.Addr().String() == moved.Addr })
		if at < 0 {
			p.log.WithField(logfields.Address, moved.Addr).Warn(logfields.UpgradeConnAddress)
			_ = conn.Close()
			continue
		}
		now := time.Now()
		var pieces []transport.ReceivedChunk
		for _, piece := range moved.Inputs {
			pieces = append(pieces, transport.ReceivedChunk{Data: piece.Data, At: now.Add(-piece.Age)})
		}
		p.listeners[at].Adopt(conn, pieces)
	}
}
