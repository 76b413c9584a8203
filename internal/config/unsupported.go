package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// supportedContracts are the parts of the service rules, by their names in
// Settings.ActiveContracts, that this program keeps.
var supportedContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "scatter",
	"health", "pool", "cache", "rollout", "tenants", "quota",
}

// The only values of fields that choose between ways of working. Nothing else is
// implemented; an empty value leaves the choice open.
const (
	supportedDiscovery = "cloud_api"
	supportedEntryKind = "virtual_ip"
	supportedProtocol  = "h1"
)

// supportedValues holds, by configuration field, the values that this program
// acts on. Fields that are not listed are acted on whatever they hold.
var supportedValues = map[protoreflect.FullName][]any{
	"swiftswitch.config.Service.protocol":           {"", supportedProtocol},
	"swiftswitch.config.Service.transport_security": {false},
}

// Unsupported returns what the settings ask for and this program doesn't do, as
// "Field=value".
func (s *Settings) Unsupported() []string {
	var found []string
	for _, contract := range s.ActiveContracts {
		if !slices.Contains(supportedContracts, contract) {
			found = append(found, "ActiveContracts="+contract)
		}
	}
	for _, duty := range s.CloudApi.GetDuties() {
		found = append(found, "CloudApi.Duties="+duty)
	}
	if s.Discovery != "" && s.Discovery != supportedDiscovery {
		found = append(found, "Discovery="+s.Discovery)
	}
	if s.EntryKind != "" && s.EntryKind != supportedEntryKind {
		found = append(found, "EntryKind="+s.EntryKind)
	}
	return found
}

// Unsupported returns what a configuration in JSON asks for and this program
// doesn't do, sorted and without duplicates: the paths of fields that it doesn't
// read, as "Routes[].Quota", and of values that it doesn't act on, as
// "Services[].Protocol=h2". The items of a list share one path. What stands there
// must not go unnoticed. JSON that can't be read has none.
func Unsupported(raw []byte) []string {
	fields, err := decodeFields(raw)
	if err != nil {
		return nil
	}
	finder := unsupportedFinder{found: map[string]bool{}}
	finder.walk("", fields, (&Configuration{}).ProtoReflect().Descriptor())
	return finder.paths()
}

// UnsupportedOfPatch is Unsupported for the items that a patch sets.
func UnsupportedOfPatch(patch *Patch) []string {
	finder := unsupportedFinder{found: map[string]bool{}}
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

// UnsupportedAfterDelta returns what is unsupported in the configuration that a
// delta leads to: base is that of the configuration it starts from, changes that
// of Delta.Changes. Which items a path is of is not kept, so the path of an item
// that was removed since stays until a whole configuration comes.
func UnsupportedAfterDelta(base, changes []string, items ItemChanges) []string {
	paths := slices.Clone(changes)
	for _, path := range base {
		for _, list := range items.Lists {
			if path == list || strings.HasPrefix(path, list+"[].") {
				paths = append(paths, path)
			}
		}
	}
	slices.Sort(paths)
	return slices.Compact(paths)
}

// unsupportedFinder collects the paths of what is unsupported.
type unsupportedFinder struct{ found map[string]bool }

// paths returns what was found, sorted.
func (u *unsupportedFinder) paths() []string { return slices.Sorted(maps.Keys(u.found)) }

// walk compares the fields of a JSON object with those of the message. prefix
// is the path of the object.
func (u *unsupportedFinder) walk(prefix string, fields map[string]any, message protoreflect.MessageDescriptor) {
	for key, value := range fields {
		field := message.Fields().ByJSONName(key)
		if field == nil {
			if !isEmpty(value) {
				u.found[prefix+key] = true
			}
			continue
		}
		if items, isList := value.([]any); isList {
			for _, item := range items {
				u.walkValue(prefix+key+"[]", item, field)
			}
			continue
		}
		u.walkValue(prefix+key, value, field)
	}
}

// walkValue looks at the value of a known field, or at an item of it.
func (u *unsupportedFinder) walkValue(path string, value any, field protoreflect.FieldDescriptor) {
	if fields, ok := value.(map[string]any); ok && field.Message() != nil && !field.IsMap() {
		u.walk(path+".", fields, field.Message())
		return
	}
	if supported, limited := supportedValues[field.FullName()]; limited && !slices.Contains(supported, value) {
		u.found[fmt.Sprint(path, "=", value)] = true
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

// decodeFields reads a JSON object. Numbers keep their text.
func decodeFields(raw []byte) (map[string]any, error) {
	var fields map[string]any
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	err := decoder.Decode(&fields)
	return fields, err
}
