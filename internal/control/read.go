package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
)

// Parts of Bounds.AcknowledgeMs.
const (
	// peekCallRatio bounds one peek request to one voter.
	peekCallRatio = 0.2
	// maxReadQuorumAgeRatio bounds how long ago the majority that a read rests
	// on may have been asked.
	maxReadQuorumAgeRatio = 0.25
)

// readQuorum returns the newest decided state, a linearizable read: a majority
// of the voters knows no later slot and has accepted nothing for the open one.
// Where one of them has, the value may be chosen already, so a ballot finishes
// the slot before the state is read again. The result is false where no majority
// answered within the timeout.
func (r *replica) readQuorum(timeout time.Duration) (consensus.State, bool) {
	deadline := time.Now().Add(timeout)
	for attempt := 0; ; attempt++ {
		startedAt := r.host.Now()
		state := r.State()
		if r.owner.isolated() {
			return state, false
		}
		if quorum := r.peekVoters(state); quorum.reached {
			// The process may have been paused since it asked; then a later
			// slot may be decided that the answers could not tell of.
			fresh := r.host.Now()-startedAt < r.acknowledgeTime(maxReadQuorumAgeRatio)
			if !quorum.hasAccepted && !quorum.isAhead && fresh {
				return state, true
			}
			r.propose(state, nil)
		}
		if time.Now().After(deadline) {
			return state, false
		}
		r.backOff(attempt)
	}
}

// peekQuorum is what voters know beyond a state.
type peekQuorum struct {
	// reached: a majority answered.
	reached bool
	// hasAccepted: a value was accepted for the slot after the state.
	hasAccepted bool
	// isAhead: a later slot is decided.
	isAhead bool
}

// peekVoters asks the voters of a state, all at once, until a majority answered.
func (r *replica) peekVoters(state consensus.State) (quorum peekQuorum) {
	responses := make(chan *nodeapi.PeekResponse, len(state.Voters))
	for _, voter := range state.Voters {
		go func() { responses <- r.peekVoter(voter) }()
	}
	answered := 0
	for pending := len(state.Voters); pending > 0 && answered < state.Quorum(); pending-- {
		response := <-responses
		if response == nil || !state.IsVoter(response.AcceptorID) {
			continue
		}
		answered++
		quorum.hasAccepted = quorum.hasAccepted || response.HasAccepted && response.DecidedSlot == state.Slot
		quorum.isAhead = quorum.isAhead || response.DecidedSlot > state.Slot
	}
	quorum.reached = answered >= state.Quorum()
	return quorum
}

// peekVoter asks a voter, which may be this node; nil means that it did not answer.
func (r *replica) peekVoter(voter consensus.Voter) *nodeapi.PeekResponse {
	settings := r.host.Settings()
	if voter.IP == settings.IpAddress {
		response, _ := r.handlePeek() // never fails
		return &response
	}
	var response nodeapi.PeekResponse
	err := r.host.Client.CallJSON(settings.InternalAddress(voter.IP), nodeapi.PathPeek, struct{}{}, &response, r.acknowledgeTime(peekCallRatio))
	if err != nil {
		return nil
	}
	return &response
}
