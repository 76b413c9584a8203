package nodeapi

import (
	"strings"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
)

// Paths of the calls between nodes.
const (
	PathConsensus     = "/rope/cairn"
	PathLearn         = "/rope/learn"
	PathState         = "/rope/state"
	PathVersion       = "/rope/version"
	PathHeartbeat     = "/rope/beat"
	PathTable         = "/rope/table"
	PathJoin          = "/rope/join"
	PathSilentVoters  = "/rope/silent"
	PathPersist       = "/rope/keep"
	PathWatch         = "/rope/watch"
	PathShuffle       = "/rope/shuffle"
	PathFrontRoster   = "/rope/roll"
	PathCacheFetch    = "/rope/larder"
	PathCacheJoin     = "/rope/enlist"
	PathPeek          = "/rope/peek"
	PathRelay         = "/rope/saddle"
	PathLease         = "/rope/bid"
	PathTableFetch    = "/rope/fetch"
	PathUnreachable   = "/rope/hearsay"
	PathRolloutReport = "/rope/tally"
	PathRolloutTotals = "/rope/ledger"
	PathStatus        = "/rope/status"
	PathConfiguration = "/-/configuration"
	PathPurge         = "/-/purge"
	PathRollouts      = "/-/rollouts"
)

// LearnRequest tells that a slot is decided: by a ballot whose value the
// receiver may have accepted itself, or with what it lacks.
type LearnRequest struct {
	Slot   int64            `json:"Slot"`
	Ballot consensus.Ballot `json:"Ballot"`
	Delta  *StateDelta      `json:"News,omitempty"`
}

// LearnResponse names the last slot that is on the receiver's disk.
type LearnResponse struct {
	DurableSlot int64 `json:"Slot"`
}

// PeekResponse is what a read of the newest version asks voters for.
type PeekResponse struct {
	AcceptorID  string `json:"ID"`
	DecidedSlot int64  `json:"Slot"`
	// HasAccepted: something was accepted for the open slot.
	HasAccepted bool `json:"Begun"`
}

// StateRequest asks for news by whoever is at a slot, or at cairn.Nothing.
type StateRequest struct {
	Slot int64 `json:"Slot"`
}

// VersionRequest asks for the newest version; who holds an older one is sent the
// difference, if that is still known.
type VersionRequest struct {
	Version int64 `json:"Version"`
}

// HeaderVersion tells which version the gzipped body of an answer holds, by
// which slot, and how many milliseconds ago that was decided. Where From is
// above 0 the body is only what changed since that version.
const HeaderVersion = "Swiftswitch-Version"

type VersionResponse struct {
	Slot        int64               `json:"Slot"`
	Version     int64               `json:"Version"`
	AgeMs       int64               `json:"AgeMs"`
	BaseVersion int64               `json:"From,omitempty"`
	Removed     map[string][]string `json:"Gone,omitempty"`
}

type Heartbeat struct {
	ID string `json:"ID"`
	IP string `json:"IP"`
	// DecidedSlot is the last decided slot that the node knows, Kept the last that it
	// has on disk.
	DecidedSlot int64           `json:"Slot"`
	DurableSlot int64           `json:"Kept"`
	Epoch       int64           `json:"Epoch"`
	Holder      string          `json:"Holder"`
	Stamp       endpoints.Stamp `json:"Stamp"`
	Zone        string          `json:"Zone"`
	Draining    bool            `json:"Leaving,omitempty"`
	// Ineligible: the node hears no majority, or was granted nothing; it can't have a duty.
	Ineligible bool `json:"Unfit,omitempty"`
	// FrontCount is how many fronts the node counts.
	FrontCount int `json:"Fronts,omitempty"`
	// Renewals are the leases that the sender holds, by duty; Granted are those
	// that the answering node renewed.
	Renewals     map[string]LeaseRenewal `json:"Renews,omitempty"`
	GrantedRoles []string                `json:"Granted,omitempty"`
	// ElapsedMs tells, by order, how many milliseconds of a rollout's term are over.
	ElapsedMs map[int64]int64 `json:"Spent,omitempty"`
	// RosterRevision is the state of the list of fronts that watch this hut first; who
	// lacks that asks for the list.
	RosterRevision int64 `json:"Roll"`
}

// LeaseRenewal is a bid whose holder is the sender.
type LeaseRenewal struct {
	Epoch       int64 `json:"Epoch"`
	Incarnation int64 `json:"Life"`
	VotersSlot  int64 `json:"VotersSlot,omitempty"`
}

// LeaseRequest asks a voter for a duty's lease, or gives it back.
type LeaseRequest struct {
	Request lease.Request `json:"Bid"`
	Release bool          `json:"Release,omitempty"`
}

// LeaseResponse is the voter's answer, and the newest table that it holds.
type LeaseResponse struct {
	Grant lease.Response  `json:"Grant"`
	Stamp endpoints.Stamp `json:"Stamp"`
}

// TableFetchRequest asks for what changed in the table since the one held.
type TableFetchRequest struct {
	Stamp endpoints.Stamp `json:"Stamp"`
}

type TableFetchResponse struct {
	Delta []byte `json:"Delta,omitempty"`
}

// FrontRoster lists the fronts that watch a hut before others.
type FrontRoster struct {
	Revision int64         `json:"Roll"`
	Fronts   []relay.Front `json:"Fronts,omitempty"`
}

