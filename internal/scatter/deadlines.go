package scatter

import "time"

// Deadlines bound one request in time.
type Deadlines struct {
	// Start is when the request arrived.
	Start time.Time
	// HardDeadline is when the request is decided with what has arrived.
	HardDeadline time.Time
	// ShardDeadline is the deadline that endpoints are given. Attempts in
	// flight when the request is decided run on until then.
	ShardDeadline time.Time
}

// half returns when half of the time until the HardDeadline is over. Who is
// asked instead at that time has as much of it as who was asked first.
func (d *Deadlines) half() time.Time {
	return d.Start.Add(d.HardDeadline.Sub(d.Start) / 2)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
