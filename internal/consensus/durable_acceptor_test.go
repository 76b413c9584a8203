package consensus

import "testing"

// newDurableVoter is an acceptor of three voters on an empty disk.
func newDurableVoter() *DurableAcceptor {
	d := &DurableAcceptor{Acceptor: Acceptor{ID: GenesisID("1")}}
	d.Restore(Genesis([]string{"1", "2", "3"}), BallotState{})
	return d
}

// A repeated request, while the first write is pending or after it failed, is
// not answered before a write that holds the promise or the value.
func TestResponsesWaitForTheirWrite(t *testing.T) {
	d := newDurableVoter()
	prepare := Request{Slot: 1, Ballot: Ballot{Round: 3, ProposerID: "b"}}
	response, first := d.Handle(prepare)
	if !response.OK || d.IsDurable(first) {
		t.Fatal("a promise counts as durable before it is")
	}
	if response, requiredWrite := d.Handle(prepare); !response.OK || d.IsDurable(requiredWrite) {
		t.Fatal("a promise asked for again is answered before it is durable")
	}
	lower := Request{Slot: 1, Ballot: Ballot{Round: 1, ProposerID: "c"}}
	if response, requiredWrite := d.Handle(lower); response.OK || d.IsDurable(requiredWrite) {
		t.Fatal("a rejection tells of a promise that is not durable")
	}
	stored, writeSeq := d.BallotState()
	if stored.Slot != 1 || stored.Promised != prepare.Ballot {
		t.Fatalf("to be stored is %+v", stored)
	}
	accept := Request{Slot: 1, Ballot: prepare.Ballot, Value: &Value{Version: 1}}
	_, second := d.Handle(accept)
	d.MarkDurable(writeSeq)
	if !d.IsDurable(first) || d.IsDurable(second) {
		t.Fatal("the promise is durable, the value is not")
	}
	if _, requiredWrite := d.Handle(accept); d.IsDurable(requiredWrite) {
		t.Fatal("a value sent again is acknowledged before it is durable")
	}
}

// Decided state rests on no write of this disk; promises for the next slot
// rest on new ones.
func TestDecidedStateNeedsNoWrite(t *testing.T) {
	d := newDurableVoter()
	prepare := Request{Slot: 1, Ballot: Ballot{Round: 3, ProposerID: "b"}}
	d.Handle(prepare)
	stored, writeSeq := d.BallotState()
	v := Value{Version: 1}
	d.Handle(Request{Slot: 1, Ballot: prepare.Ballot, Value: &v})
	d.MarkDurable(writeSeq)
	d.Learn(d.State.Apply(v))
	if response, requiredWrite := d.Handle(prepare); response.NewerState == nil || !d.IsDurable(requiredWrite) {
		t.Fatal("a decided slot is not answered with the state")
	}
	if response, requiredWrite := d.Handle(Request{Slot: 2, Ballot: prepare.Ballot}); !response.OK || d.IsDurable(requiredWrite) {
		t.Fatal("a promise for the next slot counts as durable")
	}
	if d.DurableSlot() != 0 {
		t.Fatal("the state counts as durable")
	}
	d.MarkStateDurable(1)
	// After a restart, ballots stored for a decided slot say nothing.
	restarted := &DurableAcceptor{Acceptor: Acceptor{ID: "a"}}
	restarted.Restore(d.State, stored)
	if !restarted.Promised.IsZero() || restarted.DurableSlot() != 1 {
		t.Fatal("an old promise came back")
	}
}
