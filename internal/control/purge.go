package control

import (
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// purgeMost bounds how many purges one slot decides, purgeSize an order in bytes.
const (
	maxPurgeBatch = 64
	MaxPurgeBytes = 64 << 10
)

type pendingPurge struct {
	purge consensus.Purge
	// until is when its caller goes on.
	until time.Time
	done  chan bool
}

// HandlePurge takes the operator's purge: agreed by a majority, then
// acknowledged once the caches lately heard hold it, or soon after. A purge has
// no name on the wire, so one that is sent again may purge again: copies are
// dropped and fetched once more, and nothing older comes of it.
func (h *Server) HandlePurge(c *app.RequestContext, until time.Time) {
	if len(c.Request.Body()) > MaxPurgeBytes {
		transport.WriteError(c, 413, "the order is too large")
		return
	}
	o, err := config.ParsePurgeRequest(c.Request.Body())
	if err != nil {
		transport.WriteError(c, 400, err.Error())
		return
	}
	w := &pendingPurge{purge: consensus.Purge{ID: host.RandomID(), Host: o.HostName, Path: o.Path, Tag: o.Tag}, until: until, done: make(chan bool, 1)}
	select {
	case h.purgeQueue <- w:
	default:
		h.host.WriteUnavailable(c, "too many purges wait")
		return
	}
	select {
	case ok := <-w.done:
		if ok && h.waitReplicated(until) {
			h.waitFrontsHold(h.State().Slot, min(h.host.PurgeTime(0.25), time.Until(until)/2))
			transport.WriteJSON(c, 200, map[string]string{"Purged": w.purge.ID})
			return
		}
	case <-h.host.Stopping:
	}
	events.Log(events.PurgeNoQuorum, "host", o.HostName, "path", o.Path, "tag", o.Tag)
	h.host.WriteUnavailable(c, "no majority agreed in time")
}

// purgeLoop decides the purges that wait, many at once.
func (h *Server) purgeLoop() {
	for {
		var batch []*pendingPurge
		select {
		case <-h.host.Stopping:
			return
		case w := <-h.purgeQueue:
			batch = append(batch, w)
		}
		time.Sleep(h.host.PurgeTime(0.02))
		for more := true; more && len(batch) < maxPurgeBatch; {
			select {
			case w := <-h.purgeQueue:
				batch = append(batch, w)
			default:
				more = false
			}
		}
		ok := h.decidePurges(batch)
		for _, w := range batch {
			w.done <- ok[w]
		}
	}
}

// distinctPurges gives the purges of those that wait whose callers have not gone on
// yet, each content once, and for which of them they are.
func distinctPurges(batch []*pendingPurge, now time.Time) (purges []consensus.Purge, of map[*pendingPurge]bool, until time.Time) {
	of = map[*pendingPurge]bool{}
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

// decidePurges has a batch decided and tells whose purges are.
func (h *Server) decidePurges(batch []*pendingPurge) map[*pendingPurge]bool {
	h.proposalLock.Lock()
	defer h.proposalLock.Unlock()
	purges, of, until := distinctPurges(batch, time.Now())
	if len(purges) == 0 {
		return nil
	}
	for try := 0; ; try++ {
		h.proposalLock.YieldToUrgent()
		s := h.State()
		if s.HasPurge(purges[0].ID) {
			events.Log(events.PurgesChosen, "last", s.PurgeSeq, "count", len(purges))
			return of
		}
		if time.Now().After(until) || h.isolated() {
			return nil
		}
		if !h.proposeUntil(s, &consensus.Value{Purges: purges}, until) {
			h.backOff(try)
		}
	}
}

// handleCacheJoin makes a node one of the larders, which changes the parts of all of them.
func (h *Server) handleCacheJoin(l consensus.CacheNode) bool {
	if l.IP == "" {
		return false
	}
	return h.changeCacheNodes(func(list []consensus.CacheNode) []consensus.CacheNode {
		for _, x := range list {
			if x.IP == l.IP {
				return nil
			}
		}
		return append(append([]consensus.CacheNode(nil), list...), l)
	})
}

// changeCacheNodes proposes another list; nil from change means that it is as wanted.
func (h *Server) changeCacheNodes(change func([]consensus.CacheNode) []consensus.CacheNode) bool {
	if !h.proposalLock.LockUrgent(h.host.Heartbeats(0.3)) {
		return false
	}
	defer h.proposalLock.Unlock()
	for try := 0; try < 4; try++ {
		s := h.State()
		if !s.IsVoter(h.acceptor.ID) {
			return false
		}
		list := change(s.CacheNodes)
		if list == nil {
			return true
		}
		if !h.propose(s, &consensus.Value{CacheNodes: list, NoCacheNodes: len(list) == 0}) {
			h.backOff(try)
		}
	}
	return false
}

// removeSilentCacheNodes takes larders off the list that have been silent for CatchUpS; the
// node that polls does it. Long before, such a node has stopped fetching.
func (h *Server) removeSilentCacheNodes() {
	var gone map[string]bool
	h.loop.Call(func() {
		now := h.host.Now()
		long := config.Seconds(h.host.Settings().Bounds.CatchUpS, 1)
		for _, l := range h.acceptor.State.CacheNodes {
			at := h.cacheNodeHeardAt[l.IP]
			for _, f := range h.fronts {
				if f.cacheNode && f.ip == l.IP {
					at = max(at, f.overdueAt)
				}
			}
			for ip, r := range h.peerRosters {
				for _, f := range r.Fronts {
					if f.CacheNode && f.IP == l.IP {
						at = max(at, h.peers.byIP[ip].heardAt)
					}
				}
			}
			h.cacheNodeHeardAt[l.IP] = at
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
	ok := h.changeCacheNodes(func(list []consensus.CacheNode) []consensus.CacheNode {
		left := []consensus.CacheNode{}
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
