package upstream

import (
	"fmt"
	"math"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// The fleet of the tests has six zones, two to a region. Front i is in zone
// i % fleetZones, and each shard has one endpoint in each zone.
const (
	fleetZones     = 6
	zonesPerRegion = 2
)

// fleetDistance returns how far two zones of the fleet are apart.
func fleetDistance(a, b int) int {
	switch {
	case a == b:
		return 0
	case a/zonesPerRegion == b/zonesPerRegion:
		return 1
	default:
		return 2
	}
}

// newFleet returns the pools of the fronts of a fleet. limit is the connection
// limit of each service, counts how many fronts front i believes there are.
func newFleet(t *testing.T, fronts, limit, shards int, counts func(i int) FrontCounts) []*Pool {
	t.Helper()
	var entries []endpoints.Endpoint
	for shard := range shards {
		for zone := range fleetZones {
			entries = append(entries, endpoints.Endpoint{
				ID: fmt.Sprintf("i-%d-%d", shard, zone), Service: fmt.Sprintf("s%d", shard), Zone: fmt.Sprint(zone), Slots: 2,
			})
		}
	}
	var pools []*Pool
	for i := range fronts {
		options := testOptions()
		options.NodeName = fmt.Sprintf("front-%d", i)
		options.DistancePenalty = 0.3
		options.Distance = func(zone string) int { return fleetDistance(i%fleetZones, int(zone[0]-'0')) }
		pool := newTestPool(t, options, entries...)
		for shard := range shards {
			pool.SetConnectionLimit(fmt.Sprintf("s%d", shard), limit)
		}
		pool.SetFrontCounts(counts(i))
		pools = append(pools, pool)
	}
	return pools
}

// evenCounts returns the counts of n fronts that are spread evenly over the zones.
func evenCounts(n int) FrontCounts {
	return FrontCounts{All: n, Region: n * zonesPerRegion / fleetZones, Zone: n / fleetZones}
}

// allowedConnections returns, for each healthy endpoint of a service, how many
// connections all fronts together may have, and how many fronts may have none to
// any.
func allowedConnections(pools []*Pool, serviceName string) (sums map[string]int, without int) {
	sums = map[string]int{}
	now := time.Now()
	for _, pool := range pools {
		s, reachesAny := pool.service(serviceName), false
		subset := pool.subset(s, "", now)
		for _, e := range s.endpoints {
			limit := max(0, pool.connectionLimit(e, s, subset, now))
			if !pool.healthy(e, now) {
				continue
			}
			sums[e.ID] += limit
			reachesAny = reachesAny || limit > 0
		}
		if !reachesAny {
			without++
		}
	}
	return sums, without
}

// More fronts than connections: together they stay within the limit, and no
// front is left without an endpoint, nor an endpoint without fronts.
func TestFrontsOutnumberConnections(t *testing.T) {
	const fronts, limit, shards = 300, 250, 5
	checkSums := func(t *testing.T, sums map[string]int) {
		t.Helper()
		for id, n := range sums {
			if n > limit || n < fronts/fleetZones {
				t.Errorf("%d connections to %s", n, id)
			}
		}
	}
	for name, counts := range map[string]func(i int) FrontCounts{
		"all agree":           func(int) FrontCounts { return evenCounts(fronts) },
		"a third counts less": func(i int) FrontCounts { return evenCounts(fronts - 45*(i%3/2)) },
	} {
		t.Run(name, func(t *testing.T) {
			pools := newFleet(t, fronts, limit, shards, counts)
			for shard := range shards {
				sums, without := allowedConnections(pools, fmt.Sprintf("s%d", shard))
				if without > 0 {
					t.Errorf("%d fronts reach no endpoint", without)
				}
				checkSums(t, sums)
			}
			// Only two endpoints of a shard are healthy: these take the others'
			// place, still within the limit.
			for _, pool := range pools {
				for zone := range 4 {
					pool.endpoints[fmt.Sprintf("i-0-%d", zone)].consecutiveFailures = 3
				}
			}
			sums, without := allowedConnections(pools, "s0")
			if without > fronts*2/3 {
				t.Errorf("%d fronts reach neither of the two healthy endpoints", without)
			}
			checkSums(t, sums)
		})
	}
}

// Where there are enough connections, each front has its part of those to every
// endpoint.
func TestConnectionsOutnumberFronts(t *testing.T) {
	pools := newFleet(t, 60, 250, 1, func(int) FrontCounts { return evenCounts(60) })
	sums, _ := allowedConnections(pools, "s0")
	if sums["i-0-0"] != 240 {
		t.Fatalf("%d of 250 connections used by 60 fronts", sums["i-0-0"])
	}
}

// All nodes must compute the same hashes, in every version.
func TestHashString(t *testing.T) {
	for s, want := range map[string]uint64{
		"":            0xf52a15e9a9b5e89b,
		"front-0 i-1": 0x158956ad24a24bd0,
		"front-0 i-2": 0xc116be6df96492c2,
	} {
		if got := HashString(s); got != want {
			t.Errorf("HashString(%q) = %#x, want %#x", s, got, want)
		}
	}
}

// A fractional size is rounded up by the nodes whose rounding is below the
// fraction, so that the mean over all nodes is right.
func TestMinRank(t *testing.T) {
	for _, c := range []struct {
		size, rounding float64
		want           uint64
	}{
		{0, 0, math.MaxUint64},
		{0.5, 0.4, 40},
		{0.5, 0.6, math.MaxUint64},
		{1, 0, 40},
		{2.5, 0.4, 20},
		{2.5, 0.6, 30},
		{3.5, 0.4, 0},
		{4, 0, 0},
		{9, 0, 0},
	} {
		if got := minRank([]uint64{30, 10, 40, 20}, c.size, c.rounding); got != c.want {
			t.Errorf("size %v with rounding %v: rank %d, want %d", c.size, c.rounding, got, c.want)
		}
	}
}
