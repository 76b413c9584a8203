package rollout

import "time"

// Clock measures how much of each order's duration has elapsed, by the monotonic
// clock. Over a restart it adds what the wall clock advanced since the last
// record, and nothing where that went back.
type Clock struct {
	elapsed map[int64]elapsedMark
}

// elapsedMark: so much had elapsed at that time of the monotonic clock.
type elapsedMark struct{ elapsed, at time.Duration }

// ClockRecord is a clock as it is stored on disk.
type ClockRecord struct {
	// ElapsedMs is by the order's slot.
	ElapsedMs map[int64]int64 `json:"Spent"`
	// WallMs is the wall clock when it was recorded, in Unix milliseconds.
	WallMs int64 `json:"WallMs,omitempty"`
}

// NewClock goes on from a record; wall is the wall clock now.
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

// Elapsed is how much of an order's duration is over.
func (c *Clock) Elapsed(orderSlot int64, now time.Duration) time.Duration {
	m, known := c.elapsed[orderSlot]
	if !known {
		return 0
	}
	return m.elapsed + now - m.at
}

// AtLeast raises the elapsed time of an order to what the log or another node
// knows. The first call for an order starts its duration.
func (c *Clock) AtLeast(orderSlot int64, elapsed, now time.Duration) {
	if _, known := c.elapsed[orderSlot]; !known || c.Elapsed(orderSlot, now) < elapsed {
		c.elapsed[orderSlot] = elapsedMark{elapsed, now}
	}
}

// Record returns what is to be stored, and forgets orders that are
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
