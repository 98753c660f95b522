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
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/transport"
	"larchusher/warmstart"
)

// An upgrade: a new process of a gateway starts beside the one that serves, takes over its state, and serves beside it until
// that one is sent SIGTERM and has answered what is open.

const (
	turnWithin   = 3 * time.Second       // for which a third process waits until one of the two that run has ended
	stateWithin  = 2 * time.Second       // for which a new process waits for the state of the one that serves
	overlapShare = 0.4                   // of its descriptors and memory that each process may use while both run
	listingsMost = 20000                 // listings that are handed over
	queueWithin  = 50 * time.Millisecond // until what the kernel had accepted is known to the fronts
	leaveTick    = 2 * time.Millisecond  // between two looks for connections that can go
	stateFormat  = 1                     // of handedState; another one is not used
	memoryPart   = 0.6                   // of the limit on memory at which garbage is collected at once
)

// handedState is what a process hands over to its successor.
type handedState struct {
	Format  int                    `json:"Format"`
	Known   discovery.InitialState `json:"Known"`   // the present list of stores, and the latest event taken in
	Since   string                 `json:"Since"`   // fingerprint of the journal's events that this process was started with
	Learned *warmstart.Snapshot    `json:"Learned"` // nil: none
}

// fingerprint tells the journal's events of one start from those of another: they are numbered from 1 in each.
func fingerprint(known discovery.InitialState) string {
	b, err := json.Marshal(known)
	if err != nil { // it was read from JSON
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// joinHandover finds out whether another process of this gateway serves. Where the folder can't be used the program goes
// without: a new process then starts as if the other one were none of its business.
func (p *program) joinHandover() error {
	addr, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil || addr.Port() == 0 { // whoever draws its port has no address in common with anybody
		return nil
	}
	// Short: a Unix socket in it has a path of 107 bytes at most.
	name := fmt.Sprintf("larchusher-%012x", xxhash.Sum64String(fmt.Sprintf("%d %s", os.Geteuid(), p.cfg.Listen))>>16)
	p.process, err = hotrestart.Join(filepath.Join(os.TempDir(), name), turnWithin)
	if err != nil {
		p.process = nil
		p.log.WithError(err).Warn("upgrade: no state will be handed over")
		return nil
	}
	if p.process.IsSuccessor() && p.op.Cluster != nil {
		p.process.Close()
		return errors.New("fleet: another process of this gateway runs, and would be the same member: end it first")
	}
	return nil
}

// takeState takes over the state of the process that serves, if there is one, and returns the list of stores to start with.
// Its listening sockets are left to the engine.
func (p *program) takeState() (known discovery.InitialState, learned *warmstart.Snapshot) {
	known = p.cfg.InitialState
	if p.process == nil || !p.process.IsSuccessor() {
		return known, nil
	}
	p.setMemory(overlapShare)
	handed, err := p.process.RequestHandover(stateWithin)
	var state handedState
	if err == nil {
		err = json.Unmarshal(handed.State, &state)
	}
	p.closeRest, p.moves = p.engine.Inherit(handed.Sockets), handed.Connections
	if handed.SocketsErr != nil {
		p.log.WithError(handed.SocketsErr).Warn("upgrade: listening beside the process that serves")
	}
	switch {
	case err != nil:
		p.log.WithError(err).Warn("upgrade: starting without the state of the process that serves")
		return known, nil
	case state.Format != stateFormat:
		p.log.WithField("format", state.Format).Warn("upgrade: the state of the process that serves is of another format")
		return known, nil
	case state.Since == fingerprint(p.cfg.InitialState) && state.Known.Position >= known.Position:
		known = state.Known
	}
	p.log.WithField("after", known.Position).Info("upgrade: taking over from the process that serves")
	return known, state.Learned
}

// followHandover takes in what the former process had learned, has this one use all of its shares once it is alone, and
// answers its own successor.
func (p *program) followHandover(learned *warmstart.Snapshot) {
	if p.process == nil {
		return
	}
	if learned != nil {
		p.log.Infof("upgrade: what was learned: %v", p.gw.ImportSnapshot(learned, p.cfg.Name, p.cfg.Fingerprint()))
	}
	if p.process.IsSuccessor() {
		p.useShares(overlapShare)
		p.takeColdBudget(learned != nil)
		p.process.AwaitAlone(func() {
			p.loop.Post(func() {
				p.log.Info("upgrade: the former process has ended")
				p.useShares(1)
				if learned == nil {
					p.takeColdBudget(true)
				}
			})
		})
	}
	p.process.Watch(func(answer hotrestart.AnswerFunc) {
		p.loop.Post(func() { p.handState(answer) })
	}, func() {
		p.loop.Post(func() {
			p.log.Warn("upgrade: the new process has ended; going on")
			p.useShares(1)
			p.takeColdBudget(true)
		})
	})
}

// takeColdBudget has this process send to cold stores once a whole window has passed since the other one has stopped: it has
// stopped now, or (false) it does not know of this one and goes on until it ends.
func (p *program) takeColdBudget(stopped bool) {
	if stopped {
		p.gw.PauseSlowStart(p.cfg.Settings.OverloadWindow)
	} else {
		p.gw.PauseSlowStart(-1)
	}
}

// useShares has this process use a part of the descriptors and the memory that the program may use.
func (p *program) useShares(part float64) {
	p.setMemory(part)
	p.pool.SetMaxConns(scaled(p.shares().Stores, part))
	p.useClientShares(part)
}

// useClientShares has this process use a part of the descriptors that clients may have.
func (p *program) useClientShares(part float64) {
	share := p.shares()
	p.front.SetMaxConns(scaled(share.Clients, part))
	p.clients.SetMaxConns(scaled(share.Clients, part))
	if p.signed != nil {
		p.signed.SetMaxConns(scaled(share.Signed, part))
		p.signedAt.SetMaxConns(scaled(share.Signed, part))
	}
}

// scaled is a part of a number of descriptors, and one at least.
func scaled(n int, part float64) int { return max(1, int(part*float64(n))) }

func (p *program) setMemory(part float64) {
	debug.SetMemoryLimit(int64(part * memoryPart * float64(p.cfg.Limits.MemoryMB<<20)))
}

// serve notes that clients are taken from now on.
func (p *program) serve() {
	p.serving = true
	if p.process == nil {
		return
	}
	if err := p.process.StartServing(); err != nil {
		p.log.WithError(err).Warn("upgrade: the process that serves cannot be told that this one does")
	}
}

// adopt serves clients' connections that the former process hands over, until it has ended.
func (p *program) adopt() {
	for first := true; ; first = false {
		moved, err := p.moves.Next()
		if err != nil {
			p.moves.Close()
			return
		}
		if first { // the former process accepts no more
			p.loop.Post(func() { p.useClientShares(1) })
		}
		conn, err := net.FileConn(moved.File)
		_ = moved.File.Close()
		if err != nil {
			p.log.WithError(err).Warn("upgrade: a connection that was handed over")
			continue
		}
		at := slices.IndexFunc(p.accept, func(l *transport.Listener) bool { return l.Addr().String() == moved.Addr })
		if at < 0 {
			p.log.WithField("listen", moved.Addr).Warn("upgrade: a connection of an address that is not served")
			_ = conn.Close()
			continue
		}
		now := time.Now()
		var pieces []transport.ReceivedChunk
		for _, piece := range moved.Inputs {
			pieces = append(pieces, transport.ReceivedChunk{Data: piece.Data, At: now.Add(-piece.Age)})
		}
		p.accept[at].Adopt(conn, pieces)
	}
}
