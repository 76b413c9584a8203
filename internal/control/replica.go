package control

import (
	"slices"
	"strings"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
)

// maxPastBodies is how many earlier configurations are kept to compute
// differences from, as long as all of them together take no more than a message may.
const maxPastBodies = 8

// replica is this node's replica of the replicated log. It drives the state
// machines of package consensus: it answers ballots as an acceptor, runs
// ballots of its own as a proposer, and takes what was decided as a learner. It
// does their input and output: messages, and writes to disk.
//
// Several proposals of this node can be under way at a time; proposalLock
// orders those that would only preempt each other. Whatever the order, at most
// one value is chosen for a slot.
type replica struct {
	host  *host.Host
	store *storage.Store
	// loop is the server's command loop.
	loop *commandloop.Loop
	// owner is the server that the replica is part of.
	owner replicaOwner
	// incarnation numbers the runs of this node with its identity. It was
	// raised on disk before anything else was done in this run, so that no
	// ballot is used twice. It is not changed afterwards.
	incarnation int64
	// proposalLock is held by the proposal of this node that runs.
	proposalLock proposalLock

	// The fields below are owned by loop; methods that need it say so. The
	// acceptor's ID is the exception: it is fixed once the replica is made.

	acceptor consensus.DurableAcceptor
	// highestRound is the highest round of a ballot that was seen, by any node.
	highestRound int64
	// acceptedBody is the configuration body of the accepted value, compressed
	// against that of the decided state, as it came with the accept request.
	acceptedBody []byte
	// written is the part of the decided state that was last queued for the
	// disk: what is large is written only where it changed since.
	written writtenState
	// durabilityWaiters wait for the decided state to be on disk.
	durabilityWaiters []durabilityWaiter
	// stateDeltas holds deltas to the decided state, by the slot they are from.
	// It is cleared with each new state.
	stateDeltas map[int64]*nodeapi.StateDelta
	// pastBodies holds the last configurations before the one in force, oldest first.
	pastBodies []records.Body
	// versionLearnedAt is when this node learned the configuration in force.
	versionLearnedAt time.Duration
	// unsupported is what the configuration in force asks for and this program
	// does not do.
	unsupported []string
}

// replicaOwner is what a replica needs of its server.
type replicaOwner interface {
	// isolated reports whether the node has not heard a majority of the voters
	// lately. It must not be called on the loop.
	isolated() bool
	// onVotersRestored follows the voters of a state in which nothing was
	// decided yet. It runs on the loop.
	onVotersRestored()
	// onStateLearned follows a decided state. It runs on the loop, before the
	// state is queued for the disk; what it queues itself is written no later.
	onStateLearned(old, learned consensus.State)
	// notifyWatchers wakes the long polls that wait for a change. It runs on the loop.
	notifyWatchers()
	// disseminate announces a slot that the ballot decided to the other
	// control nodes.
	disseminate(ballot consensus.Ballot, state consensus.State)
}

// newReplica makes the replica of what was on disk.
func newReplica(n *host.Host, store *storage.Store, loop *commandloop.Loop, stored *records.Stored) *replica {
	r := &replica{
		host:         n,
		store:        store,
		loop:         loop,
		incarnation:  stored.Incarnation,
		acceptedBody: stored.AcceptedBody,
		written:      writtenState{stored.State.Version, stored.State.AppliedCount},
		stateDeltas:  map[int64]*nodeapi.StateDelta{},
	}
	r.acceptor.ID = stored.Identity
	r.acceptor.Restore(stored.State, stored.Ballot)
	r.highestRound = r.acceptor.Promised.Round
	r.findUnsupported(stored.State)
	return r
}

// ID is the identity that this node's disk was given.
func (r *replica) ID() string { return r.acceptor.ID }

// State is the decided state as far as this node knows it. It must not be
// called on the loop.
func (r *replica) State() (state consensus.State) {
	r.loop.Call(func() { state = r.acceptor.State })
	return state
}

// HasState reports whether this node has any state. A node that never had one
// can't settle an operator's call.
func (r *replica) HasState() bool { return len(r.State().Voters) > 0 }

// VoterIPs lists the addresses of the voters.
func (r *replica) VoterIPs() []string {
	var ips []string
	for _, voter := range r.State().Voters {
		ips = append(ips, voter.IP)
	}
	return ips
}

// learn takes a decided state if it is later than the one held; how names, for
// the log, the way it came. It runs on the loop.
func (r *replica) learn(state consensus.State, how string) {
	old := r.acceptor.State
	if !r.acceptor.Learn(state) {
		return
	}
	if state.Version != old.Version {
		r.versionLearnedAt = r.host.Now()
		r.findUnsupported(state)
	}
	r.owner.onStateLearned(old, state)
	r.persistState()
	// The accepted value was for a slot that is decided now.
	r.acceptedBody = nil
	clear(r.stateDeltas)
	if state.Version != old.Version {
		if old.Version > 0 {
			r.rememberBody(records.Body{Version: old.Version, Body: old.Body})
		}
		events.Log(events.ConfigChosen, "slot", state.Slot, "version", state.Version, "how", how)
	}
	if !slices.Equal(state.Voters, old.Voters) {
		events.Log(events.VotersChosen, "slot", state.Slot, "voters", strings.Join(voterIDs(state), ","), "how", how)
	}
	r.owner.notifyWatchers()
}

// rememberBody keeps a configuration that is no longer in force, and drops the
// oldest ones while they are too many or too large. It runs on the loop.
func (r *replica) rememberBody(body records.Body) {
	r.pastBodies = append(r.pastBodies, body)
	size := 0
	for _, past := range r.pastBodies {
		size += len(past.Body)
	}
	for len(r.pastBodies) > maxPastBodies || size > r.host.MaxMessageBytes() {
		size -= len(r.pastBodies[0].Body)
		r.pastBodies = r.pastBodies[1:]
	}
}

// pastBody finds the body of an earlier version. It runs on the loop.
func (r *replica) pastBody(version int64) (body string, held bool) {
	for _, past := range r.pastBodies {
		if past.Version == version {
			return past.Body, true
		}
	}
	return "", false
}

// voterIDs lists the identities of the voters in a state, in its order.
func voterIDs(state consensus.State) []string {
	var ids []string
	for _, voter := range state.Voters {
		ids = append(ids, voter.ID)
	}
	return ids
}

// acknowledgeTime is a part of the time in which a change is to be acknowledged.
func (r *replica) acknowledgeTime(ratio float64) time.Duration {
	return config.Milliseconds(r.host.Settings().Bounds.AcknowledgeMs, ratio)
}
