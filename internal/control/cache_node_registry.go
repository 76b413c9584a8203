package control

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

const (
	// cacheNodesLockTimeout, in heartbeats, bounds the wait for the proposal lock.
	cacheNodesLockTimeout = 0.3
	// maxCacheNodesAttempts bounds the attempts to have a list decided.
	maxCacheNodesAttempts = 4
)

// cacheNodeRegistry changes the list of cache nodes that the log decides. The
// objects are spread over the nodes on the list, so each change moves the
// responsibility for some.
type cacheNodeRegistry struct {
	server *Server
	// heardAt is when each cache node was last known to run, by address. It is
	// owned by Server.loop.
	heardAt map[string]time.Duration
}

func newCacheNodeRegistry(s *Server) *cacheNodeRegistry {
	return &cacheNodeRegistry{server: s, heardAt: map[string]time.Duration{}}
}

// join puts a node on the list, and reports whether it is there.
func (r *cacheNodeRegistry) join(node consensus.CacheNode) bool {
	if node.IP == "" {
		return false
	}
	always := func() bool { return true }
	return r.change(always, func(list []consensus.CacheNode) []consensus.CacheNode {
		if slices.ContainsFunc(list, func(n consensus.CacheNode) bool { return n.IP == node.IP }) {
			return list
		}
		return append(slices.Clone(list), node)
	})
}

// removeSilent takes nodes off the list that were not heard for CatchUpS. The
// holder of the poll lease calls it, under an epoch that it must still hold when
// it proposes the list: another holder may hear these nodes. Long before, such a
// node has stopped to fetch objects by itself.
func (r *cacheNodeRegistry) removeSilent(epoch int64) {
	var silent []string
	r.server.loop.Call(func() { silent = r.silent() })
	if len(silent) == 0 {
		return
	}
	holdsLease := func() bool { return r.server.pollLease.holdsEpoch(epoch) }
	done := r.change(holdsLease, func(list []consensus.CacheNode) []consensus.CacheNode {
		return slices.DeleteFunc(slices.Clone(list), func(n consensus.CacheNode) bool { return slices.Contains(silent, n.IP) })
	})
	events.Log(events.CacheNodesRemoved, "count", len(silent), "done", done)
}

// silent lists the addresses of cache nodes that were not heard for CatchUpS. It
// runs on Server.loop.
func (r *cacheNodeRegistry) silent() (ips []string) {
	host := r.server.host
	now := host.Now()
	// A process that was paused heard nobody meanwhile.
	listeningSince := r.server.peers.detector.ListeningSince(now)
	timeout := config.Seconds(host.Settings().Bounds.CatchUpS, 1)
	for _, node := range r.server.acceptor.State.CacheNodes {
		// What was heard stays noted: the watcher may be forgotten before the timeout.
		heardAt := max(r.heardAt[node.IP], r.server.fronts.cacheNodeHeardAt(node.IP))
		r.heardAt[node.IP] = heardAt
		if now-max(heardAt, listeningSince) > timeout {
			ips = append(ips, node.IP)
		}
	}
	return ips
}

// change proposes the list that update makes of the decided one, while mayPropose,
// and reports whether the decided list is as update wants it. update must not modify its
// argument; it is called anew for each state that the proposal is based on.
func (r *cacheNodeRegistry) change(mayPropose func() bool, update func([]consensus.CacheNode) []consensus.CacheNode) bool {
	s := r.server
	if !s.proposalLock.LockUrgent(s.host.Heartbeats(cacheNodesLockTimeout)) {
		return false
	}
	defer s.proposalLock.Unlock()
	for attempt := 0; attempt < maxCacheNodesAttempts; attempt++ {
		state := s.State()
		if !state.IsVoter(s.acceptor.ID) || !mayPropose() {
			return false
		}
		list := update(state.CacheNodes)
		if len(list) == len(state.CacheNodes) {
			return true
		}
		if !s.propose(state, &consensus.Value{CacheNodes: list, NoCacheNodes: len(list) == 0}) {
			s.backOff(attempt)
		}
	}
	return false
}
