package upstream

import "time"

// patience, times a service's median, is how long an answer must have stayed
// away before its searcher counts as one that does not answer.
const patience = 4

// Missed lists, by their entries, the searchers that did not answer this node
// within the last span and have not since. Where they are more than a third of
// those that did, the node itself is ill, and it accuses nobody.
func (g *Range) Missed(span time.Duration) (out []int64) {
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

// Tell takes that several others get no answer from these searchers. Until
// then they are asked only where nobody else can be.
func (g *Range) Tell(entries []int64, until time.Time) {
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

// Count is a summary of the searchers as this node sees them.
type Count struct {
	// Open counts connections, Most those to one searcher.
	Open int `json:"Open"`
	Most int `json:"Most"`
	// Silent searchers do not answer this node, Told not others either, as they say.
	Silent int `json:"Silent"`
	Told   int `json:"Told"`
}

// Count sums up.
func (g *Range) Count() (c Count) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		n := len(p.idle) + len(p.inflight)
		c.Open, c.Most = c.Open+n, max(c.Most, n)
		if p.silent {
			c.Silent++
		}
		if now.Before(p.told) {
			c.Told++
		}
	}
	return c
}
