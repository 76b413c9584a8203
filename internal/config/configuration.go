package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// Route kinds.
const (
	RouteKindSafe   = "safe"
	RouteKindUnsafe = "unsafe"
	// RouteKindCached routes are safe, and their answers may be kept.
	RouteKindCached = "cached"
)

// DecodeConfiguration reads a configuration that was checked when it was agreed on.
func DecodeConfiguration(raw []byte) (*Configuration, error) {
	c := &Configuration{}
	if err := (protojson.UnmarshalOptions{DiscardUnknown: true}).Unmarshal(raw, c); err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	return c, nil
}

// ParseConfiguration reads a configuration from the operator's bytes and
// checks all that can be checked without knowing the version in force.
func ParseConfiguration(raw []byte) (*Configuration, error) {
	c, err := DecodeConfiguration(raw)
	if err != nil {
		return nil, err
	}
	// protojson takes numbers written as strings; the operator's page doesn't.
	var tree map[string]any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if err := dec.Decode(&tree); err != nil {
		return nil, fmt.Errorf("not a configuration: %w", err)
	}
	if err := strictNumbers(tree, c.ProtoReflect().Descriptor()); err != nil {
		return nil, err
	}
	return c, c.check()
}

func strictNumbers(tree map[string]any, d protoreflect.MessageDescriptor) error {
	for key, v := range tree {
		f := d.Fields().ByJSONName(key)
		if f == nil {
			continue
		}
		items, isList := v.([]any)
		if !isList {
			items = []any{v}
		}
		for _, it := range items {
			switch f.Kind() {
			case protoreflect.MessageKind:
				if m, ok := it.(map[string]any); ok {
					if err := strictNumbers(m, f.Message()); err != nil {
						return err
					}
				}
			case protoreflect.Int32Kind, protoreflect.Int64Kind, protoreflect.DoubleKind:
				if _, ok := it.(string); ok {
					return fmt.Errorf("%s wants a number, not a string", key)
				}
			}
		}
	}
	return nil
}

func (c *Configuration) check() error {
	if c.Version <= 0 {
		//lint:ignore ST1005 Version is the field's name in the configuration
		return errors.New("Version must be above 0")
	}
	services := map[string]bool{}
	for _, s := range c.Services {
		switch {
		case s.Name == "":
			return errors.New("a service has no Name")
		case services[s.Name]:
			return fmt.Errorf("service %q is named twice", s.Name)
		case s.RequestsPerS < 0 || s.ConnectionLimit < 0:
			return fmt.Errorf("service %q: a number is out of its range", s.Name)
		}
		services[s.Name] = true
	}
	seen := map[string]bool{}
	for _, r := range c.Routes {
		if err := r.check(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		key := strings.ToLower(r.HostName) + "\n" + r.PathPrefix
		if seen[key] {
			return fmt.Errorf("route %q: another route has its HostName and PathPrefix", r.Name)
		}
		seen[key] = true
	}
	if l := c.Limits; l != nil && (l.HeaderSizeBytes < 0 || l.BodySizeBytes < 0 || l.HeaderTimeoutMs < 0 || l.IdleTimeoutMs < 0) {
		//lint:ignore ST1005 Limits is the field's name in the configuration
		return errors.New("Limits must not be negative")
	}
	return nil
}

func (r *Route) check(services map[string]bool) error {
	if r.HostName == "" {
		return errors.New("HostName is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("PathPrefix %q must begin and end with a slash", r.PathPrefix)
	}
	if r.RouteKind != RouteKindSafe && r.RouteKind != RouteKindUnsafe && r.RouteKind != RouteKindCached {
		return fmt.Errorf("RouteKind %q is none of safe, cached and unsafe", r.RouteKind)
	}
	if !(r.TimeoutMs > 0) {
		return errors.New("TimeoutMs must be above 0")
	}
	if r.TargetLatencyMs < 0 || r.Attempts < 0 || r.TopRecords < 0 || r.MinimumShare < 0 || r.MinimumShare > 1 || r.Priority < 0 || r.CacheLifetimeS < 0 {
		return errors.New("a number is out of its range")
	}
	ways := 0
	if r.Service != "" {
		ways++
		if !services[r.Service] {
			return fmt.Errorf("unknown service %q", r.Service)
		}
	}
	if len(r.TrafficSplit) > 0 {
		ways++
		sum := 0.0
		for _, t := range r.TrafficSplit {
			if !services[t.Service] {
				return fmt.Errorf("unknown service %q", t.Service)
			}
			if t.Weight < 0 {
				return errors.New("a Weight is negative")
			}
			sum += t.Weight
		}
		if sum <= 0 {
			return errors.New("the weights add up to 0")
		}
	}
	if len(r.GatheredServices) > 0 {
		ways++
		seen := map[string]bool{}
		for _, s := range r.GatheredServices {
			if !services[s] {
				return fmt.Errorf("unknown service %q", s)
			}
			if seen[s] {
				return fmt.Errorf("service %q is gathered twice", s)
			}
			seen[s] = true
		}
		if r.RouteKind != RouteKindSafe {
			return errors.New("a gathered route must be safe")
		}
	}
	if ways != 1 {
		return errors.New("it wants exactly one of Service, TrafficSplit and GatheredServices")
	}
	return nil
}
