package lodge

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/events"
)

// Hearsay: with a request in a second or two, each front would have to find out
// by itself, and late, which searchers do not answer. Fronts tell the hut that
// they watch first; what several tell, it tells all that watch it.

// hearsay is what a front tells: the entries of searchers that did not answer it.
type hearsay struct {
	Name string
	Dark []int64
}

// accusers is how many fronts must get no answer, of all in a zone at least a
// twentieth: one that is slow itself does not speak for the others.
func accusers(here int) int { return max(2, (here+19)/20) }

// gossip is a hut's table of hearsay; it belongs to the hut's desk.
type gossip struct {
	// said holds who got no answer from a searcher, and when.
	said map[int64]map[string]time.Duration
	// dark holds until when a searcher is told of; seq numbers what is told.
	dark map[int64]time.Duration
	seq  int64
}

// hear takes what a front tells. It returns true when there is something new
// to tell; fresh is how long hearsay counts, and lasts how long it is told.
func (g *gossip) hear(m hearsay, need int, now, fresh, lasts time.Duration) bool {
	news := false
	for _, e := range m.Dark {
		if g.said[e] == nil {
			if len(g.said) >= 4096 {
				continue
			}
			g.said[e] = map[string]time.Duration{}
		}
		g.said[e][m.Name] = now
		n := 0
		for name, at := range g.said[e] {
			if now-at > fresh {
				delete(g.said[e], name)
				continue
			}
			n++
		}
		// What is told already is told anew only when it is about to lapse.
		if n >= need && g.dark[e]-now < lasts/2 {
			g.dark[e] = now + lasts
			news = true
		}
	}
	return news
}

// tell lists what is told now, and forgets what has lapsed.
func (g *gossip) tell(now, fresh time.Duration) (out []int64) {
	for e, until := range g.dark {
		if now >= until {
			delete(g.dark, e)
			continue
		}
		out = append(out, e)
	}
	for e, names := range g.said {
		for name, at := range names {
			if now-at > fresh {
				delete(names, name)
			}
		}
		if len(names) == 0 {
			delete(g.said, e)
		}
	}
	slices.Sort(out)
	return out
}

// handleHearsay takes what a front tells; many words close together go out as
// one. It runs on the desk.
func (h *hut) handleHearsay(m hearsay) {
	now := h.n.steady()
	_, here := h.around(h.fronts[m.Name].zone)
	if !h.gossip.hear(m, accusers(here), now, h.n.heartbeat(2), h.n.hearsayLasts()) || h.spreading {
		return
	}
	h.spreading = true
	time.AfterFunc(h.n.heartbeat(0.1), func() {
		h.desk.post(func() {
			h.spreading = false
			h.gossip.seq++
			events.Log(events.UnreachableReported, "searchers", len(h.gossip.dark))
			h.announce()
		})
	})
}

// hearsayLasts is how long hearsay keeps requests away from a searcher.
func (n *Node) hearsayLasts() time.Duration {
	return config.Milliseconds(n.set().Bounds.InTouchMs, 0.5)
}

// hearsayLoop tells the hut watched first of searchers that did not answer.
func (t *trail) hearsayLoop() {
	for {
		select {
		case <-t.n.stop:
			return
		case <-t.missed:
		}
		// Others of the same request come in together.
		time.Sleep(t.n.heartbeat(0.05))
		dark := t.rng.Missed(t.n.heartbeat(1))
		to := ""
		t.desk.ask(func() {
			if len(t.picked) > 0 {
				to = t.picked[0]
			}
		})
		if len(dark) == 0 || to == "" {
			continue
		}
		_ = t.n.call.CallJSON(t.n.set().InternalAddress(to), pathHearsay, hearsay{t.n.set().NodeName, dark}, nil, t.n.heartbeat(0.5))
		time.Sleep(t.n.heartbeat(0.2))
	}
}
