package config

import (
	"bytes"
	"encoding/json"
	"slices"

	"google.golang.org/protobuf/reflect/protoreflect"
)

// Delta is what changed between two versions of a configuration. Lists of named
// items are compared by name; their order is not kept.
type Delta struct {
	// Changes is the JSON of a configuration that holds, of the lists of
	// ItemChanges, the items that were added or modified, and all other fields in
	// full.
	Changes []byte
	ItemChanges
}

// ItemChanges says which lists of a delta go item by item.
type ItemChanges struct {
	// Lists are the keys of these lists. A list that the sender does not count
	// among them is there in full, however the receiver treats it: else items
	// that were removed would stay in force.
	Lists []string
	// Removed holds, by list, the names that are gone, sorted.
	Removed map[string][]string
}

// ListsOfEarlierVersions are the lists that go item by item where the sender,
// of a version that did not say so, names none.
var ListsOfEarlierVersions = []string{"Routes", "Services"}

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
	for _, list := range namedLists() {
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
	return Delta{Changes: raw, ItemChanges: ItemChanges{Lists: namedLists(), Removed: removed}}, true
}

// ApplyDelta returns the configuration that a delta leads to from c. changes is
// Delta.Changes once decoded, items is Delta.ItemChanges. The caller makes sure
// that the delta was computed from the version of c. All fields of the message
// take part, whichever there are.
func (c *Configuration) ApplyDelta(changes *Configuration, items ItemChanges) *Configuration {
	result := &Configuration{}
	old, changed, merged := c.ProtoReflect(), changes.ProtoReflect(), result.ProtoReflect()
	fields := merged.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		switch key := field.JSONName(); {
		case slices.Contains(items.Lists, key) && slices.Contains(namedLists(), key):
			list := merged.NewField(field).List()
			applyChanges(list, old.Get(field).List(), changed.Get(field).List(), items.Removed[key])
			merged.Set(field, protoreflect.ValueOfList(list))
		case changed.Has(field):
			merged.Set(field, changed.Get(field))
		}
	}
	return result
}

// applyChanges appends to result the changed items, then the old ones that were
// neither changed nor removed.
func applyChanges(result, old, changed protoreflect.List, removed []string) {
	replaced := map[string]bool{}
	for _, name := range removed {
		replaced[name] = true
	}
	for i := range changed.Len() {
		replaced[nameOf(changed.Get(i))] = true
		result.Append(changed.Get(i))
	}
	for i := range old.Len() {
		if !replaced[nameOf(old.Get(i))] {
			result.Append(old.Get(i))
		}
	}
}

// nameOf returns the name of an item.
func nameOf(item protoreflect.Value) string {
	message := item.Message()
	return message.Get(message.Descriptor().Fields().ByJSONName(fieldName)).String()
}
