package endpoints

import (
	"maps"
	"slices"
)

// Delta is what changed from one table to another. A delta from the zero stamp
// is a snapshot: it holds the whole table.
type Delta struct {
	// From and To are the stamps of the two tables.
	From        Stamp `json:"From"`
	To          Stamp `json:"To"`
	NextOrdinal int64 `json:"NextEntry"`
	// Upserts holds the endpoints that were added, or changed in another way than
	// those below.
	Upserts []Endpoint `json:"Set,omitempty"`
	// Draining and Warm are the numbers of endpoints that began to drain, or
	// ended their slow start, and changed in no other way.
	Draining []int64 `json:"Drains,omitempty"`
	WarmedUp []int64 `json:"Warm,omitempty"`
	// Removed are the numbers of the endpoints that were removed.
	Removed []int64 `json:"Gone,omitempty"`
	// InitialVersions holds the entries of Table.First that were added.
	InitialVersions map[string]string `json:"First,omitempty"`
}

// Diff computes the delta between two tables, or a snapshot of to where from is
// nil. The tables must be of one history, where to was made of from by
// NextTable in one or more steps.
func Diff(from, to *Table) *Delta {
	if from == nil {
		from = &Table{}
	}
	d := &Delta{From: from.Stamp, To: to.Stamp, NextOrdinal: to.NextOrdinal}
	removed := make(map[int64]Endpoint, len(from.Endpoints))
	for _, e := range from.Endpoints {
		removed[e.Ordinal] = e
	}
	for _, e := range to.Endpoints {
		before, known := removed[e.Ordinal]
		delete(removed, e.Ordinal)
		if !known {
			d.Upserts = append(d.Upserts, e)
			continue
		}
		d.addChange(before, e)
	}
	for number := range removed {
		d.Removed = append(d.Removed, number)
	}
	slices.Sort(d.Removed)
	for service, version := range to.InitialVersions {
		if from.InitialVersions[service] != "" {
			continue
		}
		if d.InitialVersions == nil {
			d.InitialVersions = map[string]string{}
		}
		d.InitialVersions[service] = version
	}
	return d
}

// addChange adds the change of one endpoint, if there is any, in its shortest
// form.
func (d *Delta) addChange(before, after Endpoint) {
	if before == after {
		return
	}
	drains := !before.Draining && after.Draining
	warm := before.WarmingUp && !after.WarmingUp
	before.Draining, before.WarmingUp = after.Draining, after.WarmingUp
	if before != after || !drains && !warm {
		d.Upserts = append(d.Upserts, after)
		return
	}
	if drains {
		d.Draining = append(d.Draining, after.Ordinal)
	}
	if warm {
		d.WarmedUp = append(d.WarmedUp, after.Ordinal)
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
	next := &Table{Stamp: d.To, NextOrdinal: d.NextOrdinal, InitialVersions: maps.Clone(t.InitialVersions)}
	if next.InitialVersions == nil {
		next.InitialVersions = map[string]string{}
	}
	maps.Copy(next.InitialVersions, d.InitialVersions)
	set := make(map[int64]Endpoint, len(d.Upserts))
	for _, e := range d.Upserts {
		set[e.Ordinal] = e
	}
	drains, warm, gone := numberSet(d.Draining), numberSet(d.WarmedUp), numberSet(d.Removed)
	for _, e := range t.Endpoints {
		if gone[e.Ordinal] {
			continue
		}
		if changed, ok := set[e.Ordinal]; ok {
			e = changed
			delete(set, e.Ordinal)
		}
		e.Draining = e.Draining || drains[e.Ordinal]
		e.WarmingUp = e.WarmingUp && !warm[e.Ordinal]
		next.Endpoints = append(next.Endpoints, e)
	}
	for _, e := range set {
		next.Endpoints = append(next.Endpoints, e)
	}
	sortByID(next.Endpoints)
	return next
}

func numberSet(numbers []int64) map[int64]bool {
	set := make(map[int64]bool, len(numbers))
	for _, n := range numbers {
		set[n] = true
	}
	return set
}
