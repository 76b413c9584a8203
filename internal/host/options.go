package host

import (
	"fmt"

	"swiftswitch/internal/rollout"
)

// Options are the project's defaults that an operator may change on the
// command line. Each field but Role and Rollout has a flag of the same name in
// kebab case. All numbers but MetricsPort, MaxSlotHolders and SlotLeaseHeartbeats
// are ratios.
type Options struct {
	// Role is what the node is started as.
	Role Role
	// MetricsPort is the port at which the node tells its metrics, 0 for none.
	MetricsPort int

	// FrontCacheRatio is the part of MemoryMb that a front's own cache may
	// take, CacheNodeRatio the part that a cache node's may.
	FrontCacheRatio float64
	CacheNodeRatio  float64

	// MaxSlotHolders is R, how many endpoints hold a slot of one shard at most.
	MaxSlotHolders int
	// LayoutSwitchWait, a part of ConfigEffectMs, is how long the old shard
	// layout may serve on while the new one is not ready.
	LayoutSwitchWait float64
	// SlotLeaseHeartbeats is the duration of a slot's lease in heartbeats.
	SlotLeaseHeartbeats float64

	// RetryBudgetUse is the part of the retry budget that is used at most.
	RetryBudgetUse float64
	// RemoteZonePenalty is by how many times a service's median latency an
	// endpoint of another region must be faster to be preferred, one of another
	// zone of this region by half of that.
	RemoteZonePenalty float64

	// Relay lets a front of another zone gather shards that have no endpoint
	// in this one.
	Relay bool
	// ShareUnreachable lets fronts tell each other, through the control nodes,
	// which endpoints do not answer.
	ShareUnreachable bool

	// Rollout says how new versions are tried out and evaluated.
	Rollout rollout.Options
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		FrontCacheRatio:     0.1,
		CacheNodeRatio:      0.35,
		MaxSlotHolders:      6,
		LayoutSwitchWait:    0.4,
		SlotLeaseHeartbeats: 2,
		RetryBudgetUse:      0.85,
		RemoteZonePenalty:   2,
		Relay:               true,
		ShareUnreachable:    true,
		Rollout:             rollout.DefaultOptions(),
	}
}

// maxPort is the greatest TCP port.
const maxPort = 1<<16 - 1

// optionRange is the range that an option's value must lie in, both ends
// included.
type optionRange struct {
	flag     string
	value    float64
	min, max float64
}

// check is written so that NaN is out of every range.
func (r optionRange) check() error {
	if r.value >= r.min && r.value <= r.max {
		return nil
	}
	return fmt.Errorf("--%s is %v: it must be between %v and %v", r.flag, r.value, r.min, r.max)
}

// ranges lists the allowed values of the numeric options.
func (o Options) ranges() []optionRange {
	return []optionRange{
		{"front-cache-ratio", o.FrontCacheRatio, 0, 0.8},
		{"cache-node-ratio", o.CacheNodeRatio, 0, 0.8},
		{"layout-switch-wait", o.LayoutSwitchWait, 0, 0.8},
		{"slot-lease-heartbeats", o.SlotLeaseHeartbeats, 0.1, 100},
		{"retry-budget-use", o.RetryBudgetUse, 0, 1},
		{"remote-zone-penalty", o.RemoteZonePenalty, 0, 10},
	}
}

// Check returns an error that names the flag of the first option that is out
// of its range, and the range.
func (o Options) Check() error {
	if o.MetricsPort < 0 || o.MetricsPort > maxPort {
		return fmt.Errorf("--metrics-port is %d: it must be between 0 and %d", o.MetricsPort, maxPort)
	}
	if o.MaxSlotHolders < 1 {
		return fmt.Errorf("--max-slot-holders is %d: it must be at least 1", o.MaxSlotHolders)
	}
	for _, r := range o.ranges() {
		if err := r.check(); err != nil {
			return err
		}
	}
	return o.Rollout.Validate()
}
