// Command larchusher is the gateway on real sockets. This file wires its parts together and minds signals.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"larchusher/gateway"
	"larchusher/internal/config"
	"larchusher/internal/httpapi"
	"larchusher/internal/net/agentcheck"
	"larchusher/internal/net/journal"
	"larchusher/internal/net/msgpackrpc"
	"larchusher/internal/net/peers"
	"larchusher/internal/net/resp"
	"larchusher/internal/net/signedfront"
	"larchusher/internal/net/transport"
	"larchusher/signedurl"
)

const (
	graceAfterTerm = 700 * time.Millisecond // clients go on coming for up to 0.6 s
	leastDeadline  = 3 * time.Second        // a kill comes no sooner than the longest deadline, or this, and
	lastAnswers    = 500 * time.Millisecond // 0.7 s after SIGTERM
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
	signed *signedfront.Front // nil: off
	accept []*transport.Listener

	cfg        *config.Gateway // as taken in at the start
	signedFile string          // empty: the signed front is off
	reloads    int
	draining   bool
}

func run(log *logrus.Logger) error {
	signed := flag.String("signed", "", "file of the signed front, such as deploy/signed.toml; without it that front is off")
	sign := flag.String("sign", "", "sign this path and query with a key of the signed front, print it, and end")
	key := flag.String("key", "", "with -sign: id of the key")
	good := flag.Duration("for", 5*time.Minute, "with -sign: how long the token is good")
	pattern := flag.String("pattern", "", "with -sign: what else the token is good for")
	renew := flag.Duration("renew", 0, "with -sign: answers carry a fresh token that is good for so long")
	flag.Parse()
	var second *config.Signed
	if *signed != "" {
		var err error
		if second, err = config.LoadSigned(*signed, os.Getenv); err != nil {
			return err
		}
	}
	if *sign != "" {
		if second == nil {
			return errors.New("-sign needs -signed")
		}
		issuer, err := signedurl.NewIssuer(second.URLs, *key)
		if err != nil {
			return fmt.Errorf("-key: %w", err)
		}
		uri, err := issuer.Sign(signedurl.Order{Target: *sign, Pattern: *pattern, Renew: *renew,
			Expiry: time.Now().Add(*good)})
		if err == nil {
			_, err = fmt.Println(uri)
		}
		return err
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		return err
	}
	// Two, so that a poller waiting in the kernel never holds up the loop's timers; what they may use of the
	// core is the platform's to say.
	runtime.GOMAXPROCS(max(2, int(cfg.Limits.Cores)))
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB) << 20 * 7 / 10)

	// Before anything is served. Guards against a signal that comes as soon as the log says so: SIGUSR1 was lost,
	// and SIGTERM would have ended the program without its answers.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)

	p := &program{log: log.WithField("gateway", cfg.Name), loop: gateway.NewLoop(), cfg: cfg, signedFile: *signed}
	if p.engine, err = transport.New(p.log, cfg.Limits.MemoryMB<<20/4); err != nil {
		return err
	}
	share := cfg.Shares(second != nil)
	p.pool = resp.New(resp.Config{Streams: cfg.Sockets.StreamsPerConn, ConnectTimeout: cfg.Sockets.ConnectTimeout,
		KeepAlive: cfg.Sockets.KeepAlive, Conns: share.Stores, LoadFields: cfg.Settings.LoadFields}, p.loop, p.engine, p.log)
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
	cfg.Known = journal.Known{} // all of it has been taken in
	if p.link != nil {
		go p.link.Read(p.loop, p.gw.Heard)
	}
	p.front = msgpackrpc.New(p.loop, p.gw, share.Clients, p.log)
	l, err := p.engine.Listen(cfg.Listen, share.Clients, p.front.MakeRoom, p.front.Accept)
	if err != nil {
		return err
	}
	p.accept = append(p.accept, l)
	if second != nil {
		if err := p.second(second, cfg); err != nil {
			return err
		}
	}
	p.log.WithField("listen", l.Addr().String()).Info("serving")

	go p.mind(signals)
	p.loop.Run()
	p.print()
	return nil
}

// second starts the front for signed URLs, and what balancers ask.
func (p *program) second(s *config.Signed, cfg *config.Gateway) error {
	api, err := signedAPI(s, cfg)
	if err != nil {
		return err
	}
	share := cfg.Shares(true)
	p.signed = signedfront.New(p.loop, p.gw, api, share.Signed, cfg.Seed, p.log)
	check := &agentcheck.Checker{Loop: p.loop, State: func() agentcheck.State {
		return agentcheck.State{Ready: p.feed.Connected(), Draining: p.draining, Open: p.gw.Open(),
			Most: cfg.Sockets.MostHeld}
	}}
	for _, l := range []struct {
		addr   string
		listen func(addr string) (*transport.Listener, error)
	}{
		{s.Listen, func(a string) (*transport.Listener, error) {
			return p.engine.Listen(a, share.Signed, p.signed.MakeRoom, p.signed.Accept)
		}},
		{s.AgentListen, func(a string) (*transport.Listener, error) { return check.Agent(p.engine, a, share.Checks) }},
		{s.HTTPListen, func(a string) (*transport.Listener, error) { return check.Health(p.engine, a, share.Checks) }},
	} {
		if l.addr == "" {
			continue
		}
		open, err := l.listen(l.addr)
		if err != nil {
			return err
		}
		p.accept = append(p.accept, open)
	}
	p.log.WithField("listen", s.Listen).Info("serving signed URLs")
	return nil
}

