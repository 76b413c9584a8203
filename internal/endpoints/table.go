package endpoints

import (
	"cmp"
	"maps"
	"slices"
)

// Endpoint is one instance of a service. It is comparable: two endpoints are
// equal if nothing about them changed.
type Endpoint struct {
	// ID is the platform's name of the instance, unique at any time.
	ID      string `json:"ID"`
	Service string `json:"Service"`
	// Addr is its IP and port.
	Addr string `json:"Addr"`
	Zone string `json:"Zone"`
	// Version is the version of its software.
	Version string `json:"Version,omitempty"`
	// Slots is the number of requests that it runs at the same time.
	Slots int `json:"Slots,omitempty"`
	// Draining says that it shuts down gracefully and gets no new requests.
	Draining bool `json:"Drains,omitempty"`
	// WarmingUp says that it started a short while ago and is still slow.
	WarmingUp bool `json:"Cold,omitempty"`
	// Ordinal numbers the endpoints in the order in which they were first
	// listed, from 1. No later table gives it to another endpoint. It stands for
	// the endpoint in deltas and messages, and slots prefer lower ordinals.
	Ordinal int64 `json:"Entry"`
}

// Table is the list of endpoints, sorted by ID, under its stamp. It is
// immutable once made.
type Table struct {
	Stamp Stamp `json:"Stamp"`
	// NextOrdinal is the ordinal that the next new endpoint gets.
	NextOrdinal int64      `json:"NextEntry"`
	Endpoints   []Endpoint `json:"Searchers"`
	// InitialVersions maps each service to the software version that it had
	// when it was first listed. That stays in force until a rollout replaces it.
	InitialVersions map[string]string `json:"First,omitempty"`
}

// Merge returns the newer of two tables, either of which may be nil. It is
// commutative, associative and idempotent.
func Merge(a, b *Table) *Table {
	switch {
	case a == nil:
		return b
	case b == nil || !a.Stamp.Before(b.Stamp):
		return a
	}
	return b
}

// NextTable makes the table that follows old, which may be nil, of a listing
// by the platform. Endpoints that are known keep their ordinal, new ones get
// the next ordinals in the order of their IDs. It also reports whether any
// endpoint changed.
func NextTable(old *Table, list []Endpoint, stamp Stamp) (*Table, bool) {
	if old == nil {
		t := &Table{Stamp: stamp, NextOrdinal: 1, InitialVersions: map[string]string{}}
		t.addListed(nil, list)
		return t, true
	}
	t := &Table{Stamp: stamp, NextOrdinal: old.NextOrdinal, InitialVersions: maps.Clone(old.InitialVersions)}
	if t.InitialVersions == nil {
		t.InitialVersions = map[string]string{}
	}
	t.addListed(old.Endpoints, list)
	return t, !slices.Equal(t.Endpoints, old.Endpoints)
}

// addListed fills the table with the listed endpoints. old are the endpoints
// of the table before.
func (t *Table) addListed(old, list []Endpoint) {
	known := make(map[string]Endpoint, len(old))
	for _, e := range old {
		known[e.ID] = e
	}
	t.Endpoints = append(t.Endpoints, list...)
	sortByID(t.Endpoints)
	for i := range t.Endpoints {
		e := &t.Endpoints[i]
		if before, ok := known[e.ID]; ok {
			e.Ordinal = before.Ordinal
			// The list lags and may show an endpoint as ready again, but one
			// that drains never comes back.
			e.Draining = e.Draining || before.Draining
			continue
		}
		e.Ordinal = t.NextOrdinal
		t.NextOrdinal++
	}
	t.recordInitialVersions()
}

// recordInitialVersions notes the version of every service that was never listed
// before. Where its endpoints differ, it is the version of most of them, and
// of those that tie the lowest.
func (t *Table) recordInitialVersions() {
	counts := map[string]map[string]int{}
	for _, e := range t.Endpoints {
		if e.Version == "" || t.InitialVersions[e.Service] != "" {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = map[string]int{}
		}
		counts[e.Service][e.Version]++
	}
	for service, byVersion := range counts {
		t.InitialVersions[service] = slices.MinFunc(slices.Collect(maps.Keys(byVersion)), func(a, b string) int {
			return cmp.Or(cmp.Compare(byVersion[b], byVersion[a]), cmp.Compare(a, b))
		})
	}
}

func sortByID(list []Endpoint) {
	slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
