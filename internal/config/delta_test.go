package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
)

// diffAndApply brings from to the version of to by way of a delta.
func diffAndApply(t *testing.T, from, to []byte) (Delta, *Configuration) {
	t.Helper()
	delta, ok := Diff(from, to)
	if !ok {
		t.Fatal("no delta")
	}
	changes, err := DecodeConfiguration(delta.Changes)
	if err != nil {
		t.Fatal(err)
	}
	return delta, decode(t, from).ApplyDelta(changes, delta.ItemChanges)
}

func decode(t *testing.T, raw []byte) *Configuration {
	t.Helper()
	c, err := DecodeConfiguration(raw)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestDiff(t *testing.T) {
	delta, got := diffAndApply(t, []byte(validConfiguration), applyPatch(t, patchOfValid))
	if len(delta.Removed["Routes"]) != 1 || len(delta.Removed["Services"]) != 1 {
		t.Fatalf("%+v", delta)
	}
	if got.Version != 9 || len(got.Routes) != 2 || len(got.Services) != 2 || got.Limits.IdleTimeoutMs != 15000 || got.Routes[0].CacheLifetimeS != 2.5 {
		t.Fatalf("%v", got)
	}
}

func TestDiffRejectsDuplicateNames(t *testing.T) {
	if _, ok := Diff([]byte(`{"Routes":[{"Name":"x"},{"Name":"x"}]}`), []byte(validConfiguration)); ok {
		t.Fatal("a delta between items of the same name")
	}
}

// A delta holds all that changed: applied to the old version it gives the new
// one, but for the order of routes and services.
func TestDiffRoundTrip(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 0))
		from, to := randomConfiguration(t, random), randomConfiguration(t, random)
		_, got := diffAndApply(t, from, to)
		want := decode(t, to)
		sortItems(got)
		sortItems(want)
		if !proto.Equal(got, want) {
			t.Fatalf("seed %d:\nfrom %s\nto   %s\ngot  %v", seed, from, to, got)
		}
	}
}

// randomConfiguration draws from few names and values, so that two of them
// share some items, have some that differ and some of their own.
func randomConfiguration(t *testing.T, random *rand.Rand) []byte {
	t.Helper()
	type item map[string]any
	var routes, services []item
	for _, i := range random.Perm(6) {
		if random.IntN(2) == 0 {
			routes = append(routes, item{"Name": fmt.Sprint("r", i), "Priority": random.IntN(2)})
		}
		if random.IntN(2) == 0 {
			services = append(services, item{"Name": fmt.Sprint("s", i), "Protocol": fmt.Sprint("h", random.IntN(2))})
		}
	}
	c := item{"Version": 1 + random.IntN(100), "Routes": routes, "Services": services}
	if random.IntN(2) == 0 {
		c["Limits"] = item{"HeaderSizeBytes": random.IntN(10)}
	}
	raw, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func sortItems(c *Configuration) {
	slices.SortFunc(c.Routes, func(a, b *Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
}
