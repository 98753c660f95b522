package config

import (
	"cmp"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/maintenance"
)

// Cluster is the configuration of this gateway as a member of a cluster: the part fleet of the operator's file.
type Cluster struct {
	Name    string             // this gateway's name in Members
	Listen  string             // address and port on which this gateway accepts the other members
	Members []ClusterMember    // all gateways of the cluster, including this one
	Voters  []string           // names of the members that vote in consensus
	Key     []byte             // secret that all members share
	Folder  string             // folder for the state that must survive a restart; empty: no state survives
	Limits  maintenance.Limits // limits on planned maintenance
	// Replication configures the replication of learned state among gateways; nil: learned state is not replicated.
	Replication *Replication
	// ClockFile is the path of a file with an offset in milliseconds that is added to the wall clock. It is for
	// experiments only; empty: no offset.
	ClockFile string
}

// Replication is the configuration of the replication of learned state among gateways.
type Replication struct {
	CatchUpTimeout    time.Duration // how long a start waits at most for the state of other gateways
	MaxBytesPerSecond int           // bytes that may be sent to other gateways in a second
	MaxListings       int           // listings of this gateway's mapping table that are published
}

const (
	defaultCatchUpTimeout      = 3 * time.Second
	maxCatchUpTimeout          = 30 * time.Second
	defaultMaxBytesPerSecond   = 256 << 10
	defaultReplicationListings = 512
	maxReplicationListings     = 4096
)

// readReplication checks and converts the part fleet.replicate of the operator's file. It returns nil if the file has no
// such part, which leaves replication off.
func readReplication(pb *operatorpb.Replicate) (r *Replication, err error) {
	if pb == nil {
		return nil, nil
	}
	r = &Replication{MaxBytesPerSecond: cmp.Or(int(pb.GetBytes()), defaultMaxBytesPerSecond), MaxListings: cmp.Or(int(pb.GetListings()), defaultReplicationListings)}
	if r.CatchUpTimeout, err = parseDuration("fleet.replicate.wait", pb.GetWait(), defaultCatchUpTimeout, 100*time.Millisecond, maxCatchUpTimeout); err != nil {
		return nil, err
	}
	if r.MaxBytesPerSecond < 16<<10 || r.MaxBytesPerSecond > 64<<20 {
		return nil, newKeyError("fleet.replicate.bytes", fmt.Errorf("%d is out of range, want 16384 to 67108864", r.MaxBytesPerSecond))
	}
	if r.MaxListings < 0 || r.MaxListings > maxReplicationListings {
		return nil, newKeyError("fleet.replicate.listings", fmt.Errorf("%d is out of range, want 0 to %d", r.MaxListings, maxReplicationListings))
	}
	return r, nil
}

// ClusterMember is a gateway of a cluster, with the address and port on which it accepts other members and tools.
type ClusterMember struct{ Name, Address string }

// Address returns the address and port of the member with a name, or "" if there is no such member.
func (c *Cluster) Address(name string) string {
	for _, m := range c.Members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

const (
	maxMembers                = 1024
	maxVoters                 = 9
	maxNameBytes              = 64
	toolNamePrefix            = "tool-" // prefix of the names that tools connect under, which no member may have
	minClusterKeyBytes        = 32
	defaultVoters             = 3                      // voters of a cluster that configures none and has fewer than five members
	defaultVotersLargeCluster = 5                      // voters of a cluster that configures none and has at least this many members
	unboundedDuration         = 1 << 62                // no upper bound: maintenance.Limits.Check applies its own
	clockFileEnv              = "LARCHUSHER_LAB_CLOCK" // environment variable with the path of Cluster.ClockFile
)

// readCluster checks and converts the part fleet of the operator's file; env looks up environment variables. It returns nil
// if the file has no such part, in which case the gateway runs without a cluster.
func readCluster(pb *operatorpb.Fleet, env func(string) string) (*Cluster, error) {
	if pb == nil {
		return nil, nil
	}
	c := &Cluster{Name: pb.GetName(), Listen: pb.GetListen(), Folder: pb.GetFolder(), ClockFile: env(clockFileEnv)}
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return nil, newKeyError("fleet.listen", err)
	}
	if err := c.readMembers(pb.GetMember()); err != nil {
		return nil, err
	}
	if len(c.Voters) == 0 {
		c.setDefaultVoters()
	}
	var err error
	if c.Key, err = loadClusterKey(pb.GetKeyEnv(), env); err != nil {
		return nil, err
	}
	if c.Replication, err = readReplication(pb.GetReplicate()); err != nil {
		return nil, err
	}
	if c.Limits, err = readMaintenanceLimits(pb.GetWork()); err != nil {
		return nil, err
	}
	return c, nil
}

