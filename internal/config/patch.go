package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Patch changes named items of a configuration.
type Patch struct {
	Version     int64
	SetItems    map[string][]json.RawMessage
	RemoveNames map[string][]string
}

// patched are the lists whose items have names.
var patched = []string{"Routes", "Services"}

// ParsePatch reads a patch and checks all that can be checked without the
// configuration that it changes.
func ParsePatch(raw []byte) (*Patch, error) {
	p := &Patch{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(p); err != nil {
		return nil, fmt.Errorf("not a change of a configuration: %w", err)
	}
	if dec.More() {
		return nil, errors.New("more follows the change")
	}
	if p.Version <= 0 {
		//lint:ignore ST1005 Version is the field's name in the configuration
		return nil, errors.New("Version must be above 0")
	}
	for list, items := range p.SetItems {
		if !slices.Contains(patched, list) {
			return nil, fmt.Errorf("SetItems names an unknown list %q", list)
		}
		for _, it := range items {
			if n, err := nameOf(it); err != nil || n == "" {
				return nil, fmt.Errorf("an item of SetItems.%s has no Name", list)
			}
		}
	}
	for list := range p.RemoveNames {
		if !slices.Contains(patched, list) {
			return nil, fmt.Errorf("RemoveNames names an unknown list %q", list)
		}
	}
	return p, nil
}

func nameOf(item json.RawMessage) (string, error) {
	var x struct{ Name string }
	err := json.Unmarshal(item, &x)
	return x.Name, err
}

// Apply merges the patch into a configuration and gives the whole that comes
// of it, which is still to be checked. What the patch does not name stays as
// it was sent, in its order; removing what is not there is no error.
func (p *Patch) Apply(base []byte) ([]byte, error) {
	var whole map[string]json.RawMessage
	if err := json.Unmarshal(base, &whole); err != nil {
		return nil, err
	}
	for _, list := range patched {
		var items []json.RawMessage
		if raw, ok := whole[list]; ok {
			if err := json.Unmarshal(raw, &items); err != nil {
				return nil, err
			}
		}
		set := map[string]json.RawMessage{}
		var order []string
		for _, it := range p.SetItems[list] {
			n, err := nameOf(it)
			if err != nil {
				return nil, err
			}
			if _, twice := set[n]; !twice {
				order = append(order, n)
			}
			set[n] = it
		}
		out := []json.RawMessage{}
		for _, it := range items {
			n, err := nameOf(it)
			if err != nil {
				return nil, err
			}
			if slices.Contains(p.RemoveNames[list], n) {
				continue
			}
			if now, ok := set[n]; ok {
				it = now
				delete(set, n)
			}
			out = append(out, it)
		}
		for _, n := range order {
			if it, ok := set[n]; ok && !slices.Contains(p.RemoveNames[list], n) {
				out = append(out, it)
			}
		}
		if len(out) == 0 && whole[list] == nil {
			continue
		}
		raw, err := json.Marshal(out)
		if err != nil {
			return nil, err
		}
		whole[list] = raw
	}
	whole["Version"], _ = json.Marshal(p.Version)
	return json.Marshal(whole)
}

// PurgeRequest names what may not be served from copies any more.
type PurgeRequest struct {
	HostName, Path, Tag string
}

// ParsePurgeRequest reads the operator's purge: a host with a path, or a tag.
func ParsePurgeRequest(raw []byte) (PurgeRequest, error) {
	var p struct{ HostName, Path, Tag *string }
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&p); err != nil {
		return PurgeRequest{}, fmt.Errorf("not a purge: %w", err)
	}
	if dec.More() {
		return PurgeRequest{}, errors.New("more follows the purge")
	}
	has := func(s *string) bool { return s != nil && *s != "" }
	switch {
	case has(p.Tag) && p.HostName == nil && p.Path == nil:
		return PurgeRequest{Tag: *p.Tag}, nil
	case has(p.HostName) && has(p.Path) && (*p.Path)[0] == '/' && p.Tag == nil:
		return PurgeRequest{HostName: *p.HostName, Path: *p.Path}, nil
	}
	return PurgeRequest{}, errors.New("a purge wants either HostName and Path, or Tag")
}

// RolloutRequest asks to move a service's requests to searchers of another version.
type RolloutRequest struct {
	Service, TargetVersion string
	DurationS              float64
}

// rolloutMost bounds an order's term in seconds, versionMost a version's length in bytes.
const (
	rolloutMost = 30 * 24 * 3600
	versionMost = 256
)

// ParseRolloutRequest reads the operator's order and checks all that can be checked
// without knowing the services.
func ParseRolloutRequest(raw []byte) (RolloutRequest, error) {
	var o struct {
		Service, TargetVersion *string
		DurationS              *float64
	}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if err := dec.Decode(&o); err != nil {
		return RolloutRequest{}, fmt.Errorf("not an order of a rollout: %w", err)
	}
	if dec.More() {
		return RolloutRequest{}, errors.New("more follows the order")
	}
	switch {
	case o.Service == nil || *o.Service == "":
		return RolloutRequest{}, errors.New("Service is missing")
	case o.TargetVersion == nil || *o.TargetVersion == "" || len(*o.TargetVersion) > versionMost:
		return RolloutRequest{}, fmt.Errorf("TargetVersion must have from 1 to %d bytes", versionMost)
	case o.DurationS == nil || !(*o.DurationS > 0) || *o.DurationS > rolloutMost:
		return RolloutRequest{}, fmt.Errorf("DurationS must be above 0 and at most %d", rolloutMost)
	}
	return RolloutRequest{*o.Service, *o.TargetVersion, *o.DurationS}, nil
}
