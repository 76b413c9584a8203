package upstream

import "time"

// patience, times a service's median, is how long an answer must have stayed
// away before its searcher counts as one that does not answer.
const patience = 4

// UnreachableOrdinals lists, by their entries, the searchers that did not answer this node
// within the last span and have not since. Where they are more than a third of
// those that did, the node itself is ill, and it accuses nobody.
func (g *Pool) UnreachableOrdinals(span time.Duration) (out []int64) {
	since := time.Now().Add(-span)
	g.mu.Lock()
	defer g.mu.Unlock()
	answered := 0
	for _, p := range g.peers {
		switch {
		case p.sample.After(p.missedAt):
			if p.sample.After(since) {
				answered++
			}
		case p.missedAt.After(since):
			out = append(out, p.Ordinal)
		}
	}
	if 3*len(out) > answered {
		return nil
	}
	return out
}

// MarkUnreachable takes that several others get no answer from these searchers. Until
// then they are asked only where nobody else can be.
func (g *Pool) MarkUnreachable(entries []int64, until time.Time) {
	dark := map[int64]bool{}
	for _, e := range entries {
		dark[e] = true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if dark[p.Ordinal] {
			p.told = until
		}
	}
}

// Stats is a summary of the searchers as this node sees them.
type Stats struct {
	// OpenConnections counts connections, Most those to one searcher.
	OpenConnections int `json:"Open"`
	MaxPerEndpoint  int `json:"Most"`
	// Unhealthy searchers do not answer this node, Told not others either, as they say.
	Unhealthy           int `json:"Silent"`
	ReportedUnreachable int `json:"Told"`
}

// Stats sums up.
func (g *Pool) Stats() (c Stats) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		n := len(p.idle) + len(p.inflight)
		c.OpenConnections, c.MaxPerEndpoint = c.OpenConnections+n, max(c.MaxPerEndpoint, n)
		if p.silent {
			c.Unhealthy++
		}
		if now.Before(p.told) {
			c.ReportedUnreachable++
		}
	}
	return c
}
