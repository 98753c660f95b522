package locality

import (
	"math"
	"strings"
	"testing"
	"time"
)

const ms = time.Millisecond

func testConfig() Config {
	return Config{Bands: 3, Seed: 1, Localities: []Locality{{Name: "own", Weight: 5}, {Name: "near", Level: 1, Weight: 5}, {Name: "far", Level: 2, Weight: 7}}}
}

func newSelector(t testing.TB, cfg Config) *Selector {
	selector, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return selector
}

func TestValidateNamesTheFaultyField(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Localities: empty, want at least the own locality":            func(c *Config) { c.Localities = nil },
		`Localities[1].Name: the name "own"`:                           func(c *Config) { c.Localities[1].Name = "own" },
		"Localities[2].Level: 0":                                       func(c *Config) { c.Localities[2].Level = 0 },
		"Localities[0].Level: 1":                                       func(c *Config) { c.Localities[0].Level = 1 },
		"Localities[1].Weight: NaN":                                    func(c *Config) { c.Localities[1].Weight = math.NaN() },
		"OverProvisioning: 0.5 is not from 1 to 10":                    func(c *Config) { c.OverProvisioning = 0.5 },
		"MaxSpillover: 1.5 is not from 0 to 1":                         func(c *Config) { c.MaxSpillover = 1.5 },
		"SilenceTimeout: -1s is negative":                              func(c *Config) { c.SilenceTimeout = -time.Second },
		"MaxBackoff: 500ms is less than the base backoff, which is 1s": func(c *Config) { c.MaxBackoff = 500 * ms },
	} {
		c := testConfig()
		change(&c)
		if _, err := New(c); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q in it", err, want)
		}
	}
}
