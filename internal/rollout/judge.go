package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"

	"swiftswitch/internal/cusum"
)

// Options are the project's defaults; all but the chart's and Subgroup are ratios.
type Options struct {
	// Chart holds the constants of the charts.
	Chart cusum.Options
	// SubgroupSize is how many tries of the new version are averaged at least.
	SubgroupSize int
	// ChartFailures and Latency turn the metrics on.
	ChartFailures, ChartLatency bool
	// MaxLatencyRatio is by how much longer than the old version the new one's answers
	// may take, and Worse the share of failures that it may have more.
	MaxLatencyRatio, MaxExtraFailures float64
	// CanaryRatio is the part of ExposureShare that is used; Trial the share of the
	// requests that goes to the new version in the trial; Keep the part of the
	// whole exposure that canary and trial may use up.
	CanaryRatio, TrialShare, MaxExposureUse float64
	// TrialAfter, a part of the term, is when the trial may begin.
	TrialAfter float64
}

// DefaultOptions are the project's defaults.
func DefaultOptions() Options {
	return Options{
		Chart: cusum.DefaultOptions(), SubgroupSize: 4, ChartFailures: true, ChartLatency: true, MaxLatencyRatio: 1.5, MaxExtraFailures: 0.05,
		CanaryRatio: 0.5, TrialShare: 0.9, MaxExposureUse: 0.75, TrialAfter: 0.6,
	}
}

// Validate tells which option is out of its range.
func (o Options) Validate() error {
	if o.SubgroupSize < 1 || o.SubgroupSize > 1000 {
		return fmt.Errorf("--chart-subgroup-size is %d: it must be between 1 and 1000", o.SubgroupSize)
	}
	if !o.ChartFailures && !o.ChartLatency {
		return fmt.Errorf("--chart-failures and --chart-latency are both off: a version would be judged by nothing")
	}
	for _, r := range []struct {
		name           string
		v, least, most float64
	}{
		{"rollout-max-latency-ratio", o.MaxLatencyRatio, 1, 100}, {"rollout-max-extra-failures", o.MaxExtraFailures, 0, 1}, {"rollout-canary-ratio", o.CanaryRatio, 0.01, 0.9},
		{"rollout-trial-share", o.TrialShare, 0.1, 1}, {"rollout-max-exposure-use", o.MaxExposureUse, 0.1, 0.95}, {"rollout-trial-after", o.TrialAfter, 0.1, 0.8},
	} {
		if !(r.v >= r.least && r.v <= r.most) {
			return fmt.Errorf("--%s is %v: it must be between %v and %v", r.name, r.v, r.least, r.most)
		}
	}
	return o.Chart.Validate()
}

// The floors under what the old version shows: no process is steadier.
const (
	minLatencySpread   = 0.3  // of the logarithm of latency
	minFailureShare    = 0.03 // the share of failures
	endpointSpread     = 0.2  // between one searcher and another, of the logarithm
	minBaselineAnswers = 8    // answers of the old version without which there is no baseline
)

// chartKey is one chart's line: a metric on one route, or on all ("").
type chartKey struct {
	metric string
	route  string
}

// The metrics.
const (
	metricFailures = "failures"
	metricLatency  = "latency"
)

// endpointScore is how one searcher of the new version did lately, beside what was
// allowed, and how much that spreads by chance.
type endpointScore struct{ samples, excess, variance float64 }

type metricChart struct {
	chart cusum.Chart
	// subgroup is the new version's subgroup being collected, by distance and searcher.
	subgroup map[subgroupKey]Sample
	// concurrent is the old version over the same moments, recent over a longer while.
	concurrent, recent map[int]decayed
	endpoints          map[int64]endpointScore
}

type subgroupKey struct {
	distance int
	endpoint int64
}

// Alarm is a signal of a chart.
type Alarm struct {
	Metric, Route string
	// Confirmed: it speaks against the new version, and most of its searchers bear it out.
	Confirmed bool
	// Better: the new version does better than the old one.
	Better bool
}

// Evaluator runs the charts of one order. It has one owner.
type Evaluator struct {
	options   Options
	charts    map[chartKey]*metricChart
	steppedAt time.Duration
	// decayTime is how long what was seen keeps its weight.
	decayTime time.Duration
	// UnderLoad: the new version has just got most of the requests. Connections
	// to it are being opened and nobody knows its queues yet, so its answers may
	// take longer than allowed by as much again.
	UnderLoad bool
	finding   string
	// NewAttempts and Old count the tries seen of each version, Good the new one's that were no failures.
	NewAttempts, OldAttempts, GoodAnswers int64
	startedAt                             time.Duration
}

