package upstream

import (
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/transport"
)

// Endpoint is one instance of a service as this node sees it, from its first
// appearance in the table until it drains or is removed. Of the embedded entry,
// Pool.mu guards Slots and WarmingUp; the rest never changes and is read
// without the lock.
type Endpoint struct {
	endpoints.Endpoint

	// distance is that of the endpoint's zone, see Options.Distance; rank
	// orders the endpoints for this node's subsets. Both never change.
	distance int
	rank     uint64

	// Pool.mu guards all fields below.

	// inFlight holds the start of each attempt under way, the oldest first.
	inFlight []time.Time
	// idleConns holds the idle connections, the one that was idle longest first.
	idleConns []*transport.Conn
	// noReuseUntil is until when no connection becomes idle, since the endpoint
	// sent bytes that belong to no request.
	noReuseUntil time.Time

	// latencyMs is a moving average of the latency, 0 where none was measured;
	// answeredAt is when it was updated last.
	latencyMs  float64
	answeredAt time.Time

	// reportedRunning and reportedWaiting are the load that the endpoint
	// reported last, at loadReportedAt.
	reportedRunning, reportedWaiting int
	loadReportedAt                   time.Time

	// reducedLimit is how many connections the endpoint seemed to accept from
	// this node at reducedAt, since it closed a new one; 0 where it did not.
	reducedLimit int
	reducedAt    time.Time

	// consecutiveFailures counts failed attempts, and ejections those
	// ejections that lengthen the next, both since the last response.
	consecutiveFailures, ejections int
	ejectedUntil                   time.Time
	// unansweredAt is when an attempt got no answer last.
	unansweredAt time.Time
	// reportedUntil is until when the endpoint counts as unreachable because
	// other nodes reported it, unless it answers this node.
	reportedUntil time.Time
	// seenHealthy is whether OnHealthy was ever called; unhealthy is whether
	// OnUnhealthy was called, and OnHealthy was not since.
	seenHealthy, unhealthy bool
	// removed is whether the table lists the endpoint no more.
	removed bool
}

// Distance returns 0 for an endpoint in this node's zone, 1 for one elsewhere
// in its region and 2 for one beyond.
func (e *Endpoint) Distance() int { return e.distance }

// InLocalZone reports whether the endpoint is in this node's zone.
func (e *Endpoint) InLocalZone() bool { return e.distance == 0 }

// slots returns how many requests the endpoint processes at the same time. The
// caller holds Pool.mu.
func (e *Endpoint) slots() int { return max(1, e.Slots) }

// endAttempt removes the attempt that began at start. Of several that began at
// the same time any one will do. The caller holds Pool.mu.
func (e *Endpoint) endAttempt(start time.Time) {
	for i, t := range e.inFlight {
		if t.Equal(start) {
			e.inFlight = append(e.inFlight[:i], e.inFlight[i+1:]...)
			return
		}
	}
}

// healthy reports whether the endpoint is not ejected, nor about to be. The
// caller holds p.mu.
func (p *Pool) healthy(e *Endpoint, now time.Time) bool {
	return e.consecutiveFailures < p.options.ConsecutiveFailures && now.After(e.ejectedUntil)
}

// reachable reports whether the endpoint is healthy and no other nodes report
// it as unreachable. The caller holds p.mu.
func (p *Pool) reachable(e *Endpoint, now time.Time) bool {
	return p.healthy(e, now) && !now.Before(e.reportedUntil)
}
