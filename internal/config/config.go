// Package config reads and checks the configuration of a gateway, and sets defaults. There are two files: the platform's, in
// JSON ([Load]), and the operator's, in Protocol Buffers text format ([LoadOperator]).
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

// envPrefix is the prefix of the environment variables that Load reads.
const envPrefix = "BALANCER_"

// Defaults of values that the platform's configuration does not set.
const (
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	defaultCores           = 1
	defaultStreamsPerConn  = 32 // attempts in flight on one connection
	defaultConnectTimeout  = 400 * time.Millisecond
	defaultKeepAlive       = 30 * time.Second
	defaultMaxOpenRequests = 20000
)

// Limits are the resources that the platform lets this process use.
type Limits struct {
	Cores    float64 `json:"cores"`     // processor cores, which may be a fraction
	MemoryMB int     `json:"memory_mb"` // memory in MiB
	Sockets  int     `json:"sockets"`   // open file descriptors
}

// ConnQuotas are the maximum numbers of open connections by use. Together they are less than the limit on file descriptors.
type ConnQuotas struct {
	Endpoints    int // connections to endpoints: caches, parents and the origin
	Clients      int // connections of clients to the platform's front
	SignedFront  int // connections of clients to the front for signed URLs
	HealthChecks int // connections to each of the listeners for the agent check, the health check and metrics
	Admin        int // connections to the admin listener
}

// Each use may have the limit on file descriptors divided by its divisor.
const (
	endpointsDivisor      = 3
	signedFrontDivisor    = 8
	adminDivisor          = 16
	healthChecksDivisor   = 32
	ownDescriptorsDivisor = 4 // for the process itself, which has at most maxOwnDescriptors
)

const (
	maxOwnDescriptors    = 20 // for the process itself: poller, listeners, discovery, gossip, standard streams, files
	maxAuxiliaryConns    = 16 // limit for the admin listener, and for each listener for checks or metrics
	healthCheckListeners = 3  // the agent check, the health check and metrics
)

// ConnQuotas divides the limit on file descriptors among the uses of connections. Clients of the platform's front get what
// remains. signedFront and healthChecks state whether the operator's file enables the front for signed URLs, and any
// listener for checks or metrics.
func (c *Gateway) ConnQuotas(signedFront, healthChecks bool) ConnQuotas {
	n := c.Limits.Sockets
	q := ConnQuotas{Endpoints: n / endpointsDivisor}
	q.Clients = n - q.Endpoints - min(maxOwnDescriptors, n/ownDescriptorsDivisor)
	if c.AdminListen != "" {
		q.Admin = min(maxAuxiliaryConns, n/adminDivisor)
		q.Clients -= q.Admin
	}
	if healthChecks {
		q.HealthChecks = min(maxAuxiliaryConns, n/healthChecksDivisor)
		q.Clients -= healthCheckListeners * q.HealthChecks
	}
	if signedFront {
		q.SignedFront = n / signedFrontDivisor
		q.Clients -= q.SignedFront
	}
	return q
}

// Fingerprint returns a hash of the settings, in hex. Learned state that was saved under another fingerprint is not used.
func (c *Gateway) Fingerprint() string {
	b, err := json.Marshal(c.Settings)
	if err != nil { // NaN or infinity, which JSON cannot encode: such settings are told apart by the gateway's name only
		b = []byte(err.Error())
	}
	return strconv.FormatUint(xxhash.Sum64(b), 16)
}

