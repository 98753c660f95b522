// Package golden checks that the JSON encoding of data that is stored, or passed between two versions of the program,
// does not change. It is imported by tests only.
package golden

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"reflect"
	"testing"
	"time"
)

// Fill sets every exported field reachable from the pointer v to a non-zero value, except fields tagged json:"-". The
// values of numbers and strings derive from the position of the field, not from its name, so that renaming a field changes
// nothing. Each slice and each map gets one element.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n, 0)
}

const maxDepth = 12 // levels of nesting that Fill sets, because a type may contain itself

var (
	timeType = reflect.TypeFor[time.Time]()
	rawType  = reflect.TypeFor[json.RawMessage]()
)

func fill(v reflect.Value, n *int, depth int) {
	if depth > maxDepth {
		return
	}
	*n++
	if v.Type() == rawType {
		v.SetBytes([]byte("1"))
		return
	}
	switch v.Kind() {
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int8, reflect.Int16, reflect.Int32, reflect.Int64:
		v.SetInt(int64(*n % 100))
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n % 100))
	case reflect.Float32, reflect.Float64:
		v.SetFloat(float64(*n) + 0.5)
	case reflect.String:
		v.SetString(fmt.Sprint("value ", *n))
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), n, depth+1)
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), n, depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), n, depth+1)
		}
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, n, depth+1)
		fill(value, n, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.Struct:
		fillStruct(v, n, depth)
	default: // encoded types have no fields of other kinds
	}
}

func fillStruct(v reflect.Value, n *int, depth int) {
	if v.Type() == timeType {
		v.Set(reflect.ValueOf(time.Unix(int64(*n), 0).UTC()))
		return
	}
	for i := range v.NumField() {
		if f := v.Type().Field(i); f.IsExported() && f.Tag.Get("json") != "-" {
			fill(v.Field(i), n, depth+1)
		}
	}
}

// JSON fills *v and fails the test unless its JSON encoding equals the file, and the file, decoded and encoded again,
// equals itself. The file was written by an earlier version of the program.
func JSON(t *testing.T, file string, v any) {
	t.Helper()
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	Fill(v)
	got, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("encoding of %T changed: got\n%s\nwant, from %s,\n%s", v, got, file, want)
	}
	read := reflect.New(reflect.TypeOf(v).Elem())
	if err := json.Unmarshal(want, read.Interface()); err != nil {
		t.Fatalf("decoding %s: %v", file, err)
	}
	again, err := json.Marshal(read.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("%s changed when decoded and encoded again: got\n%s", file, again)
	}
}

// Tagged reports a test error for each exported field reachable from v that has no name in a json tag: such a field is
// stored under its Go name, so that renaming it would change the stored form.
func Tagged(t *testing.T, v any) {
	t.Helper()
	tagged(t, reflect.TypeOf(v), map[reflect.Type]bool{})
}

func tagged(t *testing.T, typ reflect.Type, seen map[reflect.Type]bool) {
	t.Helper()
	if seen[typ] || typ == timeType || typ == rawType {
		return
	}
	seen[typ] = true
	switch typ.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		tagged(t, typ.Elem(), seen)
	case reflect.Map:
		tagged(t, typ.Key(), seen)
		tagged(t, typ.Elem(), seen)
	case reflect.Struct:
		for i := range typ.NumField() {
			f := typ.Field(i)
			if !f.IsExported() || f.Tag.Get("json") == "-" {
				continue
			}
			if name, ok := f.Tag.Lookup("json"); !ok || name == "" || name[0] == ',' {
				t.Errorf("%v.%s has no name in a json tag", typ, f.Name)
			}
			tagged(t, f.Type, seen)
		}
	default: // other kinds have no fields
	}
}
