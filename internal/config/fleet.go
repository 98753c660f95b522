package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"strings"

	"larchusher/internal/config/operatorpb"
	"larchusher/work"
)

// Fleet says who the gateways of an installation are, and what they keep to.
type Fleet struct {
	Name    string
	Listen  string
	Members []FleetMember
	Voters  []string
	Key     []byte
	Folder  string // empty: nothing lasts
	Bounds  work.Bounds
	// ClockFile holds milliseconds by which the wall clock is to be off, for experiments alone; empty: none.
	ClockFile string
}

// FleetMember is one gateway.
type FleetMember struct{ Name, Address string }

// Address is where a member listens; empty: there is none of that name.
func (f *Fleet) Address(name string) string {
	for _, m := range f.Members {
		if m.Name == name {
			return m.Address
		}
	}
	return ""
}

const (
	fleetMost    = 1024
	votersMost   = 9
	fleetKey     = 32 // bytes, at least
	clockFileEnv = "LARCHUSHER_LAB_CLOCK"
)

// readFleet reads who belongs to the installation; nil: this gateway is alone.
func readFleet(pb *operatorpb.Fleet, env func(string) string) (*Fleet, error) {
	if pb == nil {
		return nil, nil
	}
	f := &Fleet{Name: pb.GetName(), Listen: pb.GetListen(), Folder: pb.GetFolder(), ClockFile: env(clockFileEnv)}
	if _, err := netip.ParseAddrPort(f.Listen); err != nil {
		return nil, fault("fleet.listen", err)
	}
	seen, addresses := map[string]bool{}, map[string]bool{}
	for i, m := range pb.GetMember() {
		key := fmt.Sprintf("fleet.member[%d]", i)
		if m.GetName() == "" || len(m.GetName()) > 64 || strings.HasPrefix(m.GetName(), "tool-") {
			return nil, fault(key+".name", fmt.Errorf("%q: 1 to 64 characters, and tool- is for tools", m.GetName()))
		}
		if seen[m.GetName()] {
			return nil, fault(key+".name", fmt.Errorf("%q stands twice", m.GetName()))
		}
		if _, err := netip.ParseAddrPort(m.GetAddress()); err != nil {
			return nil, fault(key+".address", err)
		}
		if addresses[m.GetAddress()] {
			return nil, fault(key+".address", fmt.Errorf("%q stands twice", m.GetAddress()))
		}
		seen[m.GetName()], addresses[m.GetAddress()] = true, true
		f.Members = append(f.Members, FleetMember{m.GetName(), m.GetAddress()})
		if m.GetVotes() {
			f.Voters = append(f.Voters, m.GetName())
		}
	}
	switch {
	case len(f.Members) == 0:
		return nil, fault("fleet.member", errors.New("there is none"))
	case len(f.Members) > fleetMost:
		return nil, fault("fleet.member", fmt.Errorf("%d, %d may be", len(f.Members), fleetMost))
	case !seen[f.Name]:
		return nil, fault("fleet.name", fmt.Errorf("%q is none of the members", f.Name))
	case len(f.Voters) > votersMost:
		return nil, fault("fleet.member", fmt.Errorf("%d vote, %d may", len(f.Voters), votersMost))
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
	if f.Key, err = hex.DecodeString(env(pb.GetKeyEnv())); pb.GetKeyEnv() == "" || err != nil || len(f.Key) < fleetKey {
		return nil, fault("fleet.key_env", fmt.Errorf("%q is not the name of a variable with %d bytes or more in hex", pb.GetKeyEnv(), fleetKey))
	}
	w := pb.GetWork()
	f.Bounds = work.Bounds{Full: w.GetFull(), ZoneShare: w.GetZoneShare(), Parents: int(w.GetParents()), AtOnce: int(w.GetAtOnce()), Patience: int(w.GetPatience())}
	if f.Bounds.Lease, err = span("fleet.work.lease", w.GetLease(), 0, 0, 1<<62); err != nil {
		return nil, err
	}
	if err := f.Bounds.Check(); err != nil {
		name, rest, _ := strings.Cut(err.Error(), ": ")
		return nil, fault("fleet.work."+snake(name), errors.New(rest))
	}
	return f, nil
}
