package scatter

import (
	"time"

	"swiftswitch/internal/upstream"
)

// shardState is the state of a shard in a query. A shard leaves
// shardOpen once and never returns to it.
type shardState uint8

const (
	// shardOpen: the shard may still answer.
	shardOpen shardState = iota
	// shardAnswered: Answer is set.
	shardAnswered
	// shardExhausted: nothing is in flight, and no further attempt may be made.
	shardExhausted
)

// ShardRequest is the part of a request that goes to one shard. The caller
// fills in the exported fields that select endpoints; the Query that it
// belongs to owns all others.
type ShardRequest struct {
	// Service is the shard's service.
	Service string
	// Version restricts the endpoints to those of one version; empty means any.
	Version string
	// Holders restricts the endpoints to the holders of the shard's slots. Nil
	// means any endpoint; empty and not nil means none.
	Holders []string
	// Canary, where it is set, selects the first attempt's endpoint.
	Canary *upstream.Selector
	// Fallback is used where no endpoint of Version can be picked.
	Fallback *upstream.Selector

	// Answer is the successful attempt, once Answered.
	Answer upstream.Attempt
	// LastFailure is the last response that is no success and may be forwarded.
	LastFailure upstream.Attempt

	// attempted lists the endpoints of all attempts, so that a retry goes elsewhere.
	attempted []*upstream.Endpoint
	inFlight  int
	// hedgeAt is when an attempt in flight is hedged; zero: never, or done.
	hedgeAt time.Time
	// silentAt is when the shard is silent; zero: never.
	silentAt time.Time
	state    shardState
	// relayed: the first attempt went by way of another front, and which
	// endpoint that asked is not known.
	relayed bool
	// reached: an attempt may have reached an endpoint, so a further one is a
	// retry that the budget must grant.
	reached bool
	// mayHaveRun: an attempt may have run without a usable answer.
	mayHaveRun bool
}

// Selector selects the endpoints that the shard's attempts go to.
func (s *ShardRequest) Selector() upstream.Selector {
	return upstream.Selector{Service: s.Service, Version: s.Version, IDs: s.Holders}
}

// Answered reports whether the shard has answered.
func (s *ShardRequest) Answered() bool { return s.state == shardAnswered }

// CanForwardFailure reports whether LastFailure may be forwarded to the client
// as it is: nothing is in flight, and the response makes no promise that
// nothing ran where an attempt may have.
func (s *ShardRequest) CanForwardFailure() bool {
	if s.LastFailure.Response == nil || s.inFlight > 0 {
		return false
	}
	return !s.mayHaveRun || s.LastFailure.Outcome != upstream.OutcomeUnprocessed
}

// isRetry reports whether a further attempt counts against the retry budget.
// As long as nothing reached an endpoint, the next attempt is the first.
func (s *ShardRequest) isRetry() bool { return s.reached || s.inFlight > 0 }
