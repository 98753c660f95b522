// Package config is the one place where configuration is read, checked and given defaults.
package config

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"larchusher/internal/net/discovery"
	"larchusher/internal/simprotocol"
	"larchusher/routing"
)

// Defaults for what the configuration leaves out.
const (
	defaultMemoryMB   = 192
	defaultSockets    = 1024
	defaultCores      = 1
	defaultStreams    = 32
	defaultConnect    = 400 * time.Millisecond
	defaultKeepAlive  = 30 * time.Second
	defaultMostHeld   = 20000
	environmentPrefix = "BALANCER_"
)

// Limits are what the platform lets the program use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// ConnQuotas are the descriptors that each side may hold. They add up to less than the limit.
type ConnQuotas struct{ Stores, Clients, Signed, HealthChecks, Admin int }

// ConnQuotas divides the descriptors up. A third is for stores; what the program needs for itself (poller, listeners,
// journal, peers, standard streams, a connection that is closed as it comes) is set aside; clients get the rest.
func (c *Gateway) ConnQuotas(signed, checks bool) ConnQuotas {
	n := c.Limits.Sockets
	s := ConnQuotas{Stores: n / 3}
	s.Clients = n - s.Stores - min(20, n/4)
	if c.AdminListen != "" {
		s.Admin = min(16, n/16)
		s.Clients -= s.Admin
	}
	if checks {
		s.HealthChecks = min(16, n/32)
		s.Clients -= 3 * s.HealthChecks
	}
	if signed {
		s.Signed = n / 8
		s.Clients -= s.Signed
	}
	return s
}

