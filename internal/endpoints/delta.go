package endpoints

import (
	"maps"
	"slices"
)

// Delta is what changed from one table to another. A delta from the zero stamp
// is a snapshot: it holds the whole table.
type Delta struct {
	// From and To are the stamps of the two tables.
	From      Stamp `json:"From"`
	To        Stamp `json:"To"`
	NextEntry int64 `json:"NextEntry"`
	// Set holds the endpoints that were added, or changed in another way than
	// those below.
	Set []Endpoint `json:"Set,omitempty"`
	// Drains and Warm are the numbers of endpoints that began to drain, or
	// ended their slow start, and changed in no other way.
	Drains []int64 `json:"Drains,omitempty"`
	Warm   []int64 `json:"Warm,omitempty"`
	// Gone are the numbers of the endpoints that were removed.
	Gone []int64 `json:"Gone,omitempty"`
	// First holds the entries of Table.First that were added.
	First map[string]string `json:"First,omitempty"`
}

// Diff computes the delta between two tables, or a snapshot of to where from is
// nil. The tables must be of one history, where to was made of from by
// NextTable in one or more steps.
func Diff(from, to *Table) *Delta {
	if from == nil {
		from = &Table{}
	}
	d := &Delta{From: from.Stamp, To: to.Stamp, NextEntry: to.NextEntry}
	removed := make(map[int64]Endpoint, len(from.Searchers))
	for _, e := range from.Searchers {
		removed[e.Entry] = e
	}
	for _, e := range to.Searchers {
		before, known := removed[e.Entry]
		delete(removed, e.Entry)
		if !known {
			d.Set = append(d.Set, e)
			continue
		}
		d.addChange(before, e)
	}
	for number := range removed {
		d.Gone = append(d.Gone, number)
	}
	slices.Sort(d.Gone)
	for service, version := range to.First {
		if from.First[service] != "" {
			continue
		}
		if d.First == nil {
			d.First = map[string]string{}
		}
		d.First[service] = version
	}
	return d
}

// addChange adds the change of one endpoint, if there is any, in its shortest
// form.
func (d *Delta) addChange(before, after Endpoint) {
	if before == after {
		return
	}
	drains := !before.Drains && after.Drains
	warm := before.Cold && !after.Cold
	before.Drains, before.Cold = after.Drains, after.Cold
	if before != after || !drains && !warm {
		d.Set = append(d.Set, after)
		return
	}
	if drains {
		d.Drains = append(d.Drains, after.Entry)
	}
	if warm {
		d.Warm = append(d.Warm, after.Entry)
	}
}

// Apply returns the table that the delta leads to from t, which may be nil and
// is not changed. A snapshot applies to any table. It returns nil where the
// delta starts from another table.
func (t *Table) Apply(d *Delta) *Table {
	if t == nil || d.From == (Stamp{}) {
		t = &Table{}
	}
	if t.Stamp != d.From {
		return nil
	}
	next := &Table{Stamp: d.To, NextEntry: d.NextEntry, First: maps.Clone(t.First)}
	if next.First == nil {
		next.First = map[string]string{}
	}
	maps.Copy(next.First, d.First)
	set := make(map[int64]Endpoint, len(d.Set))
	for _, e := range d.Set {
		set[e.Entry] = e
	}
	drains, warm, gone := numberSet(d.Drains), numberSet(d.Warm), numberSet(d.Gone)
	for _, e := range t.Searchers {
		if gone[e.Entry] {
			continue
		}
		if changed, ok := set[e.Entry]; ok {
			e = changed
			delete(set, e.Entry)
		}
		e.Drains = e.Drains || drains[e.Entry]
		e.Cold = e.Cold && !warm[e.Entry]
		next.Searchers = append(next.Searchers, e)
	}
	for _, e := range set {
		next.Searchers = append(next.Searchers, e)
	}
	sortByID(next.Searchers)
	return next
}

func numberSet(numbers []int64) map[int64]bool {
	set := make(map[int64]bool, len(numbers))
	for _, n := range numbers {
		set[n] = true
	}
	return set
}
