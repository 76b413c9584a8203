package config

import (
	"bytes"
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// UnknownFields returns the paths of the fields of a configuration in JSON that
// this version of the program doesn't read, sorted and without duplicates. The
// items of a list share one path: "Routes[].Quota". What such a field asks for
// is not done, so it must not go unnoticed. JSON that can't be read has none.
func UnknownFields(raw []byte) []string {
	fields, err := decodeFields(raw)
	if err != nil {
		return nil
	}
	finder := unknownFieldFinder{found: map[string]bool{}}
	finder.walk("", fields, (&Configuration{}).ProtoReflect().Descriptor())
	return finder.paths()
}

// UnknownPatchFields is UnknownFields for the items that a patch sets.
func UnknownPatchFields(patch *Patch) []string {
	finder := unknownFieldFinder{found: map[string]bool{}}
	for list, items := range patch.SetItems {
		field := (&Configuration{}).ProtoReflect().Descriptor().Fields().ByJSONName(list)
		for _, item := range items {
			if fields, err := decodeFields(item); err == nil && field != nil {
				finder.walk(list+"[].", fields, field.Message())
			}
		}
	}
	return finder.paths()
}

// unknownFieldFinder collects the paths of unknown fields.
type unknownFieldFinder struct{ found map[string]bool }

// paths returns what was found, sorted.
func (u *unknownFieldFinder) paths() []string { return slices.Sorted(maps.Keys(u.found)) }

// walk compares the fields of a JSON object with those of the message. prefix
// is the path of the object.
func (u *unknownFieldFinder) walk(prefix string, fields map[string]any, message protoreflect.MessageDescriptor) {
	for key, value := range fields {
		field := message.Fields().ByJSONName(key)
		if field == nil && isEmpty(value) {
			continue
		}
		if field == nil {
			u.found[prefix+key] = true
			continue
		}
		if field.Message() == nil || field.IsMap() {
			continue
		}
		if items, isList := value.([]any); isList {
			for _, item := range items {
				u.walkItem(prefix+key+"[].", item, field)
			}
			continue
		}
		u.walkItem(prefix+key+".", value, field)
	}
}

// isEmpty reports whether a value asks for nothing.
func isEmpty(value any) bool {
	switch v := value.(type) {
	case nil:
		return true
	case []any:
		return len(v) == 0
	case map[string]any:
		return len(v) == 0
	}
	return false
}

func (u *unknownFieldFinder) walkItem(prefix string, value any, field protoreflect.FieldDescriptor) {
	if fields, ok := value.(map[string]any); ok {
		u.walk(prefix, fields, field.Message())
	}
}

// decodeFields reads a JSON object. Numbers keep their text.
func decodeFields(raw []byte) (map[string]any, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	err := decoder.Decode(&fields)
	return fields, err
}

// UnknownFieldsAfterDelta returns the unknown fields of the configuration that a
// delta leads to: base are those of the configuration it starts from, changes
// those of Delta.Changes. Which items have a field is not kept, so a path of an
// item that was removed since stays until a whole configuration comes.
func UnknownFieldsAfterDelta(base, changes []string, items ItemChanges) []string {
	fields := slices.Clone(changes)
	for _, path := range base {
		for _, list := range items.Lists {
			if path == list || strings.HasPrefix(path, list+"[].") {
				fields = append(fields, path)
			}
		}
	}
	slices.Sort(fields)
	return slices.Compact(fields)
}
