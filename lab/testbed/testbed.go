// Package testbed starts the real program with fake servers for all that it talks to: two caches or more, a parent, the
// origin and the journal service, all on loopback.
package testbed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"

	"larchusher/lab/fakeserver"
	"larchusher/lab/loopback"
)

// Settings are a small location with caches, a parent and the origin.
const Settings = `{"balancers":2,"position":0,"dcs":["north","edge-1"],"zone":"edge-1","stepMs":1,
 "classes":[{"name":"films","aimMs":500,"aimStretch":2,"hardLimitMs":5000,"effect":"repeatable","value":2},
  {"name":"images","aimMs":400,"aimStretch":2,"hardLimitMs":2500,"effect":"repeatable","value":1},
  {"name":"orders","aimMs":600,"hardLimitMs":3000,"effect":"by_key","dedupScope":"all","repeatWindowMs":3000,"value":3}],
 "flavors":["box","parent","origin"],"discovery":"push","weightSource":"off",
 "familyInfo":{"countByZone":[0,2],"homeHub":[0,0],"inPieces":[true,false,false],"joins":true,"neighbours":"any",
  "neverKept":[false,false,true],"noticeTimeMs":1000,"purgeSettlesMs":6000,"rootKind":2,"shieldKind":1,"says":"hit",
  "streamKbPerS":7200,"parentColdFrom":0.083,"parentColdMs":22000,"upperFallMultiple":2},
 "invariants":{"coldFrom":0.15,"overloadForMs":2000,"rampTimeMs":17000,"stopSendingWithinMs":2000,"tipMultiple":2.5},
 "limits":{"cancelling":true,"connectTimeoutMs":400,"keepaliveMs":30000,"maxRetryAfterMs":2000,"mostHeld":20000,
  "peerMessages":true,"retryAfter":true,"secondCopies":true,"sendCap":8,"streamsPerConn":32},
 "loadInfo":{"fields":["busy_reqs","x1","x0"],"how":"inline"}}`

// Config says what world to start.
type Config struct {
	Program  string   // path of the gateway's program
	Args     []string // its arguments
	Env      []string // added to the environment
	Caches   int      // 0: two
	Cores    float64  // 0: 1
	MemoryMB int      // 0: 192
	Sockets  int      // 0: 1,024
	Pin      int      // the core that the program is kept on; negative: any
	Seed     string   // in hex
	Host     string   // loopback address that the program listens at, 127.0.0.1 without
	Replay   bool     // the journal service tells again what it told, to a program that starts anew
}

// Gateway is a running one.
type Gateway struct {
	Addr    string // of the platform's front
	Stores  map[string]*fakeserver.Store
	Journal *fakeserver.Journal
	*Process

	dir string
}

// Host words a store for the journal.
func EndpointJSON(s *fakeserver.Store, status string) string {
	zone := "edge-1"
	if s.Kind != "box" {
		zone = "north"
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":0}`,
		s.Name, s.Addr, zone, s.Kind, status)
}

// Known words the list of stores as a configuration holds it.
func EndpointListJSON(stores map[string]*fakeserver.Store) json.RawMessage {
	var names, hosts []string
	for n := range stores {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		hosts = append(hosts, EndpointJSON(stores[n], "SERVING"))
	}
	return json.RawMessage(`{"pos":1,"entries":[{"pos":1,"hosts":{"index":1,"snapshot":true,"endpoints":[` +
		strings.Join(hosts, ",") + `]}}]}`)
}

