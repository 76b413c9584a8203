package control_test

import (
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/testcluster"
)

// Guards against cache nodes that are taken off the list, while they still fetch
// objects, by a node that was paused or does not hold the lease any more.
func TestCacheNodesAreRemovedUnderTheLeaseOnly(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	w.Eventually("it holds the lease", func() bool { return h.Status().HoldsLease })
	epoch := h.Status().LeaseEpoch
	isListed := func() bool { return len(h.State().CacheNodes) == 1 }
	if !h.JoinCacheNode(consensus.CacheNode{Name: "c", IP: w.IP(9), Zone: "z1"}) || !isListed() {
		t.Fatal("it did not join")
	}
	catchUp := time.Duration(h.Host().Settings().Bounds.CatchUpS * float64(time.Second))
	h.Loop().Call(func() {
		h.SetDetector(membership.NewFailureDetector(h.Host().Heartbeats(1), h.Host().Now()))
	})
	h.RemoveSilentCacheNodes(epoch)
	if !isListed() {
		t.Fatal("a node that was paused just now removed it")
	}
	// A draining node does not poll and lets its lease lapse.
	h.Host().Draining.Store(true)
	time.Sleep(catchUp + 100*time.Millisecond)
	h.RemoveSilentCacheNodes(epoch)
	if !isListed() {
		t.Fatal("a node removed it under a lease that lapsed")
	}
	h.Host().Draining.Store(false)
	w.Eventually("it is removed under the lease", func() bool { return !isListed() })
}
