package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"reflect"

	"google.golang.org/protobuf/encoding/prototext"

	"larchusher/internal/config/operatorpb"
	"larchusher/locality"
	"larchusher/overload"
)

// Operator is the operator's own file. The zero value is an empty file, which has everything off.
type Operator struct {
	SignedFront   *SignedFront    // nil: off
	AgentListen   string          // address of the HAProxy agent check; empty: off
	HTTPListen    string          // address of the HTTP health check; empty: off
	MetricsListen string          // address of the metrics for Prometheus; empty: off
	Overload      overload.Config // complete but for what follows from the gateway's settings
	State         *State          // nil: off
	Cluster       *Cluster        // nil: off

	// Localities, the own one first, whose Name the gateway's settings have (see LocalitiesFor). nil: the own one only.
	Localities *locality.Config
}

// SameRestartSettings reports whether a newer file has the same of everything that is taken in at the start only. A reload
// takes in the keys of the signed front, that it has ended, and what localities go by, but not which ones there are.
func (o *Operator) SameRestartSettings(newer *Operator) bool {
	signedMoved := newer.SignedFront != nil && (o.SignedFront == nil || o.SignedFront.Listen != newer.SignedFront.Listen)
	return !signedMoved && reflect.DeepEqual(o.restartSettings(), newer.restartSettings())
}

// restartSettings are what is taken in at the start only, but for the address of the signed front.
func (o *Operator) restartSettings() []any {
	var names []string
	if o.Localities != nil {
		for _, l := range o.Localities.Localities {
			names = append(names, l.Name)
		}
	}
	return []any{o.AgentListen, o.HTTPListen, o.MetricsListen, o.Overload, names, o.State, o.Cluster}
}

// LoadOperator reads the operator's file; an empty path is an empty file. Errors name the key and its line.
func LoadOperator(path string, env func(string) string) (*Operator, error) {
	if path == "" {
		return &Operator{}, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator's file: %w", err)
	}
	o, err := ParseOperator(data, env)
	if err != nil {
		return nil, fmt.Errorf("operator's file %s: %w", path, err)
	}
	return o, nil
}

// ParseOperator reads an operator's file. Errors name the key and, if it can be found, its line.
func ParseOperator(data []byte, env func(string) string) (*Operator, error) {
	var pb operatorpb.Operator
	if err := prototext.Unmarshal(data, &pb); err != nil { // it names the line and the key
		return nil, err
	}
	o, err := readOperator(&pb, env)
	var faulty *keyError
	if errors.As(err, &faulty) {
		if line := lineOf(data, faulty.key); line > 0 {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
	}
	return o, err
}

// readOperator checks and converts a file.
func readOperator(pb *operatorpb.Operator, env func(string) string) (*Operator, error) {
	o := &Operator{
		AgentListen:   pb.GetHealth().GetAgentListen(),
		HTTPListen:    pb.GetHealth().GetHttpListen(),
		MetricsListen: pb.GetMetrics().GetListen(),
	}
	for _, a := range [...]struct {
		key, value string
		required   bool
	}{
		{"signed_front.listen", pb.GetSignedFront().GetListen(), pb.SignedFront != nil},
		{"health.agent_listen", o.AgentListen, false},
		{"health.http_listen", o.HTTPListen, false},
		{"metrics.listen", o.MetricsListen, false},
	} {
		if a.value == "" && !a.required {
			continue
		}
		if _, err := netip.ParseAddrPort(a.value); err != nil {
			return nil, newKeyError(a.key, err)
		}
	}
	var err error
	if pb.SignedFront != nil {
		if o.SignedFront, err = readSigned(pb.SignedFront, env); err != nil {
			return nil, err
		}
	}
	if o.Overload, err = readOverload(pb.GetOverload()); err != nil {
		return nil, err
	}
	if o.State, err = readState(pb.GetState(), env); err != nil {
		return nil, err
	}
	if o.Cluster, err = readCluster(pb.GetFleet(), env); err != nil {
		return nil, err
	}
	if o.Localities, err = readLocalities(pb.GetTiers()); err != nil {
		return nil, err
	}
	return o, nil
}
