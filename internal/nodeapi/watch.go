package nodeapi

import (
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/relay"
)

// WatchRequest is a long poll on PathWatch, sent by each front and cache node
// to the control nodes that it watches. The receiver holds the call until it
// knows something that the sender lacks, at most for MaxHoldMs.
//
// One of the control nodes watched is the sender's primary. It sends changes
// of the endpoint table and the unreachable endpoints; the others are watched
// with OmitTable as long as the sender is not behind them, and announce only
// that there is something new.
type WatchRequest struct {
	// Name, IP and Zone are the sender's.
	Name string `json:"Name"`
	IP   string `json:"IP"`
	// Slot is the last decided slot whose configuration the sender holds.
	Slot int64 `json:"Slot"`
	// Stamp orders the endpoint table that the sender holds.
	Stamp endpoints.Stamp `json:"Stamp"`
	Zone  string          `json:"Zone,omitempty"`
	// Ready reports whether fronts of other zones may relay requests to the sender.
	Ready bool `json:"Ready,omitempty"`
	// UnreachableCount is the number of listed endpoints that the sender gets
	// no answer from.
	UnreachableCount int `json:"Out,omitempty"`
	// MaxHoldMs bounds how long the receiver may hold the call.
	MaxHoldMs int64 `json:"HoldMs"`
	// KnownPurge is the number of the last purge that the sender knows. Below 0
	// it holds no cached objects yet and wants only the newest number.
	KnownPurge int64 `json:"Purge"`
	// RolloutSlot is the slot up to which the sender knows all rollouts, below
	// 0 if it knows none.
	RolloutSlot int64 `json:"Rolled"`
	// OmitTable asks for the table's stamp without the table itself.
	OmitTable bool `json:"Brief,omitempty"`
	// Primary reports that the receiver is the sender's primary control node,
	// which lists it in its FrontRoster.
	Primary bool `json:"First,omitempty"`
	// IsCacheNode reports that the sender caches objects and serves no clients.
	IsCacheNode bool `json:"Larder,omitempty"`
	// WantRoster asks for some ready fronts of each other zone.
	WantRoster bool `json:"Roster,omitempty"`
	// UnreachableRevision is the revision of the unreachable endpoints that
	// the sender was last sent by its primary.
	UnreachableRevision int64 `json:"Heard,omitempty"`
	// Locate asks for the addresses of the control nodes alone, at once.
	Locate bool `json:"Hello,omitempty"`
}

// WatchResponse is a control node's answer to a WatchRequest.
type WatchResponse struct {
	// Zone is the answering node's.
	Zone string `json:"Zone"`
	// LacksMajority reports that the answering node has not heard a majority
	// of the voters lately. What it says may then be out of date.
	LacksMajority bool `json:"Lone,omitempty"`
	// ConfirmedAfterMs is when Version was last certain to be the newest, in
	// milliseconds from the arrival of the request; below 0 it is before that.
	// Unconfirmed reports that it never was since the answering node started.
	// Neither counts where LacksMajority is set; an earlier program sends none.
	ConfirmedAfterMs int64 `json:"ConfirmedAfterMs,omitempty"`
	Unconfirmed      bool  `json:"Unconfirmed,omitempty"`
	// Slot, Version and Stamp are those of the newest state, configuration and
	// endpoint table that the answering node holds. The watcher fetches a
	// newer configuration with a VersionRequest.
	Slot    int64           `json:"Slot"`
	Version int64           `json:"Version"`
	Stamp   endpoints.Stamp `json:"Stamp"`
	// Delta is a gzipped endpoints.Delta from WatchRequest.Stamp to Stamp.
	Delta []byte `json:"Delta,omitempty"`
	// FrontCount is the number of fronts in the cluster. FrontsInRegion and
	// FrontsInZone count those in the watcher's region and zone.
	FrontCount     int `json:"Fronts"`
	FrontsInRegion int `json:"Around,omitempty"`
	FrontsInZone   int `json:"Here,omitempty"`
	// ControlNodes are the voters' nodes, nil if they were not asked for and
	// the watcher is up to date. CacheNodes goes along with it.
	ControlNodes []ControlNode `json:"Huts"`
	// Roster answers WatchRequest.WantRoster.
	Roster []relay.Front `json:"Roster,omitempty"`
	// UnreachableOrdinals are the endpoints, by their ordinals in the table,
	// that several fronts get no answer from. UnreachableRevision numbers
	// their changes.
	UnreachableOrdinals []int64 `json:"Dark,omitempty"`
	UnreachableRevision int64   `json:"Heard,omitempty"`
	// PurgeSeq is the number of the last purge, CompactedPurgeSeq that of the
	// last one that is no longer listed anywhere. Purges are those after
	// WatchRequest.KnownPurge.
	PurgeSeq          int64                 `json:"Purge,omitempty"`
	CompactedPurgeSeq int64                 `json:"Floor,omitempty"`
	Purges            []consensus.Purge     `json:"Purges,omitempty"`
	CacheNodes        []consensus.CacheNode `json:"Larders,omitempty"`
	// Rollouts are the orders that changed after WatchRequest.RolloutSlot.
	// With them the watcher knows all rollouts up to RolloutSlot.
	Rollouts    []consensus.Rollout `json:"Rollouts,omitempty"`
	RolloutSlot int64               `json:"RolledTo"`
}

// ControlNode is the address of a control node and its zone, empty if unknown.
type ControlNode struct {
	IP   string `json:"IP"`
	Zone string `json:"Zone,omitempty"`
}

// FrontRoster is a control node's answer on PathFrontRoster to another one:
// the watchers that have it as their primary. The rosters of all control nodes
// together list every front once.
type FrontRoster struct {
	// Revision changes with the roster, and with the process that keeps it.
	Revision int64         `json:"Roll"`
	Fronts   []relay.Front `json:"Fronts,omitempty"`
}

// UnreachableReport is sent by a front to its primary control node on
// PathUnreachable, after requests got no answer. The primary passes endpoints
// on, in WatchResponse.UnreachableOrdinals, that several fronts reported.
type UnreachableReport struct {
	// Name is the front's node name.
	Name                string  `json:"Name"`
	UnreachableOrdinals []int64 `json:"Dark"`
}
