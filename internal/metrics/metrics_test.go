package metrics

import (
	"strings"
	"testing"
)

func TestText(t *testing.T) {
	registry := NewRegistry()
	NewCounter(registry, "plain_total", "Plain.").Inc()
	NewCounters(registry, "by_reason_total", "By reason.", "reason", []string{"busy", "late"})[1].Add(2)
	NewTable(registry, "table_total", "Two labels.", Labels{Row: "kind", Column: "class", RowValues: []string{"a", "b"}, ColumnValues: []string{"2xx", "5xx"}})[1][0].Inc()
	value := 1.0
	RegisterGauges(registry, func() []Gauge { value++; return []Gauge{{Name: "version", Help: "Version.", Value: value}} })

	for _, version := range []string{"2", "3"} {
		text, err := Text(registry)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range []string{
			"# TYPE swiftswitch_plain_total counter", "swiftswitch_plain_total 1",
			`swiftswitch_by_reason_total{reason="busy"} 0`, `swiftswitch_by_reason_total{reason="late"} 2`,
			`swiftswitch_table_total{class="2xx",kind="b"} 1`, `swiftswitch_table_total{class="5xx",kind="a"} 0`,
			"# TYPE swiftswitch_version gauge", "swiftswitch_version " + version,
		} {
			if !strings.Contains("\n"+string(text), "\n"+line+"\n") {
				t.Errorf("no line %q in\n%s", line, text)
			}
		}
	}
}

// Code that is tested alone has no registry.
func TestWithoutRegistry(t *testing.T) {
	NewCounter(nil, "a", "A.").Inc()
	NewCounters(nil, "a", "A.", "b", []string{"c"})[0].Inc()
	NewTable(nil, "a", "A.", Labels{Row: "b", Column: "c", RowValues: []string{"d"}, ColumnValues: []string{"e"}})[0][0].Inc()
}

// Counting is on the way of every request: it takes no lock and no memory.
func TestCountingAllocatesNothing(t *testing.T) {
	table := NewTable(NewRegistry(), "a", "A.", Labels{Row: "b", Column: "c", RowValues: []string{"d"}, ColumnValues: []string{"e"}})
	if n := testing.AllocsPerRun(100, func() { table[0][0].Inc() }); n != 0 {
		t.Fatalf("%v allocations", n)
	}
}
