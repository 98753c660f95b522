package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
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

// In a hot restart (the log calls it an upgrade) a new process of a gateway, the successor, starts while another one serves, takes
// over its state, and serves alongside it until that one, the predecessor, receives SIGTERM and has answered all open requests.
// This file contains the successor's part.

const (
	joinTimeout          = 3 * time.Second       // maximum wait of a third process for one of two running ones to end
	stateTimeout         = 2 * time.Second       // maximum wait of a successor for the predecessor's state
	overlapResourceShare = 0.4                   // share of the limits on file descriptors and memory for each process while both run
	maxHandedListings    = 20000                 // listings of each director's mapping table that are handed over at most
	acceptQueueTime      = 50 * time.Millisecond // time in which connections that the kernel has accepted reach the fronts
	stateFormat          = 1                     // version of handedState; a state of another version is ignored
)

// handedState is the state that a predecessor hands over to its successor, as JSON. Its fields keep their names, since the two
// processes may be of different versions.
type handedState struct {
	Format  int                    `json:"Format"`
	Known   discovery.InitialState `json:"Known"`   // the present endpoint list, with the position of the latest event that was applied
	Since   string                 `json:"Since"`   // hashInitialState of the endpoint list in the predecessor's configuration
	Learned *warmstart.Snapshot    `json:"Learned"` // learned state; nil: not encodable
}

