package endpoints

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Flags that change travel as ordinals alone, and a delta applies to the table
// that it was computed from and to no other.
func TestDiff(t *testing.T) {
	a, _ := NextTable(nil, []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e", WarmingUp: true}, {ID: "f"}}, Stamp{Epoch: 1, Sequence: 1})
	b, _ := NextTable(a, []Endpoint{{ID: "a"}, {ID: "c", Draining: true}, {ID: "d"}, {ID: "e"}, {ID: "f", WarmingUp: true}}, Stamp{Epoch: 1, Sequence: 2})
	d := Diff(a, b)
	if len(d.Upserts) != 2 || len(d.Removed) != 1 || len(d.Draining) != 1 || len(d.WarmedUp) != 1 {
		t.Fatalf("%+v", d)
	}
	if got, err := a.ApplyDelta(d); err != nil || !reflect.DeepEqual(got, b) {
		t.Fatalf("%+v, %v", got, err)
	}
	for _, other := range []*Table{b, nil} {
		if got, err := other.ApplyDelta(d); got != nil || !errors.Is(err, ErrDeltaBase) {
			t.Errorf("a delta was applied to another table: %+v, %v", got, err)
		}
	}
}

func TestApplySnapshot(t *testing.T) {
	a, _ := NextTable(nil, []Endpoint{{ID: "a"}, {ID: "b"}}, Stamp{Epoch: 1, Sequence: 1})
	b, _ := NextTable(nil, []Endpoint{{ID: "c", Service: "s", Version: "v1"}}, Stamp{Epoch: 2, Sequence: 1})
	snapshot := Diff(nil, b)
	for name, base := range map[string]*Table{"no table": nil, "another table": a, "the same table": b} {
		t.Run(name, func(t *testing.T) {
			if got, err := base.ApplyDelta(snapshot); err != nil || !reflect.DeepEqual(got, b) {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}

// Between any two tables of a history, the delta leads from the older to the
// newer one.
func TestDiffRoundTrip(t *testing.T) {
	for seed := range uint64(100) {
		history := randomHistory(rand.New(rand.NewPCG(seed, 0)), 8)
		for i, from := range history {
			for _, to := range history[i:] {
				if from == nil && to == nil {
					continue
				}
				if got, err := from.ApplyDelta(Diff(from, to)); err != nil || !reflect.DeepEqual(got, to) {
					t.Fatalf("seed %d:\nfrom %+v\nto   %+v\ngot  %+v, %v", seed, from, to, got, err)
				}
			}
		}
	}
}

// randomHistory returns tables that were made one of another, after a nil for
// the time before the first. Endpoints come, end their slow start, move, drain
// and go.
func randomHistory(random *rand.Rand, length int) []*Table {
	history := []*Table{nil}
	var listed []Endpoint
	for step := range length {
		var next []Endpoint
		for _, e := range listed {
			switch random.IntN(6) {
			case 0:
				continue
			case 1:
				e.Draining = true
			case 2:
				e.WarmingUp = false
			case 3:
				e.Addr = fmt.Sprint("10.0.0.", step, ":80")
			}
			next = append(next, e)
		}
		for i := range random.IntN(4) {
			next = append(next, Endpoint{
				ID:        fmt.Sprintf("i-%d-%d-%d", random.IntN(100), step, i),
				Service:   fmt.Sprint("s", random.IntN(3)),
				Version:   fmt.Sprint("v", random.IntN(3)),
				WarmingUp: random.IntN(2) == 0,
			})
		}
		random.Shuffle(len(next), func(i, j int) { next[i], next[j] = next[j], next[i] })
		listed = next
		table, _ := NextTable(history[step], listed, Stamp{Epoch: 1, Holder: "a", Sequence: int64(step) + 1})
		history = append(history, table)
	}
	return history
}
