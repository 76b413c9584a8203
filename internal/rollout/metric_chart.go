package rollout

import (
	"math"

	"swiftswitch/internal/cusum"
)

// Floors under what the old version shows: no process is steadier than this.
const (
	// minLatencySpread is the standard deviation of the logarithm of latency.
	minLatencySpread = 0.3
	// minFailureShare is the share of attempts that fail.
	minFailureShare = 0.03
	// maxFailureShare bounds the share that is allowed, so that a chart of a
	// version that always fails still signals.
	maxFailureShare = 0.9
	// endpointSpread is the standard deviation between one endpoint and
	// another, of the logarithm of latency.
	endpointSpread = 0.2
	// minBaselineAnswers is how many answers of the old version a baseline needs.
	minBaselineAnswers = 8
	// minEndpointSamples is the decayed weight below which an endpoint counts
	// as not asked lately.
	minEndpointSamples = 0.5
)

// subgroupKey identifies a sample within a subgroup.
type subgroupKey struct {
	distance int
	endpoint int64
}

// endpointScore is how one endpoint of the new version did lately: its excess
// over what is allowed, and the variance of that by chance. All three decay.
type endpointScore struct{ samples, excess, variance float64 }

// metricChart is one metric on one route: the subgroup that is being
// collected, the old version's baseline and the GCUSUM chart over both.
type metricChart struct {
	chart cusum.Chart
	// subgroup holds the new version's samples since the last one was closed.
	subgroup map[subgroupKey]Sample
	// concurrent is the old version over the same moments, recent over a
	// longer while; both by distance.
	concurrent, recent map[int]decayed
	endpoints          map[int64]endpointScore
}

func newMetricChart() *metricChart {
	return &metricChart{
		subgroup:   map[subgroupKey]Sample{},
		concurrent: map[int]decayed{},
		recent:     map[int]decayed{},
		endpoints:  map[int64]endpointScore{},
	}
}

func (c *metricChart) add(e Entry) {
	if e.Target {
		key := subgroupKey{e.Distance, e.Endpoint}
		c.subgroup[key] = c.subgroup[key].Plus(e.Sample)
		return
	}
	c.concurrent[e.Distance] = c.concurrent[e.Distance].plus(e.Sample.decayed())
}

// decay takes weight from what was seen before.
func (c *metricChart) decay(weight float64) {
	for distance := range c.recent {
		c.recent[distance] = c.recent[distance].times(weight)
	}
	for endpoint, s := range c.endpoints {
		c.endpoints[endpoint] = endpointScore{s.samples * weight, s.excess * weight, s.variance * weight}
	}
}

// confirmedByMost reports whether more than half of the new version's endpoints
// that were asked lately did worse than allowed, and all but the worst
// together too: one that crashed, is partitioned or slow by itself is no bad
// version.
func (c *metricChart) confirmedByMost() bool {
	asked, worse := 0, 0
	var all, worst endpointScore
	for _, s := range c.endpoints {
		if s.samples < minEndpointSamples {
			continue
		}
		asked++
		if s.excess > math.Sqrt(s.variance)/2 {
			worse++
		}
		all.excess += s.excess
		all.variance += s.variance
		if asked == 1 || s.excess > worst.excess {
			worst = s
		}
	}
	if 2*worse <= asked {
		return false
	}
	return asked < 2 || all.excess-worst.excess > math.Sqrt(all.variance-worst.variance)
}

// closeSubgroup adds the subgroup's baseline to that of the longer while.
func (c *metricChart) closeSubgroup() {
	for distance, b := range c.concurrent {
		c.recent[distance] = c.recent[distance].plus(b)
	}
	clear(c.concurrent)
	clear(c.subgroup)
}

// failureBaseline is the old version's attempts over all distances: those of
// the same moments, and where these are too few the while before as well.
func (c *metricChart) failureBaseline() decayed {
	var baseline decayed
	for distance := range union(c.concurrent, c.recent) {
		b := c.concurrent[distance]
		if b.attempts < 2*minBaselineAnswers {
			b = b.plus(c.recent[distance])
		}
		baseline = baseline.plus(b)
	}
	return baseline
}

