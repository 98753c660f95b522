package main

import (
	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/clusternode"
	"larchusher/internal/config"
	"larchusher/internal/hotrestart"
	"larchusher/internal/net/discovery"
	"larchusher/internal/net/gossip"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/signedfront"
	"larchusher/internal/net/transport"
	"larchusher/internal/snapshot"
	"larchusher/membudget"
)

// program is the daemon with all of its parts, which start creates and connects. Once the loop runs, the methods run on it unless
// their comment names another goroutine.
type program struct {
	log    logrus.FieldLogger
	loop   *gateway.Loop
	engine *transport.Engine

	cfg          *config.Gateway  // as loaded at the start, except that a reload replaces the classes and the limit on attempts
	operator     *config.Operator // as loaded at the start
	operatorPath string           // path of the operator's file; empty: none

	budget      *membudget.Budget // memory that other parties make this process hold
	memoryShare float64           // share of the memory limit that this process may use, from 0 to 1

	gateway   *gateway.Gateway
	pool      *resp.Pool // connections to endpoints
	discovery *discovery.Client
	endpoints *discovery.EventApplier
	gossip    *gossip.Link      // gossip socket; nil: gossip is off
	cluster   *clusternode.Node // nil: this gateway is not in a cluster
	snapshots *snapshot.Saver   // nil: learned state is not saved

	platformFront     *msgpackrpc.Front
	platformListener  *transport.Listener
	signedFront       *signedfront.Front // front for signed URLs; nil: off
	signedListener    *transport.Listener
	signedConfig      *config.SignedFront   // as applied last; nil: the signed front is off or was removed
	signedFrontClosed bool                  // a reload has removed the signed front
	listeners         []*transport.Listener // of the fronts, the checks and metrics; excludes adminListener
	adminListener     *transport.Listener   // nil: the configuration has no address for it

	process            *hotrestart.Process  // finds predecessors and successors; nil: hot restart is not available
	eventStreamID      string               // hashInitialState of the configured endpoint list, whose stream of events discovery follows
	migratedConns      *hotrestart.Receiver // receives clients' connections from the predecessor; nil: there are none to receive
	closeUnusedSockets func()               // closes inherited sockets that no listener has taken; nil: no sockets were inherited
	successor          *hotrestart.Link     // sends clients' connections to the successor; nil: no handover has completed

	accepting       bool   // the start has completed, and clients are accepted
	draining        bool   // graceful shutdown has begun
	onAllAnswered   func() // called once all requests are answered, shutdownNoticeTime before the program ends; nil: no callback
	reloads         int    // reloads of which both files were applied
	rejectedReloads int    // reloads of which a file failed a check
}

// endpointSink combines the gateway and the pool of connections as the receiver of endpoint events.
type endpointSink struct {
	*gateway.Gateway
	*resp.Pool
}
