package consensus

import "testing"

// Two incarnations of one proposer come to the same round; what they propose
// must not be taken for one another.
func TestBallotsOfTwoIncarnations(t *testing.T) {
	c := newCluster("a", "b", "c")
	base := c.acceptors["a"].State
	v1, v2 := &Value{Version: 1, Body: "one"}, &Value{Version: 2, Body: "two"}
	first := NewProposer(base, Ballot{Round: 1, ProposerID: "a", Incarnation: 1}, v1)
	c.exchange(first, "b", "c")
	c.exchange(first, "b") // b alone accepts before a crashes
	second := NewProposer(base, Ballot{Round: 1, ProposerID: "a", Incarnation: 2}, v2)
	c.exchange(second, "a", "c")
	c.exchange(second, "a", "c")
	if second.Stage != StageChosen || !second.Value.Equal(*v2) {
		t.Fatalf("the second incarnation chose nothing: stage %d", second.Stage)
	}
	// A learn message names the chosen value by its ballot.
	if b := c.acceptors["b"]; b.AcceptedBallot == second.Ballot {
		t.Fatal("what b accepted from the first incarnation stands under the second one's ballot")
	}
}
