package consensus

// Request is a proposer's message: Prepare without a Value, Accept with one.
type Request struct {
	Slot   int64  `json:"Slot"`
	Ballot Ballot `json:"Ballot"`
	Value  *Value `json:"Value,omitempty"`
}

// Response is an acceptor's reply.
type Response struct {
	AcceptorID string `json:"ID"`
	// DecidedSlot is the last slot that the acceptor knows as decided.
	DecidedSlot int64 `json:"Slot"`
	// OK: promised, or accepted.
	OK bool `json:"OK"`
	// Promised is the ballot below which the acceptor refuses.
	Promised Ballot `json:"Promised"`
	// AcceptedBallot and Value: what it accepted earlier for this slot, if anything.
	AcceptedBallot Ballot `json:"Accepted"`
	AcceptedValue  *Value `json:"Value,omitempty"`
	// NewerState carries the decided state where the acceptor knows more than the asker.
	NewerState *State `json:"Ahead,omitempty"`
}

// Acceptor is what one voter keeps. All of it is written to disk before a
// reply that changed it leaves.
type Acceptor struct {
	ID             string `json:"ID"`
	State          State  `json:"State"`
	Promised       Ballot `json:"Promised"`
	AcceptedBallot Ballot `json:"Accepted"`
	AcceptedValue  *Value `json:"Value,omitempty"`
}

// Handle answers an Ask; changed tells whether the acceptor must be written first.
func (a *Acceptor) Handle(m Request) (say Response, changed bool) {
	say = Response{AcceptorID: a.ID, DecidedSlot: a.State.Slot}
	if m.Slot <= a.State.Slot {
		st := a.State
		say.NewerState = &st
		return say, false
	}
	if m.Slot > a.State.Slot+1 || !a.State.IsVoter(a.ID) {
		// Whoever lacks the state before the slot, or has no vote on it, says
		// nothing: least of all a node that knows no state, to which slot 1
		// seems to be the next.
		return say, false
	}
	if m.Ballot.Less(a.Promised) {
		say.Promised = a.Promised
		return say, false
	}
	if m.Value == nil {
		changed = a.Promised.Less(m.Ballot)
		a.Promised = m.Ballot
		say.AcceptedBallot, say.AcceptedValue = a.AcceptedBallot, a.AcceptedValue
	} else {
		changed = true
		a.Promised, a.AcceptedBallot, a.AcceptedValue = m.Ballot, m.Ballot, m.Value
	}
	say.OK, say.Promised = true, a.Promised
	return say, changed
}

// Learn takes decided state. It never goes back.
func (a *Acceptor) Learn(s State) bool {
	if s.Slot <= a.State.Slot {
		return false
	}
	a.State = s
	a.Promised, a.AcceptedBallot, a.AcceptedValue = Ballot{}, Ballot{}, nil
	return true
}
