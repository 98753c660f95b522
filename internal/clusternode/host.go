package clusternode

import (
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"slices"
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
	"larchusher/internal/snapshot"
	"larchusher/maintenance"
	"larchusher/replication"
	"larchusher/routing"
)

const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	readInterval   = 40 * time.Millisecond // questions to the voters are gathered for so long
	warnInterval   = 10 * time.Second
	drainSlack     = 500 * time.Millisecond // beside the longest deadline, until what was sent has ended
)

// Node is a running part. It lives on the loop.
type Node struct {
	cfg       *config.Cluster
	loop      *gateway.Loop
	gateway   *gateway.Gateway
	log       logrus.FieldLogger
	zone      string
	cluster   *cluster.Node
	transport *clustertransport.Transport
	files     *fileWriter // nil: nothing lasts
	unlock    func()

	// Leave is called when this gateway is to drain itself; the function that it is given is to be called once it has.
	OnShutDown func(left func())

	replication     *replicator // nil: nothing is kept in common
	purgeSettleTime time.Duration

	started    time.Time
	draining   cluster.DrainMachines
	reportedAt time.Time
	warnedAt   time.Time
	failed     error // of the latest write
	closed     bool
}

// Start starts the part of a gateway. Zone is its own. The gateway must ask Permit before it writes.
func Start(cfg *config.Cluster, set routing.Settings, gw *gateway.Gateway, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) (*Node, error) {
	h := &Node{cfg: cfg, loop: loop, gateway: gw, log: log.WithField(logfields.Self, cfg.Name), zone: set.Zone, purgeSettleTime: set.PurgeSettleTime, started: time.Now().Add(-time.Second)}
	bounds := cfg.Bounds
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	bounds.DrainGrace, bounds.SlowStart = max(set.DrainGrace, longest+drainSlack), max(set.SlowStartFor, set.ParentSlowStartFor)
	nc := cluster.Config{Self: cfg.Name, Incarnation: newIncarnation(), Voters: cfg.Voters, Limits: bounds, WallClockMs: h.wallClockMs, ReadInterval: readInterval, Seed: newIncarnation()}
	for _, m := range cfg.Members {
		nc.Members = append(nc.Members, m.Name)
	}
	nc.Acceptor = consensus.AcceptorState{Incarnation: nc.Incarnation}
	if cfg.Folder != "" {
		if err := h.loadFiles(&nc); err != nil {
			return nil, err
		}
	}
	var err error
	if h.cluster, err = cluster.New(nc); err != nil {
		h.closeFiles()
		return nil, err
	}
	var members []clustertransport.Member
	for _, m := range cfg.Members {
		members = append(members, clustertransport.Member{Name: m.Name, Addr: m.Address})
	}
	h.transport, err = clustertransport.Open(cfg.Name, cfg.Listen, members, cfg.Key, loop, engine, h.log, func(from string, m cluster.Message) {
		h.receive(from, m)
	})
	if err == nil {
		err = h.startReplication()
	}
	if err != nil {
		h.closeFiles()
		return nil, err
	}
	// Nothing may be sent anywhere before the node has said what is held: Permit sees to that.
	loop.After(0, h.tick)
	return h, nil
}

// receive hands a message to whom it is for.
func (h *Node) receive(from string, m cluster.Message) {
	switch asks := m.Kind == cluster.OperatorRequest && (m.Query == queryShared || m.Query == queryForget); {
	case h.closed:
	case m.Kind == cluster.ReplicationMessage && h.replication != nil && m.Replication != nil:
		h.replication.handle(replication.MessageReceived{From: from, Message: *m.Replication})
	case asks && h.replication != nil:
		h.replication.serveQuery(from, m)
	case asks:
		h.transport.Send(from, cluster.Message{Kind: cluster.OperatorReply, ID: m.ID, Rejected: "this gateway keeps nothing in common: fleet.replicate is off"})
	default:
		h.handle(cluster.MessageReceived{From: from, Message: m})
	}
}