// readMembers checks the configured members and sets Members, and Voters to those that are marked as voting.
func (c *Cluster) readMembers(members []*operatorpb.FleetMember) error {
	seenNames, seenAddresses := map[string]bool{}, map[string]bool{}
	for i, m := range members {
		key := fmt.Sprintf("fleet.member[%d]", i)
		name, address := m.GetName(), m.GetAddress()
		if name == "" || len(name) > maxNameBytes || strings.HasPrefix(name, toolNamePrefix) {
			return newKeyError(key+".name", fmt.Errorf("%q is not a valid member name: want 1 to %d bytes, and the prefix %s is reserved for tools", name, maxNameBytes, toolNamePrefix))
		}
		if seenNames[name] {
			return newKeyError(key+".name", fmt.Errorf("%q is listed twice", name))
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return newKeyError(key+".address", err)
		}
		if seenAddresses[address] {
			return newKeyError(key+".address", fmt.Errorf("%q is listed twice", address))
		}
		seenNames[name], seenAddresses[address] = true, true
		c.Members = append(c.Members, ClusterMember{Name: name, Address: address})
		if m.GetVotes() {
			c.Voters = append(c.Voters, name)
		}
	}
	switch {
	case len(c.Members) == 0:
		return newKeyError("fleet.member", errors.New("no member is listed, want at least one"))
	case len(c.Members) > maxMembers:
		return newKeyError("fleet.member", fmt.Errorf("%d members are listed, want at most %d", len(c.Members), maxMembers))
	case !seenNames[c.Name]:
		return newKeyError("fleet.name", fmt.Errorf("%q is not the name of a member, want one of fleet.member", c.Name))
	case len(c.Voters) > maxVoters:
		return newKeyError("fleet.member", fmt.Errorf("%d members vote, want at most %d", len(c.Voters), maxVoters))
	}
	return nil
}

// setDefaultVoters makes the first members of the list voters: five in a cluster of five or more, otherwise up to three.
func (c *Cluster) setDefaultVoters() {
	n := min(defaultVoters, len(c.Members))
	if len(c.Members) >= defaultVotersLargeCluster {
		n = defaultVotersLargeCluster
	}
	for _, m := range c.Members[:n] {
		c.Voters = append(c.Voters, m.Name)
	}
}

// loadClusterKey decodes the cluster's key, in hex, from the environment variable with a name.
func loadClusterKey(variableName string, env func(string) string) ([]byte, error) {
	key, err := hex.DecodeString(env(variableName))
	if variableName == "" || err != nil || len(key) < minClusterKeyBytes { // err is not returned: its text would show a part of the key
		return nil, newKeyError("fleet.key_env",
			fmt.Errorf("environment variable %q does not contain a key of at least %d bytes in hex", variableName, minClusterKeyBytes))
	}
	return key, nil
}

// readMaintenanceLimits checks and converts the limits on planned maintenance, the part fleet.work of the operator's file.
func readMaintenanceLimits(w *operatorpb.Work) (l maintenance.Limits, err error) {
	l = maintenance.Limits{
		MaxUtilization:    w.GetFull(),
		MaxZoneShareOut:   w.GetZoneShare(),
		MinWarmParents:    int(w.GetParents()),
		MaxOut:            int(w.GetAtOnce()),
		MaxTimesOvertaken: int(w.GetPatience()),
	}
	if l.Lease, err = parseDuration("fleet.work.lease", w.GetLease(), 0, 0, unboundedDuration); err != nil {
		return l, err
	}
	if err := l.Check(); err != nil { // its text begins with the name of the key and a colon
		name, rest, _ := strings.Cut(err.Error(), ": ")
		return l, newKeyError("fleet.work."+keyName(name), errors.New(rest))
	}
	return l, nil
}
