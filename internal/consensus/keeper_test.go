package consensus

import "testing"

// Two lives of one proposer come to the same number; what they propose must
// not be taken for one another.
func TestBallotsOfTwoLives(t *testing.T) {
	w := newWorld("a,b,c")
	base := w.accs["a"].State
	v1, v2 := &Value{Version: 1, Body: "one"}, &Value{Version: 2, Body: "two"}
	hear := func(p *Proposer, ids ...string) {
		st, ask := p.Stage, p.Ask()
		for _, id := range ids {
			say, _ := w.accs[id].Take(ask)
			p.Hear(st, say)
		}
	}
	first := NewProposer(base, Ballot{N: 1, By: "a", Life: 1}, v1)
	hear(first, "b", "c")
	hear(first, "b") // b alone accepts, a is killed
	second := NewProposer(base, Ballot{N: 1, By: "a", Life: 2}, v2)
	hear(second, "a", "c")
	hear(second, "a", "c")
	if second.Stage != Chosen || !second.Value.Equal(*v2) {
		t.Fatalf("the second life chose nothing: %d", second.Stage)
	}
	// b is told of what was chosen by its ballot.
	if b := w.accs["b"]; b.Accepted == second.Ballot {
		t.Fatal("what b accepted from the first life stands under the second one's ballot")
	}
}

// A reply rests on the disk: the same question asked again while the first
// write is under way, or after it was refused, is not answered before.
func TestNothingRestsOnAnUnsyncedPromise(t *testing.T) {
	k := &Keeper{Acceptor: Acceptor{ID: GenesisID("1")}}
	k.Restore(Genesis([]string{"1", "2", "3"}), Ballots{})
	ask := Ask{Slot: 1, Ballot: Ballot{N: 3, By: "b"}}
	say, first := k.Vote(ask)
	if !say.OK || k.Kept(first) {
		t.Fatal("a promise counts as kept before it is")
	}
	if say, needs := k.Vote(ask); !say.OK || k.Kept(needs) {
		t.Fatal("a promise asked for again is answered before it is on disk")
	}
	if say, needs := k.Vote(Ask{Slot: 1, Ballot: Ballot{N: 1, By: "c"}}); say.OK || k.Kept(needs) {
		t.Fatal("a refusal tells of a promise that is not on disk")
	}
	rec, mark := k.Ballots()
	if rec.Slot != 1 || rec.Promised != ask.Ballot {
		t.Fatalf("it is to keep %+v", rec)
	}
	v := Value{Version: 1}
	_, second := k.Vote(Ask{Slot: 1, Ballot: ask.Ballot, Value: &v})
	k.Synced(mark)
	if !k.Kept(first) || k.Kept(second) {
		t.Fatal("the promise is on disk, the value is not")
	}
	if _, needs := k.Vote(Ask{Slot: 1, Ballot: ask.Ballot, Value: &v}); k.Kept(needs) {
		t.Fatal("a value asked for again is answered before it is on disk")
	}
	// Decided state is a fact; the next slot's promises rest on new writes.
	k.Learn(k.State.Apply(v))
	if say, needs := k.Vote(ask); say.Ahead == nil || !k.Kept(needs) {
		t.Fatal("what was decided is not told")
	}
	if say, needs := k.Vote(Ask{Slot: 2, Ballot: ask.Ballot}); !say.OK || k.Kept(needs) {
		t.Fatal("a promise for the next slot counts as kept")
	}
	if k.StateKept() != 0 {
		t.Fatal("the state counts as kept")
	}
	k.StateSynced(1)
	// A later life: what was promised for a slot that is decided says nothing.
	again := &Keeper{Acceptor: Acceptor{ID: "a"}}
	again.Restore(k.State, rec)
	if again.Promised != (Ballot{}) || again.StateKept() != 1 {
		t.Fatal("an old promise came back")
	}
}
