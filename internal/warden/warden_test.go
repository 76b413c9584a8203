package warden

import (
	"testing"
	"time"
)

const s = time.Second

func TestDutyTrace(t *testing.T) {
	mk := func(self string) *Duty {
		d := New(self, 0, s, 0)
		d.SetOrder([]string{"a", "b", "c"})
		return d
	}
	a, b := mk("a"), mk("b")
	if mine, taken := a.Mine(0); !mine || !taken || a.Epoch != 1 {
		t.Fatal("the first node does not take the duty at once")
	}
	if mine, _ := b.Mine(s / 2); mine {
		t.Fatal("the second did not wait to hear of the first")
	}
	b.Hear("a", a.Epoch, a.Holder, s/2)
	if mine, _ := b.Mine(s); mine {
		t.Fatal("the second took the duty from a live first")
	}
	// a freezes; b takes over under the next epoch.
	if mine, taken := b.Mine(2 * s); !mine || !taken || b.Epoch != 2 {
		t.Fatalf("the second does not follow a silent first: epoch %d", b.Epoch)
	}
	if mine, taken := b.Mine(3 * s); !mine || taken || b.Epoch != 2 {
		t.Fatal("a holder takes a new epoch each time")
	}
	// a wakes, hears of epoch 2 and, being first again, takes the third.
	a.Hear("b", b.Epoch, b.Holder, 4*s)
	if a.Holder != "b" || a.Epoch != 2 {
		t.Fatal("a woken holder does not see the epoch it was passed by")
	}
	if mine, taken := a.Mine(4 * s); !mine || !taken || a.Epoch != 3 {
		t.Fatal("the first does not come back under a higher epoch")
	}
	b.Hear("a", 3, "a", 4*s)
	b.See(2, "b")
	if mine, _ := b.Mine(4 * s); mine || b.Epoch != 3 {
		t.Fatal("an older epoch counted")
	}
	// One that says it leaves is passed over at once.
	b.Leave("a")
	if mine, _ := b.Mine(4 * s); !mine {
		t.Fatal("a leaving node keeps the duty")
	}
}

// A holder that was killed and comes back at once, before anybody missed it,
// reports under a new epoch: what its earlier life reported last may be newer
// than what it finds on its disk.
func TestEachLifeHasItsEpoch(t *testing.T) {
	d := New("a", 4, s, 0)
	d.SetOrder([]string{"a", "b"})
	d.See(4, "a") // from disk
	if d.Holds() {
		t.Fatal("an earlier life's epoch is held")
	}
	if mine, taken := d.Mine(0); !mine || !taken || d.Epoch != 5 {
		t.Fatalf("no new epoch: %d", d.Epoch)
	}
	// The disk does not take the epoch: another node has the duty for a while.
	d.Hear("b", 4, "a", 0)
	d.Unfit(3 * s)
	if mine, _ := d.Mine(s / 2); mine || d.Holds() {
		t.Fatal("an epoch that is not on disk is used")
	}
	b := New("b", 4, s, -9*s)
	b.SetOrder([]string{"a", "b"})
	b.Hear("a", 5, "a", 0)
	b.Leave("a") // it said that it is not fit
	if mine, taken := b.Mine(s / 2); !mine || !taken || b.Epoch != 6 {
		t.Fatalf("the duty was not passed on: %d", b.Epoch)
	}
	d.Hear("b", 6, "b", 3*s)
	if mine, taken := d.Mine(3 * s); !mine || !taken || d.Epoch != 7 {
		t.Fatal("a node with a good disk again does not come back to its duty")
	}
	// Alone, a duty without a disk is better than none.
	lone := New("x", 0, s, 0)
	lone.SetOrder([]string{"x", "y"})
	lone.Unfit(9 * s)
	if mine, _ := lone.Mine(2 * s); !mine {
		t.Fatal("nobody does the duty")
	}
}

func TestWithoutVote(t *testing.T) {
	d := New("x", 0, s, 0)
	if mine, _ := d.Mine(9 * s); mine {
		t.Fatal("a node took a duty without an order")
	}
	d.SetOrder([]string{"a", "b"})
	if mine, _ := d.Mine(9 * s); mine {
		t.Fatal("a node outside the order took a duty")
	}
	if d.Silent("a", 9*s) != 9*s {
		t.Fatal("a node never heard is not silent from the start")
	}
}