// NewEvaluator starts at now for an order with that term.
func NewEvaluator(o Options, term, now time.Duration) *Evaluator {
	return &Evaluator{options: o, charts: map[chartKey]*metricChart{}, steppedAt: now, startedAt: now, decayTime: max(term/5, time.Millisecond)}
}

// Finding tells what was found against the new version, if anything was.
func (j *Evaluator) Finding() string { return j.finding }

// RequestRate is how many tries a second were seen of both versions.
func (j *Evaluator) RequestRate(now time.Duration) float64 {
	return float64(j.NewAttempts+j.OldAttempts) / max(0.5, (now-j.startedAt).Seconds())
}

// Add takes what was seen since the last call.
func (j *Evaluator) Add(entries []Entry) {
	for _, e := range entries {
		if e.Target {
			j.NewAttempts += e.Sample.Attempts
			j.GoodAnswers += e.Sample.Attempts - e.Sample.Failures
		} else {
			j.OldAttempts += e.Sample.Attempts
		}
		for _, route := range []string{e.Route, ""} {
			if j.options.ChartFailures {
				j.chart(chartKey{metricFailures, route}).add(e)
			}
			if j.options.ChartLatency {
				j.chart(chartKey{metricLatency, route}).add(e)
			}
		}
	}
}

func (j *Evaluator) chart(s chartKey) *metricChart {
	l := j.charts[s]
	if l == nil {
		l = &metricChart{subgroup: map[subgroupKey]Sample{}, concurrent: map[int]decayed{}, recent: map[int]decayed{}, endpoints: map[int64]endpointScore{}}
		j.charts[s] = l
	}
	return l
}

func (l *metricChart) add(e Entry) {
	if e.Target {
		at := subgroupKey{e.Distance, e.Endpoint}
		l.subgroup[at] = l.subgroup[at].Plus(e.Sample)
		return
	}
	l.concurrent[e.Distance] = l.concurrent[e.Distance].plus(e.Sample.scaled(1))
}

// Step closes the subgroups that are full and gives what their charts signal.
func (j *Evaluator) Step(now time.Duration) (alarms []Alarm) {
	w := math.Exp(-float64(now-j.steppedAt) / float64(j.decayTime))
	j.steppedAt = now
	var streams []chartKey
	for s, l := range j.charts {
		streams = append(streams, s)
		for far := range l.recent {
			l.recent[far] = l.recent[far].times(w)
		}
		for who, x := range l.endpoints {
			l.endpoints[who] = endpointScore{x.samples * w, x.excess * w, x.variance * w}
		}
	}
	sort.Slice(streams, func(a, b int) bool {
		if streams[a].metric != streams[b].metric {
			return streams[a].metric < streams[b].metric
		}
		return streams[a].route < streams[b].route
	})
	for _, s := range streams {
		l := j.charts[s]
		var z float64
		var ok bool
		if s.metric == metricFailures {
			z, ok = l.failures(j.options)
		} else {
			z, ok = l.latency(j.options, j.UnderLoad)
		}
		if !ok {
			continue
		}
		switch l.chart.Step(j.options.Chart, z) {
		case cusum.Above:
			a := Alarm{Metric: s.metric, Route: s.route, Confirmed: l.confirmedByMost()}
			if a.Confirmed && j.finding == "" {
				j.finding = s.metric + " on " + routeName(s.route)
			}
			alarms = append(alarms, a)
		case cusum.Below:
			alarms = append(alarms, Alarm{Metric: s.metric, Route: s.route, Better: true})
		}
	}
	return alarms
}

func routeName(r string) string {
	if r == "" {
		return "all routes"
	}
	return "route " + r
}

// confirmedByMost tells whether more than half of the new version's searchers that were
// asked lately did worse than allowed, and all but the worst together too: one
// that crashed, is cut off or slow by itself is no bad version.
func (l *metricChart) confirmedByMost() bool {
	asked, worse := 0, 0
	var whole, worst endpointScore
	for _, x := range l.endpoints {
		if x.samples < 0.5 {
			continue
		}
		asked++
		if x.excess > math.Sqrt(x.variance)/2 {
			worse++
		}
		whole.excess, whole.variance = whole.excess+x.excess, whole.variance+x.variance
		if asked == 1 || x.excess > worst.excess {
			worst = x
		}
	}
	return 2*worse > asked && (asked < 2 || whole.excess-worst.excess > math.Sqrt(whole.variance-worst.variance))
}

