package overload

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestConfigErrorsNameTheFaultyField(t *testing.T) {
	for want, c := range map[string]Config{
		"Classes is empty":                        {},
		`Classes[1]: the name "a" is a duplicate`: {Classes: []Class{{Name: "a"}, {Name: "a"}}},
		"Classes[0].PriorityWeight: NaN":          {Classes: []Class{{Name: "a", PriorityWeight: math.NaN()}}},
		"MaxWait is negative":                     {Classes: testClasses(), MaxWait: -1},
		"ProbeShare: 2 is not from 0 to 1":        {Classes: testClasses(), ProbeShare: 2},
		"MemoryLimit is negative":                 {Classes: testClasses(), MemoryLimit: -1},
		"TargetWait 1s exceeds MaxWait 150ms":     {Classes: testClasses(), TargetWait: time.Second},
		"MinPause is negative":                    {Classes: testClasses(), MinPause: -1},
		"Classes[0].Cost: -1":                     {Classes: []Class{{Name: "a", Cost: -1}}},
	} {
		if _, err := NewController(c, NewOrder(c.Classes, false)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}
