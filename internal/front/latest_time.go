package front

import (
	"sync/atomic"
	"time"
)

// latestTime is the latest time, by the node's monotonic clock, at which
// something is known to have held. It begins as never, which is no time: a clock
// that began with the process reads 0 at its start. It is safe for concurrent use.
type latestTime struct {
	at atomic.Pointer[time.Duration]
}

// advance notes that it held at a time; an earlier one than before has no effect.
func (l *latestTime) advance(at time.Duration) {
	for {
		previous := l.at.Load()
		if previous != nil && *previous >= at || l.at.CompareAndSwap(previous, &at) {
			return
		}
	}
}

// within reports whether it held at most a given time before now.
func (l *latestTime) within(limit, now time.Duration) bool {
	at := l.at.Load()
	return at != nil && now-*at <= limit
}