// Gateway is the platform's configuration of one gateway. Addresses have the form IP:port.
type Gateway struct {
	Name         string                 `json:"name"`
	Listen       string                 `json:"listen"`      // address of the platform's front
	SeedText     string                 `json:"seed"`        // seed of random draws, in hex; empty: a random seed
	Limits       Limits                 `json:"limits"`      // resources that this process may use
	PeerListen   string                 `json:"peer_listen"` // address for gossip; empty: no gossip
	Peers        []string               `json:"peers"`       // gossip addresses of all gateways, including this one
	PeersAll     string                 `json:"peers_all"`   // address by which gossip reaches all peers at once; empty: none
	Journal      string                 `json:"journal"`     // address of the journal service, which streams the endpoint list's events
	AdminListen  string                 `json:"console"`     // address of the admin listener; empty: none
	InitialState discovery.InitialState `json:"known"`       // endpoint list at the start, and the journal's position that it is of
	// FlowBytesPerS is the maximum rate of one answer on these sockets, in bytes per second; 0: the rate of the setting
	// settings.familyInfo.streamKbPerS applies.
	FlowBytesPerS float64         `json:"flow_bytes_per_s"`
	RawSettings   json.RawMessage `json:"settings"` // nil once parsed into Settings and Sockets

	// SizeScale is the factor from a size that a client states to the size on these sockets: the ratio of FlowBytesPerS to
	// the setting streamKbPerS, or 1 if one of them is not set.
	SizeScale float64 `json:"-"`

	// Warnings describe the values that were corrected while parsing. The caller logs them.
	Warnings []string `json:"-"`

	Seed     uint64              `json:"-"` // parsed from SeedText, or drawn at random
	Settings routing.Settings    `json:"-"` // parsed from RawSettings
	Sockets  simprotocol.Sockets `json:"-"` // parsed from RawSettings: limits and timeouts of connections

	keys keySet // keys that the file contains, which CheckReload compares
}

// Load reads the platform's configuration from the file that the environment variable BALANCER_CONFIG names; env looks up
// variables. BALANCER_NAME, BALANCER_LISTEN and BALANCER_CONSOLE override the keys name, listen and console. Errors name the
// file and the key.
func Load(env func(string) string) (*Gateway, error) {
	path := env(envPrefix + "CONFIG")
	if path == "" {
		return nil, errors.New(envPrefix + "CONFIG is not set, want the path of the configuration file")
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%sCONFIG: %w", envPrefix, err)
	}
	c, err := Parse(data, Overrides{Name: env(envPrefix + "NAME"), Listen: env(envPrefix + "LISTEN"),
		AdminListen: env(envPrefix + "CONSOLE")})
	if err != nil {
		return nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	return c, nil
}

// Overrides are values that replace those of the file; empty ones leave the file's value.
type Overrides struct{ Name, Listen, AdminListen string }

// Parse decodes a configuration in JSON, applies overrides, checks it and sets defaults. Errors name the key, and those of
// JSON syntax or types the line.
func Parse(data []byte, overrides Overrides) (*Gateway, error) {
	var c Gateway
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, jsonError(data, err)
	}
	c.Name = cmp.Or(overrides.Name, c.Name)
	c.Listen = cmp.Or(overrides.Listen, c.Listen)
	c.AdminListen = cmp.Or(overrides.AdminListen, c.AdminListen)
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.parseSeed(); err != nil {
		return nil, err
	}
	if err := c.parseSettings(); err != nil {
		return nil, err
	}
	keys, err := readKeys(data)
	if err != nil {
		return nil, err
	}
	c.keys = keys
	if err := c.checkDirectorCount(); err != nil {
		return nil, err
	}
	c.scaleSizes()
	if err := c.checkNumbers(); err != nil {
		return nil, err
	}
	c.setDefaults()
	return &c, nil
}

// checkAddresses checks that each configured address has the form IP:port, and that the required ones are set.
func (c *Gateway) checkAddresses() error {
	for _, a := range [...]struct {
		key, value string
		required   bool
	}{
		{"listen", c.Listen, true},
		{"journal", c.Journal, true},
		{"peer_listen", c.PeerListen, false},
		{"peers_all", c.PeersAll, false},
		{"console", c.AdminListen, false},
	} {
		if a.value == "" && !a.required {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return fmt.Errorf("%s: %w", a.key, err)
		}
	}
	for i, p := range c.Peers {
		if _, err := netip.ParseAddrPort(p); err != nil {
			return fmt.Errorf("peers[%d]: %w", i, err)
		}
	}
	return nil
}

// parseSeed parses SeedText, or draws a random seed if it is empty. No seed is built in, since gateways with the same seed
// would make the same random choices at the same time.
func (c *Gateway) parseSeed() error {
	if c.SeedText == "" {
		c.Seed = rand.Uint64()
		return nil
	}
	seed, err := strconv.ParseUint(c.SeedText, 16, 64)
	if err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	c.Seed = seed
	return nil
}

