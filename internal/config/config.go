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

// environmentPrefix begins the names of the variables that Load reads.
const environmentPrefix = "BALANCER_"

// Defaults for what the configuration leaves out.
const (
	defaultMemoryMB        = 192
	defaultSockets         = 1024
	defaultCores           = 1
	defaultStreams         = 32 // attempts on one connection
	defaultConnect         = 400 * time.Millisecond
	defaultKeepAlive       = 30 * time.Second
	defaultMaxOpenRequests = 20000
)

// Limits are what the platform lets the program use.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// ConnQuotas are how many connections each side may hold. They add up to less than the limit on descriptors.
type ConnQuotas struct {
	Endpoints    int // connections to endpoints
	Clients      int // of the platform's front
	Signed       int // of the front for signed URLs
	HealthChecks int // of each listener for checks and metrics
	Admin        int // of operators
}

// Parts of the descriptors, which are divided by these.
const (
	endpointsDivisor    = 3
	signedDivisor       = 8
	adminDivisor        = 16
	healthChecksDivisor = 32
	ownUseDivisor       = 4 // at most; see maxOwnUse
)

const (
	maxOwnUse    = 20 // the program's own: poller, listeners, endpoint list, gossip, standard streams, files
	maxSideConns = 16 // of operators, and of each listener for checks
	checkSides   = 3  // listeners for checks and metrics
)

// ConnQuotas divides the descriptors. Clients of the platform get what the others leave.
func (c *Gateway) ConnQuotas(signed, checks bool) ConnQuotas {
	n := c.Limits.Sockets
	q := ConnQuotas{Endpoints: n / endpointsDivisor}
	q.Clients = n - q.Endpoints - min(maxOwnUse, n/ownUseDivisor)
	if c.AdminListen != "" {
		q.Admin = min(maxSideConns, n/adminDivisor)
		q.Clients -= q.Admin
	}
	if checks {
		q.HealthChecks = min(maxSideConns, n/healthChecksDivisor)
		q.Clients -= checkSides * q.HealthChecks
	}
	if signed {
		q.Signed = n / signedDivisor
		q.Clients -= q.Signed
	}
	return q
}

// Fingerprint tells one deployment's settings from another's: what was learned under other settings is not used.
func (c *Gateway) Fingerprint() string {
	b, err := json.Marshal(c.Settings)
	if err != nil { // of a number that JSON has no form for: the gateway's name must tell them apart
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
	AdminListen  string                 `json:"console"` // address for operators; empty: none
	InitialState discovery.InitialState `json:"known"`
	// FlowBytesPerS is the top pace of one answer on these sockets, in bytes a second; 0: settings.familyInfo.streamKbPerS.
	FlowBytesPerS float64         `json:"flow_bytes_per_s"`
	RawSettings   json.RawMessage `json:"settings"`

	// SizeScale is how many KB on these sockets a KB of a size that clients state counts for.
	SizeScale float64 `json:"-"`

	// Warnings are what was corrected while reading, to be logged.
	Warnings []string `json:"-"`

	Seed     uint64              `json:"-"`
	Settings routing.Settings    `json:"-"`
	Sockets  simprotocol.Sockets `json:"-"`

	keys keySet
}

// Load reads the configuration that the environment names: the file in BALANCER_CONFIG, some of whose values
// BALANCER_NAME, BALANCER_LISTEN and BALANCER_CONSOLE override. Errors name the file and the key.
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

// Overrides are values that go before those of the file, unless they are empty.
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
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.parseSeed(); err != nil {
		return nil, err
	}
	if err := c.parseSettings(); err != nil {
		return nil, err
	}
	keys, err := keysOf(data)
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

// checkAddresses checks that what is to be an address is one.
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

// parseSeed reads the seed, or draws one: gateways with the same seed would make the same choices at the same moment.
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

// parseSettings reads the settings.
func (c *Gateway) parseSettings() error {
	if len(c.RawSettings) == 0 {
		return errors.New("settings: missing")
	}
	settings, sockets, err := simprotocol.ParseSettings(c.RawSettings)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	c.Settings, c.Sockets = settings, sockets
	c.RawSettings = nil
	return nil
}

// scaleSizes has flow_bytes_per_s replace the pace of the settings, and sizes that clients state count in its measure.
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

// checkNumbers checks that no limit is negative.
func (c *Gateway) checkNumbers() error {
	switch {
	case c.FlowBytesPerS < 0:
		return errors.New("flow_bytes_per_s: negative")
	case c.Limits.Cores < 0:
		return errors.New("limits.cores: negative")
	case c.Limits.MemoryMB < 0:
		return errors.New("limits.memory_mb: negative")
	case c.Limits.Sockets < 0:
		return errors.New("limits.sockets: negative")
	case c.Sockets.StreamsPerConn < 0:
		return errors.New("settings.limits.streamsPerConn: negative")
	}
	return nil
}

// setDefaults replaces what is not set.
func (c *Gateway) setDefaults() {
	orDefault(&c.Limits.Cores, defaultCores)
	orDefault(&c.Limits.MemoryMB, defaultMemoryMB)
	orDefault(&c.Limits.Sockets, defaultSockets)
	orDefault(&c.Sockets.StreamsPerConn, defaultStreams)
	orDefault(&c.Sockets.ConnectTimeout, defaultConnect)
	orDefault(&c.Sockets.KeepAlive, defaultKeepAlive)
	orDefault(&c.Sockets.MaxOpenRequests, defaultMaxOpenRequests)
}

// checkDirectorCount checks how many gateways there are, among which budgets are divided. Where the number disagrees with
// the list of peers, the zones or the own index, or is missing, the largest one holds: all together spend no more than is
// allowed.
func (c *Gateway) checkDirectorCount() error {
	s := &c.Settings
	inZones := 0
	for _, n := range s.ZoneDirectors {
		inZones += max(0, n)
	}
	atLeast := max(len(c.Peers), s.Index+1, inZones)
	unknown := s.Directors == 0 && s.Index == 0 && len(c.Peers)+inZones == 0
	switch {
	case s.Directors < 0:
		return fmt.Errorf("settings.balancers: %d is negative", s.Directors)
	case s.Index < 0:
		return fmt.Errorf("settings.position: %d is negative", s.Index)
	case unknown: // which does not say that this one is alone
		c.Warnings = append(c.Warnings, "settings.balancers is missing, and nothing else tells how many gateways there are: budgets are those of one of many")
	case s.Directors < atLeast:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d: %d is taken, by peers, zones and position", s.Directors, atLeast))
		s.Directors = atLeast
	case len(c.Peers) > 0 && len(c.Peers) != s.Directors:
		c.Warnings = append(c.Warnings, fmt.Sprintf("settings.balancers is %d, peers names %d: the former is taken", s.Directors, len(c.Peers)))
	}
	for i, n := range s.ZoneDirectors {
		if n < 0 {
			return fmt.Errorf("settings.familyInfo.countByZone[%d]: %d is negative", i, n)
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
