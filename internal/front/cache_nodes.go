package front

import (
	"slices"
	"sync/atomic"
	"time"

	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/host"
)

// FrontFetchShare is the part of a service's rate limit that all fronts share
// while there is no cache node.
const FrontFetchShare = 0.5

// Delays before a node may use a share of the rate limits, in heartbeat intervals.
const (
	// joinDelayHeartbeats: the other cache nodes learn of a new one within it,
	// and reduce their shares.
	joinDelayHeartbeats = 2
	// frontFetchDelayHeartbeats: a front that just started may not know the
	// cache nodes yet.
	frontFetchDelayHeartbeats = 4
)

// cacheNodeList is the agreed list of cache nodes, as one node sees it. It is
// never changed.
type cacheNodeList struct {
	nodes []consensus.CacheNode
	// isMember: the list holds this node.
	isMember bool
	// joinedAt is when this process saw its node join the list. It does not
	// count if the node was on the first list seen (inherited): then it joined
	// in an earlier incarnation, and no other node has its share.
	joinedAt  time.Duration
	inherited bool
}

// cacheNodeRoster holds the list of cache nodes and derives this node's share
// of the services' rate limits from it.
type cacheNodeRoster struct {
	host        *host.Host
	majority    *majorityContact
	watcher     *controlWatcher
	isCacheNode bool
	// current is nil until a list was received. Only the server's loop stores it.
	current atomic.Pointer[cacheNodeList]
}

// set replaces the list. It runs on the server's loop.
func (r *cacheNodeRoster) set(nodes []consensus.CacheNode) {
	previous := r.current.Load()
	next := &cacheNodeList{nodes: nodes}
	ip := r.host.Settings().IpAddress
	next.isMember = slices.ContainsFunc(nodes, func(node consensus.CacheNode) bool { return node.IP == ip })
	switch {
	case !next.isMember:
	case previous == nil:
		next.inherited = true
	case previous.isMember:
		next.joinedAt, next.inherited = previous.joinedAt, previous.inherited
	default:
		next.joinedAt = r.host.Now()
	}
	r.current.Store(next)
}

// nodes returns the agreed cache nodes; ok is false until a list was received.
func (r *cacheNodeRoster) nodes() (nodes []consensus.CacheNode, ok bool) {
	list := r.current.Load()
	if list == nil {
		return nil, false
	}
	return list.nodes, true
}

// isMember reports whether the agreed list holds this node.
func (r *cacheNodeRoster) isMember() bool {
	list := r.current.Load()
	return list != nil && list.isMember
}

// quotaShare returns this node's part of each service's rate limit; ok is
// false while it must not fetch. The shares of all nodes add up to at most 1:
// a node stops fetching once it had no contact with a majority for a while,
// before the control nodes count it as gone and the others take its share.
func (r *cacheNodeRoster) quotaShare() (share float64, ok bool) {
	list := r.current.Load()
	if list == nil {
		return 0, false
	}
	now, silence := r.majority.clock()
	if silence > config.Seconds(r.host.Settings().Bounds.CatchUpS, cachenode.MaxSilenceBeforePause) {
		return 0, false
	}
	if r.isCacheNode {
		return r.cacheNodeShare(list, now)
	}
	return r.frontShare(list, now)
}

// cacheNodeShare is the share of a cache node. One that joined waits until the
// others have reduced theirs.
func (r *cacheNodeRoster) cacheNodeShare(list *cacheNodeList, now time.Duration) (share float64, ok bool) {
	isJoining := !list.inherited && now-list.joinedAt < r.host.Heartbeats(joinDelayHeartbeats)
	if !list.isMember || isJoining {
		return 0, false
	}
	return 1 / float64(len(list.nodes)), true
}

// frontShare is the share of a front, which fetches only while there is no
// cache node.
func (r *cacheNodeRoster) frontShare(list *cacheNodeList, now time.Duration) (share float64, ok bool) {
	if len(list.nodes) > 0 || now < r.host.Heartbeats(frontFetchDelayHeartbeats) {
		return 0, false
	}
	return FrontFetchShare / float64(max(1, r.watcher.frontCount.Load())), true
}
