// Package cusum implements generalized cumulative sum (GCUSUM) control charts:
// two-sided CUSUM charts whose decision limit depends on how long a sum has
// been above zero. The charts are pure; docs/design.md cites their source.
package cusum

import (
	"errors"
	"fmt"
	"math"
)

// Options are the free parameters of a chart, in standard errors of a
// subgroup's average. The defaults are the source's.
type Options struct {
	// ReferenceValue (k in the source) is half of the shift that is to be
	// found soonest.
	ReferenceValue float64
	// The decision limit starts at InitialLimit, rises by LimitRise for each
	// subgroup of a run up to KneeRunLength, and changes by LimitFall for each
	// further one.
	InitialLimit, LimitRise float64
	KneeRunLength           int
	LimitFall               float64
	// HeadStart begins both sums at half of InitialLimit in place of zero
	// (fast initial response).
	HeadStart bool
	// ShewhartLimit, where it is above 0, also signals at a single subgroup
	// that is so far out.
	ShewhartLimit float64
}

// DefaultOptions returns the source's constants, with which a process in
// control signals after 168 subgroups on average.
func DefaultOptions() Options {
	return Options{ReferenceValue: 0.5, InitialLimit: 2.96, LimitRise: 0.3, KneeRunLength: 5, LimitFall: -0.1}
}

// Validate returns an error that names the flag whose value is out of range.
func (o Options) Validate() error {
	for _, r := range []struct {
		name            string
		value, min, max float64
	}{
		{"chart-reference-value", o.ReferenceValue, 0, 5},
		{"chart-initial-limit", o.InitialLimit, 0.1, 100},
		{"chart-limit-rise", o.LimitRise, -5, 5},
		{"chart-knee-run-length", float64(o.KneeRunLength), 0, 1000},
		{"chart-limit-fall", o.LimitFall, -5, 5},
		{"chart-shewhart-limit", o.ShewhartLimit, 0, 100},
	} {
		// Written so that NaN is out of range too.
		if !(r.value >= r.min && r.value <= r.max) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.value, r.min, r.max)
		}
	}
	if o.Limit(max(1, o.KneeRunLength)) <= 0 {
		return errors.New("--chart-initial-limit, --chart-limit-rise and --chart-knee-run-length give a limit that is not above 0")
	}
	return nil
}

// Limit is A*(n) of the source: the decision limit of a sum that has been
// above zero for a run of n subgroups.
func (o Options) Limit(n int) float64 {
	rise := o.LimitRise * float64(min(n, o.KneeRunLength))
	fall := o.LimitFall * float64(max(0, n-o.KneeRunLength))
	return max(0, o.InitialLimit+rise+fall)
}

// Signal is what a subgroup brought.
type Signal int

const (
	// None: no signal.
	None Signal = iota
	// Above: the mean has gone up.
	Above
	// Below: the mean has gone down.
	Below
)

// Chart is the pair of sums of one stream of subgroups, each with the length
// of its present run above zero. The zero value is a chart that has not begun.
type Chart struct {
	Upper, Lower       float64
	UpperRun, LowerRun int
	started            bool
}

// Step takes the standardized average of one subgroup. A sum that signals
// restarts from zero with its run: the caller decides whether it was a false
// alarm, and the chart goes on either way.
func (c *Chart) Step(o Options, z float64) Signal {
	if math.IsNaN(z) {
		return None
	}
	if !c.started && o.HeadStart {
		c.Upper, c.Lower = o.InitialLimit/2, o.InitialLimit/2
	}
	c.started = true
	c.Upper, c.UpperRun = accumulate(c.Upper, c.UpperRun, z-o.ReferenceValue)
	c.Lower, c.LowerRun = accumulate(c.Lower, c.LowerRun, -z-o.ReferenceValue)
	switch {
	case o.signals(c.Upper, c.UpperRun, z):
		c.Upper, c.UpperRun = 0, 0
		return Above
	case o.signals(c.Lower, c.LowerRun, -z):
		c.Lower, c.LowerRun = 0, 0
		return Below
	}
	return None
}

// signals tells whether a sum is over its limit, or the subgroup by itself is.
func (o Options) signals(sum float64, run int, z float64) bool {
	return run > 0 && sum > o.Limit(run) || o.ShewhartLimit > 0 && z > o.ShewhartLimit
}

// accumulate adds to a sum, clamped at zero, and counts the subgroups for
// which it stays above zero.
func accumulate(sum float64, run int, by float64) (float64, int) {
	sum += by
	if sum <= 0 {
		return 0, 0
	}
	return sum, run + 1
}
