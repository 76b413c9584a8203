package consensus

// Stage is how far a proposer is with its ballot.
type Stage int

// The stages of a ballot. It ends with StageChosen or one after it.
const (
	// StagePreparing: the proposer asks for promises (phase 1).
	StagePreparing Stage = iota
	// StageAccepting: the proposer asks for its value to be accepted (phase 2).
	StageAccepting
	// StageChosen: a majority of the voters accepted the value.
	StageChosen
	// StageBehind: the slot was decided already; the later state is in NewerState.
	StageBehind
	// StageAborted: the ballot ended without a choice that its proposer knows
	// of. A higher ballot preempted it, too few voters answer, there is
	// nothing to propose, or the caller aborted it.
	StageAborted
)

// Proposer runs one ballot for the slot after the state Base.
type Proposer struct {
	Base   State
	Ballot Ballot
	Stage  Stage
	// Value is what is proposed, from StageAccepting on.
	Value Value
	// ValueIsOwn reports whether Value is the proposer's own rather than one
	// that was adopted from an earlier ballot.
	ValueIsOwn bool
	NewerState *State
	// HighestPromised is the highest ballot that a rejection named.
	HighestPromised Ballot

	// ownValue is proposed where no earlier ballot may have been chosen.
	ownValue *Value
	// adoptedValue is the value accepted under the highest ballot,
	// adoptedBallot, that the promises report.
	adoptedBallot Ballot
	adoptedValue  *Value
	// responded holds the voters that answered in the present stage; granted
	// and failures count those that consented, and those that did not.
	responded         map[string]bool
	granted, failures int
}

// NewProposer starts a ballot. A nil own proposes nothing new: the ballot only
// finishes what an earlier one may have begun.
func NewProposer(base State, b Ballot, own *Value) *Proposer {
	return &Proposer{Base: base, Ballot: b, ownValue: own, responded: map[string]bool{}}
}

// Request is the message of the present stage, for all voters of Base.
func (p *Proposer) Request() Request {
	request := Request{Slot: p.Base.Slot + 1, Ballot: p.Ballot}
	if p.Stage == StageAccepting {
		v := p.Value
		request.Value = &v
	}
	return request
}

// Done reports whether the ballot ended.
func (p *Proposer) Done() bool { return p.Stage > StageAccepting }

// Abort ends the ballot if it still runs. Its value may be chosen all the same.
func (p *Proposer) Abort() {
	if !p.Done() {
		p.Stage = StageAborted
	}
}

// OnFailure counts a voter that rejected the request of the present stage, or
// did not answer it. The ballot ends once no majority is left.
func (p *Proposer) OnFailure() {
	p.failures++
	if p.failures > len(p.Base.Voters)-p.Base.Quorum() {
		p.Abort()
	}
}

// OnResponse takes a response to the request of a stage and reports whether the
// proposer's stage changed. Responses to an earlier stage, of nodes without a
// vote, and repeated ones do not count.
func (p *Proposer) OnResponse(stage Stage, response Response) bool {
	if stage != p.Stage || p.Done() {
		return false
	}
	if newer := response.NewerState; newer != nil && newer.Slot > p.Base.Slot {
		p.NewerState, p.Stage = newer, StageBehind
		return true
	}
	if !p.Base.IsVoter(response.AcceptorID) || p.responded[response.AcceptorID] {
		return false
	}
	p.responded[response.AcceptorID] = true
	if !response.OK {
		if p.HighestPromised.Less(response.Promised) {
			p.HighestPromised = response.Promised
		}
		p.OnFailure()
		return p.Stage != stage
	}
	if stage == StagePreparing {
		p.adopt(response)
	}
	if p.granted++; p.granted < p.Base.Quorum() {
		return false
	}
	if stage == StageAccepting {
		p.Stage = StageChosen
	} else {
		p.startAccepting()
	}
	return true
}

// adopt remembers the accepted value of the highest ballot: it may have been
// chosen, so no other may be proposed.
func (p *Proposer) adopt(promise Response) {
	if promise.AcceptedValue == nil {
		return
	}
	if p.adoptedValue == nil || p.adoptedBallot.Less(promise.AcceptedBallot) {
		p.adoptedBallot, p.adoptedValue = promise.AcceptedBallot, promise.AcceptedValue
	}
}

// startAccepting fixes the value, once a majority promised.
func (p *Proposer) startAccepting() {
	switch {
	case p.adoptedValue != nil:
		p.Value = *p.adoptedValue
		p.ValueIsOwn = p.ownValue != nil && p.ownValue.Equal(p.Value)
	case p.ownValue != nil:
		p.Value, p.ValueIsOwn = *p.ownValue, true
	default:
		p.Abort()
		return
	}
	p.Stage = StageAccepting
	p.responded, p.granted, p.failures = map[string]bool{}, 0, 0
}
