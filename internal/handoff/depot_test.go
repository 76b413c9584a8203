package handoff

import "testing"

func TestHandOver(t *testing.T) {
	d := NewTracker()
	if d.NeedsHandoff("a", 3) {
		t.Fatal("a node never heard is owed something")
	}
	d.OnAcknowledged("a", 1)
	if !d.NeedsHandoff("a", 3) || d.NeedsHandoff("a", 1) {
		t.Fatal("what a node misses is not owed, or what it has is")
	}
	d.Begin("a")
	if d.NeedsHandoff("a", 3) {
		t.Fatal("two hand-overs at once")
	}
	d.Finish("a", -1)
	if !d.NeedsHandoff("a", 3) {
		t.Fatal("a failed hand-over counts as done")
	}
	d.Begin("a")
	d.Finish("a", 3)
	if !d.Holds("a", 3) || d.Holds("a", 4) || d.Holds("b", 0) {
		t.Fatal("what a node confirmed is not what it holds")
	}
	if d.NeedsHandoff("a", 3) || !d.NeedsHandoff("a", 4) {
		t.Fatal("a hand-over is not counted")
	}
	d.Forget("a")
	if d.NeedsHandoff("a", 9) {
		t.Fatal("a node that is gone is owed something")
	}
}
