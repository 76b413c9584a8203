package consensus

import "slices"

// maxAttempts bounds the ballots that one call may run.
const maxAttempts = 8

// The two request phases of an attempt; they index its requests and responses
// and are the Stage in which the proposer sends them.
const (
	phasePrepare = int(StagePreparing)
	phaseAccept  = int(StageAccepting)
	phaseCount   = 2
)

// modelAttempt is one ballot that a call runs, with its messages.
type modelAttempt struct {
	// proposer is nil once the attempt or its node ended; its messages stay.
	proposer *Proposer
	node     int
	base     State
	requests [phaseCount]*Request
	// delivered counts how often a request reached a node.
	delivered [phaseCount][maxNodes]uint8
	// responses are in flight, by the node that sent them.
	responses [phaseCount][maxNodes][]modelResponse
	// chosen is set once the proposer knows its ballot as chosen.
	chosen *chosenBallot
}

// chosenBallot is what a learn message names.
type chosenBallot struct {
	slot   int64
	ballot Ballot
}

// modelResponse is an acceptor's response with its address.
type modelResponse struct {
	call, attempt, phase int
	from                 int
	response             Response
	// delta stands for the newer state of the response, as on the wire.
	delta *StateDelta
}

// startAttempt begins a ballot on the slot after base, unless the node has
// moved on since base was read.
func (m *model) startAttempt(call int, base State, own *Value) {
	c := m.calls[call]
	n := &m.nodes[c.node]
	if n.acceptor.State.Slot != base.Slot {
		m.afterAttempt(call, true)
		return
	}
	n.highestRound++
	b := Ballot{Round: n.highestRound, ProposerID: n.acceptor.ID, Incarnation: n.incarnation}
	if m.fault == faultNoIncarnation {
		b.Incarnation = 0
	}
	a := &modelAttempt{proposer: NewProposer(base, b, own), node: c.node, base: base}
	prepare := a.proposer.Request()
	a.requests[phasePrepare] = &prepare
	c.attempts = append(c.attempts, a)
}

// handleRequest lets a node's acceptor answer. The response is sent once all
// that it rests on is on disk.
func (m *model) handleRequest(node, call, attempt, phase int) {
	n, a := &m.nodes[node], m.calls[call].attempts[attempt]
	request := *a.requests[phase]
	response, needs := n.acceptor.Handle(request)
	n.highestRound = max(n.highestRound, request.Ballot.Round, n.acceptor.Promised.Round)
	out := modelResponse{call: call, attempt: attempt, phase: phase, from: node, response: response}
	if response.NewerState != nil {
		delta := n.acceptor.State.DeltaSince(request.Slot - 1)
		out.response.NewerState, out.delta = nil, &delta
	}
	if n.acceptor.IsDurable(needs) {
		m.sendResponse(out)
		return
	}
	ballots, seq := n.acceptor.BallotState()
	w := pendingWrite{ballots: &ballots, seq: seq}
	if m.fault == faultEarlyResponse {
		n.enqueueWrite(w)
		m.sendResponse(out)
		return
	}
	w.responses = []modelResponse{out}
	n.enqueueWrite(w)
}

// sendResponse hands a response to the network.
func (m *model) sendResponse(r modelResponse) {
	if m.reliable {
		m.receiveResponse(r)
		return
	}
	inFlight := &m.calls[r.call].attempts[r.attempt].responses[r.phase][r.from]
	*inFlight = append(slices.Clip(*inFlight), r)
}

// receiveResponse hands a response to its proposer, if that still runs.
func (m *model) receiveResponse(r modelResponse) {
	a := m.calls[r.call].attempts[r.attempt]
	p := a.proposer
	if p == nil {
		return
	}
	if r.delta != nil {
		if newer, ok := a.base.ApplyDelta(*r.delta); ok {
			r.response.NewerState = &newer
		}
	}
	switch m.fault {
	case faultLastResponseWins:
		p.adoptedBallot = Ballot{}
	case faultNonVoterCounts:
		p.impersonateVoter(&r)
	}
	p.OnResponse(Stage(r.phase), r.response)
	if p.Stage == StageAccepting && a.requests[phaseAccept] == nil {
		accept := p.Request()
		a.requests[phaseAccept] = &accept
	}
	if p.Stage >= StageChosen {
		m.finishAttempt(r.call, r.attempt)
	}
}

// impersonateVoter lets the response of a node that is no voter count as one
// of the voter at its address (faultNonVoterCounts).
func (p *Proposer) impersonateVoter(r *modelResponse) {
	if p.Base.IsVoter(r.response.AcceptorID) {
		return
	}
	for _, v := range p.Base.Voters {
		if nodeOf(v) == r.from {
			r.response.AcceptorID = v.ID
		}
	}
	r.response.OK = true
}

// finishAttempt acts on a proposer that ended.
func (m *model) finishAttempt(call, attempt int) {
	a := m.calls[call].attempts[attempt]
	p := a.proposer
	a.proposer = nil
	n := &m.nodes[a.node]
	switch p.Stage {
	case StageChosen:
		s := p.Base.Apply(p.Value)
		m.checkChosen(p.Value, s)
		a.chosen = &chosenBallot{s.Slot, p.Ballot}
		m.learn(a.node, s)
	case StageBehind:
		m.learn(a.node, *p.NewerState)
	default:
		n.highestRound = max(n.highestRound, p.HighestPromised.Round)
	}
	m.afterAttempt(call, p.Stage == StageChosen || p.Stage == StageBehind)
}

// afterAttempt goes on with the call at once where its node's state moved on,
// else the call waits for a retry.
func (m *model) afterAttempt(call int, moved bool) {
	c := m.calls[call]
	c.read = nil
	if !moved || len(c.attempts) >= maxAttempts {
		c.awaitingRetry = true
		return
	}
	m.advance(call)
}

// clone copies an attempt. Requests are never changed once they are sent.
func (a *modelAttempt) clone() *modelAttempt {
	c := *a
	if a.proposer != nil {
		p := *a.proposer
		p.responded = make(map[string]bool, len(a.proposer.responded))
		for id := range a.proposer.responded {
			p.responded[id] = true
		}
		c.proposer = &p
	}
	return &c
}
