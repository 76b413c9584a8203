package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Delta is what changed between two versions of a configuration. Routes and
// services are compared by name; their order in the lists is not kept.
type Delta struct {
	// Changes is the JSON of a configuration that holds the routes and
	// services that were added or modified, and all other fields in full.
	Changes []byte
	// Removed holds, for each list of named items, the names that are gone,
	// sorted.
	Removed map[string][]string
}

// Diff computes the delta between two valid configurations in JSON. It reports
// false where that can't be done: a list has items without a name, or two of
// the same name.
func Diff(from, to []byte) (Delta, bool) {
	oldParts, err := splitConfiguration(from)
	if err != nil {
		return Delta{}, false
	}
	newParts, err := splitConfiguration(to)
	if err != nil {
		return Delta{}, false
	}
	changes := newParts.otherFields
	removed := map[string][]string{}
	for _, list := range namedLists {
		oldList, newList := oldParts.lists[list], newParts.lists[list]
		changed := []json.RawMessage{}
		for _, name := range newList.order {
			if item := newList.byName[name]; !bytes.Equal(oldList.byName[name], item) {
				changed = append(changed, item)
			}
		}
		for _, name := range oldList.order {
			if _, kept := newList.byName[name]; !kept {
				removed[list] = append(removed[list], name)
			}
		}
		slices.Sort(removed[list])
		raw, err := json.Marshal(changed)
		if err != nil {
			return Delta{}, false
		}
		changes[list] = raw
	}
	raw, err := json.Marshal(changes)
	if err != nil {
		return Delta{}, false
	}
	return Delta{Changes: raw, Removed: removed}, true
}

// ApplyDelta returns the configuration that a delta leads to from c. changes is
// Delta.Changes once decoded, removed is Delta.Removed. The caller makes sure
// that the delta was computed from the version of c.
func (c *Configuration) ApplyDelta(changes *Configuration, removed map[string][]string) *Configuration {
	return &Configuration{
		Version:  changes.Version,
		Limits:   changes.Limits,
		Routes:   applyChanges(c.Routes, changes.Routes, removed[listRoutes]),
		Services: applyChanges(c.Services, changes.Services, removed[listServices]),
	}
}

// applyChanges returns the changed items, followed by the old ones that were
// neither changed nor removed.
func applyChanges[T interface{ GetName() string }](old, changed []T, removed []string) []T {
	result := slices.Clone(changed)
	replaced := map[string]bool{}
	for _, item := range changed {
		replaced[item.GetName()] = true
	}
	for _, name := range removed {
		replaced[name] = true
	}
	for _, item := range old {
		if !replaced[item.GetName()] {
			result = append(result, item)
		}
	}
	return result
}
