package scatter

import "time"

// Decision is how a query stands as a whole.
type Decision int

// The decisions.
const (
	// Undecided: the query waits for more shards.
	Undecided Decision = iota
	// Succeeded: enough shards answered, and no more are expected to.
	Succeeded
	// Failed: fewer shards than the policy wants answered or can answer, or
	// nobody waits for the answer any more.
	Failed
)

// Decide returns how the query stands. It waits for every shard that may still
// answer; a partial answer, if the policy allows it, is given once the shards
// that are missing are silent, or the HardDeadline (isOver) has passed.
func (q *Query) Decide(now time.Time, isOver bool) Decision {
	switch {
	case q.callerLeft && q.policy.Idempotent:
		return Failed
	case q.open == 0 || isOver:
		if q.isEnough(q.answered) {
			return Succeeded
		}
		return Failed
	case !q.isEnough(q.answered + q.open):
		return Failed
	case q.isEnough(q.answered) && q.silentFrom(now):
		return Succeeded
	}
	return Undecided
}

func (q *Query) isEnough(n int) bool { return q.policy.IsEnough(n, len(q.Shards)) }
