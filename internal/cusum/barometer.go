// Package barometer holds control charts: generalized cumulative sums (GCUSUM)
// with a limit that depends on how long a sum has been above zero. The charts
// are pure; docs/design.md names their source.
package cusum

import (
	"errors"
	"fmt"
	"math"
)

// Options are the free parts of a chart. The defaults are the source's: with
// them an in-control process signals after 168 subgroups on average.
type Options struct {
	// ReferenceValue is the reference value: half of the shift, in standard errors, that
	// is to be found soonest.
	ReferenceValue float64
	// InitialLimit, Rise, Knot and Fall shape the limit: Start + Rise x n up to a run
	// of Knot subgroups, then Fall more for each further one.
	InitialLimit, LimitRise float64
	KneeRunLength           int
	LimitFall               float64
	// HeadStart begins both sums at half of Start instead of at zero.
	HeadStart bool
	// ShewhartLimit, where it is above 0, also signals at a single subgroup that is so far out.
	ShewhartLimit float64
}

// DefaultOptions are the source's constants.
func DefaultOptions() Options {
	return Options{ReferenceValue: 0.5, InitialLimit: 2.96, LimitRise: 0.3, KneeRunLength: 5, LimitFall: -0.1}
}

// Validate tells which option is out of its range.
func (o Options) Validate() error {
	for _, r := range []struct {
		name           string
		v, least, most float64
	}{
		{"chart-reference-value", o.ReferenceValue, 0, 5}, {"chart-initial-limit", o.InitialLimit, 0.1, 100}, {"chart-limit-rise", o.LimitRise, -5, 5},
		{"chart-knee-run-length", float64(o.KneeRunLength), 0, 1000}, {"chart-limit-fall", o.LimitFall, -5, 5}, {"chart-shewhart-limit", o.ShewhartLimit, 0, 100},
	} {
		if !(r.v >= r.least && r.v <= r.most) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.v, r.least, r.most)
		}
	}
	if o.Limit(max(1, o.KneeRunLength)) <= 0 {
		return errors.New("--chart-initial-limit, --chart-limit-rise and --chart-knee-run-length give a limit that is not above 0")
	}
	return nil
}

// Limit is A*(n), the limit for a sum that has been above zero for n subgroups.
func (o Options) Limit(n int) float64 {
	return max(0, o.InitialLimit+o.LimitRise*float64(min(n, o.KneeRunLength))+o.LimitFall*float64(max(0, n-o.KneeRunLength)))
}

// Signal is what a subgroup brought.
type Signal int

// The signals.
const (
	None Signal = iota
	// Above: the mean has gone up.
	Above
	// Below: the mean has gone down.
	Below
)

// Chart is one stream's pair of sums and their run counters.
type Chart struct {
	Upper, Lower       float64
	UpperRun, LowerRun int
	started            bool
}

// Step takes the standardized average of one subgroup. A sum that signals
// restarts from zero with its counter: whoever reads the signal decides
// whether it was a false alarm, and the chart goes on either way.
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
	case c.Upper > o.Limit(c.UpperRun) && c.UpperRun > 0, o.ShewhartLimit > 0 && z > o.ShewhartLimit:
		c.Upper, c.UpperRun = 0, 0
		return Above
	case c.Lower > o.Limit(c.LowerRun) && c.LowerRun > 0, o.ShewhartLimit > 0 && -z > o.ShewhartLimit:
		c.Lower, c.LowerRun = 0, 0
		return Below
	}
	return None
}

// accumulate clamps a sum at zero and counts the subgroups for which it stays above.
func accumulate(sum float64, run int, by float64) (float64, int) {
	if sum += by; sum <= 0 {
		return 0, 0
	}
	return sum, run + 1
}
