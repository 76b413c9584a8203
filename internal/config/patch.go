package config

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Patch is an operator's change to named items of a configuration. It is a
// merge patch at the level of items: an item replaces the one of its name as a
// whole.
type Patch struct {
	// Version is that of the configuration after the patch.
	Version int64 `json:"Version"`
	// SetItems and RemoveNames hold items and names for each list of the
	// configuration. An item that is both set and removed is removed.
	SetItems    map[string][]json.RawMessage `json:"SetItems"`
	RemoveNames map[string][]string          `json:"RemoveNames"`
}

// ParsePatch reads a patch and validates what can be validated without the
// configuration that it changes.
func ParsePatch(raw []byte) (*Patch, error) {
	p := &Patch{}
	if err := decodeSingle(raw, p, "a change of a configuration", "the change"); err != nil {
		return nil, err
	}
	if p.Version <= 0 {
		return nil, fieldError("Version", "must be above 0")
	}
	for list, items := range p.SetItems {
		if !slices.Contains(namedLists(), list) {
			return nil, fmt.Errorf("SetItems names an unknown list %q", list)
		}
		for _, item := range items {
			if name, err := itemName(item); err != nil || name == "" {
				return nil, fmt.Errorf("an item of SetItems.%s has no Name", list)
			}
		}
	}
	for list := range p.RemoveNames {
		if !slices.Contains(namedLists(), list) {
			return nil, fmt.Errorf("RemoveNames names an unknown list %q", list)
		}
	}
	return p, nil
}

// Apply returns the configuration that the patch makes of base, both in JSON.
// The result is not validated. Items that the patch doesn't name keep their
// bytes and their order; new ones are appended in the order of the patch.
// Removing an item that isn't there has no effect.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(base, &fields); err != nil {
		return nil, err
	}
	for _, list := range namedLists() {
		items, err := readItems(fields, list)
		if err != nil {
			return nil, err
		}
		merged, err := mergeItems(items, p.SetItems[list], p.RemoveNames[list])
		if err != nil {
			return nil, err
		}
		if len(merged) == 0 && fields[list] == nil {
			continue
		}
		if fields[list], err = json.Marshal(merged); err != nil {
			return nil, err
		}
	}
	version, err := json.Marshal(p.Version)
	if err != nil {
		return nil, err
	}
	fields["Version"] = version
	return json.Marshal(fields)
}

// mergeItems returns items with those in set put in place of, or after, the
// ones of the same name, and without those that remove names. Where set names
// an item twice, the last one counts.
func mergeItems(items, set []json.RawMessage, remove []string) ([]json.RawMessage, error) {
	pending := map[string]json.RawMessage{}
	var order []string
	for _, item := range set {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if _, duplicate := pending[name]; !duplicate {
			order = append(order, name)
		}
		pending[name] = item
	}
	merged := []json.RawMessage{}
	for _, item := range items {
		name, err := itemName(item)
		if err != nil {
			return nil, err
		}
		if slices.Contains(remove, name) {
			continue
		}
		if replacement, ok := pending[name]; ok {
			item = replacement
			delete(pending, name)
		}
		merged = append(merged, item)
	}
	for _, name := range order {
		if item, ok := pending[name]; ok && !slices.Contains(remove, name) {
			merged = append(merged, item)
		}
	}
	return merged, nil
}
