package upstream

import (
	"slices"
	"time"
)

const (
	// latencySamples is how many of the last latencies of a service count.
	latencySamples = 64
	// refreshEvery is after how many samples the percentiles are computed anew,
	// except for the first eagerSamples, after each of which they are.
	refreshEvery = 16
	eagerSamples = 8
	// latencyWeight is that of a new sample in an endpoint's moving average.
	latencyWeight = 0.2
	// errorLatencyFactor multiplies the latency of a response with status 500
	// or above, so that endpoints that fail fast don't attract load.
	errorLatencyFactor = 2
)

// latencyWindow estimates percentiles of the last latencies of a service, in
// milliseconds. Pool.mu guards it.
type latencyWindow struct {
	samples [latencySamples]float64 // a ring
	count   int                     // of all samples ever added
	// p50 and p90 are 0 while there are no samples.
	p50, p90 float64
}

// add adds a sample.
func (w *latencyWindow) add(ms float64) {
	w.samples[w.count%latencySamples] = ms
	w.count++
	if w.count%refreshEvery != 0 && w.count >= eagerSamples {
		return
	}
	n := min(w.count, latencySamples)
	sorted := w.samples
	slices.Sort(sorted[:n])
	w.p50, w.p90 = sorted[n/2], sorted[min(n-1, n*9/10)]
}

// LatencyPercentiles returns the median and the 90th percentile of a service's
// last latencies; 0 where none was measured.
func (p *Pool) LatencyPercentiles(serviceName string) (p50, p90 time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := &p.service(serviceName).latency
	return fromMilliseconds(w.p50), fromMilliseconds(w.p90)
}

// updateLatency adds a sample to the endpoint's moving average.
func (e *Endpoint) updateLatency(ms float64, now time.Time) {
	if e.latencyMs == 0 {
		e.latencyMs = ms
	} else {
		e.latencyMs += latencyWeight * (ms - e.latencyMs)
	}
	e.answeredAt = now
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * 1e6) }
