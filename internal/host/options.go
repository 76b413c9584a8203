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
	// Shelf, a part of MemoryMb, is what a front's own copies may take;
	// LarderShelf what those of a larder may.
	Shelf, LarderShelf float64
	// Slots is R, how many searchers hold a slot of one shard at most.
	Slots int
	// SwitchWait, a part of ConfigEffectMs, is how long an old cut may serve on.
	SwitchWait float64
	// LeaseBeats is a slot's lease in heartbeats.
	LeaseBeats float64
	// HedgeAt, a part of the target, is when a straggler gets company.
	HedgeAt float64
	// Soft, a part of the target, is when a partial answer is weighed.
	Soft float64
	// Late is what a late answer is taken to be worth beside one in time.
	Late float64
	// BudgetKeep is the part of the retry budget that is used at most.
	BudgetKeep float64
	// FarPenalty, a part of the target, is what a searcher in another zone must be faster by.
	FarPenalty float64
	// Crowd, times its slots, is how much a searcher may have to do before requests of the highest priority are refused.
	Crowd float64
	// Saddle: shards without a searcher in this zone are gathered by a front in another.
	Saddle bool
	// Rollout says how new versions are tried and judged.
	Rollout rollout.Options
	// Hearsay: fronts tell each other, by way of huts, which searchers do not answer.
	Hearsay bool
}

// RoleCache is the role of nodes that keep copies.
const RoleCache = "larder"

// Roles are the roles that there are; the others follow from the settings.
var Roles = []string{"hut", "trail", RoleCache}

// DefaultOptions are the defaults.
func DefaultOptions() Options {
	return Options{Shelf: 0.1, LarderShelf: 0.35, Slots: 6, SwitchWait: 0.4, LeaseBeats: 2, HedgeAt: 0.5, Soft: 0.89, Late: 0.35, BudgetKeep: 0.85, FarPenalty: 1, Crowd: 2, Saddle: true, Hearsay: true, Rollout: rollout.Defaults()}
}

// Check tells which option is out of its range, and what is allowed.
func (o Options) Check() error {
	if o.Slots < 1 {
		return fmt.Errorf("--slots is %d: it must be at least 1", o.Slots)
	}
	for _, r := range []struct {
		name           string
		v, least, most float64
	}{
		{"shelf", o.Shelf, 0, 0.8}, {"larder-shelf", o.LarderShelf, 0, 0.8},
		{"switch-wait", o.SwitchWait, 0, 0.8}, {"lease-beats", o.LeaseBeats, 0.1, 100},
		{"hedge-at", o.HedgeAt, 0.01, 10}, {"soft", o.Soft, 0.01, 1}, {"late-worth", o.Late, 0, 1},
		{"budget-keep", o.BudgetKeep, 0, 1}, {"far-penalty", o.FarPenalty, 0, 10}, {"crowd", o.Crowd, 0.1, 1000},
	} {
		// Written so that what is no number is out of range too.
		if !(r.v >= r.least && r.v <= r.most) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.v, r.least, r.most)
		}
	}
	return o.Rollout.Check()
}
