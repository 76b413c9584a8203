package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// Stamp orders tables: the duty's epoch, then its holder, then a count.
type Stamp struct {
	Epoch    int64
	Holder   string
	Sequence int64
}

// Before tells whether s is older than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch < o.Epoch
	}
	if s.Holder != o.Holder {
		return s.Holder < o.Holder
	}
	return s.Sequence < o.Sequence
}

// Endpoint is one instance on the list.
type Endpoint struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// Version is that of its software.
	Version  string `json:",omitempty"`
	Slots    int    `json:",omitempty"`
	Draining bool   `json:",omitempty"`
	// WarmingUp: it started so lately that it still runs slow.
	WarmingUp bool `json:",omitempty"`
	// Ordinal is the searcher's sequential number: earlier ones have the slots first.
	Ordinal int64
}

// Table is the list under its stamp. It is never changed once made.
type Table struct {
	Stamp       Stamp
	NextOrdinal int64
	Endpoints   []Endpoint
	// InitialVersions is the version that each service's searchers had when they were
	// first listed; it is in force until an order moves the service.
	InitialVersions map[string]string `json:",omitempty"`
}

// Delta is what changed between two tables. Searchers that only began to
// drain, or are no longer cold, are named by their entries alone, like those
// that are gone.
type Delta struct {
	From, To        Stamp
	NextOrdinal     int64
	Upserts         []Endpoint        `json:",omitempty"`
	Draining        []int64           `json:",omitempty"`
	WarmedUp        []int64           `json:",omitempty"`
	Removed         []int64           `json:",omitempty"`
	InitialVersions map[string]string `json:",omitempty"`
}

// Diff gives the way from one table to another, or from none to the first.
func Diff(from, to *Table) *Delta {
	if from == nil {
		from = &Table{}
	}
	d := &Delta{From: from.Stamp, To: to.Stamp, NextOrdinal: to.NextOrdinal}
	was := map[int64]Endpoint{}
	for _, s := range from.Endpoints {
		was[s.Ordinal] = s
	}
	for _, s := range to.Endpoints {
		old, ok := was[s.Ordinal]
		delete(was, s.Ordinal)
		if ok && old == s {
			continue
		}
		drains, warm := !old.Draining && s.Draining, old.WarmingUp && !s.WarmingUp
		old.Draining, old.WarmingUp = s.Draining, s.WarmingUp
		if !ok || old != s || !drains && !warm {
			d.Upserts = append(d.Upserts, s)
			continue
		}
		if drains {
			d.Draining = append(d.Draining, s.Ordinal)
		}
		if warm {
			d.WarmedUp = append(d.WarmedUp, s.Ordinal)
		}
	}
	for entry := range was {
		d.Removed = append(d.Removed, entry)
	}
	slices.Sort(d.Removed)
	for service, v := range to.InitialVersions {
		if from.InitialVersions[service] == "" {
			if d.InitialVersions == nil {
				d.InitialVersions = map[string]string{}
			}
			d.InitialVersions[service] = v
		}
	}
	return d
}

// Apply gives the table after the delta, or nil where that does not fit.
func (t *Table) Apply(d *Delta) *Table {
	if t == nil {
		t = &Table{}
	}
	if t.Stamp != d.From {
		return nil
	}
	set := map[int64]Endpoint{}
	for _, s := range d.Upserts {
		set[s.Ordinal] = s
	}
	drains, warm, gone := entries(d.Draining), entries(d.WarmedUp), entries(d.Removed)
	n := &Table{Stamp: d.To, NextOrdinal: d.NextOrdinal, InitialVersions: maps.Clone(t.InitialVersions)}
	if n.InitialVersions == nil {
		n.InitialVersions = map[string]string{}
	}
	maps.Copy(n.InitialVersions, d.InitialVersions)
	for _, s := range t.Endpoints {
		if gone[s.Ordinal] {
			continue
		}
		if now, ok := set[s.Ordinal]; ok {
			s = now
			delete(set, s.Ordinal)
		}
		s.Draining = s.Draining || drains[s.Ordinal]
		s.WarmingUp = s.WarmingUp && !warm[s.Ordinal]
		n.Endpoints = append(n.Endpoints, s)
	}
	for _, s := range set {
		n.Endpoints = append(n.Endpoints, s)
	}
	sort.Slice(n.Endpoints, func(i, j int) bool { return n.Endpoints[i].ID < n.Endpoints[j].ID })
	return n
}

func entries(l []int64) map[int64]bool {
	m := make(map[int64]bool, len(l))
	for _, e := range l {
		m[e] = true
	}
	return m
}

// Merge gives the newer of two tables; a table from a lower epoch is refused.
func Merge(a, b *Table) *Table {
	switch {
	case a == nil:
		return b
	case b == nil || !a.Stamp.Before(b.Stamp):
		return a
	}
	return b
}

// NextTable makes the table that follows old once the list was read. Known
// searchers keep their entries, new ones get the next, in the order of their
// names. changed tells whether anything but the stamp differs.
func NextTable(old *Table, list []Endpoint, stamp Stamp) (t *Table, changed bool) {
	t = &Table{Stamp: stamp, NextOrdinal: 1}
	known := map[string]Endpoint{}
	if old != nil {
		t.NextOrdinal = old.NextOrdinal
		for _, s := range old.Endpoints {
			known[s.ID] = s
		}
	}
	t.Endpoints = append(t.Endpoints, list...)
	sort.Slice(t.Endpoints, func(i, j int) bool { return t.Endpoints[i].ID < t.Endpoints[j].ID })
	changed = old == nil || len(old.Endpoints) != len(list)
	for i := range t.Endpoints {
		s := &t.Endpoints[i]
		k, ok := known[s.ID]
		if ok {
			s.Ordinal = k.Ordinal
			// A list that lags may call a searcher ready again; one that drains never comes back.
			s.Draining = s.Draining || k.Draining
		} else {
			s.Ordinal = t.NextOrdinal
			t.NextOrdinal++
		}
		changed = changed || !ok || *s != k
	}
	if old != nil {
		t.InitialVersions = maps.Clone(old.InitialVersions)
	}
	if t.InitialVersions == nil {
		t.InitialVersions = map[string]string{}
	}
	t.meet()
	return t, changed
}

// meet notes the versions of services that were never listed before: where
// there are several, the one of most searchers, and of these the lowest.
func (t *Table) meet() {
	count := map[string]map[string]int{}
	for _, s := range t.Endpoints {
		if s.Version == "" || t.InitialVersions[s.Service] != "" {
			continue
		}
		if count[s.Service] == nil {
			count[s.Service] = map[string]int{}
		}
		count[s.Service][s.Version]++
	}
	for service, versions := range count {
		t.InitialVersions[service] = slices.MinFunc(slices.Collect(maps.Keys(versions)), func(a, b string) int {
			return cmp.Or(cmp.Compare(versions[b], versions[a]), cmp.Compare(a, b))
		})
	}
}