// ControlNode is a hut and its place.
type ControlNode struct {
	IP   string `json:"IP"`
	Zone string `json:"Zone,omitempty"`
}

type JoinRequest struct {
	ID string `json:"ID"`
	IP string `json:"IP"`
	// DurableSlot is the last decided slot that the node has on disk.
	DurableSlot int64 `json:"Slot"`
}

type JoinResponse struct {
	IsVoter     bool  `json:"Votes"`
	DecidedSlot int64 `json:"Slot"`
}

// TableRequest brings another hut what changed in the table; tableSay tells which
// table it has then.
type TableRequest struct {
	Delta []byte `json:"Delta"`
}

type TableResponse struct {
	Stamp endpoints.Stamp `json:"Stamp"`
}

type WatchRequest struct {
	Name  string          `json:"Name"`
	IP    string          `json:"IP"`
	Slot  int64           `json:"Slot"`
	Stamp endpoints.Stamp `json:"Stamp"`
	// Zone and Ready: other fronts may ask this one to gather for them.
	Zone  string `json:"Zone,omitempty"`
	Ready bool   `json:"Ready,omitempty"`
	// UnreachableCount is how many listed searchers have fallen silent for this front.
	UnreachableCount int `json:"Out,omitempty"`
	// MaxHoldMs is how long the front lets the hut hold the call.
	MaxHoldMs int64 `json:"HoldMs"`
	// PurgeSeq is the last that the node knows of; below 0 it asks for the last
	// purge's number alone.
	PurgeSeq int64 `json:"Purge"`
	// RolloutSlot is the slot up to which the node knows the rollouts, below 0 none.
	RolloutSlot int64 `json:"Rolled"`
	// OmitTable: the table itself is not wanted, only word of it.
	OmitTable bool `json:"Brief,omitempty"`
	// Primary: the node watches this hut before others, and is on its roll.
	Primary bool `json:"First,omitempty"`
	// IsCacheNode: the node serves no clients, it keeps copies.
	IsCacheNode bool `json:"Larder,omitempty"`
	// WantRoster: the node wants to know some fronts of each zone.
	WantRoster bool `json:"Roster,omitempty"`
	// UnreachableRevision is the last hearsay that the node was told.
	UnreachableRevision int64 `json:"Heard,omitempty"`
	// Locate: the node wants to know at once where the huts are, and nothing else.
	Locate bool `json:"Hello,omitempty"`
}

type WatchResponse struct {
	Zone string `json:"Zone"`
	// LacksMajority: this hut has not heard a majority of the voters lately.
	LacksMajority bool            `json:"Lone,omitempty"`
	Slot          int64           `json:"Slot"`
	Version       int64           `json:"Version"`
	Stamp         endpoints.Stamp `json:"Stamp"`
	// Delta is what changed in the table since the one held, packed.
	Delta []byte `json:"Delta,omitempty"`
	// FrontCount is how many fronts there are, Around in the asker's region, Here in its zone.
	FrontCount     int           `json:"Fronts"`
	FrontsInRegion int           `json:"Around,omitempty"`
	FrontsInZone   int           `json:"Here,omitempty"`
	ControlNodes   []ControlNode `json:"Huts"`
	// Roster lists some fronts of each zone that are ready.
	Roster []relay.Front `json:"Roster,omitempty"`
	// UnreachableOrdinals are searchers that several fronts get no answer from, by their
	// entries; Heard numbers what was told.
	UnreachableOrdinals []int64 `json:"Dark,omitempty"`
	UnreachableRevision int64   `json:"Heard,omitempty"`
	// PurgeSeq is the last purge's number, Floor the last that nobody holds any
	// more; Purges are those that the asker lacks.
	PurgeSeq          int64                 `json:"Purge,omitempty"`
	CompactedPurgeSeq int64                 `json:"Floor,omitempty"`
	Purges            []consensus.Purge     `json:"Purges,omitempty"`
	CacheNodes        []consensus.CacheNode `json:"Larders,omitempty"`
	// Rollouts are the orders that changed since the slot that the asker knows
	// them up to, RolledTo the slot that it knows them up to then.
	Rollouts    []consensus.Rollout `json:"Rollouts,omitempty"`
	RolloutSlot int64               `json:"RolledTo"`
}

// RolloutReport is what a front saw of versions under way since its last one.
type RolloutReport struct {
	Name        string          `json:"Name"`
	Incarnation int64           `json:"Life"`
	Seq         int64           `json:"Seq"`
	Entries     []rollout.Entry `json:"Entries"`
}

// RolloutTotals is all that a hut was told of versions under way, for the one with
// the duty; Behind counts, by order, the fronts it heard lately that do not
// know the last phase.
type RolloutTotals struct {
	ID           string          `json:"ID"`
	Incarnation  int64           `json:"Life"`
	Seq          int64           `json:"Seq"`
	Entries      []rollout.Entry `json:"Entries"`
	FrontsBehind map[int64]int   `json:"Behind,omitempty"`
}

type ShuffleMessage struct {
	Nodes []peersampling.Node `json:"Nodes"`
}

// UnreachableReport is what a front tells: the entries of searchers that did not answer it.
type UnreachableReport struct {
	Name                string  `json:"Name"`
	UnreachableOrdinals []int64 `json:"Dark"`
}

// IsRolloutPath tells whether a path is one of the operator's for rollouts.
func IsRolloutPath(path string) bool {
	return path == PathRollouts || strings.HasPrefix(path, PathRollouts+"/")
}
