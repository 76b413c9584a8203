package hutbook

import "sort"

// Stamp orders tables: the duty's epoch, then its holder, then a count.
type Stamp struct {
	Epoch int64
	By    string
	Seq   int64
}

// Less tells whether s is older than o.
func (s Stamp) Less(o Stamp) bool {
	if s.Epoch != o.Epoch {
		return s.Epoch < o.Epoch
	}
	if s.By != o.By {
		return s.By < o.By
	}
	return s.Seq < o.Seq
}

// Searcher is one instance on the list.
type Searcher struct {
	ID      string
	Service string
	Addr    string
	Zone    string
	Slots   int  `json:",omitempty"`
	Drains  bool `json:",omitempty"`
	// Cold: it started so lately that it still runs slow.
	Cold bool `json:",omitempty"`
	// Entry is the searcher's sequential number: earlier ones have the slots first.
	Entry int64
}

// Table is the list under its stamp. It is never changed once made.
type Table struct {
	Stamp     Stamp
	NextEntry int64
	Searchers []Searcher
}

// Delta is what changed between two tables.
type Delta struct {
	From, To  Stamp
	NextEntry int64
	Set       []Searcher `json:",omitempty"`
	Gone      []string   `json:",omitempty"`
}

// Diff gives the way from one table to another.
func Diff(from, to *Table) *Delta {
	d := &Delta{From: from.Stamp, To: to.Stamp, NextEntry: to.NextEntry}
	was := map[string]Searcher{}
	for _, s := range from.Searchers {
		was[s.ID] = s
	}
	for _, s := range to.Searchers {
		if old, ok := was[s.ID]; !ok || old != s {
			d.Set = append(d.Set, s)
		}
		delete(was, s.ID)
	}
	for id := range was {
		d.Gone = append(d.Gone, id)
	}
	sort.Strings(d.Gone)
	return d
}

// Follow gives the table after the delta, or nil where that does not fit.
func (t *Table) Follow(d *Delta) *Table {
	if t == nil || t.Stamp != d.From {
		return nil
	}
	set := map[string]Searcher{}
	for _, s := range d.Set {
		set[s.ID] = s
	}
	gone := map[string]bool{}
	for _, id := range d.Gone {
		gone[id] = true
	}
	n := &Table{Stamp: d.To, NextEntry: d.NextEntry}
	for _, s := range t.Searchers {
		if gone[s.ID] {
			continue
		}
		if now, ok := set[s.ID]; ok {
			s = now
			delete(set, s.ID)
		}
		n.Searchers = append(n.Searchers, s)
	}
	for _, s := range set {
		n.Searchers = append(n.Searchers, s)
	}
	sort.Slice(n.Searchers, func(i, j int) bool { return n.Searchers[i].ID < n.Searchers[j].ID })
	return n
}

// Merge gives the newer of two tables; a table from a lower epoch is refused.
func Merge(a, b *Table) *Table {
	switch {
	case a == nil:
		return b
	case b == nil || !a.Stamp.Less(b.Stamp):
		return a
	}
	return b
}

// Next makes the table that follows old once the list was read. Known
// searchers keep their entries, new ones get the next, in the order of their
// names. changed tells whether anything but the stamp differs.
func Next(old *Table, list []Searcher, stamp Stamp) (t *Table, changed bool) {
	t = &Table{Stamp: stamp, NextEntry: 1}
	known := map[string]Searcher{}
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
	return t, changed
}
