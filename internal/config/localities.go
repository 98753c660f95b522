package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/locality"
)

// LocalitiesFor completes what the file says of tiers with the own locality. nil: they are off.
func (o *Operator) LocalitiesFor(zone string, zones []string) (*locality.Config, error) {
	if o.Localities == nil {
		return nil, nil
	}
	c := *o.Localities
	c.Localities = slices.Clone(c.Localities)
	c.Localities[0].Name = zone
	for i, l := range c.Localities[1:] {
		key := fmt.Sprintf("tiers.locality[%d].name", i)
		if l.Name == zone {
			return nil, newKeyError(key, fmt.Errorf("%q is the own locality", l.Name))
		}
		if !slices.Contains(zones, l.Name) {
			return nil, newKeyError(key, fmt.Errorf("%q is none of the zones, which are %q", l.Name, zones))
		}
	}
	return &c, nil
}

// readLocalities reads what tiers go by; nil: they are off.
func readLocalities(pb *operatorpb.Tiers) (*locality.Config, error) {
	if len(pb.GetLocality()) == 0 {
		if pb != nil {
			return nil, newKeyError("tiers.locality", errors.New("there is none"))
		}
		return nil, nil
	}
	c := locality.Config{Localities: []locality.Locality{{Name: "own locality", Weight: pb.GetOwnWeight()}}, OverProvisioning: pb.GetOver(),
		MaxSpillover: pb.GetSpill(), SpareCapacityShare: pb.GetSpare(), FullUtilization: pb.GetFull(), SpilloverRise: pb.GetRise(), PanicThreshold: pb.GetPanic(), MinHealth: pb.GetIll(),
		RampStart: pb.GetStart(), WarmHitRatio: pb.GetWarm()}
	var err error
	for _, s := range [...]struct {
		key, text string
		def       time.Duration
		to        *time.Duration
	}{{"tiers.ramp", pb.GetRamp(), locality.DefaultRampDuration, &c.RampDuration}, {"tiers.silence", pb.GetSilence(), locality.DefaultSilenceTimeout, &c.SilenceTimeout},
		{"tiers.back", pb.GetBack(), locality.DefaultBaseBackoff, &c.BaseBackoff}, {"tiers.back_most", pb.GetBackMost(), locality.DefaultMaxBackoff, &c.MaxBackoff}} {
		if *s.to, err = parseDuration(s.key, s.text, s.def, 10*time.Millisecond, time.Hour); err != nil {
			return nil, err
		}
	}
	seen := map[string]bool{}
	for i, l := range pb.GetLocality() {
		key := fmt.Sprintf("tiers.locality[%d]", i)
		switch {
		case l.GetName() == "":
			return nil, newKeyError(key+".name", errors.New("empty"))
		case seen[l.GetName()]:
			return nil, newKeyError(key+".name", fmt.Errorf("%q stands twice", l.GetName()))
		case l.GetLevel() < 1 || l.GetLevel() > 16:
			return nil, newKeyError(key+".level", fmt.Errorf("%d is not from 1 to 16", l.GetLevel()))
		case !(l.GetWeight() >= 0):
			return nil, newKeyError(key+".weight", fmt.Errorf("%v", l.GetWeight()))
		}
		seen[l.GetName()] = true
		c.Localities = append(c.Localities, locality.Locality{Name: l.GetName(), Level: int(l.GetLevel()), Weight: l.GetWeight()})
	}
	if err := c.Validate(); err != nil {
		return nil, localityFault(err)
	}
	return &c, nil
}

// localityKeys are the keys of the fields of locality.Config that Validate may find at fault.
var localityKeys = map[string]string{
	"Localities[0].Weight": "tiers.own_weight",
	"OverProvisioning":     "tiers.over",
	"MaxSpillover":         "tiers.spill",
	"SpareCapacityShare":   "tiers.spare",
	"FullUtilization":      "tiers.full",
	"SpilloverRise":        "tiers.rise",
	"PanicThreshold":       "tiers.panic",
	"MinHealth":            "tiers.ill",
	"RampStart":            "tiers.start",
	"RampDuration":         "tiers.ramp",
	"WarmHitRatio":         "tiers.warm",
	"SilenceTimeout":       "tiers.silence",
	"BaseBackoff":          "tiers.back",
	"MaxBackoff":           "tiers.back_most",
}

// localityFault names the key of the field that an error of locality.Config.Validate is about.
func localityFault(err error) error {
	var field *locality.FieldError
	if !errors.As(err, &field) || localityKeys[field.Field] == "" {
		return newKeyError("tiers", err)
	}
	return newKeyError(localityKeys[field.Field], errors.New(field.Reason))
}
