package control

import (
	"slices"
	"swiftswitch/internal/nodeapi"
	"testing"
	"time"
)

// What one front says is kept; what several say is told, once, and lapses.
func TestGossip(t *testing.T) {
	const fresh, lasts = 2 * time.Second, 3 * time.Second
	g := newUnreachableTable(0)
	need := requiredReporters(50)
	if need != 3 || requiredReporters(2) != 2 {
		t.Fatalf("%d of 50 fronts, %d of 2", need, requiredReporters(2))
	}
	say := func(name string, at time.Duration, dark ...int64) bool {
		return g.onReport(nodeapi.UnreachableReport{Name: name, UnreachableOrdinals: dark}, need, at, fresh, lasts)
	}
	for i := 0; i < 4; i++ {
		if say("one", time.Duration(i)*100*time.Millisecond, 7, 8) {
			t.Fatal("one front was believed")
		}
	}
	if say("two", 500*time.Millisecond, 7) || !say("three", 600*time.Millisecond, 7) {
		t.Fatal("three fronts were not believed")
	}
	if say("four", 700*time.Millisecond, 7) {
		t.Fatal("what is told already is news")
	}
	if got := g.current(time.Second, fresh); !slices.Equal(got, []int64{7}) {
		t.Fatalf("told %v", got)
	}
	// Words that lie too far apart do not add up.
	if say("two", 3*time.Second, 8) || say("three", 3*time.Second, 8) {
		t.Fatal("an old word counted")
	}
	if got := g.current(8*time.Second, fresh); len(got) != 0 || len(g.reports) != 0 {
		t.Fatalf("still told %v, kept %v", got, g.reports)
	}
	// Nobody fills a hut's memory with names of searchers.
	for i := int64(0); i < 10000; i++ {
		say("one", 9*time.Second, i)
	}
	if len(g.reports) > 4096 {
		t.Fatalf("%d searchers are kept", len(g.reports))
	}
}
