package frontend

import (
	"math/rand/v2"

	"swiftswitch/internal/rollout"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// Snapshot is the state that a request is pinned to: one configuration, and
// the holders of the shards in its layout. It is never changed.
type Snapshot struct {
	RouteTable *routing.Table
	// Holders names, by shard and version, the endpoints that hold a slot of
	// the shard.
	Holders map[string]map[string][]string
	// TrafficSplits tell, by service, to which versions requests may go.
	TrafficSplits map[string]*rollout.TrafficSplit
}

// shardRequest returns the request to a shard of a scattered route: it goes to
// the shard's holders and to no other endpoint, even where there are none.
func (s *Snapshot) shardRequest(shard string, choice rollout.VersionChoice) *scatter.ShardRequest {
	return newShardRequest(shard, choice, func(version string) []string {
		if holders := s.Holders[shard][version]; holders != nil {
			return holders
		}
		return []string{}
	})
}

// serviceRequest returns the request to a single service, which any of its
// endpoints may process.
func serviceRequest(service string, choice rollout.VersionChoice) *scatter.ShardRequest {
	return newShardRequest(service, choice, func(string) []string { return nil })
}

// newShardRequest selects endpoints by a choice of versions. holders returns
// the IDs allowed of a version, nil if all are.
func newShardRequest(service string, choice rollout.VersionChoice, holders func(version string) []string) *scatter.ShardRequest {
	request := &scatter.ShardRequest{Service: service, Version: choice.Primary, Holders: holders(choice.Primary)}
	if choice.Canary != "" {
		request.Canary = &upstream.Selector{Service: service, Version: choice.Canary, IDs: holders(choice.Canary)}
	}
	if choice.Fallback != "" {
		request.Fallback = &upstream.Selector{Service: service, Version: choice.Fallback, IDs: holders(choice.Fallback)}
	}
	return request
}

// ChooseVersion draws to which versions of a service's endpoints one request
// goes, as the snapshot in force allows.
func (h *Handler) ChooseVersion(service string) rollout.VersionChoice {
	snapshot := h.snapshot.Load()
	if snapshot == nil {
		return rollout.VersionChoice{}
	}
	return h.chooseVersion(snapshot, service)
}

// chooseVersion draws by a traffic split. Most services have no rollout; for
// those it reads no clock.
func (h *Handler) chooseVersion(snapshot *Snapshot, service string) rollout.VersionChoice {
	split := snapshot.TrafficSplits[service]
	if split == nil {
		return rollout.VersionChoice{}
	}
	if split.Settled() {
		return split.ChooseVersion(0, 0, 0, 0)
	}
	now, silence := h.options.Clock()
	return split.ChooseVersion(now, silence, h.options.MajorityTimeout, rand.Float64())
}

// chooseStableVersion is chooseVersion without the canary: for a request that
// another front has drawn for and counts.
func (h *Handler) chooseStableVersion(snapshot *Snapshot, service string) rollout.VersionChoice {
	choice := h.chooseVersion(snapshot, service)
	choice.Canary = ""
	return choice
}
