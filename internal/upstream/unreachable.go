package upstream

import "time"

// minAnsweredPerUnreachable is how many endpoints must have answered this node
// for each that it reports as unreachable. Where fewer did, the node itself is
// taken for partitioned or overloaded.
const minAnsweredPerUnreachable = 3

// UnreachableOrdinals returns the ordinals of the endpoints that did not answer
// this node within the window and have not answered since, or none where the
// fault is likely this node's own.
func (p *Pool) UnreachableOrdinals(window time.Duration) []int64 {
	since := time.Now().Add(-window)
	p.mu.Lock()
	defer p.mu.Unlock()
	answered := 0
	var unreachable []int64
	for _, e := range p.endpoints {
		switch {
		case e.answeredAt.After(e.unansweredAt):
			if e.answeredAt.After(since) {
				answered++
			}
		case e.unansweredAt.After(since):
			unreachable = append(unreachable, e.Ordinal)
		}
	}
	if minAnsweredPerUnreachable*len(unreachable) > answered {
		return nil
	}
	return unreachable
}

// MarkUnreachable notes that other nodes get no answer from the endpoints with
// these ordinals. Until then, or until they answer this node, they are picked
// only where there are no others.
func (p *Pool) MarkUnreachable(ordinals []int64, until time.Time) {
	reported := make(map[int64]bool, len(ordinals))
	for _, ordinal := range ordinals {
		reported[ordinal] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.endpoints {
		if reported[e.Ordinal] {
			e.reportedUntil = until
		}
	}
}
