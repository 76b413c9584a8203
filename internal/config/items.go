package config

import (
	"encoding/json"
	"fmt"
)

// The keys of the configuration's lists whose items have names.
const (
	listRoutes   = "Routes"
	listServices = "Services"
)

// namedLists are the lists that patches and deltas treat item by item.
var namedLists = []string{listRoutes, listServices}

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
	for _, key := range namedLists {
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

// itemName reads the name of a route or service.
func itemName(item json.RawMessage) (string, error) {
	var named struct {
		Name string `json:"Name"`
	}
	err := json.Unmarshal(item, &named)
	return named.Name, err
}
