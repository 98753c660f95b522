package main

import (
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

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

// sink joins the gateway and its stores for the journal.
type sink struct {
	*gateway.Gateway
	*resp.Pool
}

// program is the running whole.
type program struct {
	log    logrus.FieldLogger
	loop   *gateway.Loop
	engine *transport.Engine
	gw     *gateway.Gateway
	pool   *resp.Pool
	front  *msgpackrpc.Front
	feed   *discovery.Client
	link   *gossip.Link
	signed *signedfront.Front // nil: off
	keeper *snapshot.Saver    // nil: what is learned is not kept
	fleet  *clusternode.Node  // nil: this gateway is alone
	left   func()             // to be called once all is answered; nil: nobody waits for that
	accept []*transport.Listener
	book   *discovery.EventApplier

	moves     *hotrestart.Receiver // of clients' connections of a former process; nil: none come
	successor *hotrestart.Link     // to which clients' connections go over; nil: they do not
	process   *hotrestart.Process  // nil: no other process of this gateway can take over
	since     string               // fingerprint of the journal's events at the start
	clients   *transport.Listener  // of the platform's front
	closeRest func()               // closes sockets of a former process that nobody listens on any more; nil: there are none

	signedAt *transport.Listener // where the signed front listens
	retired  bool                // a reload has ended that front

	cfg     *config.Gateway     // as taken in at the start
	op      *config.Operator    // likewise
	file    string              // of the operator; empty: none
	console *transport.Listener // nil: operators have no address
	serving bool                // clients are accepted

	reloads    int
	badReloads int // files that were at fault
	draining   bool
}

// serve is the sub-command of that name.
type serve struct{ operatorFile }

// Run serves until SIGTERM.
func (s *serve) Run(log *logrus.Logger) error {
	// Before anything else. Guards against a signal that comes during the start: SIGUSR1 was lost, and SIGTERM and SIGHUP
	// would have ended the program at once. What is to end it has a channel of its own: others can't take its place.
	signals, end := make(chan os.Signal, 4), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, syscall.SIGINT)

	op, err := config.LoadOperator(s.Operator, os.Getenv)
	if err != nil {
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// Two, so that a poller waiting in the kernel never holds up the loop's timers; what they may use of the
	// core is the platform's to say.
	runtime.GOMAXPROCS(max(2, int(cfg.Limits.Cores)))
	// Garbage is let grow where there is memory for it: collecting took a fifth of the time at full load.
	debug.SetGCPercent(min(400, max(100, 2*cfg.Limits.MemoryMB)))

	p := &program{log: log.WithField("gateway", cfg.Name), loop: gateway.NewLoop(), cfg: cfg, op: op, file: s.Operator}
	defer p.close()
	if err := p.start(); err != nil {
		return err
	}
	go p.mind(signals)
	go func() { // a second one changes nothing
		<-end
		p.loop.Post(p.drain)
	}()
	p.loop.Run()
	if p.keeper != nil {
		p.keeper.Close(lastSnapshot)
	}
	p.print()
	return nil
}

// mind hands signals to the loop.
func (p *program) mind(signals <-chan os.Signal) {
	for s := range signals {
		if s == syscall.SIGHUP {
			p.reload()
		} else {
			p.loop.Post(p.print)
		}
	}
}
