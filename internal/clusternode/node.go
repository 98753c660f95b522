// Package clusternode runs a gateway's part in its cluster: packages cluster and replication on the event loop, the transport
// between gateways, and the files that outlive the process.
//
// All methods of Node run on the loop; its files are written by a goroutine of their own.
package clusternode

import (
	"crypto/rand"
	"encoding/binary"
	"maps"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/cluster"
	"larchusher/consensus"
	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/logfields"
	"larchusher/internal/net/clustertransport"
	"larchusher/internal/net/transport"
	"larchusher/maintenance"
	"larchusher/replication"
	"larchusher/routing"
)

const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// readInterval bounds how often the voters confirm reads; what comes meanwhile shares a round.
	readInterval = 40 * time.Millisecond
	// drainSlack is added to the longest deadline of a request: after both, what was sent to a machine has ended.
	drainSlack = 500 * time.Millisecond
)

// Node is a gateway's part in its cluster. Use Start.
type Node struct {
	// OnShutDown is called when this gateway's own machine is to be taken out. It begins a graceful shutdown and calls its argument once
	// that is complete.
	OnShutDown func(completed func())

	cfg             *config.Cluster
	loop            *gateway.Loop
	gateway         *gateway.Gateway
	log             logrus.FieldLogger
	zone            string // of this gateway
	purgeSettleTime time.Duration
	started         time.Time // of the clock that packages cluster and replication are given
	closed          bool

	cluster    *cluster.Node
	draining   cluster.DrainMachines // the latest
	reportedAt time.Time

	transport   *clustertransport.Transport
	replication *replicator // nil: it is not configured

	files    *fileWriter // nil: nothing outlives the process
	unlock   func()      // the folder; nil: there is none
	warnedAt time.Time   // of a failed write
}

// Start starts a gateway's part in its cluster. The gateway must ask EndpointPermitted right before it writes to a machine. An
// error names what can't be opened, or the setting that is not valid.
func Start(cfg *config.Cluster, set routing.Settings, gw *gateway.Gateway, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) (*Node, error) {
	n := &Node{
		cfg:             cfg,
		loop:            loop,
		gateway:         gw,
		log:             log.WithField(logfields.Self, cfg.Name),
		zone:            set.Zone,
		purgeSettleTime: set.PurgeSettleTime,
		started:         time.Now().Add(-time.Second), // the clock never gives 0, which stands for never
	}
	if err := n.open(set, engine); err != nil {
		n.closeFiles()
		return nil, err
	}
	// The first tick asks for a lease. Until then EndpointPermitted allows only what a stored view does.
	loop.After(0, n.tick)
	return n, nil
}

// open opens files, state and transport. After an error the caller closes the files.
func (n *Node) open(set routing.Settings, engine *transport.Engine) error {
	c := n.clusterConfig(set)
	if n.cfg.Folder != "" {
		if err := n.openFiles(&c); err != nil {
			return err
		}
	}
	var err error
	if n.cluster, err = cluster.New(c); err != nil {
		return err
	}
	var members []clustertransport.Member
	for _, m := range n.cfg.Members {
		members = append(members, clustertransport.Member{Name: m.Name, Addr: m.Address})
	}
	if n.transport, err = clustertransport.Open(n.cfg.Name, n.cfg.Listen, members, n.cfg.Key, n.loop, engine, n.log, n.receive); err != nil {
		return err
	}
	return n.startReplication()
}

func (n *Node) clusterConfig(set routing.Settings) cluster.Config {
	limits := n.cfg.Limits
	limits.DrainGrace = max(set.DrainGrace, drainGraceFor(set.Classes))
	limits.SlowStart = max(set.SlowStartDuration, set.ParentSlowStartDuration)
	c := cluster.Config{Self: n.cfg.Name, Incarnation: newIncarnation(), Members: n.memberNames(), Voters: n.cfg.Voters, Limits: limits,
		WallClockMs: n.wallClockMs, ReadInterval: readInterval, Seed: newIncarnation()}
	c.Acceptor = consensus.AcceptorState{Incarnation: c.Incarnation}
	return c
}

// drainGraceFor is how long what was sent to a machine under the deadlines of classes may still run.
func drainGraceFor(classes []routing.Class) time.Duration {
	longestDeadline := time.Duration(0)
	for _, c := range classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	return longestDeadline + drainSlack
}

// ReconfigureClasses takes in the classes of a reload: a longer deadline extends the time that drained machines are left.
func (n *Node) ReconfigureClasses(classes []routing.Class) {
	n.cluster.ExtendDrainGrace(drainGraceFor(classes))
}

func (n *Node) memberNames() (names []string) {
	for _, m := range n.cfg.Members {
		names = append(names, m.Name)
	}
	return names
}

// newIncarnation is a number that no other start has; never 0.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Close ends the node, after what waits to be written.
func (n *Node) Close() {
	n.closed = true
	n.transport.Close()
	n.closeFiles()
}

