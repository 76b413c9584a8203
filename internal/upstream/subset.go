package upstream

import (
	"math"
	"slices"
	"time"
)

// FrontCounts is how many nodes share the connections of each endpoint: in all,
// in this node's region and in its zone. Where Zone is 0, the nodes' places are
// not known.
type FrontCounts struct {
	All, Region, Zone int
}

// distances is the number of values of Options.Distance.
const distances = 3

// distanceShares is how an endpoint's connection limit is divided among the
// nodes in its zone, those in the rest of its region, and those beyond.
var distanceShares = [distances]float64{0.5, 0.25, 0.25}

// usedShare is the part of each share that is used. Nodes select their subsets
// independently, so that some endpoints are in more of them than the mean.
const usedShare = 0.8

// subset says to which endpoints of a service this node may connect, by their
// distance: to those of at least minRank, with limit connections each.
type subset struct {
	limits   [distances]int
	minRanks [distances]uint64
}

// limit returns how many connections this node may have to the endpoint.
func (s *subset) limit(e *Endpoint) int {
	if e.rank < s.minRanks[e.distance] {
		return 0
	}
	return s.limits[e.distance]
}

// subset selects the endpoints of a service and version that this node may
// connect to, so that all nodes together stay within the connection limit
// without talking to each other, as long as they agree on their number. Of the
// healthy endpoints at one distance a node takes those to which it gives the
// highest ranks (rendezvous hashing); where one fails the next takes its place.
// Each version has subsets of its own. The caller holds p.mu.
func (p *Pool) subset(s *service, version string, now time.Time) subset {
	var result subset
	nodes := max(1, p.frontCounts.All)
	if s.connectionLimit <= 0 {
		return result
	}
	if each := s.connectionLimit / nodes; each > 0 {
		result.limits = [distances]int{each, each, each}
		return result
	}
	p.collectRanks(s, version, now)
	sharers := p.frontCounts.byDistance()
	for distance, ranks := range p.ranks {
		share := distanceShares[distance] * float64(s.connectionLimit)
		if each := int(share) / sharers[distance]; each > 0 {
			result.limits[distance] = each
			continue
		}
		result.limits[distance] = 1
		result.minRanks[distance] = minRank(ranks, usedShare*share*float64(len(ranks))/float64(sharers[distance]), s.rounding)
	}
	return result
}

// collectRanks fills p.ranks with the ranks of the healthy endpoints. The caller
// holds p.mu.
func (p *Pool) collectRanks(s *service, version string, now time.Time) {
	for distance := range p.ranks {
		p.ranks[distance] = p.ranks[distance][:0]
	}
	selector := Selector{Version: version}
	for _, e := range s.endpoints {
		if selector.matches(e) && p.healthy(e, now) {
			p.ranks[e.distance] = append(p.ranks[e.distance], e.rank)
		}
	}
}

// minRank returns the rank from which on there are size of the ranks, with a
// fraction rounded up where it is above rounding. It sorts the ranks.
func minRank(ranks []uint64, size, rounding float64) uint64 {
	n := int(size)
	if rounding < size-float64(n) {
		n++
	}
	switch {
	case n == 0:
		return math.MaxUint64
	case n < len(ranks):
		slices.Sort(ranks)
		return ranks[len(ranks)-n]
	default:
		return 0
	}
}

// byDistance returns how many nodes are as far from an endpoint as this node is
// from one at each distance.
func (c FrontCounts) byDistance() [distances]int {
	all := max(1, c.All)
	if c.Zone == 0 {
		return [distances]int{all, all, all}
	}
	zone := max(1, c.Zone)
	region := max(zone, c.Region)
	return [distances]int{zone, max(1, region-zone), max(1, all-region)}
}

// unlimited is the connection limit where there is none.
const unlimited = -1

// connectionLimit returns how many connections this node may have to an
// endpoint, or unlimited: its part of the service's limit, or fewer where the
// endpoint closed new ones lately. The caller holds p.mu.
func (p *Pool) connectionLimit(e *Endpoint, s *service, subset subset, now time.Time) int {
	limit := unlimited
	if s.connectionLimit > 0 {
		limit = subset.limit(e)
	}
	if e.reducedLimit == 0 || limit == 0 {
		return limit
	}
	reduced := e.reducedLimit + int(now.Sub(e.reducedAt)/p.options.limitRecoveryInterval())
	if limit > 0 && reduced >= limit {
		e.reducedLimit = 0
		return limit
	}
	return reduced
}
