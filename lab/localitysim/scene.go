package localitysim

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/prototext"

	"larchusher/lab/localitysim/scenepb"
)

// Axis is one axis of a sweep: a key of [Scene.Set] and its values.
type Axis struct {
	Key    string
	Values []float64
}

// File is the content of a scene file.
type File struct {
	Scene    Scene // its Policy is not used; runs take those of Policies
	Policies []Policy
	Directed bool // simulated by RunWithDirectors
	Sweep    []Axis
}

// Load reads and checks a scene file. Errors name the file and the invalid key.
func Load(path string) (*File, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("scene: %w", err)
	}
	f, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("scene %s: %w", path, err)
	}
	return f, nil
}

// Parse parses and checks the content of a scene file. Errors name the invalid key.
func Parse(data []byte) (*File, error) {
	var pb scenepb.Scene
	if err := prototext.Unmarshal(data, &pb); err != nil { // the error names the line and the key
		return nil, err
	}
	def := func(v, d float64) float64 { return cmp.Or(v, d) }
	f := &File{Directed: pb.GetDirected(), Scene: Scene{BoxRate: def(pb.GetBoxRate(), 80), Objects: int(cmp.Or(pb.GetObjects(), 4000)),
		Skew: def(pb.GetSkew(), 1.1), Origin: def(pb.GetOrigin(), 3), Parent: def(pb.GetParent(), 3), Seed: cmp.Or(pb.GetSeed(), 1),
		Repeat: pb.GetRepeat(), Memory: pb.GetMemory(), Policy: Tiered}}
	sc := &f.Scene
	b := pb.GetBounds()
	sc.Tiers.MaxSpillover, sc.Tiers.SpareCapacityShare, sc.Tiers.FullUtilization, sc.Tiers.SpilloverRise = b.GetSpill(), b.GetSpare(), b.GetFull(), b.GetRise()
	sc.Tiers.RampStart, sc.Tiers.OverProvisioning = b.GetStart(), b.GetOver()
	for _, s := range [...]struct {
		key, text, def string
		to             *time.Duration
	}{{"list_late", pb.GetListLate(), "3s", &sc.List}, {"for", pb.GetFor(), "70s", &sc.For}, {"warm", pb.GetWarm(), "10s", &sc.Warm},
		{"bounds.ramp", b.GetRamp(), "0s", &sc.Tiers.RampDuration}, {"bounds.silence", b.GetSilence(), "0s", &sc.Tiers.SilenceTimeout}} {
		d, err := time.ParseDuration(cmp.Or(s.text, s.def))
		if err != nil || d < 0 {
			return nil, fmt.Errorf("%s: %q is not a duration of at least 0: %w", s.key, s.text, cmp.Or(err, errors.New("negative")))
		}
		*s.to = d
	}
	if err := f.addZones(&pb); err != nil {
		return nil, err
	}
	if err := f.addPolicies(&pb); err != nil {
		return nil, err
	}
	if err := f.addSweep(&pb); err != nil {
		return nil, err
	}
	return f, nil
}

// addZones adds the zones and their faults to the scene.
func (f *File) addZones(pb *scenepb.Scene) error {
	sc, names := &f.Scene, map[string]int{}
	for i, z := range pb.GetZone() {
		if _, twice := names[z.GetName()]; z.GetName() == "" || twice {
			return fmt.Errorf("zone[%d].name: %q is empty or a duplicate", i, z.GetName())
		}
		names[z.GetName()] = i
		sc.Zones = append(sc.Zones, Zone{Name: z.GetName(), Hub: int(z.GetHub()), Boxes: int(z.GetBoxes()),
			Gateways: int(cmp.Or(z.GetGateways(), 3)), Load: cmp.Or(z.GetLoad(), 0.55)})
	}
	for i, x := range pb.GetFault() {
		zone, ok := names[x.GetZone()]
		if !ok {
			return fmt.Errorf("fault[%d].zone: unknown zone %q", i, x.GetZone())
		}
		at, err1 := time.ParseDuration(x.GetAt())
		till, err2 := time.ParseDuration(x.GetTill())
		if err := errors.Join(err1, err2); err != nil {
			return fmt.Errorf("fault[%d]: %w", i, err)
		}
		sc.Faults = append(sc.Faults, Fault{Zone: zone, Kind: FaultKind(x.GetKind()), At: at, Till: till})
	}
	return nil
}

// addPolicies adds the policies, or all that can run if none is named, and checks the scene with each.
func (f *File) addPolicies(pb *scenepb.Scene) error {
	for _, p := range pb.GetPolicy() {
		f.Policies = append(f.Policies, Policy(p))
	}
	if len(f.Policies) == 0 {
		f.Policies = []Policy{Tiered, NoSpill, Unbounded}
		if f.Directed {
			f.Policies = f.Policies[:2]
		}
	}
	for i, p := range f.Policies {
		if f.Directed && p == Unbounded {
			return fmt.Errorf("policy[%d]: %q can't run with directors", i, p)
		}
		try := f.Scene
		try.Policy = p
		if err := try.check(); err != nil {
			return err
		}
	}
	return nil
}

// addSweep adds the axes of a sweep and checks each of their values.
func (f *File) addSweep(pb *scenepb.Scene) error {
	if len(pb.GetSweep()) > 2 {
		return fmt.Errorf("sweep: %d axes, want at most 2", len(pb.GetSweep()))
	}
	for i, a := range pb.GetSweep() {
		if len(a.GetValue()) == 0 {
			return fmt.Errorf("sweep[%d].value: missing, want at least one", i)
		}
		try := f.Scene
		for _, v := range a.GetValue() {
			if err := try.Set(a.GetKey(), v); err != nil {
				return fmt.Errorf("sweep[%d]: %w", i, err)
			}
		}
		f.Sweep = append(f.Sweep, Axis{Key: a.GetKey(), Values: a.GetValue()})
	}
	return nil
}

// Set sets the parameter of a scene that key names to v. The error names an unknown key or a value that is below 0 or not a
// number. For "memory", 1 stands for saved state, 2 for Oracle, 3 for replication and 4 for saved state with replication.
func (s *Scene) Set(key string, v float64) error {
	if !(v >= 0) {
		return fmt.Errorf("%s: %v, want at least 0", key, v)
	}
	switch key {
	case "load":
		s.Zones = slices.Clone(s.Zones)
		for i := range s.Zones {
			s.Zones[i].Load = v
		}
	case "seed":
		s.Seed = uint64(v)
	case "memory":
		s.Memory, s.Oracle, s.Neighbours = v == 1 || v == 4, v == 2, v >= 3
	case "parent":
		s.Parent = v
	case "origin":
		s.Origin = v
	case "list_late":
		s.List = time.Duration(v * float64(time.Second))
	default:
		to := map[string]*float64{"bounds.spill": &s.Tiers.MaxSpillover, "bounds.spare": &s.Tiers.SpareCapacityShare, "bounds.full": &s.Tiers.FullUtilization,
			"bounds.rise": &s.Tiers.SpilloverRise, "bounds.start": &s.Tiers.RampStart, "bounds.over": &s.Tiers.OverProvisioning}[key]
		if to == nil {
			return fmt.Errorf("key: %q can't be swept", key)
		}
		*to = v
	}
	return nil
}

// Name returns the cell's axes with their values, followed by its policy.
func (c *Cell) Name() string {
	var parts []string
	for i, a := range c.Axes {
		parts = append(parts, fmt.Sprintf("%s=%g", a, c.Values[i]))
	}
	return strings.Join(append(parts, string(c.Policy)), " ")
}
