package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// The files in testdata were written once by the program whose form they hold.
// They are changed by hand only, and only together with a change of the stored
// or the sent form that is meant.

// TestGoldenJSON checks that every kind decodes from and encodes to its golden
// files.
func TestGoldenJSON(t *testing.T) {
	checkGoldenFiles(t)
	for name, kind := range goldenKinds {
		t.Run(name+"-full", func(t *testing.T) {
			decoded := checkRoundTrip(t, name+".full.json", kind)
			for _, path := range zeros(decoded, name) {
				t.Errorf("%s is missing in the golden file, or empty", path)
			}
		})
		t.Run(name+"-zero", func(t *testing.T) {
			checkRoundTrip(t, name+".zero.json", kind)
			zero, err := json.Marshal(kind)
			if err != nil {
				t.Fatal(err)
			}
			if raw := readGolden(t, name+".zero.json"); !sameJSON(t, raw, zero) {
				t.Errorf("the form of the zero value has changed: golden\n%s\nnow\n%s", raw, zero)
			}
		})
	}
}

// checkGoldenFiles checks that each kind has its two files, and that there are
// no others.
func checkGoldenFiles(t *testing.T) {
	t.Helper()
	var want, have []string
	for name := range goldenKinds {
		want = append(want, name+".full.json", name+".zero.json")
	}
	files, err := os.ReadDir(goldenDir)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		have = append(have, f.Name())
	}
	slices.Sort(want)
	if !slices.Equal(have, want) {
		t.Errorf("golden files %v, want %v", have, want)
	}
}

const goldenDir = "testdata/golden"

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(goldenDir, name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// checkRoundTrip decodes a golden file into a value of the type of kind, checks
// that it encodes to the same, and returns it.
func checkRoundTrip(t *testing.T, name string, kind any) reflect.Value {
	t.Helper()
	raw := readGolden(t, name)
	value := reflect.New(reflect.TypeOf(kind))
	decodeStrictly(t, raw, value.Interface())
	again, err := json.Marshal(value.Interface())
	if err != nil {
		t.Fatal(err)
	}
	if !sameJSON(t, raw, again) {
		t.Errorf("the form has changed: golden\n%s\nnow\n%s", raw, again)
	}
	return value.Elem()
}

// decodeStrictly decodes all of raw; keys that v has no field for are an error.
func decodeStrictly(t *testing.T, raw []byte, v any) {
	t.Helper()
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		t.Fatalf("%v in\n%s", err, raw)
	}
	if dec.More() {
		t.Fatalf("more follows in\n%s", raw)
	}
}

// sameJSON compares key for key; the order of keys doesn't count, their case does.
func sameJSON(t *testing.T, a, b []byte) bool {
	t.Helper()
	var of [2]any
	for i, raw := range [][]byte{a, b} {
		dec := json.NewDecoder(bytes.NewReader(raw))
		dec.UseNumber()
		if err := dec.Decode(&of[i]); err != nil {
			t.Fatalf("%v in\n%s", err, raw)
		}
	}
	return reflect.DeepEqual(of[0], of[1])
}

// zeros gives the paths of all that is zero or empty in v, at any depth.
func zeros(v reflect.Value, path string) (out []string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return zeros(v.Elem(), path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() || f.Anonymous {
				out = append(out, zeros(v.Field(i), path+"."+f.Name)...)
			}
		}
		return out
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			out = append(out, zeros(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
		if v.Len() > 0 {
			return out
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			at := fmt.Sprintf("%s[%v]", path, it.Key())
			out = append(out, zeros(it.Key(), at+" (key)")...)
			out = append(out, zeros(it.Value(), at)...)
		}
		if v.Len() > 0 {
			return out
		}
	default:
		if !v.IsZero() {
			return nil
		}
	}
	return append(out, path)
}