// applyDrains holds what is out for work, and what a neighbour was told drains.
func (h *Node) applyDrains() {
	all := maps.Clone(h.draining.Machines)
	if h.replication != nil && len(h.replication.draining) > 0 {
		if all == nil {
			all = map[string]bool{}
		}
		maps.Copy(all, h.replication.draining)
	}
	h.gateway.DrainEndpoints(all)
}

// newIncarnation is a number that no start before had.
func newIncarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// loadFiles reads what lasts. A spoilt file is as good as a lost one: a vote that is lost has another life.
func (h *Node) loadFiles(nc *cluster.Config) error {
	dir := snapshot.Folder(h.cfg.Folder)
	if err := os.MkdirAll(h.cfg.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	var err error
	if h.unlock, err = dir.Lock(); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	b, err := readFile(dir, acceptorFile, h.cfg.Key)
	if err == nil && b != nil {
		var v consensus.AcceptorState
		if v, err = clustertransport.DecodeAcceptorState(b); err == nil {
			nc.Acceptor = v
		}
	}
	if err != nil {
		h.log.WithError(err).Error(logfields.ClusterVoteLost)
	}
	if nc.View, err = readFile(dir, viewFile, h.cfg.Key); err == nil && nc.View != nil {
		_, err = maintenance.Decode(nc.View)
	}
	if err != nil {
		nc.View = nil
		h.log.WithError(err).Error(logfields.ClusterViewLost)
	}
	nc.Durable = true
	h.files = newFileWriter(dir, h.cfg.Key)
	return nil
}

func (h *Node) closeFiles() {
	if h.files != nil {
		h.files.close()
	}
	if h.unlock != nil {
		h.unlock()
	}
}

// now is the node's clock: it runs on steadily whatever happens to the wall's.
func (h *Node) now() time.Duration { return time.Since(h.started) }

// wallClockMs is the Unix time in milliseconds, for the history alone. In the lab it can be put off.
func (h *Node) wallClockMs() int64 {
	ms := time.Now().UnixMilli()
	if h.cfg.ClockFile != "" {
		if b, err := os.ReadFile(h.cfg.ClockFile); err == nil {
			if n, err := strconv.ParseInt(strings.TrimSpace(string(b)), 10, 64); err == nil {
				ms += n
			}
		}
	}
	return ms
}

// MaySend says whether a store may be sent to at this very moment. It reads the clock by itself: the loop's is as old as its
// round, and a process that was stopped goes on in the middle of one.
func (h *Node) MaySend(store string) bool { return h.cluster.MaySend(h.now(), store) }

// Ready says whether the gateway may serve: it knows what was agreed on, or what it had known before.
func (h *Node) Ready() bool { return h.cluster.Ready() }

func (h *Node) tick() {
	if h.closed {
		return
	}
	now := h.loop.Now()
	if now.Sub(h.reportedAt) >= reportInterval {
		h.reportedAt = now
		h.handle(cluster.Observed{Report: h.report()})
	}
	h.handle(cluster.Tick{})
	if h.replication != nil {
		h.replication.tick()
	}
	h.reportDrained()
	h.loop.After(tickInterval, h.tick)
}

// report is what this gateway has seen of stores, and of itself.
func (h *Node) report() cluster.Report {
	stores, strain := h.gateway.ObservedEndpoints()
	r := cluster.Report{Pressure: strain, Machines: map[string]maintenance.Machine{}}
	for _, s := range stores {
		if s.Kind == "origin" {
			continue
		}
		m := maintenance.Machine{Kind: s.Kind, Zone: s.Zone, Up: s.Up, Warm: s.Warm, Weight: s.Weight, Utilization: s.Utilization}
		if at := h.gateway.IncarnationTime(s.Incarnation); !at.IsZero() {
			m.BootMs = at.UnixMilli()
		}
		r.Machines[s.ID] = m
	}
	r.Machines[h.cfg.Name] = maintenance.Machine{Kind: maintenance.KindGateway, Zone: h.zone, Up: true, Warm: h.cluster.Ready(), Weight: 1, BootMs: h.started.UnixMilli()}
	return r
}

// reportDrained tells the node once nothing is out at what is held.
func (h *Node) reportDrained() {
	if h.draining.Generation > 0 && h.gateway.NoAttemptsAt(h.draining.Machines) {
		h.handle(cluster.Drained{Generation: h.draining.Generation})
	}
}

func (h *Node) handle(e cluster.Event) {
	if h.closed {
		return
	}
	for _, a := range h.cluster.Handle(h.now(), e, nil) {
		switch a := a.(type) {
		case cluster.Send:
			h.transport.Send(a.To, a.Message)
		case cluster.StoreAcceptorState:
			h.storeAcceptorState(a.Store)
		case cluster.StoreView:
			h.store(viewFile, a.Value, cluster.ViewStored{Revision: a.Revision})
		case cluster.DrainMachines:
			h.draining = a
			h.applyDrains()
			h.loop.Post(h.reportDrained)
		case cluster.ShutDown:
			h.log.Info(logfields.ClusterOwnMaintenance)
			if h.OnShutDown != nil {
				h.OnShutDown(func() { h.handle(cluster.ShutdownCompleted{}) })
			}
		case cluster.AuditEntry:
			h.log.WithFields(logrus.Fields{logfields.Audit: "work", logfields.Detail: a.Text}).Info(logfields.AuditTrail)
		}
	}
}

func (h *Node) storeAcceptorState(s consensus.StoreState) {
	b, err := clustertransport.EncodeAcceptorState(s.State)
	if err != nil {
		h.log.WithError(err).Error(logfields.ClusterVoteUnstorable)
		return
	}
	h.store(acceptorFile, b, cluster.AcceptorStateStored{Number: s.Number})
}

// store writes what must last, and says so once it does. Without a folder it lasts as long as this process, which is all that is
// asked of it: the next one has another life.
func (h *Node) store(name string, data []byte, done cluster.Event) {
	if h.files == nil {
		h.loop.Post(func() { h.handle(done) })
		return
	}
	h.files.write(name, data, func(err error) {
		h.loop.Post(func() {
			if err == nil {
				h.failed = nil
				h.handle(done)
				return
			}
			if h.failed = err; time.Since(h.warnedAt) > warnInterval { // it is not said to last: the others do without this vote
				h.warnedAt = time.Now()
				h.log.WithError(err).Error(logfields.ClusterWriteFailed)
			}
		})
	})
}

// Close ends the part.
func (h *Node) Close() {
	h.closed = true
	h.transport.Close()
	h.closeFiles()
}

// Metrics are counters by name, and gauges.
func (h *Node) Metrics() map[string]float64 {
	n, l := h.cluster.Counters, h.transport.Counters
	v := map[string]float64{"fleet_renews": float64(n.LeaseRequests), "fleet_views": float64(n.Views), "fleet_lapses": float64(n.LeaseExpirations),
		"fleet_unknown": float64(n.Unknown), "fleet_strangers": float64(n.NonMembers), "fleet_steps": float64(n.Advances), "fleet_dropped": float64(n.Dropped + l.Dropped),
		"fleet_sent": float64(l.Sent), "fleet_sent_bytes": float64(l.SentBytes), "fleet_heard": float64(l.Received), "fleet_refused": float64(l.Rejected),
		"fleet_replayed": float64(l.Replayed), "fleet_dialled": float64(l.Dials), "fleet_held": float64(len(h.draining.Machines))}
	if h.cluster.HasLease(h.now()) {
		v["fleet_leased"] = 1
	}
	if h.replication != nil {
		h.replication.addMetrics(v)
	}
	if c, ok := h.cluster.ConsensusCounters(); ok {
		v["agreement_rounds"], v["agreement_confirms"], v["agreement_crossed"] = float64(c.Rounds), float64(c.Confirms), float64(c.Conflicts)
		v["agreement_expired"], v["agreement_admitted"] = float64(c.Timeouts), float64(c.Admitted)
	}
	return v
}

// MetricNames are the names of Values in order.
func (h *Node) MetricNames() (names []string) {
	for n := range h.Metrics() {
		names = append(names, n)
	}
	slices.Sort(names)
	return names
}