// hashInitialState returns a hash of a configured endpoint list, which identifies the stream of events that belongs to that list.
// Each stream numbers its events from 1, so positions of different streams must not be compared.
func hashInitialState(known discovery.InitialState) string {
	b, err := json.Marshal(known)
	if err != nil { // cannot happen: it was decoded from JSON
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// joinProcess determines whether another process of this gateway serves, by a folder that all of its processes share. If the folder
// cannot be used, hot restart is not available: a process that starts later does not detect this one. It fails if another
// process serves and this gateway is in a cluster.
func (p *program) joinProcess() error {
	addr, err := netip.ParseAddrPort(p.cfg.Listen)
	if err != nil || addr.Port() == 0 { // the kernel picks the port, so no other process shares the address
		return nil
	}
	// The name is short because the folder contains a Unix socket, whose path is limited to 107 bytes.
	name := fmt.Sprintf("larchusher-%012x", xxhash.Sum64String(fmt.Sprintf("%d %s", os.Geteuid(), p.cfg.Listen))>>16)
	p.process, err = hotrestart.Join(filepath.Join(os.TempDir(), name), joinTimeout)
	if err != nil {
		p.process = nil
		p.log.WithError(err).Warn(logfields.UpgradeUnavailable)
		return nil
	}
	if p.process.IsSuccessor() && p.operator.Cluster != nil {
		p.process.Close()
		return errors.New("fleet: another process of this gateway is running, and two processes cannot be the same member: end that process first")
	}
	return nil
}

// requestPredecessorState takes over the state and the listening sockets of the predecessor, if there is one. It returns the
// endpoint list to start with, and the predecessor's learned state; nil: none. The engine uses the sockets when listeners open.
// Failures are logged, and the process then starts from its own configuration.
func (p *program) requestPredecessorState() (known discovery.InitialState, learned *warmstart.Snapshot) {
	known = p.cfg.InitialState
	if p.process == nil || !p.process.IsSuccessor() {
		return known, nil
	}
	p.useMemory(overlapResourceShare)
	p.warnSmallMemory(upgradeBudget, "an upgrade under load")
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
	case state.Since == hashInitialState(p.cfg.InitialState) && state.Known.Position >= known.Position:
		known = state.Known
	}
	p.log.WithField(logfields.Position, known.Position).Info(logfields.UpgradeTakingOver)
	return known, state.Learned
}

// startHandover imports the predecessor's learned state, if there is any, and starts to watch for a successor. If this process is
// a successor itself, it is restricted to overlapResourceShare until the predecessor has ended.
func (p *program) startHandover(learned *warmstart.Snapshot) {
	if p.process == nil {
		return
	}
	if learned != nil {
		report := p.gateway.ImportSnapshot(learned, p.cfg.Name, p.cfg.Fingerprint())
		p.log.WithField(logfields.Detail, report.String()).Info(logfields.UpgradeStateImported)
	}
	if p.process.IsSuccessor() {
		p.useResourceShare(overlapResourceShare)
		p.claimSlowStartBudget(learned != nil)
		p.process.OnPredecessorExit(func() {
			p.loop.Post(func() {
				p.log.Info(logfields.UpgradePredecessorExited)
				p.useResourceShare(1)
				if learned == nil {
					p.claimSlowStartBudget(true)
				}
			})
		})
	}
	p.process.Watch(func(answer hotrestart.AnswerFunc) {
		p.loop.Post(func() { p.handOverState(answer) })
	}, func() {
		p.loop.Post(func() {
			p.log.Warn(logfields.UpgradeSuccessorExited)
			p.useResourceShare(1)
			p.claimSlowStartBudget(true)
		})
	})
}

// claimSlowStartBudget lets this process send to endpoints that are warming up, once a complete window has passed since the other
// process stopped doing so. If otherStopped is false, the other process does not know of this one and goes on until it ends, so
// this process waits for a further call.
func (p *program) claimSlowStartBudget(otherStopped bool) {
	if otherStopped {
		p.gateway.PauseSlowStart(p.cfg.Settings.OverloadWindow)
	} else {
		p.gateway.PauseSlowStart(-1)
	}
}

// useResourceShare restricts this process to a share, from 0 to 1, of the limits on file descriptors and memory.
func (p *program) useResourceShare(share float64) {
	p.useMemory(share)
	p.pool.SetMaxConns(scaleQuota(p.connQuotas().Endpoints, share))
	p.useConnShare(share)
}

// useConnShare restricts this process to a share, from 0 to 1, of the quotas of clients' connections.
func (p *program) useConnShare(part float64) {
	quotas := p.connQuotas()
	p.platformFront.SetMaxConns(scaleQuota(quotas.Clients, part))
	p.platformListener.SetMaxConns(scaleQuota(quotas.Clients, part))
	if p.signedFront != nil {
		p.signedFront.SetMaxConns(scaleQuota(quotas.SignedFront, part))
		p.signedListener.SetMaxConns(scaleQuota(quotas.SignedFront, part))
	}
}

// scaleQuota returns a share of a quota of connections, but no less than 1.
func scaleQuota(n int, share float64) int { return max(1, int(share*float64(n))) }

// startAccepting marks this process as accepting clients, and notifies the predecessor if there is one.
func (p *program) startAccepting() {
	p.accepting = true
	if p.process == nil {
		return
	}
	if err := p.process.StartServing(); err != nil {
		p.log.WithError(err).Warn(logfields.UpgradeNotAnnounced)
	}
}

// adoptConns receives the clients' connections that the predecessor hands over, and serves them, until the predecessor has ended.
// It runs on a goroutine of its own.
func (p *program) adoptConns() {
	for isFirst := true; ; isFirst = false {
		migrated, err := p.migratedConns.Next()
		if err != nil { // the predecessor has ended
			p.migratedConns.Close()
			return
		}
		if isFirst { // the predecessor has stopped accepting
			p.loop.Post(func() { p.useConnShare(1) })
		}
		p.adoptConn(migrated)
	}
}

// adoptConn serves a client's connection that the predecessor has handed over. One that cannot be served is logged and closed.
func (p *program) adoptConn(migrated hotrestart.MigratedConn) {
	conn, err := net.FileConn(migrated.File)
	_ = migrated.File.Close() // conn has a descriptor of its own
	if err != nil {
		p.log.WithError(err).Warn(logfields.UpgradeConnUnusable)
		return
	}
	listenerIndex := slices.IndexFunc(p.listeners, func(l *transport.Listener) bool { return l.Addr().String() == migrated.Addr })
	if listenerIndex < 0 {
		p.log.WithField(logfields.Address, migrated.Addr).Warn(logfields.UpgradeConnUnknownAddress)
		_ = conn.Close() // nothing was written, so no error matters
		return
	}
	now := time.Now()
	var received []transport.ReceivedChunk
	for _, input := range migrated.Inputs {
		received = append(received, transport.ReceivedChunk{Data: input.Data, At: now.Add(-input.Age)})
	}
	p.listeners[listenerIndex].Adopt(conn, received)
}
