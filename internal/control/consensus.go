package control

import (
	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
)

// A configuration body travels compressed against that of the state before the
// slot: whoever may vote on a slot holds that state.

// handleConsensus answers a prepare or an accept request of another node, or of
// this one. What the response rests on is on disk before it leaves, whichever
// request caused the write, and however often an earlier write failed.
func (r *replica) handleConsensus(request nodeapi.ConsensusRequest) (response nodeapi.ConsensusResponse, err error) {
	done := make(chan error, 1)
	r.loop.Call(func() {
		if err := r.unpackRequest(&request); err != nil {
			done <- err
			return
		}
		var requiredWrite int64
		response, requiredWrite = r.respond(request)
		if r.acceptor.IsDurable(requiredWrite) {
			done <- nil
			return
		}
		r.persistBallot(done)
	})
	err = awaitWrite(done, r.acknowledgeTime(durableTimeoutRatio))
	return response, err
}

// unpackRequest decompresses the body of the value, if the request has one and
// is for the slot whose base this node holds. The acceptor rejects it for any
// other. It runs on the loop.
func (r *replica) unpackRequest(request *nodeapi.ConsensusRequest) error {
	value := request.Value
	if value == nil || value.Body != "" || request.PackedBody == nil || request.Slot != r.acceptor.State.Slot+1 {
		return nil
	}
	body, err := codec.DecompressDelta(r.acceptor.State.Body, request.PackedBody, r.host.MaxMessageBytes())
	if err != nil {
		return err
	}
	unpacked := *value
	unpacked.Body = body
	request.Value = &unpacked
	return nil
}

// respond lets the acceptor answer, and makes the response ready for the wire.
// requiredWrite is the write that must be durable before it is sent. It runs on the loop.
func (r *replica) respond(request nodeapi.ConsensusRequest) (response nodeapi.ConsensusResponse, requiredWrite int64) {
	acceptedBefore := r.acceptor.AcceptedBallot
	response.Response, requiredWrite = r.acceptor.Handle(request.Request)
	r.highestRound = max(r.highestRound, request.Ballot.Round, r.acceptor.Promised.Round)
	if r.acceptor.AcceptedBallot != acceptedBefore {
		r.acceptedBody = request.PackedBody
	}
	if response.AcceptedValue != nil {
		response.AcceptedValue = nodeapi.WithoutBody(response.AcceptedValue, r.acceptedBody)
		response.PackedBody = r.acceptedBody
	}
	if response.NewerState != nil {
		response.NewerState, response.Delta = nil, r.stateDelta(request.Slot-1)
	}
	return response, requiredWrite
}

// persistBallot writes the promise and the accepted value; the result of the
// write goes to done. It runs on the loop.
func (r *replica) persistBallot(done chan<- error) {
	ballot, writeSeq := r.acceptor.BallotState()
	ballot.AcceptedValue = nodeapi.WithoutBody(ballot.AcceptedValue, r.acceptedBody)
	record := records.Ballot{BallotState: ballot, Packed: r.acceptedBody}
	records.BallotRecord.Put(r.store, record, func(err error) {
		if err == nil {
			r.loop.Submit(func() { r.acceptor.MarkDurable(writeSeq) })
		}
		done <- err
	})
}

// unpackResponse decompresses what a voter answered to a ballot on base, and
// makes the newer state of the delta that stands for it.
func (r *replica) unpackResponse(base consensus.State, response nodeapi.ConsensusResponse) (consensus.Response, error) {
	if response.AcceptedValue != nil && response.PackedBody != nil {
		body, err := codec.DecompressDelta(base.Body, response.PackedBody, r.host.MaxMessageBytes())
		if err != nil {
			return response.Response, err
		}
		unpacked := *response.AcceptedValue
		unpacked.Body = body
		response.AcceptedValue = &unpacked
	}
	if response.Delta != nil {
		bodyOf := func(version int64) (string, bool) { return base.Body, version == base.Version }
		delta, err := response.Delta.Unpack(bodyOf, r.host.MaxMessageBytes())
		if err != nil {
			return response.Response, err
		}
		if newer, ok := base.ApplyDelta(delta); ok {
			response.NewerState = &newer
		}
	}
	return response.Response, nil
}

// handleLearn learns a decided slot from its delta, or from the value that this
// node accepted under the chosen ballot. The response names the slot up to which
// this node has the state on disk.
func (r *replica) handleLearn(request nodeapi.LearnRequest) nodeapi.LearnResponse {
	r.loop.Call(func() {
		state := r.acceptor.State
		switch {
		case request.Delta != nil:
			r.applyStateDelta(request.Delta, "told")
		case request.Slot == state.Slot+1 && r.acceptor.AcceptedValue != nil && r.acceptor.AcceptedBallot == request.Ballot:
			// A ballot proposes one value, so what was accepted under the
			// ballot that was chosen is the chosen value.
			r.learn(state.Apply(*r.acceptor.AcceptedValue), "accepted")
		}
	})
	return nodeapi.LearnResponse{DurableSlot: r.waitDurable()}
}

// handlePeek reports what this voter knows of the open slot, for a quorum read.
func (r *replica) handlePeek() (response nodeapi.PeekResponse, _ error) {
	r.loop.Call(func() {
		response = nodeapi.PeekResponse{
			AcceptorID:  r.acceptor.ID,
			DecidedSlot: r.acceptor.State.Slot,
			HasAccepted: r.acceptor.AcceptedValue != nil,
		}
	})
	return response, nil
}
