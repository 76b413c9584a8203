package consensus

import "testing"

// Two lives of one proposer come to the same number; what they propose must
// not be taken for one another.
func TestBallotsOfTwoLives(t *testing.T) {
	w := newWorld("a,b,c")
	base := w.accs["a"].State
	v1, v2 := &Value{Version: 1, Body: "one"}, &Value{Version: 2, Body: "two"}
	hear := func(p *Proposer, ids ...string) {
		st, ask := p.Stage, p.Request()
		for _, id := range ids {
			say, _ := w.accs[id].Handle(ask)
			p.OnResponse(st, say)
		}
	}
	first := NewProposer(base, Ballot{Round: 1, ProposerID: "a", Incarnation: 1}, v1)
	hear(first, "b", "c")
	hear(first, "b") // b alone accepts, a is killed
	second := NewProposer(base, Ballot{Round: 1, ProposerID: "a", Incarnation: 2}, v2)
	hear(second, "a", "c")
	hear(second, "a", "c")
	if second.Stage != StageChosen || !second.Value.Equal(*v2) {
		t.Fatalf("the second life chose nothing: %d", second.Stage)
	}
	// b is told of what was chosen by its ballot.
	if b := w.accs["b"]; b.AcceptedBallot == second.Ballot {
		t.Fatal("what b accepted from the first life stands under the second one's ballot")
	}
}

// A reply rests on the disk: the same question asked again while the first
// write is under way, or after it was refused, is not answered before.
func TestNothingRestsOnAnUnsyncedPromise(t *testing.T) {
	k := &DurableAcceptor{Acceptor: Acceptor{ID: GenesisID("1")}}
	k.Restore(Genesis([]string{"1", "2", "3"}), BallotState{})
	ask := Request{Slot: 1, Ballot: Ballot{Round: 3, ProposerID: "b"}}
	say, first := k.Handle(ask)
	if !say.OK || k.IsDurable(first) {
		t.Fatal("a promise counts as kept before it is")
	}
	if say, needs := k.Handle(ask); !say.OK || k.IsDurable(needs) {
		t.Fatal("a promise asked for again is answered before it is on disk")
	}
	if say, needs := k.Handle(Request{Slot: 1, Ballot: Ballot{Round: 1, ProposerID: "c"}}); say.OK || k.IsDurable(needs) {
		t.Fatal("a refusal tells of a promise that is not on disk")
	}
	rec, mark := k.BallotState()
	if rec.Slot != 1 || rec.Promised != ask.Ballot {
		t.Fatalf("it is to keep %+v", rec)
	}
	v := Value{Version: 1}
	_, second := k.Handle(Request{Slot: 1, Ballot: ask.Ballot, Value: &v})
	k.MarkDurable(mark)
	if !k.IsDurable(first) || k.IsDurable(second) {
		t.Fatal("the promise is on disk, the value is not")
	}
	if _, needs := k.Handle(Request{Slot: 1, Ballot: ask.Ballot, Value: &v}); k.IsDurable(needs) {
		t.Fatal("a value asked for again is answered before it is on disk")
	}
	// Decided state is a fact; the next slot's promises rest on new writes.
	k.Learn(k.State.Apply(v))
	if say, needs := k.Handle(ask); say.NewerState == nil || !k.IsDurable(needs) {
		t.Fatal("what was decided is not told")
	}
	if say, needs := k.Handle(Request{Slot: 2, Ballot: ask.Ballot}); !say.OK || k.IsDurable(needs) {
		t.Fatal("a promise for the next slot counts as kept")
	}
	if k.DurableSlot() != 0 {
		t.Fatal("the state counts as kept")
	}
	k.MarkStateDurable(1)
	// A later life: what was promised for a slot that is decided says nothing.
	again := &DurableAcceptor{Acceptor: Acceptor{ID: "a"}}
	again.Restore(k.State, rec)
	if again.Promised != (Ballot{}) || again.DurableSlot() != 1 {
		t.Fatal("an old promise came back")
	}
}
