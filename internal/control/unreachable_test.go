package control

import (
	"slices"
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
)

// One front's report is kept; an endpoint that several report is announced, once, and lapses.
func TestUnreachableReports(t *testing.T) {
	const reportTTL, unreachableTTL = 2 * time.Second, 3 * time.Second
	table := newUnreachableTable(0)
	required := requiredReporters(50)
	if required != 3 || requiredReporters(2) != 2 {
		t.Fatalf("%d of 50 fronts, %d of 2", required, requiredReporters(2))
	}
	report := func(name string, at time.Duration, ordinals ...int64) bool {
		return table.onReport(nodeapi.UnreachableReport{Name: name, UnreachableOrdinals: ordinals}, required, at, reportTTL, unreachableTTL)
	}
	for i := 0; i < 4; i++ {
		if report("one", time.Duration(i)*100*time.Millisecond, 7, 8) {
			t.Fatal("one report made an endpoint unreachable")
		}
	}
	if report("two", 500*time.Millisecond, 7) || !report("three", 600*time.Millisecond, 7) {
		t.Fatal("three reports made no endpoint unreachable")
	}
	if report("four", 700*time.Millisecond, 7) {
		t.Fatal("an endpoint was announced twice")
	}
	if got := table.current(time.Second, reportTTL); !slices.Equal(got, []int64{7}) {
		t.Fatalf("unreachable are %v", got)
	}
	// Reports that lie too far apart do not add up.
	if report("two", 3*time.Second, 8) || report("three", 3*time.Second, 8) {
		t.Fatal("an expired report counted")
	}
	if got := table.current(8*time.Second, reportTTL); len(got) != 0 || len(table.reports) != 0 {
		t.Fatalf("still unreachable %v, kept %v", got, table.reports)
	}
	// The number of reported endpoints is bounded.
	for i := int64(0); i < 10000; i++ {
		report("one", 9*time.Second, i)
	}
	if len(table.reports) > 4096 {
		t.Fatalf("%d endpoints are kept", len(table.reports))
	}
}
