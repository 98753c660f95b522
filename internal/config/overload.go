package config

import (
	"cmp"
	"errors"
	"fmt"
	"time"

	"larchusher/internal/config/operatorpb"
	"larchusher/overload"
)

func readOverload(pb *operatorpb.Overload) (c overload.Config, err error) {
	for _, s := range [...]struct {
		key, text   string
		def         time.Duration
		least, most time.Duration
		to          *time.Duration
	}{
		{"overload.wait", pb.GetWait(), overload.DefaultMaxWait, time.Millisecond, 10 * time.Second, &c.MaxWait},
		{"overload.target", pb.GetTarget(), 0, time.Millisecond, 10 * time.Second, &c.TargetWait},
		{"overload.tick", pb.GetTick(), overload.DefaultTick, 5 * time.Millisecond, time.Second, &c.Tick},
		{"overload.stall_least", pb.GetStallLeast(), overload.DefaultMinPause, 10 * time.Millisecond, time.Minute, &c.MinPause},
	} {
		if *s.to, err = parseDuration(s.key, s.text, s.def, s.least, s.most); err != nil {
			return c, err
		}
	}
	switch {
	case c.TargetWait > c.MaxWait:
		return c, newKeyError("overload.target", fmt.Errorf("%v is over wait, which is %v", c.TargetWait, c.MaxWait))
	case !(pb.GetProbe() >= 0 && pb.GetProbe() <= 1):
		return c, newKeyError("overload.probe", fmt.Errorf("%v is not from 0 to 1", pb.GetProbe()))
	case pb.GetAnswersMb() < 0:
		return c, newKeyError("overload.answers_mb", errors.New("negative"))
	}
	c.ProbeShare = cmp.Or(pb.GetProbe(), overload.DefaultProbeShare)
	c.RetriesFirst, c.MemoryLimit = pb.GetRepeatsFirst(), int64(pb.GetAnswersMb())<<20
	return c, nil
}
