package config

import (
	"bytes"
	"encoding/json"
	"slices"
)

// Delta is what changed from one configuration to the next: the items
// that are new or other, everything that is no list of items, and the names
// of the items that are gone.
type Delta struct {
	// Changes is a configuration that holds just that.
	Changes []byte
	Removed map[string][]string
}

// Diff gives the difference between two checked configurations; ok is
// false where their items can't be told by name.
func Diff(from, to []byte) (d Delta, ok bool) {
	a, ok1 := split(from)
	b, ok2 := split(to)
	if !ok1 || !ok2 {
		return d, false
	}
	whole := b.rest
	d.Removed = map[string][]string{}
	for _, list := range patched {
		was := a.items[list]
		changed := []json.RawMessage{}
		for _, n := range b.order[list] {
			if raw := b.items[list][n]; !bytes.Equal(was[n], raw) {
				changed = append(changed, raw)
			}
			delete(was, n)
		}
		for n := range was {
			d.Removed[list] = append(d.Removed[list], n)
		}
		slices.Sort(d.Removed[list])
		raw, err := json.Marshal(changed)
		if err != nil {
			return d, false
		}
		whole[list] = raw
	}
	body, err := json.Marshal(whole)
	d.Changes = body
	return d, err == nil
}

type parts struct {
	items map[string]map[string]json.RawMessage
	order map[string][]string
	rest  map[string]json.RawMessage
}

func split(raw []byte) (p parts, ok bool) {
	p = parts{items: map[string]map[string]json.RawMessage{}, order: map[string][]string{}}
	if json.Unmarshal(raw, &p.rest) != nil {
		return p, false
	}
	for _, list := range patched {
		p.items[list] = map[string]json.RawMessage{}
		var items []json.RawMessage
		if l, there := p.rest[list]; there && json.Unmarshal(l, &items) != nil {
			return p, false
		}
		delete(p.rest, list)
		for _, it := range items {
			n, err := nameOf(it)
			if _, twice := p.items[list][n]; err != nil || n == "" || twice {
				return p, false
			}
			p.items[list][n] = it
			p.order[list] = append(p.order[list], n)
		}
	}
	return p, true
}

// ApplyDelta gives the configuration after a difference that was read into d.
func (c *Configuration) ApplyDelta(d *Configuration, gone map[string][]string) *Configuration {
	n := &Configuration{Version: d.Version, Limits: d.Limits}
	n.Routes = follow(c.Routes, d.Routes, gone["Routes"])
	n.Services = follow(c.Services, d.Services, gone["Services"])
	return n
}

func follow[T interface{ GetName() string }](was, set []T, gone []string) []T {
	out := slices.Clone(set)
	skip := map[string]bool{}
	for _, x := range set {
		skip[x.GetName()] = true
	}
	for _, name := range gone {
		skip[name] = true
	}
	for _, x := range was {
		if !skip[x.GetName()] {
			out = append(out, x)
		}
	}
	return out
}