// Fingerprint tells one deployment's settings from another's: what was learned under others is void.
func (c *Gateway) Fingerprint() string {
	b, err := json.Marshal(c.Settings)
	if err != nil { // numbers that are none; two of these are alike, which the gateway's name tells apart
		b = []byte(err.Error())
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// Gateway is the configuration of one gateway.
type Gateway struct {
	Name         string                 `json:"name"`
	Listen       string                 `json:"listen"`
	SeedText     string                 `json:"seed"`
	Limits       Limits                 `json:"limits"`
	PeerListen   string                 `json:"peer_listen"`
	Peers        []string               `json:"peers"`
	PeersAll     string                 `json:"peers_all"`
	Journal      string                 `json:"journal"`
	AdminListen  string                 `json:"console"` // where operators call; empty: nowhere
	InitialState discovery.InitialState `json:"known"`
	// Top pace of one answer in bytes a second, as it holds on these sockets; 0: settings.familyInfo.streamKbPerS.
	FlowBytesPerS float64         `json:"flow_bytes_per_s"`
	RawSettings   json.RawMessage `json:"settings"`

	// ToldKB is what a KB of a size that clients tell, in the settings' measure, counts for on these sockets.
	SizeScale float64 `json:"-"`

	// Notes are what was put right while reading, to be logged.
	Warnings []string `json:"-"`

	Seed     uint64              `json:"-"`
	Settings routing.Settings    `json:"-"`
	Sockets  simprotocol.Sockets `json:"-"`

	layout layout
}

// Load reads the configuration that the environment names: the file in BALANCER_CONFIG, over which
// BALANCER_NAME, BALANCER_LISTEN and BALANCER_CONSOLE go.
func Load(env func(string) string) (*Gateway, error) {
	path := env(environmentPrefix + "CONFIG")
	if path == "" {
		return nil, errors.New(environmentPrefix + "CONFIG is not set: it names the configuration file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%sCONFIG: %w", environmentPrefix, err)
	}
	c, err := Parse(data, Overrides{Name: env(environmentPrefix + "NAME"), Listen: env(environmentPrefix + "LISTEN"),
		AdminListen: env(environmentPrefix + "CONSOLE")})
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Overrides are values of the environment that go before those of the configuration's file. Empty ones do not.
type Overrides struct{ Name, Listen, AdminListen string }

// Parse reads a configuration.
func Parse(data []byte, over Overrides) (*Gateway, error) {
	var c Gateway
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, jsonError(data, err)
	}
	c.Name = cmp.Or(over.Name, c.Name)
	c.Listen = cmp.Or(over.Listen, c.Listen)
	c.AdminListen = cmp.Or(over.AdminListen, c.AdminListen)
	for _, a := range [...]struct {
		key, value string
		needed     bool
	}{{"listen", c.Listen, true}, {"journal", c.Journal, true}, {"peer_listen", c.PeerListen, false},
		{"peers_all", c.PeersAll, false}, {"console", c.AdminListen, false}} {
		if a.value == "" && !a.needed {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return nil, fmt.Errorf("%s: %w", a.key, err)
		}
	}
	for i, p := range c.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	var err error
	if c.SeedText == "" { // guards against a fleet that draws alike, and does the same in the same moment
		c.Seed = rand.Uint64()
	} else if c.Seed, err = strconv.ParseUint(c.SeedText, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %w", err)
	}
	if len(c.RawSettings) == 0 {
		return nil, errors.New("settings: missing")
	}
	if c.Settings, c.Sockets, err = simprotocol.ParseSettings(c.RawSettings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.RawSettings = nil
	if c.layout, err = layoutOf(data); err != nil {
		return nil, err
	}
	if err := c.directors(); err != nil {
		return nil, err
	}
	c.SizeScale = 1
	if c.FlowBytesPerS > 0 {
		if c.Settings.FlowKBps > 0 {
			c.SizeScale = c.FlowBytesPerS / 1000 / c.Settings.FlowKBps
		}
		c.Settings.FlowKBps = c.FlowBytesPerS / 1000
	}
	switch {
	case c.FlowBytesPerS < 0:
		return nil, errors.New("flow_bytes_per_s: negative")
	case c.Limits.Cores < 0:
		return nil, errors.New("limits.cores: negative")
	case c.Limits.MemoryMB < 0:
		return nil, errors.New("limits.memory_mb: negative")
	case c.Limits.Sockets < 0:
		return nil, errors.New("limits.sockets: negative")
	case c.Sockets.StreamsPerConn < 0:
		return nil, errors.New("settings.limits.streamsPerConn: negative")
	}
	orDefault(&c.Limits.Cores, defaultCores)
	orDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	orDefault(&c.Limits.Sockets, defaultSockets)
	orDefault(&c.Sockets.StreamsPerConn, defaultStreams)
	orDefault(&c.Sockets.ConnectTimeout, defaultConnect)
	orDefault(&c.Sockets.KeepAlive, defaultKeepAlive)
	orDefault(&c.Sockets.MaxOpenRequests, defaultMostHeld)
	return &c, nil
}

// directors checks the number of gateways. Shares of budgets are reckoned by it: where it disagrees with the list of
// peers, or is missing, the larger one holds, so that all together spend no more than is allowed.
func (c *Gateway) directors() error {
	s := &c.Settings
	n, zones := max(len(c.Peers), s.Index+1), 0
	for _, p := range s.ZoneDirectors {
		zones += max(0, p)
	}
	switch n = max(n, zones); {
	case s.Directors < 0:
		return fmt.Errorf("settings.balancers: %d is negative", s.Directors)
	case s.Index < 0:
		return fmt.Errorf("settings.position: %d is negative", s.Index)
	case s.Directors == 0 && s.Index == 0 && len(c.Peers)+zones == 0: // it is told nowhere: not that this one is alone
		c.Warnings = append(c.Warnings, "settings.balancers is missing, and nothing else tells how many gateways there are: budgets are those of one of many")
	case s.Directors < n:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d: %d is taken, by peers, zones and position", s.Directors, n))
		s.Directors = n
	case len(c.Peers) > 0 && len(c.Peers) != s.Directors:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d, peers names %d: the former is taken", s.Directors, len(c.Peers)))
	}
	for i, p := range s.ZoneDirectors {
		if p < 0 {
			return fmt.Errorf("settings.familyInfo.countByZone[%d]: %d is negative", i, p)
		}
	}
	return nil
}

// jsonError adds the line to an error of JSON, which names the key if it is about one.
func jsonError(data []byte, err error) error {
	offset := int64(-1)
	var syntax *json.SyntaxError
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &syntax) {
		offset = syntax.Offset
	} else if errors.As(err, &wrongType) {
		offset = wrongType.Offset
	}
	if offset < 0 || offset > int64(len(data)) {
		return err
	}
	return fmt.Errorf("line %d: %w", 1+bytes.Count(data[:offset], []byte("\n")), err)
}

// orDefault replaces a value that is not set.
func orDefault[T int | float64 | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
