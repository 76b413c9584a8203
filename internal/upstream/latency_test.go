package upstream

import (
	"testing"
	"time"
)

func TestLatencyPercentiles(t *testing.T) {
	pool := newNearFarPool(t)
	if p50, p90 := pool.LatencyPercentiles("s"); p50 != 0 || p90 != 0 {
		t.Fatalf("percentiles %v, %v without samples", p50, p90)
	}
	w := &pool.service("s").latency
	w.add(20)
	w.add(10)
	if p50, p90 := pool.LatencyPercentiles("s"); p50 != 20*time.Millisecond || p90 != 20*time.Millisecond {
		t.Fatalf("percentiles %v, %v of 20 and 10 ms", p50, p90)
	}
	// The window holds the last samples only, from 137 to 200 ms.
	for ms := 1; ms <= 200; ms++ {
		w.add(float64(ms))
	}
	for w.count%refreshEvery != 0 {
		w.add(200)
	}
	if w.p50 < 137 || w.p50 > 200 || w.p90 < w.p50 || w.p90 > 200 {
		t.Fatalf("percentiles %v, %v ms", w.p50, w.p90)
	}
}

// A response with an error status counts as slower than it was.
func TestErrorsCountAsSlow(t *testing.T) {
	pool := newNearFarPool(t)
	ok, failing := pool.endpoints["a"], pool.endpoints["b"]
	endAttempt(pool, ok, Attempt{Outcome: OutcomeAnswered, Status: 200, Stamp: "x"}, testTarget)
	endAttempt(pool, failing, Attempt{Outcome: OutcomeAnswered, Status: 500}, testTarget)
	if failing.latencyMs < 1.5*ok.latencyMs {
		t.Fatalf("latency %v with an error, %v without", failing.latencyMs, ok.latencyMs)
	}
}
