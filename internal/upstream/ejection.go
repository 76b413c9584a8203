package upstream

import (
	"errors"
	"net/http"
	"os"
	"time"

	"swiftswitch/internal/events"
)

const (
	// maxEjections bounds how often the ejection time doubles: an ejection lasts
	// at most 1<<(maxEjections-1) times Options.BaseEjectionTime.
	maxEjections = 3
	// unansweredFactor is how many times the median latency of its service an
	// attempt must have had before its timeout counts as no answer.
	unansweredFactor = 4
	// closedEjectionDivisor divides the ejection time of an endpoint that closed
	// the only connection.
	closedEjectionDivisor = 4
	// reducedLimitPercent is the part of the connections in use that an endpoint
	// keeps after it closed a new one.
	reducedLimitPercent = 70
)

// notification says which callbacks the end of an attempt calls for.
type notification struct {
	healthy, unhealthy, unreachable bool
}

// record updates load, latency and health of an endpoint at the end of an
// attempt, and sets a.WarmingUp.
func (p *Pool) record(e *Endpoint, a *Attempt, start time.Time) {
	now := time.Now()
	elapsedMs := milliseconds(now.Sub(start))
	var notify notification
	p.mu.Lock()
	e.endAttempt(start)
	a.WarmingUp = e.WarmingUp
	misdirected := a.Outcome == OutcomeUnprocessed && a.Status == http.StatusMisdirectedRequest
	switch {
	case misdirected:
		// Another endpoint has the address now; a newer table will say so.
		e.ejectedUntil = now.Add(p.options.BaseEjectionTime)
	case a.Outcome == OutcomeAnswered, a.Outcome == OutcomeUnprocessed:
		notify.healthy = p.recordResponse(e, a, elapsedMs, now)
	case a.Outcome == OutcomeCanceled, notMade(a.Err):
	case a.closedOnConnect:
		p.reduceLimit(e, now)
	default:
		notify.unreachable = p.unanswered(e, a, elapsedMs)
		notify.unhealthy = p.recordFailure(e, a, notify.unreachable, now)
	}
	p.mu.Unlock()
	p.notify(e.ID, notify)
}

// notify calls the callbacks, without the lock.
func (p *Pool) notify(id string, n notification) {
	if n.healthy {
		p.OnHealthy(id)
	}
	if n.unhealthy {
		p.OnUnhealthy(id)
	}
	if n.unreachable {
		p.OnUnreachable()
	}
}

// recordResponse ends an ejection, and takes the latency of a response to a
// processed request. It reports whether the endpoint became healthy. The caller
// holds p.mu.
func (p *Pool) recordResponse(e *Endpoint, a *Attempt, elapsedMs float64, now time.Time) (becameHealthy bool) {
	if e.consecutiveFailures >= p.options.ConsecutiveFailures {
		events.Log(events.EndpointRestored, "searcher", e.ID)
	}
	e.consecutiveFailures, e.ejections, e.ejectedUntil = 0, 0, time.Time{}
	if a.Outcome != OutcomeAnswered {
		return false
	}
	becameHealthy = a.Succeeded() && (!e.seenHealthy || e.unhealthy)
	if becameHealthy {
		e.seenHealthy, e.unhealthy = true, false
	}
	if a.Status >= http.StatusInternalServerError {
		elapsedMs *= errorLatencyFactor
	}
	e.updateLatency(elapsedMs, now)
	e.reportedUntil = time.Time{}
	p.service(e.Service).latency.Add(elapsedMs)
	return becameHealthy
}

// recordFailure counts a failure, and ejects the endpoint if it was one too
// many. It reports whether the endpoint became unhealthy. The caller holds p.mu.
func (p *Pool) recordFailure(e *Endpoint, a *Attempt, unanswered bool, now time.Time) (becameUnhealthy bool) {
	e.consecutiveFailures++
	if unanswered {
		e.unansweredAt = now
	}
	if e.consecutiveFailures < p.options.ConsecutiveFailures {
		return false
	}
	becameUnhealthy = !e.unhealthy
	e.unhealthy = true
	// Attempts that began before the ejection don't lengthen it.
	if !now.Before(e.ejectedUntil) {
		e.ejections = min(e.ejections+1, maxEjections)
		e.ejectedUntil = now.Add(p.options.BaseEjectionTime << (e.ejections - 1))
		p.metrics.ejections.Inc()
		events.Log(events.EndpointEjected, "searcher", e.ID, "err", a.Err)
	}
	return becameUnhealthy
}

// unanswered reports whether the failed attempt shows that the endpoint does not
// answer: it could not be connected to, closed the connection, or was given
// ample time. The caller holds p.mu.
func (p *Pool) unanswered(e *Endpoint, a *Attempt, elapsedMs float64) bool {
	if a.Outcome == OutcomeUnsent || closedByEndpoint(a.Err) {
		return true
	}
	ample := unansweredFactor * milliseconds(p.service(e.Service).latency.Percentiles().P50)
	return elapsedMs > ample && errors.Is(a.Err, os.ErrDeadlineExceeded)
}

// reduceLimit makes do with fewer connections for a while, since the endpoint
// closed a new one: it has too many, and is not dead. The caller holds p.mu.
func (p *Pool) reduceLimit(e *Endpoint, now time.Time) {
	e.reducedLimit, e.reducedAt = max(1, len(e.inFlight)*reducedLimitPercent/100), now
	if len(e.inFlight) == 0 {
		e.ejectedUntil = now.Add(p.options.BaseEjectionTime / closedEjectionDivisor)
	}
}
