package consensus

// Acceptor is what one voter remembers: the decided state, and for the slot
// after it the promise and the accepted value. A response may be sent only
// once the promise and the accepted value that it reports are durable;
// DurableAcceptor tracks that.
type Acceptor struct {
	ID             string
	State          State
	Promised       Ballot
	AcceptedBallot Ballot
	AcceptedValue  *Value
}

// Handle answers a request. changed reports whether the promise or the accepted
// value changed, so that it has to be written before the response is sent.
func (a *Acceptor) Handle(request Request) (response Response, changed bool) {
	response = Response{AcceptorID: a.ID, DecidedSlot: a.State.Slot}
	if request.Slot <= a.State.Slot {
		newer := a.State
		response.NewerState = &newer
		return response, false
	}
	if request.Slot > a.State.Slot+1 || !a.State.IsVoter(a.ID) {
		// An acceptor that lacks the state before the slot, or has no vote on
		// it, does not count. This includes a node without any state, to
		// which slot 1 seems to be the next.
		return response, false
	}
	if request.Ballot.Less(a.Promised) {
		response.Promised = a.Promised
		return response, false
	}
	if request.Value == nil {
		response.AcceptedBallot, response.AcceptedValue = a.AcceptedBallot, a.AcceptedValue
		changed = a.promise(request.Ballot)
	} else {
		a.accept(request.Ballot, request.Value)
		changed = true
	}
	response.OK, response.Promised = true, a.Promised
	return response, changed
}

// promise rejects every lower ballot from now on; it reports whether that is new.
func (a *Acceptor) promise(b Ballot) bool {
	if !a.Promised.Less(b) {
		return false
	}
	a.Promised = b
	return true
}

// accept takes a value under a ballot, which is a promise as well.
func (a *Acceptor) accept(b Ballot, v *Value) {
	a.Promised, a.AcceptedBallot, a.AcceptedValue = b, b, v
}

// Learn replaces the decided state by a later one and forgets the promise and
// the accepted value, which were for a slot that s covers. It reports whether s
// is later.
func (a *Acceptor) Learn(s State) bool {
	if s.Slot <= a.State.Slot {
		return false
	}
	a.State = s
	a.Promised, a.AcceptedBallot, a.AcceptedValue = Ballot{}, Ballot{}, nil
	return true
}
