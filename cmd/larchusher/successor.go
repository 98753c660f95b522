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

// An upgrade: a new process of a gateway, the successor, starts beside the one that serves, takes over its state, and
// serves beside it until that one, the predecessor, is sent SIGTERM and has answered what is open.

const (
	joinTimeout       = 3 * time.Second       // for which a third process waits until one of the two that run has ended
	stateTimeout      = 2 * time.Second       // for which a successor waits for the predecessor's state
	overlapShare      = 0.4                   // of the descriptors and memory, that each process may use while both run
	maxHandedListings = 20000                 // of each director's mapping table, that are handed over
	acceptQueueTime   = 50 * time.Millisecond // until connections that the kernel had accepted reach the fronts
	migrateInterval   = 2 * time.Millisecond  // between two looks for idle connections
	stateFormat       = 1                     // of handedState; another one is not used
	softMemoryShare   = 0.6                   // of the limit on memory, from which garbage is collected at once
)

// handedState is what a predecessor hands over to its successor, as JSON.
type handedState struct {
	Format  int                    `json:"Format"`
	Known   discovery.InitialState `json:"Known"`   // the present endpoint list, and the latest event taken in
	Since   string                 `json:"Since"`   // eventsID of the endpoint list that the predecessor was started with
	Learned *warmstart.Snapshot    `json:"Learned"` // nil: none
}

// eventsID tells the events of one feed of the endpoint list from those of another: each numbers them from 1.
func eventsID(known discovery.InitialState) string {
	b, err := json.Marshal(known)
	if err != nil { // it was read from JSON
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// joinProcess finds out whether another process of this gateway serves. Where the folder cannot be used there will be no
// handover: a new process starts beside this one without knowing of it.
func (p *program) joinProcess() error {
	addr, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil || addr.Port() == 0 { // with a port that the kernel draws there is no other process
		return nil
	}
	// Short, since the path of a Unix socket in it may have 107 bytes.
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

// requestState takes over the state of the predecessor, if there is one, and returns the endpoint list to start with and
// what was learned; nil: nothing. The predecessor's listening sockets are left to the engine.
func (p *program) requestState() (known discovery.InitialState, learned *warmstart.Snapshot) {
	known = p.cfg.InitialState
	if p.process == nil || !p.process.IsSuccessor() {
		return known, nil
	}
	p.setMemoryLimit(overlapShare)
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
		p.log.WithField(logfields.Format, state.Format).Warn(logfields.UpgradeStateFormatUnknown)
		return known, nil
	case state.Since == eventsID(p.cfg.InitialState) && state.Known.Position >= known.Position:
		known = state.Known
	}
	p.log.WithField(logfields.Position, known.Position).Info(logfields.UpgradeTakingOver)
	return known, state.Learned
}

// startHandover takes in what the predecessor had learned, has this process use all of its resources once it is alone, and
// answers a successor of its own.
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
		p.process.OnPredecessorExit(func() {
			p.loop.Post(func() {
				p.log.Info(logfields.UpgradePredecessorExited)
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
			p.log.Warn(logfields.UpgradeSuccessorExited)
			p.useResourceShare(1)
			p.takeSlowStartBudget(true)
		})
	})
}

// takeSlowStartBudget has this process send to endpoints that are warming up once a complete window has passed since the
// other process stopped to: it has stopped now, or (false) it does not know of this one and goes on until it ends.
func (p *program) takeSlowStartBudget(otherStopped bool) {
	if otherStopped {
		p.gateway.PauseSlowStart(p.cfg.Settings.OverloadWindow)
	} else {
		p.gateway.PauseSlowStart(-1)
	}
}

// useResourceShare has this process use a share of the descriptors and the memory that the program may use.
func (p *program) useResourceShare(part float64) {
	p.setMemoryLimit(part)
	p.pool.SetMaxConns(scaled(p.connQuotas().Endpoints, part))
	p.useConnShare(part)
}

// useConnShare has this process use a share of the descriptors that clients may have.
func (p *program) useConnShare(part float64) {
	share := p.connQuotas()
	p.front.SetMaxConns(scaled(share.Clients, part))
	p.platformListener.SetMaxConns(scaled(share.Clients, part))
	if p.signedFront != nil {
		p.signedFront.SetMaxConns(scaled(share.Signed, part))
		p.signedListener.SetMaxConns(scaled(share.Signed, part))
	}
}

// scaled is a share of a number of descriptors, and one at least.
func scaled(n int, part float64) int { return max(1, int(part*float64(n))) }

// setMemoryLimit has this process use a share of the memory that the program may use.
func (p *program) setMemoryLimit(part float64) {
	debug.SetMemoryLimit(int64(part * softMemoryShare * float64(p.cfg.Limits.MemoryMB<<20)))
}

// startAccepting says that clients are accepted from now on.
func (p *program) startAccepting() {
	p.accepting = true
	if p.process == nil {
		return
	}
	if err := p.process.StartServing(); err != nil {
		p.log.WithError(err).Warn(logfields.UpgradeNotAnnounced)
	}
}

// adoptConns serves clients' connections that the predecessor hands over, until it has ended. It runs on a goroutine of
// its own.
func (p *program) adoptConns() {
	for first := true; ; first = false {
		migrated, err := p.migratedConns.Next()
		if err != nil { // the predecessor has ended
			p.migratedConns.Close()
			return
		}
		if first { // the predecessor accepts no more
			p.loop.Post(func() { p.useConnShare(1) })
		}
		p.adoptConn(migrated)
	}
}

// adoptConn serves a client's connection that the predecessor has handed over.
func (p *program) adoptConn(migrated hotrestart.MigratedConn) {
	conn, err := net.FileConn(migrated.File)
	_ = migrated.File.Close() // conn has a descriptor of its own
	if err != nil {
		p.log.WithError(err).Warn(logfields.UpgradeConnUnusable)
		return
	}
	at := slices.IndexFunc(p.listeners, func(l *transport.Listener) bool { return l.Addr().String() == migrated.Addr })
	if at < 0 {
		p.log.WithField(logfields.Address, migrated.Addr).Warn(logfields.UpgradeConnUnknownAddress)
		_ = conn.Close() // nothing was written to it
		return
	}
	now := time.Now()
	var received []transport.ReceivedChunk
	for _, input := range migrated.Inputs {
		received = append(received, transport.ReceivedChunk{Data: input.Data, At: now.Add(-input.Age)})
	}
	p.listeners[at].Adopt(conn, received)
}
