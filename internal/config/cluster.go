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

// Cluster says which gateways an installation has, and what they keep to. The operator's file calls it the fleet.
type Cluster struct {
	Name    string
	Listen  string
	Members []ClusterMember
	Voters  []string
	Key     []byte             // that members share
	Folder  string             // of what must outlive the process; empty: nothing does
	Limits  maintenance.Limits // of planned maintenance
	// Replication of what gateways know; nil: it is not replicated.
	Replication *Replication
	// ClockFile holds the milliseconds by which the wall clock is to be off, for experiments alone; empty: none.
	ClockFile string
}

// Replication says how what gateways know is replicated.
type Replication struct {
	CatchUpTimeout    time.Duration // a start waits so long for other gateways
	MaxBytesPerSecond int           // a second, that are sent to others
	MaxListings       int           // of the mapping table, that are published
}

const (
	defaultReplicationWait     = 3 * time.Second
	maxReplicationWait         = 30 * time.Second
	defaultReplicationBytes    = 256 << 10
	defaultReplicationListings = 512
	maxReplicationListings     = 4096
)

// readReplication reads the part fleet.replicate; nil: off.
func readReplication(pb *operatorpb.Replicate) (r *Replication, err error) {
	if pb == nil {
		return nil, nil
	}
	r = &Replication{MaxBytesPerSecond: cmp.Or(int(pb.GetBytes()), defaultReplicationBytes), MaxListings: cmp.Or(int(pb.GetListings()), defaultReplicationListings)}
	if r.CatchUpTimeout, err = parseDuration("fleet.replicate.wait", pb.GetWait(), defaultReplicationWait, 100*time.Millisecond, maxReplicationWait); err != nil {
		return nil, err
	}
	if r.MaxBytesPerSecond < 16<<10 || r.MaxBytesPerSecond > 64<<20 {
		return nil, newKeyError("fleet.replicate.bytes", fmt.Errorf("%d is not from 16384 to 67108864", r.MaxBytesPerSecond))
	}
	if r.MaxListings < 0 || r.MaxListings > maxReplicationListings {
		return nil, newKeyError("fleet.replicate.listings", fmt.Errorf("%d is not from 0 to %d", r.MaxListings, maxReplicationListings))
	}
	return r, nil
}

// ClusterMember is one gateway.
type ClusterMember struct{ Name, Address string }

// Address is where a member listens; empty: there is none of that name.
func (c *Cluster) Address(name string) string {
	for _, m := range c.Members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

const (
	maxMembers      = 1024
	maxVoters       = 9
	maxNameBytes    = 64
	toolPrefix      = "tool-" // of names that are for tools
	minKeyBytes     = 32
	fewVoters       = 3 // of a small cluster that names none,
	moreVoters      = 5 // and of one with this many members or more
	longestDuration = 1 << 62
	clockFileEnv    = "LARCHUSHER_LAB_CLOCK"
)

// readCluster reads who belongs to the cluster; nil: this gateway is alone.
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
	if c.Key, err = clusterKey(pb.GetKeyEnv(), env); err != nil {
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

// readMembers reads the members, and which of them vote.
func (c *Cluster) readMembers(members []*operatorpb.FleetMember) error {
	names, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range members {
		key := fmt.Sprintf("fleet.member[%d]", i)
		name, address := m.GetName(), m.GetAddress()
		if name == "" || len(name) > maxNameBytes || strings.HasPrefix(name, toolPrefix) {
			return newKeyError(key+".name", fmt.Errorf("%q: 1 to %d characters, and %s is for tools", name, maxNameBytes, toolPrefix))
		}
		if names[name] {
			return newKeyError(key+".name", fmt.Errorf("%q stands twice", name))
		}
		if _, err := netip.ParseAddrPort(address); err != nil {
			return newKeyError(key+".address", err)
		}
		if addresses[address] {
			return newKeyError(key+".address", fmt.Errorf("%q stands twice", address))
		}
		names[name], addresses[address] = true, true
		c.Members = append(c.Members, ClusterMember{Name: name, Address: address})
		if m.GetVotes() {
			c.Voters = append(c.Voters, name)
		}
	}
	switch {
	case len(c.Members) == 0:
		return newKeyError("fleet.member", errors.New("there is none"))
	case len(c.Members) > maxMembers:
		return newKeyError("fleet.member", fmt.Errorf("%d, %d may be", len(c.Members), maxMembers))
	case !names[c.Name]:
		return newKeyError("fleet.name", fmt.Errorf("%q is none of the members", c.Name))
	case len(c.Voters) > maxVoters:
		return newKeyError("fleet.member", fmt.Errorf("%d vote, %d may", len(c.Voters), maxVoters))
	}
	return nil
}

// setDefaultVoters has the first members vote.
func (c *Cluster) setDefaultVoters() {
	n := min(fewVoters, len(c.Members))
	if len(c.Members) >= moreVoters {
		n = moreVoters
	}
	for _, m := range c.Members[:n] {
		c.Voters = append(c.Voters, m.Name)
	}
}

// clusterKey reads the key that members share from a variable.
func clusterKey(variable string, env func(string) string) ([]byte, error) {
	key, err := hex.DecodeString(env(variable))
	if variable == "" || err != nil || len(key) < minKeyBytes { // err would show a part of the key
		return nil, newKeyError("fleet.key_env",
			fmt.Errorf("%q is not the name of a variable with %d bytes or more in hex", variable, minKeyBytes))
	}
	return key, nil
}

// readMaintenanceLimits reads what planned maintenance keeps to.
func readMaintenanceLimits(w *operatorpb.Work) (l maintenance.Limits, err error) {
	l = maintenance.Limits{
		MaxUtilization:    w.GetFull(),
		MaxZoneShareOut:   w.GetZoneShare(),
		MinWarmParents:    int(w.GetParents()),
		MaxOut:            int(w.GetAtOnce()),
		MaxTimesOvertaken: int(w.GetPatience()),
	}
	if l.Lease, err = parseDuration("fleet.work.lease", w.GetLease(), 0, 0, longestDuration); err != nil {
		return l, err
	}
	if err := l.Check(); err != nil { // it names the key in other letters
		name, rest, _ := strings.Cut(err.Error(), ": ")
		return l, newKeyError("fleet.work."+keyName(name), errors.New(rest))
	}
	return l, nil
}
