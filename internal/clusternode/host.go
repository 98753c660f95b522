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
	"larchusher/internal/net/clustertransport"
	"larchusher/internal/net/transport"
	"larchusher/internal/snapshot"
	"larchusher/maintenance"
	"larchusher/replication"
	"larchusher/routing"
)

const (
	tickEvery  = 50 * time.Millisecond
	seenEvery  = 500 * time.Millisecond
	readsGap   = 40 * time.Millisecond // questions to the voters are gathered for so long
	warnEvery  = 10 * time.Second
	slackAfter = 500 * time.Millisecond // beside the longest deadline, until what was sent has ended
)

// Node is a running part. It lives on the loop.
type Node struct {
	cfg    *config.Cluster
	loop   *gateway.Loop
	gw     *gateway.Gateway
	log    logrus.FieldLogger
	zone   string
	node   *cluster.Node
	link   *clustertransport.Transport
	keeper *keeper // nil: nothing lasts
	unlock func()

	// Leave is called when this gateway is to drain itself; the function that it is given is to be called once it has.
	OnShutDown func(left func())

	shared  *sharing // nil: nothing is kept in common
	settles time.Duration

	began  time.Time
	hold   cluster.DrainMachines
	seenAt time.Time
	warned time.Time
	failed error // of the latest write
	closed bool
}

// Start starts the part of a gateway. Zone is its own. The gateway must ask Permit before it writes.
func Start(cfg *config.Cluster, set routing.Settings, gw *gateway.Gateway, loop *gateway.Loop, engine *transport.Engine, log logrus.FieldLogger) (*Node, error) {
	h := &Node{cfg: cfg, loop: loop, gw: gw, log: log.WithField("fleet", cfg.Name), zone: set.Zone, settles: set.PurgeSettleTime, began: time.Now().Add(-time.Second)}
	bounds := cfg.Bounds
	longest := time.Duration(0)
	for _, c := range set.Classes {
		longest = max(longest, c.Deadline)
	}
	bounds.DrainGrace, bounds.SlowStart = max(set.DrainGrace, longest+slackAfter), max(set.SlowStartFor, set.ParentSlowStartFor)
	nc := cluster.Config{Self: cfg.Name, Incarnation: newLife(), Voters: cfg.Voters, Limits: bounds, WallClockMs: h.wall, ReadInterval: readsGap, Seed: newLife()}
	for _, m := range cfg.Members {
		nc.Members = append(nc.Members, m.Name)
	}
	nc.Acceptor = consensus.AcceptorState{Incarnation: nc.Incarnation}
	if cfg.Folder != "" {
		if err := h.recall(&nc); err != nil {
			return nil, err
		}
	}
	var err error
	if h.node, err = cluster.New(nc); err != nil {
		h.free()
		return nil, err
	}
	var members []clustertransport.Member
	for _, m := range cfg.Members {
		members = append(members, clustertransport.Member{Name: m.Name, Addr: m.Address})
	}
	h.link, err = clustertransport.Open(cfg.Name, cfg.Listen, members, cfg.Key, loop, engine, h.log, func(from string, m cluster.Message) {
		h.heard(from, m)
	})
	if err == nil {
		err = h.share()
	}
	if err != nil {
		h.free()
		return nil, err
	}
	// Nothing may be sent anywhere before the node has said what is held: Permit sees to that.
	loop.After(0, h.tick)
	return h, nil
}

// heard hands a message to whom it is for.
func (h *Node) heard(from string, m cluster.Message) {
	switch asks := m.Kind == cluster.OperatorRequest && (m.Query == queryShared || m.Query == queryForget); {
	case h.closed:
	case m.Kind == cluster.ReplicationMessage && h.shared != nil && m.Replication != nil:
		h.shared.do(replication.MessageReceived{From: from, Message: *m.Replication})
	case asks && h.shared != nil:
		h.shared.query(from, m)
	case asks:
		h.link.Send(from, cluster.Message{Kind: cluster.OperatorReply, ID: m.ID, Rejected: "this gateway keeps nothing in common: fleet.replicate is off"})
	default:
		h.do(cluster.MessageReceived{From: from, Message: m})
	}
}

// holdAll holds what is out for work, and what a neighbour was told drains.
func (h *Node) holdAll() {
	all := maps.Clone(h.hold.Machines)
	if h.shared != nil && len(h.shared.held) > 0 {
		if all == nil {
			all = map[string]bool{}
		}
		maps.Copy(all, h.shared.held)
	}
	h.gw.DrainEndpoints(all)
}

// newLife is a number that no start before had.
func newLife() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) | 1
}

// recall reads what lasts. A spoilt file is as good as a lost one: a vote that is lost has another life.
func (h *Node) recall(nc *cluster.Config) error {
	dir := snapshot.Folder(h.cfg.Folder)
	if err := os.MkdirAll(h.cfg.Folder, 0o700); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	var err error
	if h.unlock, err = dir.Lock(); err != nil {
		return fmt.Errorf("fleet.folder: %w", err)
	}
	b, err := readFile(dir, voteFile, h.cfg.Key)
	if err == nil && b != nil {
		var v consensus.AcceptorState
		if v, err = clustertransport.DecodeAcceptorState(b); err == nil {
			nc.Acceptor = v
		}
	}
	if err != nil {
		h.log.WithError(err).Error("the vote is lost: the others have to let this one vote again")
	}
	if nc.View, err = readFile(dir, viewFile, h.cfg.Key); err == nil && nc.View != nil {
		_, err = maintenance.Decode(nc.View)
	}
	if err != nil {
		nc.View = nil
		h.log.WithError(err).Error("the view is lost: nothing is sent before the others are heard")
	}
	nc.Durable = true
	h.keeper = newKeeper(dir, h.cfg.Key)
	return nil
}

