package endpoints

import (
	"cmp"
	"maps"
	"slices"
	"sort"
)

// Stamp orders tables: the duty's epoch, then its holder, then a count.
type Stamp struct {
	Epoch int64
	By    string
	Seq   int64
}

// Before tells whether s is older than o.
func (s Stamp) Before(o Stamp) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch < o.Epoch
	}
	if s.By != o.By {
		return s.By < o.By
	}
	return s.Seq < o.Seq
}

// Endpoint is one instance on the list.
type Endpoint struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	// Version is that of its software.
	Version string `json:",omitempty"`
	Slots   int    `json:",omitempty"`
	Drains  bool   `json:",omitempty"`
	// Cold: it started so lately that it still runs slow.
	Cold bool `json:",omitempty"`
	// Entry is the searcher's sequential number: earlier ones have the slots first.
	Entry int64
}

// Table is the list under its stamp. It is never changed once made.
type Table struct {
	Stamp     Stamp
	NextEntry int64
	Searchers []Endpoint
	// First is the version that each service's searchers had when they were
	// first listed; it is in force until an order moves the service.
	First map[string]string `json:",omitempty"`
}

// Delta is what changed between two tables. Searchers that only began to
// drain, or are no longer cold, are named by their entries alone, like those
// that are gone.
type Delta struct {
	From, To  Stamp
	NextEntry int64
	Set       []Endpoint        `json:",omitempty"`
	Drains    []int64           `json:",omitempty"`
	Warm      []int64           `json:",omitempty"`
	Gone      []int64           `json:",omitempty"`
	First     map[string]string `json:",omitempty"`
}

// Diff gives the way from one table to another, or from none to the first.
func Diff(from, to *Table) *Delta {
	if from == nil {
		from = &Table{}
	}
	d := &Delta{From: from.Stamp, To: to.Stamp, NextEntry: to.NextEntry}
	was := map[int64]Endpoint{}
	for _, s := range from.Searchers {
		was[s.Entry] = s
	}
	for _, s := range to.Searchers {
		old, ok := was[s.Entry]
		delete(was, s.Entry)
		if ok && old == s {
			continue
		}
		drains, warm := !old.Drains && s.Drains, old.Cold && !s.Cold
		old.Drains, old.Cold = s.Drains, s.Cold
		if !ok || old != s || !drains && !warm {
			d.Set = append(d.Set, s)
			continue
		}
		if drains {
			d.Drains = append(d.Drains, s.Entry)
		}
		if warm {
			d.Warm = append(d.Warm, s.Entry)
		}
	}
	for entry := range was {
		d.Gone = append(d.Gone, entry)
	}
	slices.Sort(d.Gone)
	for service, v := range to.First {
		if from.First[service] == "" {
			if d.First == nil {
				d.First = map[string]string{}
			}
			d.First[service] = v
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
	for _, s := range d.Set {
		set[s.Entry] = s
	}
	drains, warm, gone := entries(d.Drains), entries(d.Warm), entries(d.Gone)
	n := &Table{Stamp: d.To, NextEntry: d.NextEntry, First: maps.Clone(t.First)}
	if n.First == nil {
		n.First = map[string]string{}
	}
	maps.Copy(n.First, d.First)
	for _, s := range t.Searchers {
		if gone[s.Entry] {
			continue
		}
		if now, ok := set[s.Entry]; ok {
			s = now
			delete(set, s.Entry)
		}
		s.Drains = s.Drains || drains[s.Entry]
		s.Cold = s.Cold && !warm[s.Entry]
		n.Searchers = append(n.Searchers, s)
	}
	for _, s := range set {
		n.Searchers = append(n.Searchers, s)
	}
	sort.Slice(n.Searchers, func(i, j int) bool { return n.Searchers[i].ID < n.Searchers[j].ID })
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
	t = &Table{Stamp: stamp, NextEntry: 1}
	known := map[string]Endpoint{}
	if old != nil {
		t.NextEntry = old.NextEntry
		for _, s := range old.Searchers {
			known[s.ID] = s
		}
	}
	t.Searchers = append(t.Searchers, list...)
	sort.Slice(t.Searchers, func(i, j int) bool { return t.Searchers[i].ID < t.Searchers[j].ID })
	changed = old == nil || len(old.Searchers) != len(list)
	for i := range t.Searchers {
		s := &t.Searchers[i]
		k, ok := known[s.ID]
		if ok {
			s.Entry = k.Entry
			// A list that lags may call a searcher ready again; one that drains never comes back.
			s.Drains = s.Drains || k.Drains
		} else {
			s.Entry = t.NextEntry
			t.NextEntry++
		}
		changed = changed || !ok || *s != k
	}
	if old != nil {
		t.First = maps.Clone(old.First)
	}
	if t.First == nil {
		t.First = map[string]string{}
	}
	t.meet()
	return t, changed
}

// meet notes the versions of services that were never listed before: where
// there are several, the one of most searchers, and of these the lowest.
func (t *Table) meet() {
	count := map[string]map[string]int{}
	for _, s := range t.Searchers {
		if s.Version == "" || t.First[s.Service] != "" {
			continue
		}
		if count[s.Service] == nil {
			count[s.Service] = map[string]int{}
		}
		count[s.Service][s.Version]++
	}
	for service, versions := range count {
		t.First[service] = slices.MinFunc(slices.Collect(maps.Keys(versions)), func(a, b string) int {
			return cmp.Or(cmp.Compare(versions[b], versions[a]), cmp.Compare(a, b))
		})
	}
}
