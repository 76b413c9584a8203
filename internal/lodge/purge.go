package lodge

import (
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// purgeMost bounds how many purges one slot decides, purgeSize an order in bytes.
const (
	purgeMost = 64
	purgeSize = 64 << 10
)

type purgeWait struct {
	purge consensus.Purge
	// until is when its caller goes on.
	until time.Time
	done  chan bool
}

// purgeMs is how long a purge may take to be everywhere.
func (n *Node) purgeMs(ratio float64) time.Duration {
	b := n.set().Bounds
	if b.PurgeMs > 0 {
		return config.Milliseconds(b.PurgeMs, ratio)
	}
	return config.Milliseconds(b.ConfigEffectMs, ratio)
}

// handlePurge takes the operator's purge: agreed by a majority, then
// acknowledged once the caches lately heard hold it, or soon after. A purge has
// no name on the wire, so one that is sent again may purge again: copies are
// dropped and fetched once more, and nothing older comes of it.
func (h *hut) handlePurge(c *app.RequestContext, until time.Time) {
	if len(c.Request.Body()) > purgeSize {
		transport.WriteJSON(c, 413, map[string]string{"Error": "the order is too large"})
		return
	}
	o, err := config.ParsePurgeRequest(c.Request.Body())
	if err != nil {
		transport.WriteJSON(c, 400, map[string]string{"Error": err.Error()})
		return
	}
	w := &purgeWait{purge: consensus.Purge{ID: randomName(), Host: o.HostName, Path: o.Path, Tag: o.Tag}, until: until, done: make(chan bool, 1)}
	select {
	case h.purges <- w:
	default:
		h.n.unsettled(c, "too many purges wait")
		return
	}
	select {
	case ok := <-w.done:
		if ok && h.grown(until) {
			h.held(h.state().Slot, min(h.n.purgeMs(0.25), time.Until(until)/2))
			transport.WriteJSON(c, 200, map[string]string{"Purged": w.purge.ID})
			return
		}
	case <-h.n.stop:
	}
	events.Log(events.PurgeNoQuorum, "host", o.HostName, "path", o.Path, "tag", o.Tag)
	h.n.unsettled(c, "no majority agreed in time")
}

// purgeLoop decides the purges that wait, many at once.
func (h *hut) purgeLoop() {
	for {
		var batch []*purgeWait
		select {
		case <-h.n.stop:
			return
		case w := <-h.purges:
			batch = append(batch, w)
		}
		time.Sleep(h.n.purgeMs(0.02))
		for more := true; more && len(batch) < purgeMost; {
			select {
			case w := <-h.purges:
				batch = append(batch, w)
			default:
				more = false
			}
		}
		ok := h.choosePurges(batch)
		for _, w := range batch {
			w.done <- ok[w]
		}
	}
}

// distinct gives the purges of those that wait whose callers have not gone on
// yet, each content once, and for which of them they are.
func distinct(batch []*purgeWait, now time.Time) (purges []consensus.Purge, of map[*purgeWait]bool, until time.Time) {
	of = map[*purgeWait]bool{}
	ids := map[consensus.Purge]string{}
	for _, w := range batch {
		if now.After(w.until) {
			continue
		}
		of[w] = true
		if w.until.After(until) {
			until = w.until
		}
		content := w.purge
		content.ID = ""
		if id, ok := ids[content]; ok {
			w.purge.ID = id
			continue
		}
		ids[content] = w.purge.ID
		purges = append(purges, w.purge)
	}
	return purges, of, until
}

// choosePurges has a batch decided and tells whose purges are.
func (h *hut) choosePurges(batch []*purgeWait) map[*purgeWait]bool {
	h.proposing.Lock()
	defer h.proposing.Unlock()
	purges, of, until := distinct(batch, time.Now())
	if len(purges) == 0 {
		return nil
	}
	for try := 0; ; try++ {
		h.proposing.Yield()
		s := h.state()
		if s.HasPurge(purges[0].ID) {
			events.Log(events.PurgesChosen, "last", s.PurgeSeq, "count", len(purges))
			return of
		}
		if time.Now().After(until) || h.apart() {
			return nil
		}
		if !h.roundBy(s, &consensus.Value{Purges: purges}, until) {
			h.pause(try)
		}
	}
}

// handleEnlist makes a node one of the larders, which changes the parts of all of them.
func (h *hut) handleEnlist(l consensus.Larder) bool {
	if l.IP == "" {
		return false
	}
	return h.changeLarders(func(list []consensus.Larder) []consensus.Larder {
		for _, x := range list {
			if x.IP == l.IP {
				return nil
			}
		}
		return append(append([]consensus.Larder(nil), list...), l)
	})
}

// changeLarders proposes another list; nil from change means that it is as wanted.
func (h *hut) changeLarders(change func([]consensus.Larder) []consensus.Larder) bool {
	if !h.proposing.LockFirst(h.n.heartbeat(0.3)) {
		return false
	}
	defer h.proposing.Unlock()
	for try := 0; try < 4; try++ {
		s := h.state()
		if !s.Votes(h.acc.ID) {
			return false
		}
		list := change(s.Larders)
		if list == nil {
			return true
		}
		if !h.round(s, &consensus.Value{Larders: list, NoLarders: len(list) == 0}) {
			h.pause(try)
		}
	}
	return false
}

// strike takes larders off the list that have been silent for CatchUpS; the
// node that polls does it. Long before, such a node has stopped fetching.
func (h *hut) strike() {
	var gone map[string]bool
	h.desk.ask(func() {
		now := h.n.steady()
		long := config.Seconds(h.n.set().Bounds.CatchUpS, 1)
		for _, l := range h.acc.State.Larders {
			at := h.keepers[l.IP]
			for _, f := range h.fronts {
				if f.larder && f.ip == l.IP {
					at = max(at, f.until)
				}
			}
			for ip, r := range h.rolls {
				for _, f := range r.Fronts {
					if f.Keeps && f.IP == l.IP {
						at = max(at, h.others[ip].at)
					}
				}
			}
			h.keepers[l.IP] = at
			if now-at > long {
				if gone == nil {
					gone = map[string]bool{}
				}
				gone[l.IP] = true
			}
		}
	})
	if gone == nil {
		return
	}
	ok := h.changeLarders(func(list []consensus.Larder) []consensus.Larder {
		left := []consensus.Larder{}
		for _, l := range list {
			if !gone[l.IP] {
				left = append(left, l)
			}
		}
		if len(left) == len(list) {
			return nil
		}
		return left
	})
	events.Log(events.CacheNodesRemoved, "count", len(gone), "done", ok)
}
