package shardmap

import "time"

// Slot is an endpoint's hold on a shard: while it has one, it serves queries.
type Slot struct {
	EndpointID string
	// LeaseEnd is when the slot of an endpoint that fell silent may be given to
	// a standby.
	LeaseEnd time.Duration
	// Ready: the endpoint's shard is loaded, as far as is known.
	Ready bool
}

// FreeReason says why a slot was freed. The text is logged.
type FreeReason string

// The reasons.
const (
	// FreedGone: the endpoint drains, or is no longer listed.
	FreedGone FreeReason = "drains or gone"
	// FreedLeaseEnded: the endpoint stayed silent until its lease ended.
	FreedLeaseEnded FreeReason = "lease ended"
)

// FreedSlot names a slot that its endpoint lost.
type FreedSlot struct {
	Shard      string
	EndpointID string
	Reason     FreeReason
}

// slotKey names the slots of one shard for one version of its endpoints. The
// empty version stands for any.
type slotKey struct{ shard, version string }
