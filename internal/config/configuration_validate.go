package config

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
)

// validate returns the first error of a configuration.
func (c *Configuration) validate() error {
	if c.Version <= 0 {
		return fieldError("Version", "must be above 0")
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
	type match struct{ host, prefix string }
	matches := map[match]bool{}
	for _, r := range c.Routes {
		if err := r.validate(services); err != nil {
			return fmt.Errorf("route %q: %w", r.Name, err)
		}
		m := match{strings.ToLower(r.HostName), r.PathPrefix}
		if matches[m] {
			return fmt.Errorf("route %q: another route has its HostName and PathPrefix", r.Name)
		}
		matches[m] = true
	}
	if l := c.Limits; l != nil && (l.HeaderSizeBytes < 0 || l.BodySizeBytes < 0 || l.HeaderTimeoutMs < 0 || l.IdleTimeoutMs < 0) {
		return fieldError("Limits", "must not be negative")
	}
	return validateTenants(c.Tenants)
}

// validate returns the first error of a route; services are those that it may
// name.
func (r *Route) validate(services map[string]bool) error {
	if r.HostName == "" {
		return fieldError("HostName", "is missing")
	}
	if !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/") {
		return fmt.Errorf("PathPrefix %q must begin and end with a slash", r.PathPrefix)
	}
	if _, known := isIdempotent[r.RouteKind]; !known {
		return fmt.Errorf("RouteKind %q is none of %s", r.RouteKind, strings.Join(slices.Sorted(maps.Keys(isIdempotent)), ", "))
	}
	if r.TimeoutMs <= 0 {
		return fieldError("TimeoutMs", "must be above 0")
	}
	if r.TargetLatencyMs < 0 || r.Attempts < 0 || r.TopRecords < 0 || r.MinimumShare < 0 || r.MinimumShare > 1 || r.Priority < 0 || r.CacheLifetimeS < 0 {
		return errors.New("a number is out of its range")
	}
	return r.validateTargets(services)
}

// validateTargets makes sure that the route names its services in exactly one
// of the three ways.
func (r *Route) validateTargets(services map[string]bool) error {
	ways := 0
	if r.Service != "" {
		ways++
		if !services[r.Service] {
			return unknownService(r.Service)
		}
	}
	if len(r.TrafficSplit) > 0 {
		ways++
		if err := validateSplit(r.TrafficSplit, services); err != nil {
			return err
		}
	}
	if len(r.GatheredServices) > 0 {
		ways++
		if err := validateGathered(r.GatheredServices, services); err != nil {
			return err
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

func validateSplit(split []*WeightedService, services map[string]bool) error {
	sum := 0.0
	for _, s := range split {
		if !services[s.Service] {
			return unknownService(s.Service)
		}
		if s.Weight < 0 {
			return errors.New("a Weight is negative")
		}
		sum += s.Weight
	}
	if sum <= 0 {
		return errors.New("the weights add up to 0")
	}
	return nil
}

func validateGathered(gathered []string, services map[string]bool) error {
	seen := map[string]bool{}
	for _, name := range gathered {
		if !services[name] {
			return unknownService(name)
		}
		if seen[name] {
			return fmt.Errorf("service %q is gathered twice", name)
		}
		seen[name] = true
	}
	return nil
}

func unknownService(name string) error {
	return fmt.Errorf("unknown service %q", name)
}

// fieldError says what is wrong with a field of an operator's request.
func fieldError(field, problem string) error {
	return fmt.Errorf("%s %s", field, problem)
}
