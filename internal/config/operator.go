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

// Operator is the configuration in the operator's file, which the platform does not write. The zero value has every optional
// feature off. Addresses have the form IP:port.
type Operator struct {
	SignedFront   *SignedFront    // front for signed URLs; nil: off
	AgentListen   string          // address of the HAProxy agent check; empty: off
	HTTPListen    string          // address of the HTTP health check; empty: off
	MetricsListen string          // address at which Prometheus scrapes metrics; empty: off
	Overload      overload.Config // admission control; lacks the values that the gateway's settings determine
	State         *State          // files of learned state; nil: off
	Cluster       *Cluster        // cluster of gateways; nil: off

	// Localities are this gateway's own locality, first, and those that its requests may spill to. The name of the own one
	// comes from the gateway's settings (see LocalitiesFor). nil: the own locality only.
	Localities *locality.Config
}

// SameRestartSettings reports whether a newer file agrees with o in everything that takes effect only at a start. A reload
// applies changes of the signed front, including its removal, but not of its address, and changes of the localities' limits,
// but not of their names.
func (o *Operator) SameRestartSettings(newer *Operator) bool {
	signedListenChanged := newer.SignedFront != nil && (o.SignedFront == nil || o.SignedFront.Listen != newer.SignedFront.Listen)
	return !signedListenChanged && reflect.DeepEqual(o.restartSettings(), newer.restartSettings())
}

// restartSettings returns the values that take effect only at a start, except the address of the signed front.
func (o *Operator) restartSettings() []any {
	var names []string
	if o.Localities != nil {
		for _, l := range o.Localities.Localities {
			names = append(names, l.Name)
		}
	}
	return []any{o.AgentListen, o.HTTPListen, o.MetricsListen, o.Overload, names, o.State, o.Cluster}
}

// LoadOperator reads the operator's file; an empty path stands for an empty file. env looks up environment variables that
// contain keys. Errors name the file, and the key and line if one is at fault.
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

// ParseOperator parses and checks the contents of an operator's file; env looks up environment variables that contain keys.
// Errors name the key and, if it can be found, its line.
func ParseOperator(data []byte, env func(string) string) (*Operator, error) {
	var pb operatorpb.Operator
	if err := prototext.Unmarshal(data, &pb); err != nil { // the error names the line and the key
		return nil, err
	}
	o, err := readOperator(&pb, env)
	var keyErr *keyError
	if errors.As(err, &keyErr) {
		if line := lineOf(data, keyErr.key); line > 0 {
			return nil, fmt.Errorf("line %d: %w", line, err)
		}
	}
	return o, err
}

// readOperator checks and converts a decoded operator's file.
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
		if o.SignedFront, err = readSignedFront(pb.SignedFront, env); err != nil {
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
