package endpoints

import (
	"reflect"
	"testing"
)

func TestTables(t *testing.T) {
	l := []Endpoint{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}}
	one, changed := NextTable(nil, l, Stamp{1, "h", 1})
	if !changed || one.Searchers[0].ID != "a" || one.Searchers[0].Entry != 1 || one.Searchers[1].Entry != 2 {
		t.Fatalf("first table: %+v", one)
	}
	if _, changed := NextTable(one, l, Stamp{1, "h", 2}); changed {
		t.Fatal("the same list is a change")
	}
	two, _ := NextTable(one, []Endpoint{{ID: "a", Service: "s", Drains: true}, {ID: "0", Service: "s"}}, Stamp{1, "h", 2})
	if two.Searchers[0].Entry != 3 || two.Searchers[1].Entry != 1 {
		t.Fatalf("entries moved: %+v", two)
	}
	three, _ := NextTable(two, l, Stamp{2, "g", 1})
	if !three.Searchers[0].Drains {
		t.Fatal("a draining searcher came back")
	}
	if Merge(three, two) != three || Merge(two, three) != three || Merge(nil, one) != one || Merge(one, nil) != one {
		t.Fatal("merge does not keep the newest")
	}
}

// What changed between two tables leads from one to the other, and to nothing
// else; flags that change travel as numbers alone.
func TestDelta(t *testing.T) {
	a, _ := NextTable(nil, []Endpoint{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "e", Cold: true}, {ID: "f"}}, Stamp{Epoch: 1, Seq: 1})
	b, _ := NextTable(a, []Endpoint{{ID: "a"}, {ID: "c", Drains: true}, {ID: "d"}, {ID: "e"}, {ID: "f", Cold: true}}, Stamp{Epoch: 1, Seq: 2})
	d := Diff(a, b)
	if len(d.Set) != 2 || len(d.Gone) != 1 || len(d.Drains) != 1 || len(d.Warm) != 1 {
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
