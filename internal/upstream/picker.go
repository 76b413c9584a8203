package upstream

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// candidate is an endpoint that Pick may return.
type candidate struct {
	endpoint *Endpoint
	score    float64
}

// Pick returns the endpoint that is expected to answer first among those
// selected, without those in exclude, and the start of the attempt; it returns
// nil where there is none. The attempt counts as under way: Do or CancelPick
// must follow. With spareOnly, an endpoint that is known to have no free slot is
// not returned.
func (p *Pool) Pick(selector Selector, exclude []*Endpoint, spareOnly bool) (*Endpoint, time.Time) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.service(selector.Service)
	subset := p.subset(s, selector.Version, now)
	p.candidates = p.candidates[:0]
	best := candidate{score: math.Inf(1)}
	for _, e := range s.endpoints {
		if !selector.matches(e) || slices.Contains(exclude, e) {
			continue
		}
		if limit := p.connectionLimit(e, s, subset, now); limit >= 0 && len(e.inFlight) >= limit {
			continue
		}
		if spareOnly && p.load(e, now) >= e.slots() {
			continue
		}
		c := candidate{endpoint: e, score: p.score(e, s, now)}
		if best.endpoint == nil || c.score < best.score {
			best = c
		}
		if c.score < ejectedPenalty {
			p.addCandidate(c)
		}
	}
	if len(p.candidates) >= p.options.TwoChoicesThreshold {
		best = p.betterOfTwo()
	}
	if best.endpoint == nil {
		return nil, now
	}
	best.endpoint.inFlight = append(best.endpoint.inFlight, now)
	return best.endpoint, now
}

// CancelPick takes back a Pick that no attempt follows.
func (p *Pool) CancelPick(e *Endpoint, start time.Time) {
	p.mu.Lock()
	e.endAttempt(start)
	p.mu.Unlock()
}

// addCandidate adds c unless a nearer candidate is known; only the nearest stay.
// The caller holds p.mu.
func (p *Pool) addCandidate(c candidate) {
	if len(p.candidates) > 0 {
		nearest := p.candidates[0].endpoint.distance
		if c.endpoint.distance > nearest {
			return
		}
		if c.endpoint.distance < nearest {
			p.candidates = p.candidates[:0]
		}
	}
	p.candidates = append(p.candidates, c)
}

// betterOfTwo returns the better of two random candidates, of which there must
// be two at least. All fronts know about the same: if each took the best, they
// would herd on it (M. Mitzenmacher, "The Power of Two Choices in Randomized
// Load Balancing", 2001). The caller holds p.mu.
func (p *Pool) betterOfTwo() candidate {
	i, j := rand.IntN(len(p.candidates)), rand.IntN(len(p.candidates)-1)
	if j >= i {
		j++
	}
	if p.candidates[j].score < p.candidates[i].score {
		return p.candidates[j]
	}
	return p.candidates[i]
}
