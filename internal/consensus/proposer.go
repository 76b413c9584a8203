package consensus

// Stage is how far a proposer is with its slot.
type Stage int

// The stages.
const (
	Preparing Stage = iota
	Accepting
	Chosen
	// Behind: an acceptor knew more; the state it sent is in Newer.
	Behind
	// Outbid: a higher ballot was seen, or too few voters are left that answer.
	Outbid
)

// Proposer runs one ballot for the slot after a state.
type Proposer struct {
	Base   State
	Ballot Ballot
	Stage  Stage
	// Value is what is being proposed in Accepting and after it.
	Value Value
	// Mine tells whether Value is the proposer's own.
	Mine  bool
	Newer *State
	// Higher is the highest ballot seen in a refusal.
	Higher Ballot

	own   *Value
	said  map[string]bool
	count int
	best  Ballot
	found *Value
	lost  int
}

// NewProposer starts a ballot; own may be nil, to finish only what others began.
func NewProposer(base State, b Ballot, own *Value) *Proposer {
	return &Proposer{Base: base, Ballot: b, own: own, said: map[string]bool{}}
}

// Ask is the message of the present stage.
func (p *Proposer) Ask() Ask {
	m := Ask{Slot: p.Base.Slot + 1, Ballot: p.Ballot}
	if p.Stage == Accepting {
		v := p.Value
		m.Value = &v
	}
	return m
}

func (p *Proposer) quorum() int { return len(p.Base.Voters)/2 + 1 }

// Lost counts a voter that did not answer in the present stage.
func (p *Proposer) Lost() {
	p.lost++
	if p.Stage <= Accepting && p.lost > len(p.Base.Voters)-p.quorum() {
		p.Stage = Outbid
	}
}

// Hear takes a reply to the message of stage st and tells whether the stage changed.
func (p *Proposer) Hear(st Stage, s Say) bool {
	if st != p.Stage || p.Stage > Accepting {
		return false
	}
	if s.Ahead != nil && s.Ahead.Slot > p.Base.Slot {
		p.Newer, p.Stage = s.Ahead, Behind
		return true
	}
	if !p.Base.Votes(s.ID) || p.said[s.ID] {
		return false
	}
	p.said[s.ID] = true
	if !s.OK {
		if p.Higher.Less(s.Promised) {
			p.Higher = s.Promised
		}
		was := p.Stage
		p.Lost()
		return p.Stage != was
	}
	if st == Preparing && s.Value != nil && (p.found == nil || p.best.Less(s.Accepted)) {
		p.best, p.found = s.Accepted, s.Value
	}
	if p.count++; p.count < p.quorum() {
		return false
	}
	if st == Accepting {
		p.Stage = Chosen
		return true
	}
	switch {
	case p.found != nil:
		p.Value, p.Mine = *p.found, p.own != nil && p.own.Equal(*p.found)
	case p.own != nil:
		p.Value, p.Mine = *p.own, true
	default:
		// Nothing was begun and nothing is to be proposed.
		p.Stage = Outbid
		return true
	}
	p.Stage, p.said, p.count, p.lost = Accepting, map[string]bool{}, 0, 0
	return true
}