// latencyBaseline is the old version's timed answers over one distance.
func (c *metricChart) latencyBaseline(distance int) decayed {
	b := c.concurrent[distance]
	if b.timed < 2*minBaselineAnswers {
		b = b.plus(c.recent[distance])
	}
	return b
}

// closeFailures closes a subgroup of the share of failures and returns its
// standardized deviation; full is false while the subgroup is too small. The
// mean is the share that the old version shows plus MaxExtraFailures, the
// spread that of a binomial share.
func (c *metricChart) closeFailures(o Options) (deviation float64, full bool) {
	var attempts, failures int64
	for _, s := range c.subgroup {
		attempts += s.Attempts
		failures += s.Failures
	}
	if attempts < int64(o.SubgroupSize) {
		return 0, false
	}
	baseline := c.failureBaseline()
	defer c.closeSubgroup()
	allowed := min(maxFailureShare, max(minFailureShare, baseline.failures/max(baseline.attempts, 1))+o.MaxExtraFailures)
	for key, s := range c.subgroup {
		score := c.endpoints[key.endpoint]
		score.samples += float64(s.Attempts)
		score.excess += float64(s.Failures) - allowed*float64(s.Attempts)
		score.variance += allowed * (1 - allowed) * float64(s.Attempts)
		c.endpoints[key.endpoint] = score
	}
	if baseline.attempts < minBaselineAnswers {
		// Nobody asks the old version: there is nothing to compare with, but
		// failures are failures.
		baseline.attempts = minBaselineAnswers
	}
	variance := allowed * (1 - allowed) * (1/float64(attempts) + 1/baseline.attempts)
	return (float64(failures)/float64(attempts) - allowed) / math.Sqrt(variance), true
}

// closeLatency closes a subgroup of the logarithm of latency and returns its
// standardized deviation; full is false while the subgroup is too small or
// nothing stands beside it. Each distance is compared with the old version's
// answers over the same distance.
func (c *metricChart) closeLatency(o Options, underLoad bool) (deviation float64, full bool) {
	var timed int64
	for _, s := range c.subgroup {
		timed += s.Timed
	}
	if timed < int64(o.SubgroupSize) {
		return 0, false
	}
	defer c.closeSubgroup()
	allowed := math.Log(o.MaxLatencyRatio)
	if underLoad {
		allowed *= 2
	}
	byDistance, endpoints := c.scoreLatency(allowed)
	var excess, variance, answers float64
	for distance, s := range byDistance {
		b := c.latencyBaseline(distance)
		n := float64(s.Timed)
		excess += s.LogLatency - n*(b.meanLogLatency()+allowed)
		variance += b.logLatencyVariance() * (n + n*n/b.timed)
		answers += n
	}
	if answers < 1 {
		return 0, false
	}
	variance += answers * answers * endpointSpread * endpointSpread / float64(endpoints)
	return excess / math.Sqrt(variance), true
}

// scoreLatency adds the subgroup to the scores of its endpoints and returns
// its samples by distance, and how many endpoints they are of. Samples without
// a baseline are left out.
func (c *metricChart) scoreLatency(allowed float64) (byDistance map[int]Sample, endpoints int) {
	byDistance = map[int]Sample{}
	scored := map[int64]bool{}
	for key, s := range c.subgroup {
		b := c.latencyBaseline(key.distance)
		if s.Timed == 0 || b.timed < minBaselineAnswers {
			continue
		}
		byDistance[key.distance] = byDistance[key.distance].Plus(s)
		scored[key.endpoint] = true
		n := float64(s.Timed)
		score := c.endpoints[key.endpoint]
		score.samples += n
		score.excess += s.LogLatency - n*(b.meanLogLatency()+allowed)
		score.variance += b.logLatencyVariance() * n
		c.endpoints[key.endpoint] = score
	}
	return byDistance, len(scored)
}

func union[V any](a, b map[int]V) map[int]bool {
	keys := map[int]bool{}
	for k := range a {
		keys[k] = true
	}
	for k := range b {
		keys[k] = true
	}
	return keys
}
