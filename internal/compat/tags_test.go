package compat

import (
	"reflect"
	"strings"
	"testing"
)

// Every field that is stored or sent names its key, so that the name of a Go
// field never makes it. Embedded structs have none: their keys stand in the
// outer object.
func TestEveryFieldNamesItsKey(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var look func(reflect.Type)
	look = func(at reflect.Type) {
		if seen[at] {
			return
		}
		seen[at] = true
		switch at.Kind() {
		case reflect.Map:
			look(at.Key())
			look(at.Elem())
		case reflect.Pointer, reflect.Slice, reflect.Array:
			look(at.Elem())
		case reflect.Struct:
			for i := range at.NumField() {
				f := at.Field(i)
				key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
				switch {
				case f.Anonymous && f.Tag != "":
					t.Errorf("%v embeds %s under a key", at, f.Name)
				case !f.Anonymous && key == "":
					t.Errorf("%v.%s names no key", at, f.Name)
				}
				look(f.Type)
			}
		}
	}
	for _, kind := range goldenKinds {
		look(reflect.TypeOf(kind))
	}
}
