package control

import (
	"slices"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

// What huts tell each other about ballots and decided state. Bodies travel as
// what they add to one that the other holds: all who may vote on a slot hold
// the one in force before it.

// handleConsensus lets the acceptor answer. What the answer rests on is on disk before
// it leaves, whoever wrote it and however often that was refused.
func (h *Server) handleConsensus(m nodeapi.ConsensusRequest) (say nodeapi.ConsensusResponse, err error) {
	done := make(chan error, 1)
	h.loop.Call(func() {
		if v := m.Value; v != nil && v.Body == "" && m.PackedBody != nil && m.Slot == h.acceptor.State.Slot+1 {
			whole := *v
			if whole.Body, err = codec.DecompressDelta(h.acceptor.State.Body, m.PackedBody, h.host.MaxMessageBytes()); err != nil {
				done <- err
				return
			}
			m.Value = &whole
		}
		was := h.acceptor.AcceptedBallot
		var needs int64
		say.Response, needs = h.acceptor.Handle(m.Request)
		h.highestRound = max(h.highestRound, m.Ballot.Round, h.acceptor.Promised.Round)
		if h.acceptor.AcceptedBallot != was {
			h.packedValue = m.PackedBody
		}
		if say.AcceptedValue != nil {
			say.AcceptedValue, say.PackedBody = nodeapi.WithoutBody(say.AcceptedValue, h.packedValue), h.packedValue
		}
		if say.NewerState != nil {
			say.NewerState, say.Delta = nil, h.stateDelta(m.Slot-1)
		}
		if h.acceptor.IsDurable(needs) {
			done <- nil
			return
		}
		b, mark := h.acceptor.BallotState()
		b.AcceptedValue = nodeapi.WithoutBody(b.AcceptedValue, h.packedValue)
		h.writeRecord(records.KeyBallot, records.Ballot{BallotState: b, Packed: h.packedValue}, func(e error) {
			if e == nil {
				h.loop.Submit(func() { h.acceptor.MarkDurable(mark) })
			}
			done <- e
		})
	})
	select {
	case err = <-done:
	case <-time.After(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.5)):
		err = ErrDiskTooSlow
	}
	return say, err
}

// unpackResponse opens a reply to a ballot on base: what was packed for the wire is
// whole again.
func (h *Server) unpackResponse(base consensus.State, say nodeapi.ConsensusResponse) (consensus.Response, error) {
	if say.AcceptedValue != nil && say.PackedBody != nil {
		body, err := codec.DecompressDelta(base.Body, say.PackedBody, h.host.MaxMessageBytes())
		if err != nil {
			return say.Response, err
		}
		whole := *say.AcceptedValue
		whole.Body = body
		say.AcceptedValue = &whole
	}
	if say.Delta != nil {
		n, err := say.Delta.Unpack(func(v int64) (string, bool) { return base.Body, v == base.Version }, h.host.MaxMessageBytes())
		if err != nil {
			return say.Response, err
		}
		if s, ok := base.ApplyDelta(n); ok {
			say.NewerState = &s
		}
	}
	return say.Response, nil
}

// stateDelta gives what a node at slot from lacks, packed once for all who are
// there; it runs on the desk.
func (h *Server) stateDelta(from int64) *nodeapi.StateDelta {
	if n, ok := h.stateDeltas[from]; ok {
		return n
	}
	s := h.acceptor.State
	n := &nodeapi.StateDelta{StateDelta: s.DeltaSince(from)}
	if n.Body != "" {
		base := ""
		if v := s.VersionAt(from); v > 0 {
			for _, b := range h.pastBodies {
				if b.Version == v {
					base, n.BaseVersion = b.Body, v
				}
			}
		}
		packed, err := codec.CompressDelta(base, n.Body)
		if err != nil {
			events.Log(events.InvariantViolated, "err", err)
			panic(err)
		}
		n.Body, n.PackedBody = "", packed
	}
	if len(h.stateDeltas) >= maxStateDeltas {
		clear(h.stateDeltas)
	}
	h.stateDeltas[from] = n
	return n
}

// maxStateDeltas bounds for how many slots news are kept packed.
const maxStateDeltas = 16

// applyStateDelta learns from another hut and tells whether the news fitted; it runs on the desk.
func (h *Server) applyStateDelta(n *nodeapi.StateDelta, how string) bool {
	if n.Slot <= h.acceptor.State.Slot && len(h.acceptor.State.Voters) > 0 {
		return true
	}
	whole, err := n.Unpack(func(v int64) (string, bool) {
		if v == h.acceptor.State.Version {
			return h.acceptor.State.Body, true
		}
		at := slices.IndexFunc(h.pastBodies, func(b records.Body) bool { return b.Version == v })
		if at < 0 {
			return "", false
		}
		return h.pastBodies[at].Body, true
	}, h.host.MaxMessageBytes())
	if err != nil {
		events.Log(events.MessageRejected, "message", "state-delta", "from_slot", n.FromSlot, "slot", n.Slot, "err", err)
		return false
	}
	s, ok := h.acceptor.State.ApplyDelta(whole)
	if !ok {
		return false
	}
	if len(h.acceptor.State.Voters) == 0 && s.Slot == 0 {
		// The state before the first slot: nothing was decided yet.
		h.acceptor.State = s
		h.applyVoters()
		h.persistState()
		return true
	}
	h.learn(s, how)
	return true
}

// handleLearn takes word of a decided slot. The answer names the slot up to
// which this node has it all on disk.
func (h *Server) handleLearn(m nodeapi.LearnRequest) nodeapi.LearnResponse {
	h.loop.Call(func() {
		if m.Delta != nil {
			h.applyStateDelta(m.Delta, "told")
		} else if m.Slot == h.acceptor.State.Slot+1 && h.acceptor.AcceptedValue != nil && h.acceptor.AcceptedBallot == m.Ballot {
			h.learn(h.acceptor.State.Apply(*h.acceptor.AcceptedValue), "accepted")
		}
	})
	return nodeapi.LearnResponse{DurableSlot: h.waitDurable()}
}

// sendState brings another hut up to what this one knows, and gives the slot up
// to which the other has it on disk then, below 0 where it did not answer.
// held is the slot that the other is known to hold.
func (h *Server) sendState(ip string, held int64, within time.Duration) int64 {
	until := time.Now().Add(within)
	for _, from := range []int64{held, consensus.NoSlot} {
		var m nodeapi.LearnRequest
		h.loop.Call(func() {
			m = nodeapi.LearnRequest{Slot: h.acceptor.State.Slot}
			if from > m.Slot {
				from = m.Slot
			}
			m.Delta = h.stateDelta(from)
		})
		var say nodeapi.LearnResponse
		if h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathLearn, m, &say, time.Until(until)) != nil {
			return -1
		}
		if say.DurableSlot >= m.Slot || from == consensus.NoSlot || time.Now().After(until) {
			events.Log(events.HintsDelivered, "to", ip, "slot", say.DurableSlot)
			return say.DurableSlot
		}
	}
	return -1
}
