package scatter

// Phase says which deadlines of a request have passed.
type Phase int

// The phases, in their order in time.
const (
	BeforeSoftDeadline Phase = iota
	AfterSoftDeadline
	AfterHardDeadline
)

// Decision is how a query stands as a whole.
type Decision int

// The decisions.
const (
	// Undecided: the query waits for more shards.
	Undecided Decision = iota
	// Succeeded: enough shards answered, and waiting for more does not pay.
	Succeeded
	// Failed: fewer shards than the policy wants answered or can answer, or
	// nobody waits for the answer any more.
	Failed
)

// shareTolerance absorbs the rounding error of MinShare x number of shards.
const shareTolerance = 1e-9

// Decide returns how the query stands. It succeeds before its soft deadline only
// when nothing more can come. After it, a partial answer is weighed: it is
// valued at the square of its share, and waiting for the rest pays as long as
// that is below the value of a late complete answer.
func (q *Query) Decide(phase Phase) Decision {
	switch {
	case q.callerLeft && q.policy.Idempotent:
		return Failed
	case q.open == 0 || phase == AfterHardDeadline:
		if q.isEnough(q.answered) {
			return Succeeded
		}
		return Failed
	case !q.isEnough(q.answered + q.open):
		return Failed
	case phase == AfterSoftDeadline && q.isEnough(q.answered):
		share := float64(q.answered) / float64(len(q.Shards))
		if share*share >= q.policy.LateResponseValue {
			return Succeeded
		}
	}
	return Undecided
}

// isEnough reports whether n answered shards make a success.
func (q *Query) isEnough(n int) bool {
	return n > 0 && float64(n) >= q.policy.MinShare*float64(len(q.Shards))-shareTolerance
}
