package front

import (
	"slices"
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/upstream"
)

// Control nodes that answer come first, then the nearest.
func TestRankControlNodes(t *testing.T) {
	h := newTestHost(t, 0)
	w := &controlWatcher{host: h, controlNodes: []nodeapi.ControlNode{
		{IP: "far", Zone: "zone-c"}, {IP: "silent", Zone: testZone}, {IP: "near", Zone: "zone-b"}, {IP: "here", Zone: testZone},
	}, unresponsiveUntil: map[string]time.Duration{"silent": time.Hour, "near": 0}}
	var ranked []string
	for _, node := range w.rankControlNodes() {
		ranked = append(ranked, node.IP)
	}
	if want := []string{"here", "near", "far", "silent"}; !slices.Equal(ranked, want) {
		t.Errorf("ranked %q, want %q", ranked, want)
	}
	if w.controlNodes[0].IP != "far" {
		t.Error("ranking changed the control nodes")
	}
}

// A control node that was cut off counts too few fronts: the greatest counts hold.
func TestRecordFrontCounts(t *testing.T) {
	w := &controlWatcher{frontCounts: map[string]upstream.FrontCounts{}}
	if most := w.recordFrontCounts("a", upstream.FrontCounts{}); most != (upstream.FrontCounts{All: 1}) {
		t.Errorf("without a count: %+v", most)
	}
	w.recordFrontCounts("a", upstream.FrontCounts{All: 9, Region: 3, Zone: 1})
	if most := w.recordFrontCounts("b", upstream.FrontCounts{All: 4, Region: 4, Zone: 2}); most != (upstream.FrontCounts{All: 9, Region: 4, Zone: 2}) {
		t.Errorf("of two: %+v", most)
	}
	delete(w.frontCounts, "a")
	if most := w.recordFrontCounts("b", upstream.FrontCounts{All: 5, Region: 4, Zone: 2}); most != (upstream.FrontCounts{All: 5, Region: 4, Zone: 2}) {
		t.Errorf("after one is gone: %+v", most)
	}
}

func TestRosterDue(t *testing.T) {
	for name, c := range map[string]struct {
		heartbeatMs float64
		receivedAt  time.Duration
		want        bool
	}{
		"never asked":       {hourMs, 0, true},
		"asked lately":      {hourMs, 1, false},
		"asked a while ago": {0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := &controlWatcher{host: newTestHost(t, c.heartbeatMs)}
			w.rosterReceivedAt.Store(int64(c.receivedAt))
			if got := w.rosterDue(); got != c.want {
				t.Errorf("due %v, want %v", got, c.want)
			}
		})
	}
}