// signedAPI has the keys of the signed front's file.
func signedAPI(s *config.Signed, cfg *config.Gateway) (*httpapi.API, error) {
	verifier, err := signedurl.NewVerifier(s.URLs)
	if err != nil {
		return nil, err
	}
	var issuer *signedurl.Issuer
	if s.RenewWith != "" {
		if issuer, err = signedurl.NewIssuer(s.URLs, s.RenewWith); err != nil {
			return nil, err
		}
	}
	return httpapi.New(cfg.Settings, verifier, issuer), nil
}

// reload reads the files again. What may change while the program runs is taken over by the loop: the journal's
// address, and the signed front's keys. Requests and connections stay as they are. If one file is at fault, all
// stays as it was. It runs beside the loop, which must not wait for files.
func (p *program) reload() {
	failed := func(err error) {
		p.log.WithError(err).Error("reload: the old configuration stays")
	}
	cfg, err := config.Load(os.Getenv)
	if err != nil {
		failed(err)
		return
	}
	var api *httpapi.API
	if p.signedFile != "" {
		s, err := config.LoadSigned(p.signedFile, os.Getenv)
		if err == nil {
			api, err = signedAPI(s, p.cfg)
		}
		if err != nil {
			failed(err)
			return
		}
	}
	if keys := p.cfg.Fixed(cfg); len(keys) > 0 {
		p.log.WithField("keys", strings.Join(keys, " ")).Warn("reload: these keys take effect with the next start")
	}
	p.loop.Post(func() {
		p.reloads++
		p.feed.Move(cfg.Journal)
		if p.signed != nil {
			p.signed.Use(api)
		}
		p.log.Info("reloaded")
	})
}

// mind hands signals to the loop.
func (p *program) mind(signals <-chan os.Signal) {
	ending := false
	for s := range signals {
		switch {
		case s == syscall.SIGUSR1:
			p.loop.Post(p.print)
		case s == syscall.SIGHUP:
			p.reload()
		case !ending:
			ending = true
			p.loop.Post(p.drain)
		}
	}
}

// drain goes on accepting for as long as clients may still come, answers all that is open, and ends.
func (p *program) drain() {
	p.log.Info("draining")
	p.draining = true
	began := p.loop.Now()
	p.loop.After(graceAfterTerm, func() {
		for _, l := range p.accept {
			l.Close()
		}
		if p.signed != nil {
			p.signed.End()
		}
		longest := leastDeadline
		for _, c := range p.cfg.Settings.Classes {
			longest = max(longest, c.Deadline)
		}
		p.finish(began.Add(longest + lastAnswers))
	})
}

// finish ends the program once nothing is open any more, or at the last moment with an answer to what is.
func (p *program) finish(last time.Time) {
	if now := p.loop.Now(); !now.Before(last) {
		p.gw.Close()
		p.loop.After(flushFor, p.loop.Close)
		return
	}
	if p.gw.Open() == 0 && p.front.Idle() && (p.signed == nil || p.signed.Idle()) {
		p.loop.Close()
		return
	}
	p.loop.After(10*time.Millisecond, func() { p.finish(last) })
}

// print writes the counters.
func (p *program) print() {
	fields := logrus.Fields{"conns_opened": p.engine.Opened.Load(), "conns_closed": p.engine.Closed.Load(),
		"conns_crowded": p.engine.Crowded.Load(),
		"bytes_in":      p.engine.In.Load(), "bytes_out": p.engine.Out.Load(),
		"malformed": p.front.Malformed, "excess": p.front.Excess,
		"reloads": p.reloads, "journal_connects": p.feed.Connects, "journal_events": p.feed.Events, "journal_dropped": p.feed.Dropped}
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
	if p.signed != nil {
		fields["signed_admitted"] = p.signed.Admitted
		for reason, n := range p.signed.Problems {
			fields["signed_problem_"+strings.ReplaceAll(reason, " ", "_")] = n
		}
		for status, n := range p.signed.Statuses {
			fields[fmt.Sprint("signed_status_", status)] = n
		}
	}
	p.log.WithFields(fields).Info("counters")
}
