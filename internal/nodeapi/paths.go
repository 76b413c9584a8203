package nodeapi

import "strings"

// Paths of the calls between nodes. The message types say who calls whom.
const (
	// PathConsensus takes a ConsensusRequest; see consensus.go.
	PathConsensus = "/rope/cairn"
	// PathLearn takes a LearnRequest.
	PathLearn = "/rope/learn"
	// PathState takes a StateRequest.
	PathState = "/rope/state"
	// PathVersion takes a VersionRequest.
	PathVersion = "/rope/version"
	// PathPeek takes an empty object and returns a PeekResponse.
	PathPeek = "/rope/peek"

	// PathHeartbeat takes and returns a Heartbeat.
	PathHeartbeat = "/rope/beat"
	// PathLease takes a LeaseRequest.
	PathLease = "/rope/bid"

	// PathJoin takes a JoinRequest.
	PathJoin = "/rope/join"
	// PathSilentVoters takes an empty object and returns a membership.Report.
	PathSilentVoters = "/rope/silent"
	// PathPersist takes an empty object and returns the receiver's Heartbeat
	// of that moment, once the state that it describes is on the receiver's
	// disk. A control node calls it before it counts the receiver as holding
	// what a change of the voters needs.
	PathPersist = "/rope/keep"

	// PathTable takes a TableRequest.
	PathTable = "/rope/table"
	// PathTableFetch takes a TableFetchRequest.
	PathTableFetch = "/rope/fetch"

	// PathWatch takes a WatchRequest.
	PathWatch = "/rope/watch"
	// PathFrontRoster takes an empty object and returns a FrontRoster.
	PathFrontRoster = "/rope/roll"
	// PathUnreachable takes an UnreachableReport.
	PathUnreachable = "/rope/hearsay"

	// PathQuota takes a quota.Report and returns a quota.Answer. Fronts send it to
	// the holder of the polling lease; another control node names the holder.
	PathQuota = "/rope/quota"

	// PathRolloutReport takes a RolloutReport.
	PathRolloutReport = "/rope/tally"
	// PathRolloutTotals takes RolloutTotals.
	PathRolloutTotals = "/rope/ledger"

	// PathCacheFetch takes a CacheFetchRequest.
	PathCacheFetch = "/rope/larder"
	// PathCacheJoin takes a consensus.CacheNode: a cache node registers itself
	// with a control node, which answers once that is decided.
	PathCacheJoin = "/rope/enlist"

	// PathRelay takes a relay request: a front asks one in another zone to
	// gather shards that have endpoints only there.
	PathRelay = "/rope/saddle"
	// PathShuffle takes and returns a ShuffleMessage.
	PathShuffle = "/rope/shuffle"
	// PathStatus answers GET with the node's status.
	PathStatus = "/rope/status"
)

// Paths of the operator's calls. Every node serves them on the port for other
// nodes as well, and forwards what it cannot settle itself.
const (
	PathConfiguration = "/-/configuration"
	PathPurge         = "/-/purge"
	PathRollouts      = "/-/rollouts"
)

// IsRolloutPath reports whether path is one of the operator's calls for
// rollouts: the collection or the rollout of one service below it.
func IsRolloutPath(path string) bool {
	return path == PathRollouts || strings.HasPrefix(path, PathRollouts+"/")
}
