package handoff

import "testing"

func TestHandOver(t *testing.T) {
	d := New()
	if d.Owed("a", 3) {
		t.Fatal("a node never heard is owed something")
	}
	d.Confirm("a", 1)
	if !d.Owed("a", 3) || d.Owed("a", 1) {
		t.Fatal("what a node misses is not owed, or what it has is")
	}
	d.Start("a")
	if d.Owed("a", 3) {
		t.Fatal("two hand-overs at once")
	}
	d.End("a", -1)
	if !d.Owed("a", 3) {
		t.Fatal("a failed hand-over counts as done")
	}
	d.Start("a")
	d.End("a", 3)
	if !d.Holds("a", 3) || d.Holds("a", 4) || d.Holds("b", 0) {
		t.Fatal("what a node confirmed is not what it holds")
	}
	if d.Owed("a", 3) || !d.Owed("a", 4) {
		t.Fatal("a hand-over is not counted")
	}
	d.Forget("a")
	if d.Owed("a", 9) {
		t.Fatal("a node that is gone is owed something")
	}
}