// parseSettings parses RawSettings into Settings and Sockets, and clears it.
func (c *Gateway) parseSettings() error {
	if len(c.RawSettings) == 0 {
		return errors.New("settings: key is missing, want an object of settings")
	}
	settings, sockets, err := simprotocol.ParseSettings(c.RawSettings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.Sockets = settings, sockets
	c.RawSettings = nil
	return nil
}

// scaleSizes sets the rate of the settings to that of flow_bytes_per_s if it is positive, and SizeScale to the ratio of the two.
func (c *Gateway) scaleSizes() {
	c.SizeScale = 1
	if c.FlowBytesPerS <= 0 {
		return
	}
	if c.Settings.FlowKBps > 0 {
		c.SizeScale = c.FlowBytesPerS / 1000 / c.Settings.FlowKBps
	}
	c.Settings.FlowKBps = c.FlowBytesPerS / 1000
}

// checkNumbers checks that flow_bytes_per_s and the limits are not negative.
func (c *Gateway) checkNumbers() error {
	switch {
	case c.FlowBytesPerS < 0:
		return errors.New("flow_bytes_per_s: value is negative, want 0 or more")
	case c.Limits.Cores < 0:
		return errors.New("limits.cores: value is negative, want 0 or more")
	case c.Limits.MemoryMB < 0:
		return errors.New("limits.memory_mb: value is negative, want 0 or more")
	case c.Limits.Sockets < 0:
		return errors.New("limits.sockets: value is negative, want 0 or more")
	case c.Sockets.StreamsPerConn < 0:
		return errors.New("settings.limits.streamsPerConn: value is negative, want 0 or more")
	}
	return nil
}

// setDefaults sets limits and socket settings that are zero to their defaults.
func (c *Gateway) setDefaults() {
	setIfZero(&c.Limits.Cores, defaultCores)
	setIfZero(&c.Limits.MemoryMB, defaultMemoryMB)
	setIfZero(&c.Limits.Sockets, defaultSockets)
	setIfZero(&c.Sockets.StreamsPerConn, defaultStreamsPerConn)
	setIfZero(&c.Sockets.ConnectTimeout, defaultConnectTimeout)
	setIfZero(&c.Sockets.KeepAlive, defaultKeepAlive)
	setIfZero(&c.Sockets.MaxOpenRequests, defaultMaxOpenRequests)
}

// checkDirectorCount reconciles the configured number of gateways (settings.balancers) with the list of peers, the gateways by
// zone and this gateway's index. Gateways divide shared budgets by this number. If the sources disagree or the number is
// missing, the largest applies and a warning is added, so that all gateways together do not exceed a budget. A negative
// number is an error.
func (c *Gateway) checkDirectorCount() error {
	s := &c.Settings
	directorsInZones := 0
	for _, n := range s.ZoneDirectors {
		directorsInZones += max(0, n)
	}
	minDirectors := max(len(c.Peers), s.Index+1, directorsInZones)
	countUnknown := s.Directors == 0 && s.Index == 0 && len(c.Peers)+directorsInZones == 0
	switch {
	case s.Directors < 0:
		return fmt.Errorf("settings.balancers: %d is negative, want 0 or more", s.Directors)
	case s.Index < 0:
		return fmt.Errorf("settings.position: %d is negative, want 0 or more", s.Index)
	case countUnknown: // other gateways may still exist, so the budget of a lone gateway must not apply
		c.Warnings = append(c.Warnings, "settings.balancers is missing, and neither peers, zones nor position imply the number of gateways: using the budgets of one gateway of many")
	case s.Directors < minDirectors:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d, using %d instead: peers, zones and position imply at least that many gateways", s.Directors, minDirectors))
		s.Directors = minDirectors
	case len(c.Peers) > 0 && len(c.Peers) != s.Directors:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d, but peers lists %d gateways: using settings.balancers", s.Directors, len(c.Peers)))
	}
	for i, n := range s.ZoneDirectors {
		if n < 0 {
			return fmt.Errorf("settings.familyInfo.countByZone[%d]: %d is negative, want 0 or more", i, n)
		}
	}
	return nil
}

// jsonError adds the line number to a syntax or type error of encoding/json. The message of a type error names the key.
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

// setIfZero sets a value to its default if it is zero.
func setIfZero[T int | float64 | time.Duration](v *T, defaultValue T) {
	if *v == 0 {
		*v = defaultValue
	}
}
