// Package testbed starts the gateway program with fake servers for everything that it connects to: at least two caches,
// a parent, the origin and the journal service, all on loopback.
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

// Settings are the deployment settings, in JSON, of a small location with caches, a parent and the origin.
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

// Config describes the testbed to start.
type Config struct {
	Program  string   // path of the gateway's executable
	Args     []string // its arguments
	Env      []string // added to the environment
	Caches   int      // number of caches, at least 2; 0: 2
	Cores    float64  // CPU limit in the gateway's configuration; 0: 1
	MemoryMB int      // memory limit in the gateway's configuration; 0: 192
	Sockets  int      // socket limit in the gateway's configuration; 0: 1,024
	Pin      int      // core that the program is pinned to; negative: none
	Seed     string   // random seed of the gateway, in hex; empty: a fixed one
	Host     string   // loopback address that the program listens on; empty: one derived from the process id
	Replay   bool     // the journal service stores its events and sends them again to a program that restarts
}

// Gateway is a running gateway with its fake servers.
type Gateway struct {
	Addr    string                       // address of the platform front
	Stores  map[string]*fakeserver.Store // by name: c1, c2, ..., p and o
	Journal *fakeserver.Journal
	*Process

	dir string
}

// EndpointJSON encodes a store as an endpoint of a journal event, with the given status. Caches (kind box) are in zone
// edge-1, all others in north.
func EndpointJSON(s *fakeserver.Store, status string) string {
	zone := "edge-1"
	if s.Kind != "box" {
		zone = "north"
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":%q,"type":%q,"group":1,"status":%q,"weight":1,"since_ms":0}`,
		s.Name, s.Addr, zone, s.Kind, status)
}

// EndpointListJSON encodes the stores as the endpoint list of a configuration file, in the order of their names and all
// SERVING.
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

// Start starts the fake servers and the gateway, and waits until the gateway serves and is connected to the journal.
// On an error everything is stopped again.
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

// launch starts the journal service, writes the configuration and starts the program. It waits until the program serves
// and is connected to the journal.
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
		err = errors.New("the program exited before it connected to the journal")
	case <-ctx.Done():
		err = ctx.Err()
	}
	return err
}

// FreeAddr returns an unused host and port on a loopback address derived from the process id. See FreeAddrOn.
func FreeAddr() (string, error) { return FreeAddrOn("") }

// issuedAddrs holds, as keys, the addresses that FreeAddrOn has returned.
var issuedAddrs sync.Map

// FreeAddrOn returns an unused host and port on the given loopback address, such as 127.77.0.1; an empty host means one
// derived from the process id. On an address that no other process uses, the port stays free until the caller listens:
// ports of 127.0.0.1 may be taken by outgoing connections meanwhile. No address is returned twice, because the system
// regards the port as free until the caller listens on it and has assigned the same one to a second caller. It fails if
// the address cannot be listened on or no unissued port is found.
func FreeAddrOn(host string) (string, error) {
	if host == "" {
		host = fmt.Sprintf("127.%d.%d.250", 64+os.Getpid()%100, os.Getpid()/100%250)
	}
	for range maxFreeAddrTries {
		l, err := loopback.Listen(net.JoinHostPort(host, "0"))
		if err != nil {
			return "", fmt.Errorf("testbed: finding a free address: %w", err)
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return "", fmt.Errorf("testbed: finding a free address: %w", err)
		}
		if _, issued := issuedAddrs.LoadOrStore(addr, true); !issued {
			return addr, nil
		}
	}
	return "", fmt.Errorf("testbed: no free address: all ports that the system offered on %s were issued before", host)
}

// maxFreeAddrTries is how many ports FreeAddrOn asks the system for before it fails.
const maxFreeAddrTries = 1000

// Stop stops the gateway and its fake servers and removes its temporary directory. It may be called more than once.
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
