package upstream

import (
	"math"
	"time"
)

// Parts of an endpoint's score. Those without a unit are multiples of the
// endpoint's expected latency.
const (
	// unknownLatencyMs stands for the latency, in milliseconds, of a service of
	// which none was measured: among its endpoints all else decides then.
	unknownLatencyMs = 1
	// busyPenalty is for an endpoint whose slots are all in use, in proportion
	// for one that is partly busy.
	busyPenalty = 0.3
	// warmingUpPenalty is for an endpoint that is warming up (slow start).
	warmingUpPenalty = 0.6
	// slowAttemptRatio is from which age on the oldest attempt under way is
	// added to the score.
	slowAttemptRatio = 2
	// ejectedPenalty is in milliseconds, and more than all else together. Scores
	// from it on are those of ejected endpoints, which are a last resort.
	ejectedPenalty = 1e7
	// reportedPenalty, in milliseconds, is for an endpoint that other nodes
	// report as unreachable: it comes after all others and before ejected ones.
	reportedPenalty = ejectedPenalty / 2
)

// score returns the time in milliseconds after which an answer is expected, with
// penalties. The caller holds p.mu.
func (p *Pool) score(e *Endpoint, s *service, now time.Time) float64 {
	latency := p.expectedLatencyMs(e, s, now)
	slots := e.slots()
	load := p.load(e, now)
	score := latency * (1 + busyPenalty*float64(load)/float64(slots))
	if over := load + 1 - slots; over > 0 {
		score += latency * float64(over) / float64(slots)
	}
	if e.WarmingUp {
		score += latency * warmingUpPenalty
	}
	score += p.options.DistancePenalty * typicalLatencyMs(s) * float64(e.distance) / 2
	if len(e.inFlight) > 0 {
		// An endpoint with an attempt pending for long is not as fast as it was.
		if age := milliseconds(now.Sub(e.inFlight[0])); age > slowAttemptRatio*latency {
			score += age
		}
	}
	score += float64(e.consecutiveFailures) * latency
	if now.Before(e.reportedUntil) {
		score += reportedPenalty
	}
	// Once an ejection is over, one attempt at a time finds out how the endpoint is.
	onTrial := e.consecutiveFailures >= p.options.ConsecutiveFailures && len(e.inFlight) > 0
	if now.Before(e.ejectedUntil) || onTrial {
		score += ejectedPenalty
	}
	return score
}

// expectedLatencyMs returns the endpoint's latency as measured, which loses
// weight to the median of its service the older it is. The caller holds p.mu.
func (p *Pool) expectedLatencyMs(e *Endpoint, s *service, now time.Time) float64 {
	typical := typicalLatencyMs(s)
	if e.latencyMs <= 0 {
		return typical
	}
	weight := math.Exp(-float64(now.Sub(e.answeredAt)) / float64(p.options.DecayTime))
	return e.latencyMs*weight + typical*(1-weight)
}

// queuedLatency is how long one more request would take at an endpoint: as long
// as the last ones did, or as the endpoint needs for what it is known to have,
// where that is longer. It is 0 where nothing was measured. The caller holds p.mu.
func (p *Pool) queuedLatency(e *Endpoint, s *service, now time.Time) time.Duration {
	percentiles := s.latency.Percentiles()
	if percentiles.P50 == 0 {
		return 0
	}
	measured := time.Duration(p.expectedLatencyMs(e, s, now) * float64(time.Millisecond))
	requests := p.load(e, now) + 1
	return max(measured, percentiles.P10*time.Duration(requests)/time.Duration(e.slots()))
}

// typicalLatencyMs is the median latency of a service.
func typicalLatencyMs(s *service) float64 {
	if median := s.latency.Percentiles().P50; median > 0 {
		return milliseconds(median)
	}
	return unknownLatencyMs
}

// load returns how many requests the endpoint is known to have: those of this
// node, or those that it reported lately, where these are more. A report loses
// weight with age. The caller holds p.mu.
func (p *Pool) load(e *Endpoint, now time.Time) int {
	reported := float64(e.reportedRunning + e.reportedWaiting)
	fresh, stale := p.options.loadFreshFor(), p.options.loadStaleAfter()
	if age := now.Sub(e.loadReportedAt); age > stale {
		reported = 0
	} else if age > fresh {
		reported *= float64(stale-age) / float64(stale-fresh)
	}
	return max(len(e.inFlight), int(reported))
}

// milliseconds returns a duration in milliseconds with fractions.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
