package endpoints

import (
	"reflect"
	"testing"
)

func TestTables(t *testing.T) {
	l := []Endpoint{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}}
	one, changed := NextTable(nil, l, Stamp{1, "h", 1})
	if !changed || one.Endpoints[0].ID != "a" || one.Endpoints[0].Ordinal != 1 || one.Endpoints[1].Ordinal != 2 {
		t.Fatalf("first table: %+v", one)
	}
	if _, changed := NextTable(one, l, Stamp{1, "h", 2}); changed {
		t.Fatal("the same list is a change")
	}
	two, _ := NextTable(one, []Endpoint{{ID: "a", Service: "s", Draining: true}, {ID: "0", Service: "s"}}, Stamp{1, "h", 2})
	if two.Endpoints[0].Ordinal != 3 || two.Endpoints[1].Ordinal != 1 {
		t.Fatalf("entries moved: %+v", two)
	}
	three, _ := NextTable(two, l, Stamp{2, "g", 1})
	if !three.Endpoints[0].Draining {
		t.Fatal("a draining searcher came back")
	}
	if Merge(three, two) != three || Merge(two, three) != three || Merge(nil, one) != one || Merge(one, nil) != one {
		t.Fatal("merge does not keep the newest")
	}
}

// What changed between two tables leads from one to the other, and to nothing
// else; flags that change travel as numbers alone.
func TestDelta(t *testing.T) {
	a, _ := NextTable(nil, []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e", WarmingUp: true}, {ID: "f"}}, Stamp{Epoch: 1, Sequence: 1})
	b, _ := NextTable(a, []Endpoint{{ID: "a"}, {ID: "c", Draining: true}, {ID: "d"}, {ID: "e"}, {ID: "f", WarmingUp: true}}, Stamp{Epoch: 1, Sequence: 2})
	d := Diff(a, b)
	if len(d.Upserts) != 2 || len(d.Removed) != 1 || len(d.Draining) != 1 || len(d.WarmedUp) != 1 {
		t.Fatalf("%+v", d)
	}
	if got := a.Apply(d); !reflect.DeepEqual(got, b) {
		t.Fatalf("%+v", got)
	}
	if got := (*Table)(nil).Apply(Diff(nil, b)); !reflect.DeepEqual(got, b) {
		t.Fatalf("from nothing: %+v", got)
	}
	if b.Apply(d) != nil || (*Table)(nil).Apply(d) != nil {
		t.Fatal("a delta was applied to another table")
	}
}
