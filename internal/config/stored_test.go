package config

import (
	"testing"

	"larchusher/lab/golden"
	"larchusher/routing"
)

// The fingerprint is a hash of the settings' encoded form, which must not change: otherwise a new version would reject the state
// that the previous one has learned. Version 1a818d3 wrote the golden file.
func TestSettingsFingerprintIsCompatible(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/settings.json", &routing.Settings{})
	var c Gateway
	golden.Fill(&c.Settings)
	if got, want := c.Fingerprint(), "af9410ea385c4e06"; got != want {
		t.Errorf("fingerprint is %s, want %s as in version 1a818d3", got, want)
	}
}

func TestEncodedFieldsHaveTags(t *testing.T) {
	golden.Tagged(t, routing.Settings{})
	golden.Tagged(t, Gateway{})
}
