package scatter

// Policy says what a request may cost and what its answer must bring.
type Policy struct {
	// MaxAttempts bounds the attempts of one shard, the first included.
	MaxAttempts int
	// Idempotent requests may run more than once: they are hedged, and retried
	// after an attempt that may have run.
	Idempotent bool
	// MinShare is the share of the shards, in [0, 1], without which the request
	// fails. It also fails if no shard answered.
	MinShare float64
	// Relayed marks a request that another front counts and retries: this one
	// gathers some shards for it and deposits nothing into the retry budget.
	Relayed bool
}

// shareTolerance absorbs the rounding error of MinShare x number of shards.
const shareTolerance = 1e-9

// IsEnough reports whether the answers of n of the shards make a success.
func (p *Policy) IsEnough(n, shards int) bool {
	return n > 0 && float64(n) >= p.MinShare*float64(shards)-shareTolerance
}
