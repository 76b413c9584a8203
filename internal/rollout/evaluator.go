package rollout

import (
	"cmp"
	"math"
	"slices"
	"time"

	"swiftswitch/internal/cusum"
)

// The metrics that are charted.
const (
	metricFailures = "failures"
	metricLatency  = "latency"
)

const (
	// decayPartsPerDuration is the part of an order's duration, as a divisor,
	// after which a sample's weight has fallen to 1/e.
	decayPartsPerDuration = 5
	// minRateSeconds keeps the request rate of an evaluator that has just
	// started from being extrapolated from next to no time.
	minRateSeconds = 0.5
)

// chartKey names one chart: a metric on one route, or on all ("").
type chartKey struct {
	metric string
	route  string
}

func compareChartKeys(a, b chartKey) int {
	return cmp.Or(cmp.Compare(a.metric, b.metric), cmp.Compare(a.route, b.route))
}

// Alarm is a signal of a chart.
type Alarm struct {
	Metric, Route string
	// Confirmed: it speaks against the new version, and most of its endpoints
	// bear it out.
	Confirmed bool
	// Better: the new version does better than the old one.
	Better bool
}

// Evaluator runs the charts of one order. It has one owner and no lock.
type Evaluator struct {
	options   Options
	charts    map[chartKey]*metricChart
	steppedAt time.Duration
	startedAt time.Duration
	// decayTime is how long a sample of the past keeps its weight.
	decayTime time.Duration
	// UnderLoad: the new version has just got most of the requests. Connections
	// to it are being opened and its queues are not known yet, so its latency
	// may exceed the old version's by the allowed ratio once more.
	UnderLoad bool
	// finding is the first confirmed alarm against the new version.
	finding string
	// NewAttempts and OldAttempts count the attempts at each version,
	// GoodAnswers those at the new one that were no failures.
	NewAttempts, OldAttempts, GoodAnswers int64
}

// NewEvaluator starts the charts of an order with that duration.
func NewEvaluator(o Options, duration, now time.Duration) *Evaluator {
	return &Evaluator{
		options:   o,
		charts:    map[chartKey]*metricChart{},
		steppedAt: now,
		startedAt: now,
		decayTime: max(duration/decayPartsPerDuration, time.Millisecond),
	}
}

// Finding names metric and route of the first confirmed alarm against the new
// version; it is empty while there is none.
func (e *Evaluator) Finding() string { return e.finding }

// RequestRate is how many attempts a second were seen at both versions.
func (e *Evaluator) RequestRate(now time.Duration) float64 {
	return float64(e.NewAttempts+e.OldAttempts) / max(minRateSeconds, (now-e.startedAt).Seconds())
}

// Add takes what was counted since the last call.
func (e *Evaluator) Add(entries []Entry) {
	for _, entry := range entries {
		if entry.Target {
			e.NewAttempts += entry.Sample.Attempts
			e.GoodAnswers += entry.Sample.Attempts - entry.Sample.Failures
		} else {
			e.OldAttempts += entry.Sample.Attempts
		}
		for _, route := range []string{entry.Route, ""} {
			if e.options.ChartFailures {
				e.chart(chartKey{metricFailures, route}).add(entry)
			}
			if e.options.ChartLatency {
				e.chart(chartKey{metricLatency, route}).add(entry)
			}
		}
	}
}

func (e *Evaluator) chart(key chartKey) *metricChart {
	c := e.charts[key]
	if c == nil {
		c = newMetricChart()
		e.charts[key] = c
	}
	return c
}

// Step closes the subgroups that are full and returns what their charts
// signal, in an order that does not depend on the map's.
func (e *Evaluator) Step(now time.Duration) (alarms []Alarm) {
	weight := math.Exp(-float64(now-e.steppedAt) / float64(e.decayTime))
	e.steppedAt = now
	keys := make([]chartKey, 0, len(e.charts))
	for key, chart := range e.charts {
		keys = append(keys, key)
		chart.decay(weight)
	}
	slices.SortFunc(keys, compareChartKeys)
	for _, key := range keys {
		if alarm, signalled := e.stepChart(key); signalled {
			alarms = append(alarms, alarm)
		}
	}
	return alarms
}

// stepChart closes one chart's subgroup, where it is full.
func (e *Evaluator) stepChart(key chartKey) (alarm Alarm, signalled bool) {
	c := e.charts[key]
	var deviation float64
	var full bool
	if key.metric == metricFailures {
		deviation, full = c.closeFailures(e.options)
	} else {
		deviation, full = c.closeLatency(e.options, e.UnderLoad)
	}
	if !full {
		return Alarm{}, false
	}
	switch c.chart.Step(e.options.Chart, deviation) {
	case cusum.Above:
		alarm = Alarm{Metric: key.metric, Route: key.route, Confirmed: c.confirmedByMost()}
		if alarm.Confirmed && e.finding == "" {
			e.finding = key.metric + " on " + routeName(key.route)
		}
		return alarm, true
	case cusum.Below:
		return Alarm{Metric: key.metric, Route: key.route, Better: true}, true
	}
	return Alarm{}, false
}

func routeName(route string) string {
	if route == "" {
		return "all routes"
	}
	return "route " + route
}
