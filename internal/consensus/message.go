package consensus

// Request is a message of a proposer to the acceptors: a prepare request
// (phase 1a of Paxos) has no Value, an accept request (phase 2a) has one.
type Request struct {
	Slot   int64  `json:"Slot"`
	Ballot Ballot `json:"Ballot"`
	Value  *Value `json:"Value,omitempty"`
}

// Response is an acceptor's answer to a Request.
type Response struct {
	AcceptorID string `json:"ID"`
	// DecidedSlot is the last slot that the acceptor knows as decided.
	DecidedSlot int64 `json:"Slot"`
	// OK: the acceptor promised, or accepted.
	OK bool `json:"OK"`
	// Promised is the ballot below which the acceptor rejects, zero where it has
	// no vote on the slot.
	Promised Ballot `json:"Promised"`
	// AcceptedBallot and AcceptedValue are what it accepted before for the
	// slot, if anything. A promise carries them.
	AcceptedBallot Ballot `json:"Accepted"`
	AcceptedValue  *Value `json:"Value,omitempty"`
	// NewerState is set where the slot is already decided.
	NewerState *State `json:"Ahead,omitempty"`
}
