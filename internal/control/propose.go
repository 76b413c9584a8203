package control

import (
	"math/rand/v2"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
)

// Parts of Bounds.AcknowledgeMs.
const (
	// ballotCallRatio bounds one prepare or accept request to one voter.
	ballotCallRatio = 0.3
	// minBackoffRatio is the least pause after a ballot that failed. Each
	// attempt, up to maxBackoffSteps, adds backoffStepRatio to the range that
	// the pause is drawn from.
	minBackoffRatio  = 0.002
	backoffStepRatio = 0.008
	maxBackoffSteps  = 6
)

// finishAcceptedHeartbeats is how often a voter looks for an accepted value
// whose slot stays open, in heartbeat intervals.
const finishAcceptedHeartbeats = 0.4

// backOff sleeps for a random time after an attempt failed, so that proposers
// that preempt each other get out of step.
func (r *replica) backOff(attempt int) {
	spread := backoffStepRatio * float64(min(attempt+1, maxBackoffSteps))
	time.Sleep(r.acknowledgeTime(minBackoffRatio + spread*rand.Float64()))
}

// propose runs one ballot for the slot after base, the state that own was made
// for. It reports whether the node's state is a later one in the end, whoever's
// value was chosen. A nil own proposes nothing new: the ballot only finishes
// what an earlier one may have begun.
func (r *replica) propose(base consensus.State, own *consensus.Value) bool {
	return r.proposeUntil(base, own, time.Time{})
}

// proposeUntil is propose, but sends no accept request for own after the
// deadline, whatever this node was held up by since it asked for promises: its
// caller has gone on by then, and must not find the value chosen later. A value
// that was adopted from an earlier ballot is proposed all the same. The zero
// deadline is none.
func (r *replica) proposeUntil(base consensus.State, own *consensus.Value, deadline time.Time) bool {
	ballot, ok := r.nextBallot(base)
	if !ok {
		return true
	}
	proposer := consensus.NewProposer(base, ballot, own)
	for !proposer.Done() {
		late := !deadline.IsZero() && time.Now().After(deadline)
		if late && proposer.Stage == consensus.StageAccepting && proposer.ValueIsOwn {
			proposer.Abort()
			break
		}
		r.runStage(proposer)
	}
	return r.endBallot(proposer)
}

// nextBallot draws a ballot above all that were seen. ok is false where this
// node has moved on from base: a value that was made for base would rest on
// what is no longer so.
func (r *replica) nextBallot(base consensus.State) (ballot consensus.Ballot, ok bool) {
	r.loop.Call(func() {
		ok = r.acceptor.State.Slot == base.Slot
		r.highestRound++
		ballot = consensus.Ballot{Round: r.highestRound, ProposerID: r.acceptor.ID, Incarnation: r.incarnation}
	})
	return ballot, ok
}

// voterResponse is a voter's answer, or why there is none.
type voterResponse struct {
	response consensus.Response
	err      error
}

// runStage sends the request of the proposer's stage to all voters at once and
// hands it their responses as they come, until they change its stage. A stage
// that all responses leave undecided ends the ballot.
func (r *replica) runStage(proposer *consensus.Proposer) {
	stage, base := proposer.Stage, proposer.Base
	request := packRequest(base, proposer.Request())
	responses := make(chan voterResponse, len(base.Voters))
	for _, voter := range base.Voters {
		go func() {
			response, err := r.callVoter(voter, request)
			if err != nil {
				responses <- voterResponse{err: err}
				return
			}
			unpacked, err := r.unpackResponse(base, response)
			responses <- voterResponse{unpacked, err}
		}()
	}
	for pending := len(base.Voters); pending > 0 && proposer.Stage == stage; pending-- {
		if answer := <-responses; answer.err != nil {
			proposer.OnFailure()
		} else {
			proposer.OnResponse(stage, answer.response)
		}
	}
	if proposer.Stage == stage {
		proposer.Abort()
	}
}

// packRequest makes a proposer's request ready for the wire.
func packRequest(base consensus.State, request consensus.Request) nodeapi.ConsensusRequest {
	packed := nodeapi.ConsensusRequest{Request: request}
	if value := request.Value; value != nil && value.Body != "" {
		packed.PackedBody = mustCompress(base.Body, value.Body)
		packed.Value = nodeapi.WithoutBody(value, packed.PackedBody)
	}
	return packed
}

// callVoter sends a request to a voter, which may be this node.
func (r *replica) callVoter(voter consensus.Voter, request nodeapi.ConsensusRequest) (response nodeapi.ConsensusResponse, err error) {
	settings := r.host.Settings()
	if voter.IP == settings.IpAddress {
		return r.handleConsensus(request)
	}
	err = r.host.Client.CallJSON(settings.InternalAddress(voter.IP), nodeapi.PathConsensus, request, &response, r.acknowledgeTime(ballotCallRatio))
	return response, err
}

// endBallot takes the outcome of a ballot, and reports whether this node's
// state is a later one than the ballot's base.
func (r *replica) endBallot(proposer *consensus.Proposer) bool {
	switch proposer.Stage {
	case consensus.StageChosen:
		chosen := proposer.Base.Apply(proposer.Value)
		r.loop.Call(func() { r.learn(chosen, "proposed") })
		r.owner.disseminate(proposer.Ballot, chosen)
		return true
	case consensus.StageBehind:
		r.loop.Call(func() { r.learn(*proposer.NewerState, "told") })
		return true
	}
	r.loop.Call(func() { r.highestRound = max(r.highestRound, proposer.HighestPromised.Round) })
	events.Log(events.ProposalPreempted, "slot", proposer.Base.Slot+1, "ballot", proposer.Ballot.Round)
	return false
}

// finishAcceptedLoop runs a ballot for the open slot where this voter accepted a
// value and hears no more of it. The proposer may be gone; and until the slot is
// decided, a change of voters may be in force that no node knows of, or may
// still come into force late.
func (r *replica) finishAcceptedLoop() {
	var before consensus.Ballot
	for {
		interval := float64(r.host.Heartbeats(finishAcceptedHeartbeats)) * (0.75 + rand.Float64()/2)
		select {
		case <-r.host.Stopping:
			return
		case <-time.After(time.Duration(interval)):
		}
		var state consensus.State
		var accepted consensus.Ballot
		r.loop.Call(func() { state, accepted = r.acceptor.State, r.acceptor.AcceptedBallot })
		stalled := !accepted.IsZero() && accepted == before
		before = accepted
		if stalled && !r.owner.isolated() && r.proposalLock.TryLock() {
			done := r.propose(state, nil)
			r.proposalLock.Unlock()
			events.Log(events.SlotRecovered, "slot", state.Slot+1, "done", done)
		}
	}
}
