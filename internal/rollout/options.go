package rollout

import (
	"errors"
	"fmt"

	"swiftswitch/internal/cusum"
)

// Options are the project's defaults that an operator may change. All but the
// chart's constants and SubgroupSize are ratios.
type Options struct {
	// Chart holds the constants of the control charts.
	Chart cusum.Options
	// SubgroupSize is how many attempts at the new version are averaged at least.
	SubgroupSize int
	// ChartFailures and ChartLatency turn the two metrics on.
	ChartFailures, ChartLatency bool
	// MaxLatencyRatio is how many times the old version's latency the new one
	// may take.
	MaxLatencyRatio float64
	// MaxExtraFailures is the share of failures that the new version may have
	// beyond the old one's.
	MaxExtraFailures float64
	// CanaryRatio is the part of the settings' ExposureShare that the canary
	// phase uses, TrialShare the share of the requests that goes to the new
	// version in the trial, MaxExposureUse the part of the whole exposure that
	// canary and trial may use up.
	CanaryRatio, TrialShare, MaxExposureUse float64
	// TrialAfter, a part of the order's duration, is when the trial may begin.
	TrialAfter float64
}

// DefaultOptions returns the project's defaults.
func DefaultOptions() Options {
	return Options{
		Chart:            cusum.DefaultOptions(),
		SubgroupSize:     4,
		ChartFailures:    true,
		ChartLatency:     true,
		MaxLatencyRatio:  1.5,
		MaxExtraFailures: 0.05,
		CanaryRatio:      0.5,
		TrialShare:       0.9,
		MaxExposureUse:   0.75,
		TrialAfter:       0.6,
	}
}

// Validate returns an error that names the flag whose value is out of range.
func (o Options) Validate() error {
	if o.SubgroupSize < 1 || o.SubgroupSize > 1000 {
		return fmt.Errorf("--chart-subgroup-size is %d: it must be between 1 and 1000", o.SubgroupSize)
	}
	if !o.ChartFailures && !o.ChartLatency {
		return errors.New("--chart-failures and --chart-latency are both off: a version would be judged by nothing")
	}
	for _, r := range []struct {
		name            string
		value, min, max float64
	}{
		{"rollout-max-latency-ratio", o.MaxLatencyRatio, 1, 100},
		{"rollout-max-extra-failures", o.MaxExtraFailures, 0, 1},
		{"rollout-canary-ratio", o.CanaryRatio, 0.01, 0.9},
		{"rollout-trial-share", o.TrialShare, 0.1, 1},
		{"rollout-max-exposure-use", o.MaxExposureUse, 0.1, 0.95},
		{"rollout-trial-after", o.TrialAfter, 0.1, 0.8},
	} {
		// Written so that NaN is out of range too.
		if !(r.value >= r.min && r.value <= r.max) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.value, r.min, r.max)
		}
	}
	return o.Chart.Validate()
}
