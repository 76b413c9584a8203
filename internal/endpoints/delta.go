package endpoints

import (
	"errors"
	"maps"
	"slices"
)

// ErrDeltaBase is returned where a delta does not start from the table that it
// is applied to. A snapshot is needed then.
var ErrDeltaBase = errors.New("endpoints: delta starts from another table")

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
	// Draining and WarmedUp are the ordinals of endpoints that began to drain,
	// or are no longer warming up, and changed in no other way.
	Draining []int64 `json:"Drains,omitempty"`
	WarmedUp []int64 `json:"Warm,omitempty"`
	// Removed holds the ordinals of the endpoints that were removed.
	Removed []int64 `json:"Gone,omitempty"`
	// InitialVersions holds the entries of Table.InitialVersions that were added.
	InitialVersions map[string]string `json:"First,omitempty"`
}

// Diff computes the delta between two tables, or a snapshot of to where from is
// nil. The tables must be of one history, where to was made of from by
// NextTable in one or more steps.
//
// TODO: an endpoint that both begins to drain and is warming up again is taken
// for one that only drains.
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
	for ordinal := range removed {
		d.Removed = append(d.Removed, ordinal)
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
	draining := !before.Draining && after.Draining
	warmedUp := before.WarmingUp && !after.WarmingUp
	before.Draining, before.WarmingUp = after.Draining, after.WarmingUp
	if before != after || !draining && !warmedUp {
		d.Upserts = append(d.Upserts, after)
		return
	}
	if draining {
		d.Draining = append(d.Draining, after.Ordinal)
	}
	if warmedUp {
		d.WarmedUp = append(d.WarmedUp, after.Ordinal)
	}
}

// ApplyDelta returns the table that the delta leads to from t, which may be nil
// and is not changed. A snapshot applies to any table; another delta that does
// not start from t is refused with ErrDeltaBase.
func (t *Table) ApplyDelta(d *Delta) (*Table, error) {
	if t == nil || d.From == (Stamp{}) {
		t = &Table{}
	}
	if t.Stamp != d.From {
		return nil, ErrDeltaBase
	}
	next := &Table{Stamp: d.To, NextOrdinal: d.NextOrdinal, InitialVersions: maps.Clone(t.InitialVersions)}
	if next.InitialVersions == nil {
		next.InitialVersions = map[string]string{}
	}
	maps.Copy(next.InitialVersions, d.InitialVersions)
	upserts := make(map[int64]Endpoint, len(d.Upserts))
	for _, e := range d.Upserts {
		upserts[e.Ordinal] = e
	}
	draining, warmedUp, removed := ordinalSet(d.Draining), ordinalSet(d.WarmedUp), ordinalSet(d.Removed)
	for _, e := range t.Endpoints {
		if removed[e.Ordinal] {
			continue
		}
		if changed, ok := upserts[e.Ordinal]; ok {
			e = changed
			delete(upserts, e.Ordinal)
		}
		e.Draining = e.Draining || draining[e.Ordinal]
		e.WarmingUp = e.WarmingUp && !warmedUp[e.Ordinal]
		next.Endpoints = append(next.Endpoints, e)
	}
	for _, e := range upserts {
		next.Endpoints = append(next.Endpoints, e)
	}
	sortByID(next.Endpoints)
	return next, nil
}

func ordinalSet(ordinals []int64) map[int64]bool {
	set := make(map[int64]bool, len(ordinals))
	for _, ordinal := range ordinals {
		set[ordinal] = true
	}
	return set
}
