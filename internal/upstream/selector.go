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

// ExpectedLatency returns how long a request is expected to take, its wait in
// the queue of an endpoint included, at the one of those selected that would
// answer first; 0 where nothing is known. free is false where there are healthy
// endpoints and this node has all the connections to them that it may use.
func (p *Pool) ExpectedLatency(selector Selector) (expected time.Duration, free bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(selector.Service)
	subset := p.subset(s, selector.Version, now)
	found := false
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
		latency := p.queuedLatency(e, s, now)
		if !free || latency < expected {
			expected, free = latency, true
		}
	}
	return expected, free || !found
}