// Start starts a world and waits until the program serves.
func Start(ctx context.Context, cfg Config) (w *Gateway, err error) {
	w = &Gateway{Stores: map[string]*fakeserver.Store{}, Process: NewProcess(cfg.Program, cfg.Args, nil)}
	defer func() {
		if err != nil {
			w.Stop()
		}
	}()
	kinds := map[string]string{"p": "parent", "o": "origin"}
	for i := range max(2, cfg.Caches) {
		kinds["c"+strconv.Itoa(i+1)] = "box"
	}
	for name, kind := range kinds {
		if w.Stores[name], err = fakeserver.NewStore(name, kind, fakeserver.Loopback); err != nil {
			return w, err
		}
		w.Stores[name].CountOnly = true
	}
	return w, w.launch(ctx, cfg, json.RawMessage(Settings), EndpointListJSON(w.Stores))
}

// launch starts the journal service and the program, and waits until that serves.
func (w *Gateway) launch(ctx context.Context, cfg Config, settings, endpointList json.RawMessage) (err error) {
	if w.Journal, err = fakeserver.NewJournal(fakeserver.Loopback); err != nil {
		return err
	}
	if cfg.Replay {
		w.Journal.EnableReplay()
	}
	if w.Addr, err = FreeAddrOn(cfg.Host); err != nil {
		return err
	}
	if w.dir, err = os.MkdirTemp("", "larchusher-lab"); err != nil {
		return err
	}
	orDefault := func(v, d int) int {
		if v == 0 {
			return d
		}
		return v
	}
	if cfg.Cores == 0 {
		cfg.Cores = 1
	}
	if cfg.Seed == "" {
		cfg.Seed = "8c1f30d27a5be964"
	}
	data, err := json.Marshal(map[string]any{"name": "n0", "listen": w.Addr, "seed": cfg.Seed,
		"journal": w.Journal.Addr, "known": endpointList, "settings": settings,
		"limits": map[string]any{"cores": cfg.Cores, "memory_mb": orDefault(cfg.MemoryMB, 192), "sockets": orDefault(cfg.Sockets, 1024)}})
	if err != nil {
		return err
	}
	path := filepath.Join(w.dir, "config.json")
	if err = os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	w.Cmd.Env = append(append(w.Cmd.Env, "BALANCER_CONFIG="+path, "BALANCER_NAME=n0", "BALANCER_LISTEN="+w.Addr), cfg.Env...)
	if err = w.Start(cfg.Pin); err != nil {
		return err
	}
	if _, err = w.WaitForLog(ctx, "msg=serving"); err != nil {
		return err
	}
	select {
	case <-w.Journal.Connected:
	case <-w.done:
		err = errors.New("the program ended")
	case <-ctx.Done():
		err = ctx.Err()
	}
	return err
}

// Free returns an address that nobody listens at, at a loopback address of this process's own.
func FreeAddr() (string, error) { return FreeAddrOn("") }

// given are the addresses that FreeAt has returned.
var issuedAddrs sync.Map

// FreeAt is Free at a loopback address of one's own, such as 127.77.0.1: the system gives its ports to nobody else meanwhile, as it
// does with those of 127.0.0.1 to connections that go out. An empty one is one of this process's own. No address is returned twice:
// between the return and the listening the system takes its port for free, and has named the same one again to another that asked.
func FreeAddrOn(host string) (string, error) {
	if host == "" {
		host = fmt.Sprintf("127.%d.%d.250", 64+os.Getpid()%100, os.Getpid()/100%250)
	}
	for range maxFreeAddrTries {
		l, err := loopback.Listen(net.JoinHostPort(host, "0"))
		if err != nil {
			return "", fmt.Errorf("world: %w", err)
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("world: %w", err)
		}
		if _, issued := issuedAddrs.LoadOrStore(addr, true); !issued {
			return addr, nil
		}
	}
	return "", fmt.Errorf("world: no port of %s is left that was not given out", host)
}

const maxFreeAddrTries = 1000

// Stop ends the world. It may be called twice.
func (w *Gateway) Stop() {
	w.Process.Stop()
	for _, s := range w.Stores {
		if s != nil {
			s.Close()
		}
	}
	if w.Journal != nil {
		w.Journal.Close()
	}
	if w.dir != "" {
		_ = os.RemoveAll(w.dir)
	}
}
