package upstream

import (
	"time"

	"swiftswitch/internal/latency"
)

const (
	// latencyWeight is that of a new sample in an endpoint's moving average.
	latencyWeight = 0.2
	// errorLatencyFactor multiplies the latency of a response with status 500
	// or above, so that endpoints that fail fast don't attract load.
	errorLatencyFactor = 2
)

// Latency returns the percentiles of a service's last latencies.
func (p *Pool) Latency(serviceName string) latency.Percentiles {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.service(serviceName).latency.Percentiles()
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
