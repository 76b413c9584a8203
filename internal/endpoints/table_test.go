package endpoints

import (
	"reflect"
	"testing"
)

func TestNextTable(t *testing.T) {
	list := []Endpoint{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}}
	first, changed := NextTable(nil, list, Stamp{1, "h", 1})
	if !changed || first.Endpoints[0].ID != "a" || first.Endpoints[0].Ordinal != 1 || first.Endpoints[1].Ordinal != 2 {
		t.Fatalf("first table: %+v", first)
	}
	if _, changed := NextTable(first, list, Stamp{1, "h", 2}); changed {
		t.Fatal("the same list is a change")
	}
	second, changed := NextTable(first, []Endpoint{{ID: "a", Service: "s", Draining: true}, {ID: "0", Service: "s"}}, Stamp{1, "h", 2})
	if !changed || second.Endpoints[0].Ordinal != 3 || second.Endpoints[1].Ordinal != 1 {
		t.Fatalf("ordinals changed: %+v", second)
	}
	third, _ := NextTable(second, list, Stamp{2, "g", 1})
	if !third.Endpoints[0].Draining {
		t.Fatal("a draining endpoint came back")
	}
}

func TestNextTableRecordsInitialVersions(t *testing.T) {
	first, _ := NextTable(nil, []Endpoint{
		{ID: "a", Service: "majority", Version: "v2"},
		{ID: "b", Service: "majority", Version: "v2"},
		{ID: "c", Service: "majority", Version: "v1"},
		{ID: "d", Service: "tie", Version: "v2"},
		{ID: "e", Service: "tie", Version: "v1"},
		{ID: "f", Service: "unknown"},
	}, Stamp{Epoch: 1})
	want := map[string]string{"majority": "v2", "tie": "v1"}
	if !reflect.DeepEqual(first.InitialVersions, want) {
		t.Fatalf("got %v", first.InitialVersions)
	}
	second, _ := NextTable(first, []Endpoint{{ID: "g", Service: "tie", Version: "v3"}, {ID: "f", Service: "unknown", Version: "v1"}}, Stamp{Epoch: 2})
	want["unknown"] = "v1"
	if !reflect.DeepEqual(second.InitialVersions, want) {
		t.Fatalf("second table: got %v", second.InitialVersions)
	}
}

func TestMerge(t *testing.T) {
	older := &Table{Stamp: Stamp{1, "h", 2}}
	newer := &Table{Stamp: Stamp{2, "g", 1}}
	for name, c := range map[string]struct{ a, b, want *Table }{
		"newer first":  {newer, older, newer},
		"newer second": {older, newer, newer},
		"only second":  {nil, older, older},
		"only first":   {older, nil, older},
		"same":         {older, older, older},
		"none":         {nil, nil, nil},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Merge(c.a, c.b); got != c.want {
				t.Errorf("got %+v", got)
			}
		})
	}
}
