package scatter

import "time"

// Deadlines bound one request in time.
type Deadlines struct {
	// Start is when the request arrived; hedges count from it.
	Start time.Time
	// TargetLatency is the route's latency target.
	TargetLatency time.Duration
	// SoftDeadline is when the value of an answer begins to fall: from then on
	// a partial answer is weighed against waiting.
	SoftDeadline time.Time
	// HardDeadline is when the request is decided with what has arrived.
	HardDeadline time.Time
	// ShardDeadline is the deadline that endpoints are given. Attempts in
	// flight when the request is decided run on until then.
	ShardDeadline time.Time
}

// phase returns which deadlines have passed at now.
func (d *Deadlines) phase(now time.Time) Phase {
	switch {
	case !now.Before(d.HardDeadline):
		return AfterHardDeadline
	case !now.Before(d.SoftDeadline):
		return AfterSoftDeadline
	}
	return BeforeSoftDeadline
}

// next returns the first deadline that has not passed in a phase, and after the
// last the HardDeadline.
func (d *Deadlines) next(p Phase) time.Time {
	if p == BeforeSoftDeadline {
		return d.SoftDeadline
	}
	return d.HardDeadline
}
