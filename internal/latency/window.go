// Package latency estimates percentiles of recent latencies.
package latency

import (
	"slices"
	"time"
)

const (
	// samples is how many of the last latencies count.
	samples = 128
	// refreshEvery is after how many samples the percentiles are computed anew,
	// except for the first eagerSamples, after each of which they are.
	refreshEvery = 16
	eagerSamples = 8
)

// Window holds the last latencies of one kind. The zero value has no samples.
// It is not safe for concurrent use.
type Window struct {
	ring  [samples]float64 // in milliseconds
	count int              // of all samples ever added

	percentiles Percentiles
}

// Percentiles are those of the last latencies; 0 where none was measured.
type Percentiles struct {
	// P10 is about how long it takes without a queue, P50 what is usual, and
	// P95 what nearly all stay within.
	P10, P50, P95 time.Duration
}

// Percentiles returns the percentiles as of the last time they were computed.
func (w *Window) Percentiles() Percentiles { return w.percentiles }

// Add adds a sample.
func (w *Window) Add(ms float64) {
	w.ring[w.count%samples] = ms
	w.count++
	if w.count%refreshEvery != 0 && w.count >= eagerSamples {
		return
	}
	n := min(w.count, samples)
	sorted := w.ring
	slices.Sort(sorted[:n])
	w.percentiles = Percentiles{
		P10: fromMilliseconds(sorted[n/10]),
		P50: fromMilliseconds(sorted[n/2]),
		P95: fromMilliseconds(sorted[min(n-1, n*19/20)]),
	}
}

func fromMilliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
