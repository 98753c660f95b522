package config

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/locality"
)

// LocalitiesFor returns the localities of the operator's file (key tiers), with the name of this gateway's own locality set to
// zone, or nil if the file configures none. It fails if another locality has that name, or is not one of zones.
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
			return nil, newKeyError(key, fmt.Errorf("%q is this gateway's own locality, want another zone", l.Name))
		}
		if !slices.Contains(zones, l.Name) {
			return nil, newKeyError(key, fmt.Errorf("%q is none of the zones, want one of %q", l.Name, zones))
		}
	}
	return &c, nil
}

// readLocalities checks and converts the part tiers of the operator's file. It returns nil if the file has no such part. The
// first locality of the result is this gateway's own, with a placeholder for its name.
func readLocalities(pb *operatorpb.Tiers) (*locality.Config, error) {
	if len(pb.GetLocality()) == 0 {
		if pb != nil {
			return nil, newKeyError("tiers.locality", errors.New("no locality is listed, want at least one"))
		}
		return nil, nil
	}
	c := locality.Config{Localities: []locality.Locality{{Name: "own locality", Weight: pb.GetOwnWeight()}}, OverProvisioning: pb.GetOver(),
		MaxSpillover: pb.GetSpill(), SpareCapacityShare: pb.GetSpare(), FullUtilization: pb.GetFull(), SpilloverRise: pb.GetRise(), PanicThreshold: pb.GetPanic(), MinHealth: pb.GetIll(),
		RampStart: pb.GetStart(), WarmHitRatio: pb.GetWarm()}
	var err error
	for _, setting := range [...]struct {
		key, text    string
		defaultValue time.Duration
		dest         *time.Duration
	}{{"tiers.ramp", pb.GetRamp(), locality.DefaultRampDuration, &c.RampDuration}, {"tiers.silence", pb.GetSilence(), locality.DefaultSilenceTimeout, &c.SilenceTimeout},
		{"tiers.back", pb.GetBack(), locality.DefaultBaseBackoff, &c.BaseBackoff}, {"tiers.back_most", pb.GetBackMost(), locality.DefaultMaxBackoff, &c.MaxBackoff}} {
		if *setting.dest, err = parseDuration(setting.key, setting.text, setting.defaultValue, 10*time.Millisecond, time.Hour); err != nil {
			return nil, err
		}
	}
	seenNames := map[string]bool{}
	for i, l := range pb.GetLocality() {
		key := fmt.Sprintf("tiers.locality[%d]", i)
		switch {
		case l.GetName() == "":
			return nil, newKeyError(key+".name", errors.New("empty"))
		case seenNames[l.GetName()]:
			return nil, newKeyError(key+".name", fmt.Errorf("%q is listed twice", l.GetName()))
		case l.GetLevel() < 1 || l.GetLevel() > 16:
			return nil, newKeyError(key+".level", fmt.Errorf("%d is out of range, want 1 to 16", l.GetLevel()))
		case !(l.GetWeight() >= 0):
			return nil, newKeyError(key+".weight", fmt.Errorf("%v is not valid, want 0 or more", l.GetWeight()))
		}
		seenNames[l.GetName()] = true
		c.Localities = append(c.Localities, locality.Locality{Name: l.GetName(), Level: int(l.GetLevel()), Weight: l.GetWeight()})
	}
	if err := c.Validate(); err != nil {
		return nil, localityKeyError(err)
	}
	return &c, nil
}

// localityKeys contains the key of the operator's file for each field of locality.Config that its method Validate checks.
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

// localityKeyError converts an error of locality.Config.Validate to a keyError with the key of the field that is not valid, or
// with the key tiers if that field has no key of its own.
func localityKeyError(err error) error {
	var field *locality.FieldError
	if !errors.As(err, &field) || localityKeys[field.Field] == "" {
		return newKeyError("tiers", err)
	}
	return newKeyError(localityKeys[field.Field], errors.New(field.Reason))
}
