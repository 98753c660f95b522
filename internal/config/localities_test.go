package config

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"larchusher/locality"
)

// A validation error of any field of locality.Config that the operator's file sets must name the key of that field, so that
// the line can be found.
func TestLocalityErrorsNameTheirKey(t *testing.T) {
	// These fields are not set by the operator's file, or have no key of their own.
	notFromFile := map[string]bool{"Bands": true, "Tick": true, "MaxRetryAfter": true, "Seed": true, "Localities": true}
	fields := reflect.TypeFor[locality.Config]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		err := localityKeyError(&locality.FieldError{Field: name, Reason: "odd"})
		var f *keyError
		if !errors.As(err, &f) || !notFromFile[name] && (!strings.HasPrefix(f.key, "tiers.") || f.err.Error() != "odd") {
			t.Errorf("error for the field %s is %v, want a keyError with a key that starts with tiers. and the reason odd", name, err)
		}
	}
}
