package control

import (
	"slices"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/events"
)

// Hearsay: with a request in a second or two, each front would have to find out
// by itself, and late, which searchers do not answer. Fronts tell the hut that
// they watch first; what several tell, it tells all that watch it.

// requiredReporters is how many fronts must get no answer, of all in a zone at least a
// twentieth: one that is slow itself does not speak for the others.
func requiredReporters(here int) int { return max(2, (here+19)/20) }

// unreachableTable is a hut's table of hearsay; it belongs to the hut's desk.
type unreachableTable struct {
	// reports holds who got no answer from a searcher, and when.
	reports map[int64]map[string]time.Duration
	// unreachableUntil holds until when a searcher is told of; seq numbers what is told.
	unreachableUntil map[int64]time.Duration
	revision         int64
}

// onReport takes what a front tells. It returns true when there is something new
// to tell; fresh is how long hearsay counts, and lasts how long it is told.
func (g *unreachableTable) onReport(m nodeapi.UnreachableReport, need int, now, fresh, lasts time.Duration) bool {
	news := false
	for _, e := range m.UnreachableOrdinals {
		if g.reports[e] == nil {
			if len(g.reports) >= 4096 {
				continue
			}
			g.reports[e] = map[string]time.Duration{}
		}
		g.reports[e][m.Name] = now
		n := 0
		for name, at := range g.reports[e] {
			if now-at > fresh {
				delete(g.reports[e], name)
				continue
			}
			n++
		}
		// What is told already is told anew only when it is about to lapse.
		if n >= need && g.unreachableUntil[e]-now < lasts/2 {
			g.unreachableUntil[e] = now + lasts
			news = true
		}
	}
	return news
}

// current lists what is told now, and forgets what has lapsed.
func (g *unreachableTable) current(now, fresh time.Duration) (out []int64) {
	for e, until := range g.unreachableUntil {
		if now >= until {
			delete(g.unreachableUntil, e)
			continue
		}
		out = append(out, e)
	}
	for e, names := range g.reports {
		for name, at := range names {
			if now-at > fresh {
				delete(names, name)
			}
		}
		if len(names) == 0 {
			delete(g.reports, e)
		}
	}
	slices.Sort(out)
	return out
}

// onUnreachableReport takes what a front tells; many words close together go out as
// one. It runs on the desk.
func (h *Server) onUnreachableReport(m nodeapi.UnreachableReport) {
	now := h.host.Now()
	_, here := h.frontsAround(h.fronts[m.Name].zone)
	if !h.unreachable.onReport(m, requiredReporters(here), now, h.host.Heartbeats(2), h.host.UnreachableTTL()) || h.reportScheduled {
		return
	}
	h.reportScheduled = true
	time.AfterFunc(h.host.Heartbeats(0.1), func() {
		h.loop.Submit(func() {
			h.reportScheduled = false
			h.unreachable.revision++
			events.Log(events.UnreachableReported, "searchers", len(h.unreachable.unreachableUntil))
			h.notifyWatchers()
		})
	})
}