// now is a steady clock, whatever happens to the wall clock.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// wallClockMs is the Unix time, for histories and logical clocks alone. In the lab, a file can set it off.
func (n *Node) wallClockMs() int64 {
	ms := time.Now().UnixMilli()
	if n.cfg.ClockFile == "" {
		return ms
	}
	b, err := os.ReadFile(n.cfg.ClockFile)
	if err != nil { // no file: no offset
		return ms
	}
	offset, err := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64)
	if err != nil { // it is being written
		return ms
	}
	return ms + offset
}

// EndpointPermitted reports whether an endpoint may be sent to at this moment. It reads the clock by itself: the loop's is as old as its
// round, and a process that was suspended goes on in the middle of one.
func (n *Node) EndpointPermitted(endpoint string) bool {
	return n.cluster.EndpointPermitted(n.now(), endpoint)
}

// Ready reports whether the gateway may serve: it knows what was agreed on, now or before its start.
func (n *Node) Ready() bool { return n.cluster.Ready() }

func (n *Node) tick() {
	if n.closed {
		return
	}
	now := n.loop.Now()
	if now.Sub(n.reportedAt) >= reportInterval {
		n.reportedAt = now
		n.handle(cluster.ReportUpdated{Report: n.report()})
	}
	n.handle(cluster.Tick{})
	if n.replication != nil {
		n.replication.tick()
	}
	n.reportDrained()
	n.loop.After(tickInterval, n.tick)
}

// receive hands a message to the part that it is for.
func (n *Node) receive(from string, m cluster.Message) {
	switch {
	case n.closed:
	case m.Kind == cluster.ReplicationMessage && n.replication != nil && m.Replication != nil:
		n.replication.handle(replication.MessageReceived{From: from, Message: *m.Replication})
	case isReplicationQuery(m) && n.replication != nil:
		n.replication.serveQuery(from, m)
	case isReplicationQuery(m):
		n.transport.Send(from, cluster.Message{Kind: cluster.OperatorReply, ID: m.ID, Rejected: "this gateway keeps nothing in common: fleet.replicate is off"})
	default:
		n.handle(cluster.MessageReceived{From: from, Message: m})
	}
}

// handle hands an event to package cluster and carries out its actions.
func (n *Node) handle(e cluster.Event) {
	if n.closed {
		return
	}
	for _, a := range n.cluster.Handle(n.now(), e, nil) {
		switch a := a.(type) {
		case cluster.Send:
			n.transport.Send(a.To, a.Message)
		case cluster.StoreAcceptorState:
			n.storeAcceptorState(a.Store)
		case cluster.StoreView:
			n.store(viewFile, a.Value, cluster.ViewStored{Revision: a.Revision})
		case cluster.DrainMachines:
			n.draining = a
			n.applyDrains()
			n.loop.Post(n.reportDrained)
		case cluster.ShutDown:
			n.log.Info(logfields.ClusterOwnMaintenance)
			if n.OnShutDown != nil {
				n.OnShutDown(func() { n.handle(cluster.ShutdownCompleted{}) })
			}
		case cluster.AuditEntry:
			n.log.WithFields(logrus.Fields{logfields.Audit: "work", logfields.Detail: a.Text}).Info(logfields.AuditTrail)
		}
	}
}

// report is what this gateway observes of the caches, and of itself.
func (n *Node) report() cluster.Report {
	endpoints, pressure := n.gateway.ObservedEndpoints()
	r := cluster.Report{Pressure: pressure, Machines: map[string]maintenance.Machine{}}
	for _, e := range endpoints {
		if e.Kind == "origin" { // not a machine of this installation
			continue
		}
		m := maintenance.Machine{Kind: e.Kind, Zone: e.Zone, Up: e.Up, Warm: e.Warm, Weight: e.Weight, Utilization: e.Utilization}
		if at := n.gateway.IncarnationTime(e.Incarnation); !at.IsZero() {
			m.BootMs = at.UnixMilli()
		}
		r.Machines[e.ID] = m
	}
	r.Machines[n.cfg.Name] = maintenance.Machine{Kind: maintenance.KindGateway, Zone: n.zone, Up: true, Warm: n.cluster.Ready(), Weight: 1, BootMs: n.started.UnixMilli()}
	return r
}

// applyDrains has the gateway send nothing to machines that are out for maintenance, or that a peer was notified drain.
func (n *Node) applyDrains() {
	all := maps.Clone(n.draining.Machines)
	if n.replication != nil && len(n.replication.draining) > 0 {
		if all == nil {
			all = map[string]bool{}
		}
		maps.Copy(all, n.replication.draining)
	}
	n.gateway.DrainEndpoints(all)
}

// reportDrained reports once nothing is under way at the machines that are to be drained.
func (n *Node) reportDrained() {
	if n.draining.Generation > 0 && n.gateway.NoAttemptsAt(n.draining.Machines) {
		n.handle(cluster.DrainCompleted{Generation: n.draining.Generation})
	}
}
