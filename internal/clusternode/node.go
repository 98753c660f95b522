// Package clusternode runs a gateway as a member of its cluster. It connects packages cluster and replication to the event loop,
// the transport between the gateways, and the files that survive a restart.
//
// All methods of Node run on the event loop. The files are written on a goroutine of their own.
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
	// readInterval is the least time between two consensus rounds that serve reads alone; reads that come in between share one.
	readInterval = 40 * time.Millisecond
	// drainSlack is added to the longest request deadline; after both, everything that was sent to a drained machine has ended.
	drainSlack = 500 * time.Millisecond
)

// Node makes this gateway a member of its cluster. Create it with [Start].
type Node struct {
	// OnShutDown is called on the event loop when this gateway's own machine is to be taken out of service. It must begin a
	// graceful shutdown, and have completed called on the loop once the gateway sends nothing more.
	OnShutDown func(completed func())

	cfg             *config.Cluster
	loop            *gateway.Loop
	gateway         *gateway.Gateway
	log             logrus.FieldLogger
	zone            string // zone of this gateway
	purgeSettleTime time.Duration
	started         time.Time // zero of the clock that is passed to packages cluster and replication: one second before the start
	closed          bool

	cluster    *cluster.Node
	draining   cluster.DrainMachines // as package cluster emitted it last
	reportedAt time.Time

	transport   *clustertransport.Transport
	replication *replicator // nil: replication is not configured

	files                *fileWriter // nil: no folder is configured, and nothing survives a restart
	unlock               func()      // unlocks the folder; nil: it is not locked
	writeFailureLoggedAt time.Time   // time of the latest log entry for a failed write
}

// Start makes a gateway a member of its cluster. It must be called on the event loop, or before the loop runs. The gateway must call
// EndpointPermitted right before each write to a machine. The error names what could not be opened, or the setting that is not
// valid.
func Start(cfg *config.Cluster, settings routing.Settings, gw *gateway.Gateway, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) (*Node, error) {
	n := &Node{
		cfg:             cfg,
		loop:            loop,
		gateway:         gw,
		log:             log.WithField(logfields.Self, cfg.Name),
		zone:            settings.Zone,
		purgeSettleTime: settings.PurgeSettleTime,
		started:         time.Now().Add(-time.Second), // so that the clock never gives 0, which stands for never
	}
	if err := n.open(settings, engine); err != nil {
		n.closeFiles()
		return nil, err
	}
	// The first tick requests a lease. Until the reply arrives EndpointPermitted goes by the stored view, if there is one.
	loop.After(0, n.tick)
	return n, nil
}

// open opens the files, the cluster state and the transport, and starts replication. If it fails the caller closes the files.
func (n *Node) open(settings routing.Settings, engine *transport.Engine) error {
	c := n.clusterConfig(settings)
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

func (n *Node) clusterConfig(settings routing.Settings) cluster.Config {
	limits := n.cfg.Limits
	limits.DrainGrace = max(settings.DrainGrace, drainGraceFor(settings.Classes))
	limits.SlowStart = max(settings.SlowStartDuration, settings.ParentSlowStartDuration)
	c := cluster.Config{Self: n.cfg.Name, Incarnation: newIncarnation(), Members: n.memberNames(), Voters: n.cfg.Voters, Limits: limits,
		WallClockMs: n.wallClockMs, ReadInterval: readInterval, Seed: newIncarnation()}
	c.Acceptor = consensus.AcceptorState{Incarnation: c.Incarnation}
	return c
}

// drainGraceFor returns how long what was sent to a machine may be running: the longest deadline of the classes, plus drainSlack.
func drainGraceFor(classes []routing.Class) time.Duration {
	longestDeadline := time.Duration(0)
	for _, c := range classes {
		longestDeadline = max(longestDeadline, c.Deadline)
	}
	return longestDeadline + drainSlack
}

// ReconfigureClasses applies the classes of a reload: a longer deadline extends the time before a drained machine counts as idle.
func (n *Node) ReconfigureClasses(classes []routing.Class) {
	n.cluster.ExtendDrainGrace(drainGraceFor(classes))
}

func (n *Node) memberNames() (names []string) {
	for _, m := range n.cfg.Members {
		names = append(names, m.Name)
	}
	return names
}

// newIncarnation returns a random number, not 0, that no other start of a process has with overwhelming probability.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// Close closes the transport, completes the waiting writes and unlocks the folder. It blocks until the writes are done.
func (n *Node) Close() {
	n.closed = true
	n.transport.Close()
	n.closeFiles()
}

// now returns the time since the start on the monotonic clock, which changes of the wall clock don't affect, plus one second.
func (n *Node) now() time.Duration { return time.Since(n.started) }

// wallClockMs returns the Unix time in ms, for request histories and logical clocks only. Tests can offset it by writing a number
// of ms into the configured clock file.
func (n *Node) wallClockMs() int64 {
	ms := time.Now().UnixMilli()
	if n.cfg.ClockFile == "" {
		return ms
	}
	b, err := os.ReadFile(n.cfg.ClockFile)
	if err != nil { // no file means no offset
		return ms
	}
	offset, err := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64)
	if err != nil { // the file is being written
		return ms
	}
	return ms + offset
}

// EndpointPermitted reports whether an endpoint may be sent to at this moment. It reads the clock itself, because the loop's time is
// that of the start of the loop's current round, and a process may be suspended and resumed within a round.
func (n *Node) EndpointPermitted(endpoint string) bool {
	return n.cluster.EndpointPermitted(n.now(), endpoint)
}

// Ready reports whether the gateway may serve: it has a view of the agreed state, received now or stored by an earlier process.
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

// receive passes a message to package replication, to a replication query, or to package cluster.
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

// handle passes an event to package cluster and carries out its actions.
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

// report returns what this gateway observes of the caches and parents, and of itself.
func (n *Node) report() cluster.Report {
	endpoints, pressure := n.gateway.ObservedEndpoints()
	r := cluster.Report{Pressure: pressure, Machines: map[string]maintenance.Machine{}}
	for _, e := range endpoints {
		if e.Kind == "origin" { // the origin is not a machine of this cluster
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

// applyDrains has the gateway drain the machines that package cluster lists for maintenance, and those that peers report as
// drained.
func (n *Node) applyDrains() {
	all := maps.Clone(n.draining.Machines)
	if n.replication != nil && len(n.replication.peerDrained) > 0 {
		if all == nil {
			all = map[string]bool{}
		}
		maps.Copy(all, n.replication.peerDrained)
	}
	n.gateway.DrainEndpoints(all)
}

// reportDrained passes DrainCompleted to package cluster if no attempt is in flight at the machines to be drained.
func (n *Node) reportDrained() {
	if n.draining.Generation > 0 && n.gateway.NoAttemptsAt(n.draining.Machines) {
		n.handle(cluster.DrainCompleted{Generation: n.draining.Generation})
	}
}
