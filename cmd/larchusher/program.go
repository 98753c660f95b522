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
)

// program is the daemon: its parts, which start wires together. Its methods run on the loop once that runs, unless their
// comment says otherwise.
type program struct {
	log    logrus.FieldLogger
	loop   *gateway.Loop
	engine *transport.Engine

	cfg          *config.Gateway  // as read at the start; a reload changes classes and the limit on attempts alone
	operator     *config.Operator // as read at the start
	operatorPath string           // of the operator's file; empty: none

	gateway   *gateway.Gateway
	pool      *resp.Pool // connections to endpoints
	discovery *discovery.Client
	endpoints *discovery.EventApplier
	gossip    *gossip.Link      // nil: nothing is exchanged
	cluster   *clusternode.Node // nil: this gateway is alone
	snapshots *snapshot.Saver   // nil: learned state is not saved

	front             *msgpackrpc.Front
	platformListener  *transport.Listener
	signedFront       *signedfront.Front // nil: off
	signedListener    *transport.Listener
	signedFrontClosed bool                  // by a reload
	listeners         []*transport.Listener // of all fronts and checks, but not of operators
	adminListener     *transport.Listener   // of operators; nil: there is none

	process            *hotrestart.Process  // nil: no other process of this gateway can take over
	initialEventsID    string               // which start's numbering the endpoint list's events go by
	migratedConns      *hotrestart.Receiver // of clients' connections of a predecessor; nil: none come
	closeUnusedSockets func()               // closes sockets of a predecessor that nobody listens on; nil: there are none
	successor          *hotrestart.Link     // takes clients' connections; nil: there is none

	accepting       bool   // clients are accepted
	draining        bool   // graceful shutdown has begun
	onAnswered      func() // called once everything is answered; nil: nobody waits for that
	reloads         int
	rejectedReloads int
}

// endpointSink hands endpoint events to the gateway and to the pool of connections.
type endpointSink struct {
	*gateway.Gateway
	*resp.Pool
}
