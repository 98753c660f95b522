package config

import (
	"testing"

	"larchusher/lab/golden"
	"larchusher/routing"
)

// The fingerprint of the settings is made of their encoded form. If it changed, what the version before had learned would be
// void. The file was written by 1a818d3.
func TestSettingsAreFingerprintedAsBy1a818d3(t *testing.T) {
	golden.JSON(t, "testdata/1a818d3/settings.json", &routing.Settings{})
	var c Gateway
	golden.Fill(&c.Settings)
	if got, want := c.Fingerprint(), "af9410ea385c4e06"; got != want {
		t.Errorf("%s instead of %s", got, want)
	}
}

func TestEncodedTypesNameTheirFields(t *testing.T) {
	golden.Tagged(t, routing.Settings{})
	golden.Tagged(t, Gateway{})
}
