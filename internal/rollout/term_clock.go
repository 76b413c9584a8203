package rollout

import "time"

// Clock keeps how much of each order's term has elapsed. It runs on the
// monotonic clock. Over a restart it takes whichever is more, what was last
// recorded or what the time of day says, so no step of a clock gives an order
// more time.
type Clock struct {
	elapsed map[int64]elapsedMark
}

// elapsedMark: so much had elapsed at that time of the monotonic clock.
type elapsedMark struct{ elapsed, at time.Duration }

// ClockRecord is a clock as it is kept on disk and sent to other nodes.
type ClockRecord struct {
	// ElapsedMs is by the order's slot.
	ElapsedMs map[int64]int64 `json:"Spent"`
	// WallMs is the time of day at which it was recorded, in Unix milliseconds.
	WallMs int64 `json:"WallMs,omitempty"`
}

// NewClock goes on from a record; wall is the time of day now.
func NewClock(r ClockRecord, wall time.Time, now time.Duration) *Clock {
	c := &Clock{elapsed: map[int64]elapsedMark{}}
	sinceRecord := int64(0)
	if r.WallMs != 0 {
		sinceRecord = max(0, wall.UnixMilli()-r.WallMs)
	}
	for order, ms := range r.ElapsedMs {
		c.elapsed[order] = elapsedMark{time.Duration(ms+sinceRecord) * time.Millisecond, now}
	}
	return c
}

// Elapsed is how much of an order's term is over.
func (c *Clock) Elapsed(orderSlot int64, now time.Duration) time.Duration {
	m, known := c.elapsed[orderSlot]
	if !known {
		return 0
	}
	return m.elapsed + now - m.at
}

// AtLeast takes that at least so much has elapsed, as the log or another node
// says. The first call for an order starts its term.
func (c *Clock) AtLeast(orderSlot int64, elapsed, now time.Duration) {
	if _, known := c.elapsed[orderSlot]; !known || c.Elapsed(orderSlot, now) < elapsed {
		c.elapsed[orderSlot] = elapsedMark{elapsed, now}
	}
}

// Record returns what is to be stored and sent, and forgets orders that are
// not running any more.
func (c *Clock) Record(running func(orderSlot int64) bool, wall time.Time, now time.Duration) ClockRecord {
	r := ClockRecord{ElapsedMs: map[int64]int64{}, WallMs: wall.UnixMilli()}
	for order := range c.elapsed {
		if !running(order) {
			delete(c.elapsed, order)
			continue
		}
		r.ElapsedMs[order] = c.Elapsed(order, now).Milliseconds()
	}
	return r
}
