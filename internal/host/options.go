package host

import (
	"fmt"

	"swiftswitch/internal/rollout"
)

// Options are the project's defaults that an operator may change on the
// command line. All but Slots are ratios.
type Options struct {
	// Role says what the node does beside what its settings tell: RoleLarder
	// makes a node with a disk keep copies instead of state.
	Role string
	// FrontCacheRatio, a part of MemoryMb, is what a front's own copies may take;
	// LarderShelf what those of a larder may.
	FrontCacheRatio, CacheNodeRatio float64
	// MaxSlotHolders is R, how many searchers hold a slot of one shard at most.
	MaxSlotHolders int
	// LayoutSwitchWait, a part of ConfigEffectMs, is how long an old cut may serve on.
	LayoutSwitchWait float64
	// SlotLeaseHeartbeats is a slot's lease in heartbeats.
	SlotLeaseHeartbeats float64
	// HedgeAfter, a part of the target, is when a straggler gets company.
	HedgeAfter float64
	// PartialAnswerAfter, a part of the target, is when a partial answer is weighed.
	PartialAnswerAfter float64
	// LateAnswerValue is what a late answer is taken to be worth beside one in time.
	LateAnswerValue float64
	// RetryBudgetUse is the part of the retry budget that is used at most.
	RetryBudgetUse float64
	// RemoteZonePenalty, a part of the target, is what a searcher in another zone must be faster by.
	RemoteZonePenalty float64
	// OverloadFactor, times its slots, is how much a searcher may have to do before requests of the highest priority are refused.
	OverloadFactor float64
	// Relay: shards without a searcher in this zone are gathered by a front in another.
	Relay bool
	// Rollout says how new versions are tried and judged.
	Rollout rollout.Options
	// ShareUnreachable: fronts tell each other, by way of huts, which searchers do not answer.
	ShareUnreachable bool
}

// RoleCache is the role of nodes that keep copies.
const RoleCache = "larder"

// Roles are the roles that there are; the others follow from the settings.
var Roles = []string{"hut", "trail", RoleCache}

// DefaultOptions are the defaults.
func DefaultOptions() Options {
	return Options{FrontCacheRatio: 0.1, CacheNodeRatio: 0.35, MaxSlotHolders: 6, LayoutSwitchWait: 0.4, SlotLeaseHeartbeats: 2, HedgeAfter: 0.5, PartialAnswerAfter: 0.89, LateAnswerValue: 0.35, RetryBudgetUse: 0.85, RemoteZonePenalty: 1, OverloadFactor: 2, Relay: true, ShareUnreachable: true, Rollout: rollout.DefaultOptions()}
}

// Check tells which option is out of its range, and what is allowed.
func (o Options) Check() error {
	if o.MaxSlotHolders < 1 {
		return fmt.Errorf("--slots is %d: it must be at least 1", o.MaxSlotHolders)
	}
	for _, r := range []struct {
		name           string
		v, least, most float64
	}{
		{"shelf", o.FrontCacheRatio, 0, 0.8}, {"larder-shelf", o.CacheNodeRatio, 0, 0.8},
		{"switch-wait", o.LayoutSwitchWait, 0, 0.8}, {"lease-beats", o.SlotLeaseHeartbeats, 0.1, 100},
		{"hedge-at", o.HedgeAfter, 0.01, 10}, {"soft", o.PartialAnswerAfter, 0.01, 1}, {"late-worth", o.LateAnswerValue, 0, 1},
		{"budget-keep", o.RetryBudgetUse, 0, 1}, {"far-penalty", o.RemoteZonePenalty, 0, 10}, {"crowd", o.OverloadFactor, 0.1, 1000},
	} {
		// Written so that what is no number is out of range too.
		if !(r.v >= r.least && r.v <= r.most) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.v, r.least, r.most)
		}
	}
	return o.Rollout.Check()
}
