// Package golden checks that what is stored, or passed between two versions of the program, keeps its form. It is test
// support and is imported by tests only.
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

// Fill sets every exported field that can be reached from v, a pointer, to a value that is not zero: numbers and strings
// are counted up in the order of the fields, a slice or map gets one element. The names of the fields play no part.
func Fill(v any) {
	n := 0
	fill(reflect.ValueOf(v).Elem(), &n, 0)
}

const maxDepth = 12 // guards against types that contain themselves

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
	default: // no encoded type has another kind
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

// JSON fails the test unless a filled value of v's type, a pointer, is encoded as the file says, and what the file says is
// read into an equal value. The file was written by an earlier version.
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
		t.Errorf("%T is encoded as\n%s\nand %s has\n%s", v, got, file, want)
	}
	read := reflect.New(reflect.TypeOf(v).Elem())
	if err := json.Unmarshal(want, read.Interface()); err != nil {
		t.Fatalf("%s: %v", file, err)
	}
	again, err := json.Marshal(read.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(again, want) {
		t.Errorf("%s was read, and encoded again it is\n%s", file, again)
	}
}

// Tagged fails the test for each exported field without a JSON name of its own that can be reached from v: where the name
// of a field in Go is also its stored name, a renaming changes the stored form.
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
				t.Errorf("%v.%s has no JSON name", typ, f.Name)
			}
			tagged(t, f.Type, seen)
		}
	default: // it has no fields
	}
}
