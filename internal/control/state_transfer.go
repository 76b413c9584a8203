package control

import (
	"time"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
)

// maxStateDeltas bounds for how many slots a delta to the newest state is kept.
const maxStateDeltas = 16

// handleState gives a node that is at a slot what it lacks.
func (r *replica) handleState(request nodeapi.StateRequest) (delta *nodeapi.StateDelta) {
	r.loop.Call(func() { delta = r.stateDelta(min(request.Slot, r.acceptor.State.Slot)) })
	return delta
}

// stateDelta is what a node whose state is at slot from lacks, compressed once
// for all nodes that are there. It runs on the loop.
func (r *replica) stateDelta(from int64) *nodeapi.StateDelta {
	if delta, ok := r.stateDeltas[from]; ok {
		return delta
	}
	state := r.acceptor.State
	delta := &nodeapi.StateDelta{StateDelta: state.DeltaSince(from)}
	if delta.Body != "" {
		base := ""
		if version := state.VersionAt(from); version > 0 {
			if body, held := r.pastBody(version); held {
				base, delta.BaseVersion = body, version
			}
		}
		delta.PackedBody = mustCompress(base, delta.Body)
		delta.Body = ""
	}
	if len(r.stateDeltas) >= maxStateDeltas {
		clear(r.stateDeltas)
	}
	r.stateDeltas[from] = delta
	return delta
}

// mustCompress compresses a body against another. A failure is a broken
// invariant and ends the process.
func mustCompress(base, body string) []byte {
	packed, err := codec.CompressDelta(base, body)
	if err != nil {
		events.Log(events.InvariantViolated, "pack", err)
		panic(err)
	}
	return packed
}

// applyStateDelta learns from another node and reports whether the delta fits
// what this node holds; one that is no later does. It runs on the loop.
func (r *replica) applyStateDelta(packed *nodeapi.StateDelta, how string) bool {
	hasState := len(r.acceptor.State.Voters) > 0
	if packed.Slot <= r.acceptor.State.Slot && hasState {
		return true
	}
	delta, err := packed.Unpack(r.bodyOf, r.host.MaxMessageBytes())
	if err != nil {
		events.Log(events.MessageRejected, "path", "news", "from", packed.FromSlot, "slot", packed.Slot, "err", err)
		return false
	}
	state, ok := r.acceptor.State.ApplyDelta(delta)
	if !ok {
		return false
	}
	if !hasState && state.Slot == 0 {
		// The state before the first slot: nothing was decided yet, so that
		// there is nothing later for the acceptor to learn.
		r.acceptor.State = state
		r.owner.onVotersRestored()
		r.persistState()
		return true
	}
	r.learn(state, how)
	return true
}

// bodyOf finds the body of a version that is in force here or was lately. It
// runs on the loop.
func (r *replica) bodyOf(version int64) (body string, held bool) {
	if version == r.acceptor.State.Version {
		return r.acceptor.State.Body, true
	}
	return r.pastBody(version)
}

// sendState brings another node up to this node's state and returns the slot up
// to which the other has it on disk then, below 0 where it did not answer.
// knownSlot is the slot that the other is known to have; where it turns out to
// have less than that, it is sent the whole state.
func (r *replica) sendState(ip string, knownSlot int64, timeout time.Duration) int64 {
	deadline := time.Now().Add(timeout)
	address := r.host.Settings().InternalAddress(ip)
	for _, from := range []int64{knownSlot, consensus.NoSlot} {
		var request nodeapi.LearnRequest
		r.loop.Call(func() {
			slot := r.acceptor.State.Slot
			request = nodeapi.LearnRequest{Slot: slot, Delta: r.stateDelta(min(from, slot))}
		})
		var response nodeapi.LearnResponse
		if r.host.Client.CallJSON(address, nodeapi.PathLearn, request, &response, time.Until(deadline)) != nil {
			return -1
		}
		if response.DurableSlot >= request.Slot || from == consensus.NoSlot || time.Now().After(deadline) {
			events.Log(events.HintsDelivered, "to", ip, "slot", response.DurableSlot)
			return response.DurableSlot
		}
	}
	return -1
}