func (h *Node) free() {
	if h.keeper != nil {
		h.keeper.close()
	}
	if h.unlock != nil {
		h.unlock()
	}
}

// now is the node's clock: it runs on steadily whatever happens to the wall's.
func (h *Node) now() time.Duration { return time.Since(h.began) }

// wall is the Unix time in milliseconds, for the history alone. In the lab it can be put off.
func (h *Node) wall() int64 {
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
func (h *Node) MaySend(store string) bool { return h.node.MaySend(h.now(), store) }

// Ready says whether the gateway may serve: it knows what was agreed on, or what it had known before.
func (h *Node) Ready() bool { return h.node.Ready() }

func (h *Node) tick() {
	if h.closed {
		return
	}
	now := h.loop.Now()
	if now.Sub(h.seenAt) >= seenEvery {
		h.seenAt = now
		h.do(cluster.Observed{Report: h.report()})
	}
	h.do(cluster.Tick{})
	if h.shared != nil {
		h.shared.tick()
	}
	h.idle()
	h.loop.After(tickEvery, h.tick)
}

// report is what this gateway has seen of stores, and of itself.
func (h *Node) report() cluster.Report {
	stores, strain := h.gw.ObservedEndpoints()
	r := cluster.Report{Pressure: strain, Machines: map[string]maintenance.Machine{}}
	for _, s := range stores {
		if s.Kind == "origin" {
			continue
		}
		m := maintenance.Machine{Kind: s.Kind, Zone: s.Zone, Up: s.Up, Warm: s.Warm, Weight: s.Weight, Utilization: s.Utilization}
		if at := h.gw.IncarnationTime(s.Incarnation); !at.IsZero() {
			m.BootMs = at.UnixMilli()
		}
		r.Machines[s.ID] = m
	}
	r.Machines[h.cfg.Name] = maintenance.Machine{Kind: maintenance.KindGateway, Zone: h.zone, Up: true, Warm: h.node.Ready(), Weight: 1, BootMs: h.began.UnixMilli()}
	return r
}

// idle tells the node once nothing is out at what is held.
func (h *Node) idle() {
	if h.hold.Generation > 0 && h.gw.NoAttemptsAt(h.hold.Machines) {
		h.do(cluster.Drained{Generation: h.hold.Generation})
	}
}

func (h *Node) do(e cluster.Event) {
	if h.closed {
		return
	}
	for _, a := range h.node.Handle(h.now(), e, nil) {
		switch a := a.(type) {
		case cluster.Send:
			h.link.Send(a.To, a.Message)
		case cluster.StoreAcceptorState:
			h.storeVote(a.Store)
		case cluster.StoreView:
			h.store(viewFile, a.Value, cluster.ViewStored{Revision: a.Revision})
		case cluster.DrainMachines:
			h.hold = a
			h.holdAll()
			h.loop.Post(h.idle)
		case cluster.ShutDown:
			h.log.Info("this gateway's own turn: it drains itself")
			if h.OnShutDown != nil {
				h.OnShutDown(func() { h.do(cluster.ShutdownCompleted{}) })
			}
		case cluster.AuditEntry:
			h.log.WithField("audit", "work").Info(a.Text)
		}
	}
}

func (h *Node) storeVote(s consensus.StoreState) {
	b, err := clustertransport.EncodeAcceptorState(s.State)
	if err != nil {
		h.log.WithError(err).Error("a vote can't be stored")
		return
	}
	h.store(voteFile, b, cluster.AcceptorStateStored{Number: s.Number})
}

// store writes what must last, and says so once it does. Without a folder it lasts as long as this process, which is all that is
// asked of it: the next one has another life.
func (h *Node) store(name string, data []byte, done cluster.Event) {
	if h.keeper == nil {
		h.loop.Post(func() { h.do(done) })
		return
	}
	h.keeper.write(name, data, func(err error) {
		h.loop.Post(func() {
			if err == nil {
				h.failed = nil
				h.do(done)
				return
			}
			if h.failed = err; time.Since(h.warned) > warnEvery { // it is not said to last: the others do without this vote
				h.warned = time.Now()
				h.log.WithError(err).Error("what must last can't be written")
			}
		})
	})
}

// Close ends the part.
func (h *Node) Close() {
	h.closed = true
	h.link.Close()
	h.free()
}

// Metrics are counters by name, and gauges.
func (h *Node) Metrics() map[string]float64 {
	n, l := h.node.Counters, h.link.Counters
	v := map[string]float64{"fleet_renews": float64(n.LeaseRequests), "fleet_views": float64(n.Views), "fleet_lapses": float64(n.LeaseExpirations),
		"fleet_unknown": float64(n.Unknown), "fleet_strangers": float64(n.NonMembers), "fleet_steps": float64(n.Advances), "fleet_dropped": float64(n.Dropped + l.Dropped),
		"fleet_sent": float64(l.Sent), "fleet_sent_bytes": float64(l.SentBytes), "fleet_heard": float64(l.Received), "fleet_refused": float64(l.Rejected),
		"fleet_replayed": float64(l.Replayed), "fleet_dialled": float64(l.Dials), "fleet_held": float64(len(h.hold.Machines))}
	if h.node.HasLease(h.now()) {
		v["fleet_leased"] = 1
	}
	if h.shared != nil {
		h.shared.values(v)
	}
	if c, ok := h.node.ConsensusCounters(); ok {
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
