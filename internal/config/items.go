package config

import (
	"encoding/json"
	"fmt"
	"sync"
)

// fieldName is the key of an item's name.
const fieldName = "Name"

// namedLists returns the keys of the configuration's lists whose items have
// names: those that patches and deltas treat item by item. They follow from the
// message, so that no list is forgotten.
var namedLists = sync.OnceValue(func() []string {
	var lists []string
	fields := (&Configuration{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if field.IsList() && field.Message() != nil && field.Message().Fields().ByJSONName(fieldName) != nil {
			lists = append(lists, field.JSONName())
		}
	}
	return lists
})

// itemList is a list of named items in JSON.
type itemList struct {
	order  []string
	byName map[string]json.RawMessage
}

// configurationParts is a configuration in JSON: its lists of named items, by key, and
// everything else.
type configurationParts struct {
	lists       map[string]itemList
	otherFields map[string]json.RawMessage
}

// splitConfiguration takes a configuration apart. Fields and items keep the
// bytes that they came with, also those that this version doesn't know.
func splitConfiguration(raw []byte) (configurationParts, error) {
	s := configurationParts{lists: map[string]itemList{}}
	if err := json.Unmarshal(raw, &s.otherFields); err != nil {
		return s, err
	}
	for _, key := range namedLists() {
		items, err := readItems(s.otherFields, key)
		if err != nil {
			return s, err
		}
		delete(s.otherFields, key)
		list := itemList{byName: map[string]json.RawMessage{}}
		for _, item := range items {
			name, err := itemName(item)
			if err != nil {
				return s, err
			}
			if _, duplicate := list.byName[name]; duplicate || name == "" {
				return s, fmt.Errorf("%s: no unique name: %q", key, name)
			}
			list.byName[name] = item
			list.order = append(list.order, name)
		}
		s.lists[key] = list
	}
	return s, nil
}

// readItems reads the list under key; there are none where the key is missing.
func readItems(fields map[string]json.RawMessage, key string) ([]json.RawMessage, error) {
	raw, ok := fields[key]
	if !ok {
		return nil, nil
	}
	var items []json.RawMessage
	err := json.Unmarshal(raw, &items)
	return items, err
}

// itemName reads the name of an item of a list.
func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"Name"`
	}
	err := json.Unmarshal(item, &named)
	return named.Name, err
}
