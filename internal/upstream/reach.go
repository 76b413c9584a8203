package upstream

import (
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// FrontCounts are how many front nodes there are: in all, in this node's region
// and in its zone.
type FrontCounts struct {
	All, Region, Zone int
}

// Where fronts outnumber a searcher's connections, each reaches only some of
// the searchers. The limit is parted among the fronts of the searcher's zone,
// those of the rest of its region, and those beyond; bands says how, and keep
// is what is used of each part, since who draws whom is left to chance.
var bands = [3]float64{0.5, 0.25, 0.25}

const keep = 0.8

// reach says, for each distance, how many connections to a searcher this node
// may have, and how high its draw must be for any.
type reach struct {
	each  [3]int
	floor [3]uint64
}

func (r reach) of(p *Endpoint) int {
	if p.draw < r.floor[p.far] {
		return 0
	}
	return r.each[p.far]
}

// HashString spreads a name evenly over all numbers.
func HashString(name string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(name))
	x := f.Sum64()
	// The last step of splitmix64: names that differ at their end differ everywhere.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// reach finds which searchers of a service this node may reach. Of those in
// good order at one distance it takes the ones with the highest draws, so that
// another takes the place of one that fails. All fronts together stay within
// the limit without talk, as long as they count each other alike. Searchers of
// another version are others' business: each version has its own draws.
func (g *Pool) reach(service, version string, t *track, now time.Time) (r reach) {
	among := &Selector{Version: version}
	all := max(1, g.share.All)
	if t.limit >= all {
		n := t.limit / all
		r.each = [3]int{n, n, n}
		return r
	}
	zone := max(1, g.share.Zone)
	region := max(zone, g.share.Region)
	rivals := [3]int{zone, max(1, region-zone), max(1, all-region)}
	if g.share.Zone == 0 {
		rivals = [3]int{all, all, all}
	}
	var draws [3][]uint64
	var room [3][8]uint64
	for far := range draws {
		draws[far] = room[far][:0]
	}
	for _, p := range g.services[service] {
		if g.usable(p, among, now) {
			draws[p.far] = append(draws[p.far], p.draw)
		}
	}
	for far, l := range draws {
		part := bands[far] * float64(t.limit)
		if r.each[far] = int(part) / rivals[far]; r.each[far] >= 1 {
			continue
		}
		r.each[far] = 1
		share := keep * part * float64(len(l)) / float64(rivals[far])
		n := int(share)
		if float64(HashString(g.opt.NodeName+"/"+service)>>11)/(1<<53) < share-float64(n) {
			n++
		}
		switch {
		case n == 0:
			r.floor[far] = math.MaxUint64
		case n < len(l):
			slices.Sort(l)
			r.floor[far] = l[len(l)-n]
		}
	}
	return r
}
