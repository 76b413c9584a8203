package upstream

import (
	"fmt"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// zoneOf puts front i into one of six zones, two a region.
func zoneOf(i int) int { return i % 6 }

func fleet(n, limit, shards int, seen func(i int) FrontCounts) []*Pool {
	var l []endpoints.Endpoint
	for s := 0; s < shards; s++ {
		for z := 0; z < 6; z++ {
			l = append(l, endpoints.Endpoint{ID: fmt.Sprintf("i-%d-%d", s, z), Service: fmt.Sprintf("s%d", s), Zone: fmt.Sprint(z), Slots: 2})
		}
	}
	table, _ := endpoints.NextTable(nil, l, endpoints.Stamp{Epoch: 1})
	var out []*Pool
	for i := 0; i < n; i++ {
		own := zoneOf(i)
		g := New(Options{NodeName: fmt.Sprintf("front-%d", i), ConsecutiveFailures: 3, BaseEjectionTime: time.Second, TwoChoicesThreshold: 5, DecayTime: 3 * time.Second, DistancePenalty: 0.3,
			Distance: func(z string) int {
				at := int(z[0] - '0')
				switch {
				case at == own:
					return 0
				case at/2 == own/2:
					return 1
				}
				return 2
			}})
		g.SetTable(table)
		for s := 0; s < shards; s++ {
			g.SetConnectionLimit(fmt.Sprintf("s%d", s), limit)
		}
		g.SetFrontCounts(seen(i))
		out = append(out, g)
	}
	return out
}

// taken sums, for each searcher of a service, the connections that all fronts may have.
func taken(fronts []*Pool, service string) (sum map[string]int, without int) {
	sum = map[string]int{}
	now := time.Now()
	for _, g := range fronts {
		t, any := g.service(service), false
		r := g.subset(t, "", now)
		for _, p := range t.endpoints {
			n := max(0, g.connectionLimit(p, t, r, now))
			if !g.healthy(p, now) {
				continue
			}
			sum[p.ID] += n
			any = any || n > 0
		}
		if !any {
			without++
		}
	}
	return sum, without
}

func all(n int) FrontCounts { return FrontCounts{All: n, Region: n / 3, Zone: n / 6} }

// More fronts than connections: together they stay within the limit, nobody
// is left without a searcher and no searcher without fronts.
func TestFrontsOutnumberConnections(t *testing.T) {
	const n, limit, shards = 300, 250, 5
	for name, seen := range map[string]func(int) FrontCounts{
		"all agree":           func(int) FrontCounts { return all(n) },
		"a third counts less": func(i int) FrontCounts { return all(n - 45*(i%3/2)) },
	} {
		fronts := fleet(n, limit, shards, seen)
		for s := 0; s < shards; s++ {
			sum, without := taken(fronts, fmt.Sprintf("s%d", s))
			if without > 0 {
				t.Errorf("%s: %d fronts reach nobody", name, without)
			}
			for id, c := range sum {
				if c > limit || c < n/6 {
					t.Errorf("%s: %d connections to %s", name, c, id)
				}
			}
		}
		// All but two searchers of a shard are ill: others take their place, within the limit still.
		for _, g := range fronts {
			for z := 0; z < 4; z++ {
				g.endpoints[fmt.Sprintf("i-0-%d", z)].consecutiveFailures = 3
			}
		}
		sum, without := taken(fronts, "s0")
		if without > n*2/3 {
			t.Errorf("%s: %d fronts reach nobody of the two left", name, without)
		}
		for id, c := range sum {
			if c > limit || c < n/6 {
				t.Errorf("%s, four ill: %d connections to %s", name, c, id)
			}
		}
	}
	// Where there are enough connections, everybody may reach all, as before.
	sum, _ := taken(fleet(60, 250, 1, func(int) FrontCounts { return all(60) }), "s0")
	if sum["i-0-0"] != 240 {
		t.Fatalf("%d of 250 connections used by 60 fronts", sum["i-0-0"])
	}
}

// A searcher that shuts a new connection has too many, and is not taken for dead.
func TestShutIsNotDead(t *testing.T) {
	g := fleet(1, 250, 1, func(int) FrontCounts { return all(300) })[0]
	g.OnUnhealthy = func(id string) { t.Fatalf("%s was called silent", id) }
	for i := 0; i < 6; i++ {
		p, start := g.Pick(Selector{Service: "s0"}, nil, 100*time.Millisecond, false)
		g.record(p, &Attempt{Outcome: OutcomeUnknown, closedOnConnect: true}, start)
		if p.consecutiveFailures > 0 {
			t.Fatal("a shut connection counts as a failure")
		}
		if q, again := g.Pick(Selector{Service: "s0"}, nil, 100*time.Millisecond, false); q == p {
			t.Fatal("it is asked again at once")
		} else {
			g.CancelPick(q, again)
		}
		p.ejectedUntil = time.Time{}
	}
}
