package upstream

import (
	"slices"
	"time"
)

// Selector names the endpoints that may get a request.
type Selector struct {
	Service string
	// Version, where it is not empty, is that of the endpoints.
	Version string
	// IDs, where it is not nil, holds the endpoints' IDs.
	IDs []string
}

// matches reports whether an endpoint of the service is selected.
func (s *Selector) matches(e *Endpoint) bool {
	return (s.Version == "" || s.Version == e.Version) && (s.IDs == nil || slices.Contains(s.IDs, e.ID))
}

// ReachableZones returns the zones that hold a reachable endpoint of those
// selected, each once, in no particular order.
func (p *Pool) ReachableZones(selector Selector) []string {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var zones []string
	for _, e := range p.service(selector.Service).endpoints {
		if selector.matches(e) && p.reachable(e, now) && !slices.Contains(zones, e.Zone) {
			zones = append(zones, e.Zone)
		}
	}
	return zones
}

// ReachableInZone returns a reachable endpoint of those selected in a zone, or nil.
func (p *Pool) ReachableInZone(selector Selector, zone string) *Endpoint {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.service(selector.Service).endpoints {
		if e.Zone == zone && selector.matches(e) && p.reachable(e, now) {
			return e
		}
	}
	return nil
}

// Overloaded reports whether there are healthy endpoints among those selected,
// and each has at least factor times its slots to do already or all the
// connections that this node may use.
func (p *Pool) Overloaded(selector Selector, factor float64) bool {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	found := false
	s := p.service(selector.Service)
	subset := p.subset(s, selector.Version, now)
	for _, e := range s.endpoints {
		if !selector.matches(e) || !p.healthy(e, now) {
			continue
		}
		limit := p.connectionLimit(e, s, subset, now)
		if limit == 0 {
			continue
		}
		found = true
		if limit > 0 && len(e.inFlight) >= limit {
			continue
		}
		if float64(p.load(e, now)) < factor*float64(e.slots()) {
			return false
		}
	}
	return found
}
