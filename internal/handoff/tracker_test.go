package handoff

import "testing"

func TestTracker(t *testing.T) {
	tracker := NewTracker()
	if tracker.NeedsHandoff("a", 3) {
		t.Fatal("a node that was never heard needs a handoff")
	}
	tracker.OnAcknowledged("a", 1)
	if !tracker.NeedsHandoff("a", 3) || tracker.NeedsHandoff("a", 1) {
		t.Fatal("a node needs what it has, or does not need what it misses")
	}
	tracker.Begin("a")
	if tracker.NeedsHandoff("a", 3) {
		t.Fatal("two handoffs to one node at once")
	}
	tracker.Finish("a", -1)
	if !tracker.NeedsHandoff("a", 3) {
		t.Fatal("a failed handoff counts as done")
	}
	tracker.Begin("a")
	tracker.Finish("a", 3)
	if !tracker.Holds("a", 3) || tracker.Holds("a", 4) || tracker.Holds("b", 0) {
		t.Fatal("a node holds something else than what it acknowledged")
	}
	if tracker.NeedsHandoff("a", 3) || !tracker.NeedsHandoff("a", 4) {
		t.Fatal("a handoff is not counted")
	}
	tracker.Forget("a")
	if tracker.NeedsHandoff("a", 9) {
		t.Fatal("a node that was removed needs a handoff")
	}
}
