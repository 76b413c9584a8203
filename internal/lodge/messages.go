package lodge

import (
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
	Slot   int64
	Ballot consensus.Ballot
	News   *StateDelta `json:",omitempty"`
}

// LearnResponse names the last slot that is on the receiver's disk.
type LearnResponse struct {
	Slot int64
}

// PeekResponse is what a read of the newest version asks voters for.
type PeekResponse struct {
	ID   string
	Slot int64
	// Begun: something was accepted for the open slot.
	Begun bool
}

// StateRequest asks for news by whoever is at a slot, or at cairn.Nothing.
type StateRequest struct {
	Slot int64
}

// VersionRequest asks for the newest version; who holds an older one is sent the
// difference, if that is still known.
type VersionRequest struct {
	Version int64
}

// HeaderVersion tells which version the gzipped body of an answer holds, by
// which slot, and how many milliseconds ago that was decided. Where From is
// above 0 the body is only what changed since that version.
const HeaderVersion = "Swiftswitch-Version"

type VersionResponse struct {
	Slot, Version, AgeMs int64
	From                 int64               `json:",omitempty"`
	Gone                 map[string][]string `json:",omitempty"`
}

type Heartbeat struct {
	ID string
	IP string
	// Slot is the last decided slot that the node knows, Kept the last that it
	// has on disk.
	Slot    int64
	Kept    int64
	Epoch   int64
	Holder  string
	Stamp   endpoints.Stamp
	Zone    string
	Leaving bool `json:",omitempty"`
	// Unfit: the node hears no majority, or was granted nothing; it can't have a duty.
	Unfit bool `json:",omitempty"`
	// Fronts is how many fronts the node counts.
	Fronts int `json:",omitempty"`
	// Renews are the leases that the sender holds, by duty; Granted are those
	// that the answering node renewed.
	Renews  map[string]LeaseRenewal `json:",omitempty"`
	Granted []string                `json:",omitempty"`
	// Spent tells, by order, how many milliseconds of a rollout's term are over.
	Spent map[int64]int64 `json:",omitempty"`
	// Roll is the state of the list of fronts that watch this hut first; who
	// lacks that asks for the list.
	Roll int64
}

// LeaseRenewal is a bid whose holder is the sender.
type LeaseRenewal struct {
	Epoch      int64
	Life       int64
	VotersSlot int64 `json:",omitempty"`
}

// LeaseRequest asks a voter for a duty's lease, or gives it back.
type LeaseRequest struct {
	Bid     lease.Request
	Release bool `json:",omitempty"`
}

// LeaseResponse is the voter's answer, and the newest table that it holds.
type LeaseResponse struct {
	Grant lease.Response
	Stamp endpoints.Stamp
}

// TableFetchRequest asks for what changed in the table since the one held.
type TableFetchRequest struct {
	Stamp endpoints.Stamp
}

type TableFetchResponse struct {
	Delta []byte `json:",omitempty"`
}

// FrontRoster lists the fronts that watch a hut before others.
type FrontRoster struct {
	Roll   int64
	Fronts []relay.Front `json:",omitempty"`
}

// ControlNode is a hut and its place.
type ControlNode struct {
	IP   string
	Zone string `json:",omitempty"`
}

type JoinRequest struct {
	ID string
	IP string
	// Slot is the last decided slot that the node has on disk.
	Slot int64
}

type JoinResponse struct {
	Votes bool
	Slot  int64
}

// TableRequest brings another hut what changed in the table; tableSay tells which
// table it has then.
type TableRequest struct {
	Delta []byte
}

type TableResponse struct {
	Stamp endpoints.Stamp
}

type WatchRequest struct {
	Name  string
	IP    string
	Slot  int64
	Stamp endpoints.Stamp
	// Zone and Ready: other fronts may ask this one to gather for them.
	Zone  string `json:",omitempty"`
	Ready bool   `json:",omitempty"`
	// Out is how many listed searchers have fallen silent for this front.
	Out int `json:",omitempty"`
	// HoldMs is how long the front lets the hut hold the call.
	HoldMs int64
	// Purge is the last that the node knows of; below 0 it asks for the last
	// purge's number alone.
	Purge int64
	// Rolled is the slot up to which the node knows the rollouts, below 0 none.
	Rolled int64
	// Brief: the table itself is not wanted, only word of it.
	Brief bool `json:",omitempty"`
	// First: the node watches this hut before others, and is on its roll.
	First bool `json:",omitempty"`
	// Larder: the node serves no clients, it keeps copies.
	Larder bool `json:",omitempty"`
	// Roster: the node wants to know some fronts of each zone.
	Roster bool `json:",omitempty"`
	// Heard is the last hearsay that the node was told.
	Heard int64 `json:",omitempty"`
	// Hello: the node wants to know at once where the huts are, and nothing else.
	Hello bool `json:",omitempty"`
}

type WatchResponse struct {
	Zone string
	// Lone: this hut has not heard a majority of the voters lately.
	Lone    bool `json:",omitempty"`
	Slot    int64
	Version int64
	Stamp   endpoints.Stamp
	// Delta is what changed in the table since the one held, packed.
	Delta []byte `json:",omitempty"`
	// Fronts is how many fronts there are, Around in the asker's region, Here in its zone.
	Fronts int
	Around int `json:",omitempty"`
	Here   int `json:",omitempty"`
	Huts   []ControlNode
	// Roster lists some fronts of each zone that are ready.
	Roster []relay.Front `json:",omitempty"`
	// Dark are searchers that several fronts get no answer from, by their
	// entries; Heard numbers what was told.
	Dark  []int64 `json:",omitempty"`
	Heard int64   `json:",omitempty"`
	// Purge is the last purge's number, Floor the last that nobody holds any
	// more; Purges are those that the asker lacks.
	Purge   int64                 `json:",omitempty"`
	Floor   int64                 `json:",omitempty"`
	Purges  []consensus.Purge     `json:",omitempty"`
	Larders []consensus.CacheNode `json:",omitempty"`
	// Rollouts are the orders that changed since the slot that the asker knows
	// them up to, RolledTo the slot that it knows them up to then.
	Rollouts []consensus.Rollout `json:",omitempty"`
	RolledTo int64
}

// RolloutReport is what a front saw of versions under way since its last one.
type RolloutReport struct {
	Name    string
	Life    int64
	Seq     int64
	Entries []rollout.Entry
}

// RolloutTotals is all that a hut was told of versions under way, for the one with
// the duty; Behind counts, by order, the fronts it heard lately that do not
// know the last phase.
type RolloutTotals struct {
	ID      string
	Life    int64
	Seq     int64
	Entries []rollout.Entry
	Behind  map[int64]int `json:",omitempty"`
}

type ShuffleMessage struct {
	Nodes []peersampling.Node
}

// instancePage is a page of the platform's list.
type instancePage struct {
	Instances []struct {
		InstanceID      string `json:"InstanceId"`
		Service         string
		Address         string
		Zone            string
		Version         string
		Slots           int
		State           string
		ColdRemainingMs float64
	}
	NextPageToken *string
}
