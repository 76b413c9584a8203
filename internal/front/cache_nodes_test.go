package front

import (
	"testing"

	"swiftswitch/internal/consensus"
)

func cacheNodesOf(ips ...string) (nodes []consensus.CacheNode) {
	for _, ip := range ips {
		nodes = append(nodes, consensus.CacheNode{IP: ip})
	}
	return nodes
}

// The shares of all nodes add up to at most 1 at any time: a node that joins
// waits until the others have reduced their shares.
func TestQuotaShare(t *testing.T) {
	none, self, both, other := cacheNodesOf(), cacheNodesOf(testIP), cacheNodesOf(testIP, otherIP), cacheNodesOf(otherIP)
	for name, c := range map[string]struct {
		isCacheNode bool
		heartbeatMs float64
		fronts      int64
		// lists are the lists received, one after the other.
		lists [][]consensus.CacheNode
		share float64
		ok    bool
	}{
		"cache node without a list":        {isCacheNode: true},
		"cache node not listed":            {isCacheNode: true, lists: [][]consensus.CacheNode{other}},
		"listed before this process":       {isCacheNode: true, heartbeatMs: hourMs, lists: [][]consensus.CacheNode{both}, share: 0.5, ok: true},
		"just joined":                      {isCacheNode: true, heartbeatMs: hourMs, lists: [][]consensus.CacheNode{other, both}},
		"joined a while ago":               {isCacheNode: true, lists: [][]consensus.CacheNode{other, both}, share: 0.5, ok: true},
		"another cache node is gone":       {isCacheNode: true, heartbeatMs: hourMs, lists: [][]consensus.CacheNode{both, self}, share: 1, ok: true},
		"joined again after removal":       {isCacheNode: true, heartbeatMs: hourMs, lists: [][]consensus.CacheNode{both, other, both}},
		"front beside a cache node":        {fronts: 4, lists: [][]consensus.CacheNode{other}},
		"front without cache nodes":        {fronts: 4, lists: [][]consensus.CacheNode{none}, share: FrontFetchShare / 4, ok: true},
		"front that just started":          {fronts: 4, heartbeatMs: hourMs, lists: [][]consensus.CacheNode{none}},
		"front without a list":             {fronts: 4},
		"front that knows of no other one": {lists: [][]consensus.CacheNode{none}, share: FrontFetchShare, ok: true},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTestHost(t, c.heartbeatMs)
			watcher := &controlWatcher{}
			watcher.frontCount.Store(c.fronts)
			majority := &majorityContact{host: h}
			majority.record()
			roster := &cacheNodeRoster{host: h, majority: majority, watcher: watcher, isCacheNode: c.isCacheNode}
			for _, list := range c.lists {
				roster.set(list)
			}
			if share, ok := roster.quotaShare(); share != c.share || ok != c.ok {
				t.Errorf("share %v, %v, want %v, %v", share, ok, c.share, c.ok)
			}
		})
	}
}

// A node without contact with a majority stops fetching before the control
// nodes give its share to others. Guards against a removed cache node that
// fetches, once it has started, by the old list of a control node alone.
func TestQuotaShareWithoutMajority(t *testing.T) {
	h := newTestHost(t, 0)
	majority := &majorityContact{host: h}
	roster := &cacheNodeRoster{host: h, majority: majority, watcher: &controlWatcher{}, isCacheNode: true}
	roster.set(cacheNodesOf(testIP))
	if share, ok := roster.quotaShare(); ok {
		t.Fatalf("share %v before the first contact", share)
	}
	majority.record()
	if share, ok := roster.quotaShare(); !ok || share != 1 {
		t.Fatalf("share %v, %v, want 1", share, ok)
	}
	h.Settings().Bounds.CatchUpS = 0
	if share, ok := roster.quotaShare(); ok {
		t.Fatalf("share %v without contact", share)
	}
}
