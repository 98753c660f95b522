package config

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/overload"
)

// readOverload checks and converts the part overload of the operator's file, and sets defaults. pb may be nil.
func readOverload(pb *operatorpb.Overload) (c overload.Config, err error) {
	for _, setting := range [...]struct {
		key, text        string
		defaultValue     time.Duration
		minimum, maximum time.Duration
		dest             *time.Duration
	}{
		{"overload.wait", pb.GetWait(), overload.DefaultMaxWait, time.Millisecond, 10 * time.Second, &c.MaxWait},
		{"overload.target", pb.GetTarget(), 0, time.Millisecond, 10 * time.Second, &c.TargetWait},
		{"overload.tick", pb.GetTick(), overload.DefaultTick, 5 * time.Millisecond, time.Second, &c.Tick},
		{"overload.stall_least", pb.GetStallLeast(), overload.DefaultMinPause, 10 * time.Millisecond, time.Minute, &c.MinPause},
	} {
		if *setting.dest, err = parseDuration(setting.key, setting.text, setting.defaultValue, setting.minimum, setting.maximum); err != nil {
			return c, err
		}
	}
	switch {
	case c.TargetWait > c.MaxWait:
		return c, newKeyError("overload.target", fmt.Errorf("%v exceeds overload.wait, want at most %v", c.TargetWait, c.MaxWait))
	case !(pb.GetProbe() >= 0 && pb.GetProbe() <= 1):
		return c, newKeyError("overload.probe", fmt.Errorf("%v is out of range, want 0 to 1", pb.GetProbe()))
	case pb.GetAnswersMb() < 0:
		return c, newKeyError("overload.answers_mb", errors.New("negative"))
	}
	c.ProbeShare = cmp.Or(pb.GetProbe(), overload.DefaultProbeShare)
	c.RetriesFirst, c.MemoryLimit = pb.GetRepeatsFirst(), int64(pb.GetAnswersMb())<<20
	return c, nil
}
