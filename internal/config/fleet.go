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

// Cluster says who the gateways of an installation are, and what they keep to.
type Cluster struct {
	Name    string
	Listen  string
	Members []ClusterMember
	Voters  []string
	Key     []byte
	Folder  string // empty: nothing lasts
	Bounds  maintenance.Limits
	// Replicate: nil: what is known is not kept in common.
	Replication *Replication
	// ClockFile holds milliseconds by which the wall clock is to be off, for experiments alone; empty: none.
	ClockFile string
}

// Replication says how what gateways know is kept in common.
type Replication struct {
	Wait     time.Duration // a start waits so long for neighbours
	Bytes    int           // a second, that others are sent
	Listings int           // that others are told of
}

const (
	defaultReplicationWait     = 3 * time.Second
	maxReplicationWait         = 30 * time.Second
	defaultReplicationBytes    = 256 << 10
	defaultReplicationListings = 512
	maxReplicationListings     = 4096
)

func readReplication(pb *operatorpb.Replicate) (r *Replication, err error) {
	if pb == nil {
		return nil, nil
	}
	r = &Replication{Bytes: cmp.Or(int(pb.GetBytes()), defaultReplicationBytes), Listings: cmp.Or(int(pb.GetListings()), defaultReplicationListings)}
	if r.Wait, err = parseDuration("fleet.replicate.wait", pb.GetWait(), defaultReplicationWait, 100*time.Millisecond, maxReplicationWait); err != nil {
		return nil, err
	}
	if r.Bytes < 16<<10 || r.Bytes > 64<<20 {
		return nil, newKeyError("fleet.replicate.bytes", fmt.Errorf("%d is not from 16384 to 67108864", r.Bytes))
	}
	if r.Listings < 0 || r.Listings > maxReplicationListings {
		return nil, newKeyError("fleet.replicate.listings", fmt.Errorf("%d is not from 0 to %d", r.Listings, maxReplicationListings))
	}
	return r, nil
}

// ClusterMember is one gateway.
type ClusterMember struct{ Name, Address string }

// Address is where a member listens; empty: there is none of that name.
func (f *Cluster) Address(name string) string {
	for _, m := range f.Members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

const (
	maxMembers   = 1024
	maxVoters    = 9
	minKeyBytes  = 32 // bytes, at least
	clockFileEnv = "LARCHUSHER_LAB_CLOCK"
)

// readCluster reads who belongs to the installation; nil: this gateway is alone.
func readCluster(pb *operatorpb.Fleet, env func(string) string) (*Cluster, error) {
	if pb == nil {
		return nil, nil
	}
	f := &Cluster{Name: pb.GetName(), Listen: pb.GetListen(), Folder: pb.GetFolder(), ClockFile: env(clockFileEnv)}
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return nil, newKeyError("fleet.listen", err)
	}
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range pb.GetMember() {
		key := fmt.Sprintf("fleet.member[%d]", i)
		if m.GetName() == "" || len(m.GetName()) > 64 || strings.HasPrefix(m.GetName(), "tool-") {
			return nil, newKeyError(key+".name", fmt.Errorf("%q: 1 to 64 characters, and tool- is for tools", m.GetName()))
		}
		if seen[m.GetName()] {
			return nil, newKeyError(key+".name", fmt.Errorf("%q stands twice", m.GetName()))
		}
		if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
			return nil, newKeyError(key+".address", err)
		}
		if addresses[m.GetAddress()] {
			return nil, newKeyError(key+".address", fmt.Errorf("%q stands twice", m.GetAddress()))
		}
		seen[m.GetName()], addresses[m.GetAddress()] = true, true
		f.Members = append(f.Members, ClusterMember{m.GetName(), m.GetAddress()})
		if m.GetVotes() {
			f.Voters = append(f.Voters, m.GetName())
		}
	}
	switch {
	case len(f.Members) == 0:
		return nil, newKeyError("fleet.member", errors.New("there is none"))
	case len(f.Members) > maxMembers:
		return nil, newKeyError("fleet.member", fmt.Errorf("%d, %d may be", len(f.Members), maxMembers))
	case !seen[f.Name]:
		return nil, newKeyError("fleet.name", fmt.Errorf("%q is none of the members", f.Name))
	case len(f.Voters) > maxVoters:
		return nil, newKeyError("fleet.member", fmt.Errorf("%d vote, %d may", len(f.Voters), maxVoters))
	}
	if len(f.Voters) == 0 {
		n := min(3, len(f.Members))
		if len(f.Members) >= 5 {
			n = 5
		}
		for _, m := range f.Members[:n] {
			f.Voters = append(f.Voters, m.Name)
		}
	}
	var err error
	if f.Key, err = hex.DecodeString(env(pb.GetKeyEnv())); pb.GetKeyEnv() == "" || err != nil || len(f.Key) < minKeyBytes {
		return nil, newKeyError("fleet.key_env", fmt.Errorf("%q is not the name of a variable with %d bytes or more in hex", pb.GetKeyEnv(), minKeyBytes))
	}
	if f.Replication, err = readReplication(pb.GetReplicate()); err != nil {
		return nil, err
	}
	w := pb.GetWork()
	f.Bounds = maintenance.Limits{MaxUtilization: w.GetFull(), MaxZoneShareOut: w.GetZoneShare(), MinWarmParents: int(w.GetParents()), MaxOut: int(w.GetAtOnce()), MaxTimesOvertaken: int(w.GetPatience())}
	if f.Bounds.Lease, err = parseDuration("fleet.work.lease", w.GetLease(), 0, 0, 1<<62); err != nil {
		return nil, err
	}
	if err := f.Bounds.Check(); err != nil {
		name, rest, _ := strings.Cut(err.Error(), ": ")
		return nil, newKeyError("fleet.work."+keyName(name), errors.New(rest))
	}
	return f, nil
}
