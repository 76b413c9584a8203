package consensus

// Stage is how far a proposer is with its slot.
type Stage int

// The stages.
const (
	StagePreparing Stage = iota
	StageAccepting
	StageChosen
	// StageBehind: an acceptor knew more; the state it sent is in Newer.
	StageBehind
	// StageAborted: a higher ballot was seen, or too few voters are left that answer.
	StageAborted
)

// Proposer runs one ballot for the slot after a state.
type Proposer struct {
	Base   State
	Ballot Ballot
	Stage  Stage
	// Value is what is being proposed in Accepting and after it.
	Value Value
	// ValueIsOwn tells whether Value is the proposer's own.
	ValueIsOwn bool
	NewerState *State
	// HighestPromised is the highest ballot seen in a refusal.
	HighestPromised Ballot

	ownValue      *Value
	responded     map[string]bool
	granted       int
	adoptedBallot Ballot
	adoptedValue  *Value
	failures      int
}

// NewProposer starts a ballot; own may be nil, to finish only what others began.
func NewProposer(base State, b Ballot, own *Value) *Proposer {
	return &Proposer{Base: base, Ballot: b, ownValue: own, responded: map[string]bool{}}
}

// Request is the message of the present stage.
func (p *Proposer) Request() Request {
	m := Request{Slot: p.Base.Slot + 1, Ballot: p.Ballot}
	if p.Stage == StageAccepting {
		v := p.Value
		m.Value = &v
	}
	return m
}

func (p *Proposer) quorum() int { return len(p.Base.Voters)/2 + 1 }

// OnFailure counts a voter that did not answer in the present stage.
func (p *Proposer) OnFailure() {
	p.failures++
	if p.Stage <= StageAccepting && p.failures > len(p.Base.Voters)-p.quorum() {
		p.Stage = StageAborted
	}
}

// OnResponse takes a reply to the message of stage st and tells whether the stage changed.
func (p *Proposer) OnResponse(st Stage, s Response) bool {
	if st != p.Stage || p.Stage > StageAccepting {
		return false
	}
	if s.NewerState != nil && s.NewerState.Slot > p.Base.Slot {
		p.NewerState, p.Stage = s.NewerState, StageBehind
		return true
	}
	if !p.Base.IsVoter(s.AcceptorID) || p.responded[s.AcceptorID] {
		return false
	}
	p.responded[s.AcceptorID] = true
	if !s.OK {
		if p.HighestPromised.Less(s.Promised) {
			p.HighestPromised = s.Promised
		}
		was := p.Stage
		p.OnFailure()
		return p.Stage != was
	}
	if st == StagePreparing && s.AcceptedValue != nil && (p.adoptedValue == nil || p.adoptedBallot.Less(s.AcceptedBallot)) {
		p.adoptedBallot, p.adoptedValue = s.AcceptedBallot, s.AcceptedValue
	}
	if p.granted++; p.granted < p.quorum() {
		return false
	}
	if st == StageAccepting {
		p.Stage = StageChosen
		return true
	}
	switch {
	case p.adoptedValue != nil:
		p.Value, p.ValueIsOwn = *p.adoptedValue, p.ownValue != nil && p.ownValue.Equal(*p.adoptedValue)
	case p.ownValue != nil:
		p.Value, p.ValueIsOwn = *p.ownValue, true
	default:
		// Nothing was begun and nothing is to be proposed.
		p.Stage = StageAborted
		return true
	}
	p.Stage, p.responded, p.granted, p.failures = StageAccepting, map[string]bool{}, 0, 0
	return true
}