// closeSubgroup puts the closed subgroup's baseline with what is known of a longer while.
func (l *metricChart) closeSubgroup() {
	for far, b := range l.concurrent {
		l.recent[far] = l.recent[far].plus(b)
	}
	clear(l.concurrent)
	clear(l.subgroup)
}

// baseline is the baseline at a distance: the same moments, and where these bring
// too little, the while before as well.
func (l *metricChart) baseline(far int) decayed {
	b := l.concurrent[far]
	if b.timed < 2*minBaselineAnswers {
		b = b.plus(l.recent[far])
	}
	return b
}

// failures closes a subgroup of the share of failures. The share that the old
// version shows, and Worse more, stands for the mean, and what a share spreads
// by chance for the spread.
func (l *metricChart) failures(o Options) (z float64, ok bool) {
	var n, bad int64
	for _, s := range l.subgroup {
		n, bad = n+s.Attempts, bad+s.Failures
	}
	if n < int64(o.SubgroupSize) {
		return 0, false
	}
	var old decayed
	for far := range union(l.concurrent, l.recent) {
		b := l.concurrent[far]
		if b.attempts < 2*minBaselineAnswers {
			b = b.plus(l.recent[far])
		}
		old = old.plus(b)
	}
	defer l.closeSubgroup()
	p := min(0.9, max(minFailureShare, old.failures/max(old.attempts, 1))+o.MaxExtraFailures)
	for at, s := range l.subgroup {
		x := l.endpoints[at.endpoint]
		l.endpoints[at.endpoint] = endpointScore{x.samples + float64(s.Attempts), x.excess + float64(s.Failures) - p*float64(s.Attempts), x.variance + p*(1-p)*float64(s.Attempts)}
	}
	if old.attempts < minBaselineAnswers {
		// Nobody asks the old version: nothing stands beside, but failures are failures.
		old.attempts = minBaselineAnswers
	}
	return (float64(bad)/float64(n) - p) / math.Sqrt(p*(1-p)*(1/float64(n)+1/old.attempts)), true
}

// latency closes a subgroup of the logarithm of latency, each distance beside
// the old version's answers over the same distance.
func (l *metricChart) latency(o Options, loaded bool) (z float64, ok bool) {
	var n int64
	for _, s := range l.subgroup {
		n += s.Timed
	}
	if n < int64(o.SubgroupSize) {
		return 0, false
	}
	defer l.closeSubgroup()
	allowed := math.Log(o.MaxLatencyRatio)
	if loaded {
		allowed *= 2
	}
	excess, variance, timed := 0.0, 0.0, 0.0
	whos := map[int64]bool{}
	byFar := map[int]Sample{}
	for at, s := range l.subgroup {
		b := l.baseline(at.distance)
		if s.Timed == 0 || b.timed < minBaselineAnswers {
			continue
		}
		byFar[at.distance] = byFar[at.distance].Plus(s)
		whos[at.endpoint] = true
		x := l.endpoints[at.endpoint]
		l.endpoints[at.endpoint] = endpointScore{x.samples + float64(s.Timed), x.excess + s.LogLatency - float64(s.Timed)*(b.mean()+allowed), x.variance + b.variance()*float64(s.Timed)}
	}
	for far, s := range byFar {
		b := l.baseline(far)
		k := float64(s.Timed)
		excess += s.LogLatency - k*(b.mean()+allowed)
		variance += b.variance() * (k + k*k/b.timed)
		timed += k
	}
	if timed < 1 {
		return 0, false
	}
	variance += timed * timed * endpointSpread * endpointSpread / float64(len(whos))
	return excess / math.Sqrt(variance), true
}

// mean and variance are those of the logarithm of latency, with the floor under the spread.
func (a decayed) mean() float64 { return a.logLatency / a.timed }

func (a decayed) variance() float64 {
	return max(minLatencySpread*minLatencySpread, a.logLatencySquared/a.timed-a.mean()*a.mean())
}

func union[V any](a, b map[int]V) map[int]bool {
	out := map[int]bool{}
	for k := range a {
		out[k] = true
	}
	for k := range b {
		out[k] = true
	}
	return out
}
