package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"larchusher/locality"
)

// Each number and duration of locality.Config that can be at fault has a key, so that an operator finds the line.
func TestEveryLocalityFieldHasAKey(t *testing.T) {
	unset := map[string]bool{"Bands": true, "Tick": true, "MaxRetryAfter": true, "Seed": true, "Localities": true} // not from the file
	fields := reflect.TypeFor[locality.Config]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		err := localityFault(&locality.FieldError{Field: name, Reason: "odd"})
		var f *keyError
		if !errors.As(err, &f) || !unset[name] && (!strings.HasPrefix(f.key, "tiers.") || f.err.Error() != "odd") {
			t.Errorf("%s: %v", name, err)
		}
	}
}
