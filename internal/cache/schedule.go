package cache

import "time"

// Schedule says how fast the queued fetches from a service can be carried out.
type Schedule struct {
	Now time.Duration
	// Rate is the rate limit in fetches a second, 0 where there is none, and
	// Tokens how many may start now.
	Rate, Tokens float64
	// Usual is how long a fetch usually takes, Longest what nearly all stay
	// within.
	Usual, Longest time.Duration
}

// start returns when the fetch at a position of the queue, from 0, can start.
func (s *Schedule) start(position int) time.Duration {
	missing := float64(position+1) - s.Tokens
	if s.Rate <= 0 || missing <= 0 {
		return s.Now
	}
	return s.Now + time.Duration(missing/s.Rate*float64(time.Second))
}

// end returns when the fetch at a position of the queue will have ended, with
// near certainty.
func (s *Schedule) end(position int) time.Duration { return s.start(position) + s.Longest }

// firstLate returns the position of the first fetch that may well end after its
// earliest deadline, -1 if there is none. Refreshes can't be late.
func (s *Schedule) firstLate(queue []*Fetch) int {
	for position, fetch := range queue {
		if !fetch.isRefresh && s.end(position) > fetch.due() {
			return position
		}
	}
	return -1
}

// isHarmed reports whether a fetch that was at the position before is late at
// this one, by what nearly all fetches stay within or by what is usual, and was
// not there.
func (s *Schedule) isHarmed(fetch *Fetch, position int) bool {
	if fetch.isRefresh {
		return false
	}
	due, before, now := fetch.due(), s.start(position-1), s.start(position)
	return before+s.Longest <= due && now+s.Longest > due || before+s.Usual <= due && now+s.Usual > due
}

// firstHarmed returns the position of the first fetch that a newcomer to the
// queue makes late, or of the newcomer if it would be late itself; -1 if there
// is none. It moves those up to the position where it was itself before.
func (s *Schedule) firstHarmed(queue []*Fetch, newcomer *Fetch, was int) int {
	isBehind := false
	for position, fetch := range queue[:min(was+1, len(queue))] {
		switch {
		case fetch == newcomer:
			if s.end(position) > fetch.due() {
				return position
			}
			isBehind = true
		case isBehind && s.isHarmed(fetch, position):
			return position
		}
	}
	return -1
}

// isOverrun reports whether some fetch is more likely to end after its earliest
// deadline than before.
func (s *Schedule) isOverrun(queue []*Fetch) bool {
	for position, fetch := range queue {
		if !fetch.isRefresh && s.start(position)+s.Usual > fetch.due() {
			return true
		}
	}
	return false
}
