package scatter

import "swiftswitch/internal/upstream"

// Query is the state of one scattered request: a pure state machine over the
// results of attempts. It is not safe for concurrent use.
type Query struct {
	// Shards holds the request to each shard. Methods name a shard by its index.
	Shards []*ShardRequest

	policy Policy
	// stamps holds the stamps of all answers that count. An endpoint stamps
	// each answer once, so a stamp seen twice is the same answer twice.
	stamps map[string]bool
	// answered and open count the shards in those states.
	answered int
	open     int
	hedges   hedgeSchedule
	silence  silenceSchedule
	// callerLeft: nobody waits for the response any more.
	callerLeft bool
}

// NewQuery returns a query in which every shard is open.
func NewQuery(policy Policy, shards []*ShardRequest) *Query {
	return &Query{policy: policy, Shards: shards, stamps: map[string]bool{}, open: len(shards)}
}

// Action is what the driver has to do for a shard after a result.
type Action int

// The actions.
const (
	// Wait: nothing; the shard is closed or has attempts in flight.
	Wait Action = iota
	// Retry: send to another endpoint, or call [Query.GiveUp].
	Retry
)

// Answered returns how many shards have answered.
func (q *Query) Answered() int { return q.answered }

// OnSent records that an attempt of shard i is in flight to an endpoint.
func (q *Query) OnSent(i int, endpoint *upstream.Endpoint) {
	s := q.Shards[i]
	s.attempted = append(s.attempted, endpoint)
	s.inFlight++
	q.hedges.isStale = true
}

// GiveUp records that no further attempt of shard i can be made: there is no
// endpoint for it, or the retry budget refused it. Attempts in flight still count.
func (q *Query) GiveUp(i int) { q.closeIfIdle(q.Shards[i]) }

// OnResult takes the result of an attempt of shard i. retained reports whether
// the query holds on to the attempt; if not, the caller releases it.
func (q *Query) OnResult(i int, a upstream.Attempt) (next Action, retained bool) {
	s := q.Shards[i]
	s.inFlight--
	if a.Outcome != upstream.OutcomeUnsent {
		s.reached = true
	}
	if s.state != shardOpen {
		return Wait, false
	}
	if a.Succeeded() && !q.stamps[a.Stamp] {
		q.stamps[a.Stamp] = true
		q.markAnswered(s)
		s.Answer = a
		return Wait, true
	}
	if a.MayHaveRun() {
		s.mayHaveRun = true
	}
	if a.Response != nil && q.mayForward(&a) {
		s.LastFailure.Release()
		s.LastFailure, retained = a, true
	}
	if !q.isFinal(&a) && q.MayAttempt(i) {
		return Retry, retained
	}
	q.closeIfIdle(s)
	return Wait, retained
}

// isFinal reports whether an endpoint's response decides a request to a single
// service: any other endpoint would say the same.
func (q *Query) isFinal(a *upstream.Attempt) bool {
	return len(q.Shards) == 1 && a.Outcome == upstream.OutcomeAnswered && a.Status >= 300 && a.Status < 500
}

// mayForward reports whether a response that is no answer may be forwarded
// to the client. A success without a stamp is not an endpoint's response.
// 408, 421, 429 and 503 tell the client that nothing ran: where that must be
// true, they are forwarded only from an endpoint that said so itself.
func (q *Query) mayForward(a *upstream.Attempt) bool {
	if a.Status < 300 {
		return false
	}
	switch a.Status {
	case 408, 421, 429, 503:
		return q.policy.Idempotent || a.Outcome == upstream.OutcomeUnprocessed
	}
	return true
}

// OnCallerLeft records that nobody waits for the response any more. No further
// attempt may be made. If the request is idempotent the query is decided; what
// is not idempotent is awaited, since its work would not be undone.
func (q *Query) OnCallerLeft() { q.callerLeft = true }

// MayAttempt reports whether a further attempt of shard i may be made. What is
// not idempotent is never sent again once it may have run.
func (q *Query) MayAttempt(i int) bool {
	s := q.Shards[i]
	if q.callerLeft || s.state != shardOpen || len(s.attempted) >= q.policy.MaxAttempts {
		return false
	}
	return q.policy.Idempotent || !s.mayHaveRun && s.inFlight == 0
}

// MayHaveRun reports whether any attempt may have run, or may still run.
func (q *Query) MayHaveRun() bool {
	for _, s := range q.Shards {
		if s.mayHaveRun || s.inFlight > 0 {
			return true
		}
	}
	return false
}

// Release returns the memory of the responses that the query holds.
func (q *Query) Release() {
	for _, s := range q.Shards {
		s.Answer.Release()
		s.LastFailure.Release()
	}
}

// inFlight counts the attempts whose result has not come.
func (q *Query) inFlight() int {
	n := 0
	for _, s := range q.Shards {
		n += s.inFlight
	}
	return n
}

// markAnswered closes an open shard as answered.
func (q *Query) markAnswered(s *ShardRequest) {
	s.state = shardAnswered
	q.answered++
	q.open--
}

// closeIfIdle closes an open shard that has nothing in flight as exhausted.
func (q *Query) closeIfIdle(s *ShardRequest) {
	if s.inFlight == 0 && s.state == shardOpen {
		s.state = shardExhausted
		q.open--
	}
}
