package consensus

import (
	"encoding/binary"
	"hash/maphash"
)

var fingerprintSeed = maphash.MakeSeed()

// hasher collects what decides how a model may go on; two models with one
// fingerprint go on alike.
type hasher struct{ buf []byte }

func (h *hasher) ints(numbers ...int64) {
	for _, n := range numbers {
		h.buf = binary.AppendVarint(h.buf, n)
	}
}

func (h *hasher) bools(flags ...bool) {
	for _, flag := range flags {
		if flag {
			h.buf = append(h.buf, 1)
		} else {
			h.buf = append(h.buf, 0)
		}
	}
}

func (h *hasher) text(s string) { h.buf = append(append(h.buf, s...), 0) }

func (h *hasher) ballot(b Ballot) {
	h.ints(b.Round, b.Incarnation)
	h.text(b.ProposerID)
}

func (h *hasher) value(v *Value) {
	h.bools(v != nil)
	if v == nil {
		return
	}
	h.ints(v.Version, v.BaseVersion, int64(len(v.Voters)))
	h.text(v.Body)
	for _, x := range v.Voters {
		h.text(x.ID)
	}
}

func (h *hasher) state(s State) {
	h.ints(s.Slot, s.Version, int64(len(s.AppliedChanges)), int64(len(s.Voters)))
}

func (h *hasher) response(r modelResponse) {
	h.ints(int64(r.call), int64(r.attempt), int64(r.phase), r.response.DecidedSlot)
	h.text(r.response.AcceptorID)
	h.bools(r.response.OK)
	h.ballot(r.response.Promised)
	h.ballot(r.response.AcceptedBallot)
	h.value(r.response.AcceptedValue)
	if r.delta != nil {
		h.ints(r.delta.FromSlot, r.delta.Slot)
	}
}

func (h *hasher) write(w pendingWrite, durableSeq int64) {
	if w.state != nil {
		h.state(*w.state)
		return
	}
	const ballotsMark = -2
	h.ints(ballotsMark, w.seq-durableSeq, w.ballots.Slot, int64(len(w.responses)))
	h.ballot(w.ballots.Promised)
	h.ballot(w.ballots.AcceptedBallot)
	h.value(w.ballots.AcceptedValue)
	for _, r := range w.responses {
		h.response(r)
	}
}

func (h *hasher) node(n *modelNode) {
	h.bools(n.up, n.suspected)
	h.ints(n.incarnation, n.highestRound, int64(n.diskCount), n.caughtUpTo)
	h.ints(n.disk.incarnation, n.disk.ballots.Slot, n.acceptor.DurableSlot())
	h.text(n.disk.id)
	h.state(n.disk.state)
	h.ballot(n.disk.ballots.Promised)
	h.ballot(n.disk.ballots.AcceptedBallot)
	h.value(n.disk.ballots.AcceptedValue)
	h.state(n.acceptor.State)
	h.ballot(n.acceptor.Promised)
	h.ballot(n.acceptor.AcceptedBallot)
	h.value(n.acceptor.AcceptedValue)
	h.ints(n.acceptor.writeSeq-n.acceptor.durableSeq, int64(len(n.pendingWrites)))
	for _, w := range n.pendingWrites {
		h.write(w, n.acceptor.durableSeq)
	}
}

func (h *hasher) call(c *modelCall) {
	h.ints(int64(c.node), int64(c.retries), int64(c.code), c.knownVersion, int64(c.replaced), int64(len(c.attempts)))
	h.text(c.newcomer.ID)
	h.bools(c.awaitingRetry, c.returned, c.abandoned, c.read != nil)
	if c.read != nil {
		h.state(c.read.state)
		h.bools(c.read.polled[:]...)
		h.bools(c.read.acceptedSeen, c.read.laterSlotSeen)
	}
	for _, a := range c.attempts {
		h.attempt(a)
	}
}

func (h *hasher) attempt(a *modelAttempt) {
	h.bools(a.proposer != nil, a.chosen != nil, a.requests[phaseAccept] != nil)
	h.state(a.base)
	h.ballot(a.requests[phasePrepare].Ballot)
	if accept := a.requests[phaseAccept]; accept != nil {
		h.value(accept.Value)
	}
	for phase := range phaseCount {
		h.buf = append(h.buf, a.delivered[phase][:]...)
		for _, responses := range a.responses[phase] {
			h.ints(int64(len(responses)))
			for _, r := range responses {
				h.response(r)
			}
		}
	}
	if a.proposer != nil {
		h.proposer(a.proposer)
	}
}

func (h *hasher) proposer(p *Proposer) {
	h.ints(int64(p.Stage), int64(p.granted), int64(p.failures))
	h.ballot(p.HighestPromised)
	h.ballot(p.adoptedBallot)
	h.value(p.adoptedValue)
	for _, v := range p.Base.Voters {
		h.bools(p.responded[v.ID])
	}
}

// fingerprint hashes the model; h lends its buffer.
func (m *model) fingerprint(h *hasher) uint64 {
	h.buf = h.buf[:0]
	h.ints(int64(m.crashes), int64(m.wipes), int64(m.suspicions), m.knownVersion, int64(len(m.acknowledged)))
	for i := range m.values {
		h.value(&m.values[i])
	}
	for i := range m.nodeCount {
		h.node(&m.nodes[i])
	}
	for i := range m.acknowledged {
		h.value(&m.acknowledged[i])
	}
	for i, c := range m.calls {
		if c != nil {
			h.ints(int64(i))
			h.call(c)
		}
	}
	return maphash.Bytes(fingerprintSeed, h.buf)
}
