// Command larchusher is the gateway on real sockets. This file wires its parts together and minds signals.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/net/journal"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/peers"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/transport"
)

const (
	graceAfterTerm = 700 * time.Millisecond  // clients go on coming for up to 0.6 s
	lastAnswers    = 3500 * time.Millisecond // no kill comes sooner than 3.7 s after SIGTERM
	flushFor       = 150 * time.Millisecond
)

func main() {
	log := logrus.New() // to standard error
	if err := run(log); err != nil {
		log.Error(err)
		os.Exit(1)
	}
}

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
	feed   *journal.Client
	link   *peers.Link
	accept []*transport.Listener
}

func run(log *logrus.Logger) error {
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// Two, so that a poller waiting in the kernel never holds up the loop's timers; what they may use of the
	// core is the platform's to say.
	runtime.GOMAXPROCS(max(2, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 7 / 10)

	p := &program{log: log.WithField("gateway", cfg.Name), loop: gateway.NewLoop()}
	if p.engine, err = transport.New(p.log); err != nil {
		return err
	}
	third := cfg.Limits.Sockets / 3
	p.pool = resp.New(resp.Config{Streams: cfg.Sockets.StreamsPerConn, ConnectTimeout: cfg.Sockets.ConnectTimeout,
		KeepAlive: cfg.Sockets.KeepAlive, Conns: third, LoadFields: cfg.Settings.LoadFields}, p.loop, p.engine, p.log)
	gc := gateway.Config{Loop: p.loop, Settings: cfg.Settings, Seed: cfg.Seed, Backend: p.pool, Log: p.log,
		MaxOpen: cfg.Sockets.MostHeld, MaxBytes: cfg.Limits.MemoryMB << 20 / 6}
	if cfg.PeerListen != "" && cfg.Settings.PeerMessages {
		if p.link, err = peers.Open(cfg.PeerListen, cfg.Peers, cfg.PeersAll, p.log); err != nil {
			return err
		}
		gc.Peers = p.link
	}
	if p.gw, err = gateway.New(gc); err != nil {
		return err
	}
	p.pool.Gateway = p.gw
	book := &journal.Book{Sink: sink{p.gw, p.pool}, Clock: p.gw.Clock}
	if err := book.Start(time.Now(), cfg.Known); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	p.feed = journal.Follow(p.loop, p.engine, p.log, cfg.Journal, book, cfg.Known.Pos)
	if p.link != nil {
		go p.link.Read(p.loop, p.gw.Heard)
	}
	p.front = msgpackrpc.New(p.loop, p.gw, p.log)
	l, err := p.engine.Listen(cfg.Listen, third+third/4, p.front.Accept)
	if err != nil {
		return err
	}
	p.accept = append(p.accept, l)
	p.log.WithField("listen", l.Addr().String()).Info("serving")

	go p.mind()
	p.loop.Run()
	p.print()
	return nil
}

// mind hands signals to the loop.
func (p *program) mind() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	ending := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Post(p.print)
		case !ending:
			ending = true
			p.loop.Post(p.drain)
		}
	}
}

// drain goes on accepting for as long as clients may still come, answers all that is open, and ends.
func (p *program) drain() {
	p.log.Info("draining")
	began := p.loop.Now()
	p.loop.After(graceAfterTerm, func() {
		for _, l := range p.accept {
			l.Close()
		}
		p.finish(began.Add(lastAnswers))
	})
}

// finish ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) finish(last time.Time) {
	if now := p.loop.Now(); !now.Before(last) {
		p.gw.Close()
		p.loop.After(flushFor, p.loop.Close)
		return
	}
	if p.gw.Open() == 0 && p.front.Idle() {
		p.loop.Close()
		return
	}
	p.loop.After(10*time.Millisecond, func() { p.finish(last) })
}

// print writes the counters.
func (p *program) print() {
	fields := logrus.Fields{"conns_opened": p.engine.Opened.Load(), "conns_closed": p.engine.Closed.Load(),
		"bytes_in": p.engine.In.Load(), "bytes_out": p.engine.Out.Load(),
		"malformed": p.front.Malformed, "excess": p.front.Excess,
		"journal_connects": p.feed.Connects, "journal_events": p.feed.Events, "journal_dropped": p.feed.Dropped}
	for name, n := range p.gw.Counters.All() {
		fields[name] = n
	}
	c := p.pool.Counters
	for name, n := range map[string]uint64{"store_dialled": c.Dialled, "store_refused": c.Refused,
		"store_broken": c.Broken, "store_written": c.Written, "store_quit": c.Given, "store_late": c.Late,
		"store_noop": c.Noop} {
		fields[name] = n
	}
	if p.link != nil {
		fields["peer_sent"], fields["peer_heard"], fields["peer_dropped"] = p.link.Sent, p.link.Heard, p.link.Dropped
	}
	p.log.WithFields(fields).Info("counters")
}
