package scatter

import (
	"swiftswitch/internal/metrics"

	"github.com/prometheus/client_golang/prometheus"
)

// attemptKind is why an attempt is made.
type attemptKind int

const (
	// attemptFirst: the first of its shard.
	attemptFirst attemptKind = iota
	// attemptRetry: after one that failed.
	attemptRetry
	// attemptHedge: beside one that is slow.
	attemptHedge
	// attemptRelayed: the first of its shard, by way of another front.
	attemptRelayed
)

var attemptKindNames = []string{attemptFirst: "first", attemptRetry: "retry", attemptHedge: "hedge", attemptRelayed: "relayed"}

// Metrics count the attempts of queries.
type Metrics struct {
	attempts  metrics.Counters
	abandoned prometheus.Counter
}

// NewMetrics registers the metrics of a Gatherer.
func NewMetrics(registry *metrics.Registry) *Metrics {
	return &Metrics{
		attempts:  metrics.NewCounters(registry, "shard_attempts_total", "Attempts at shards and single services, by why they were made.", "kind", attemptKindNames),
		abandoned: metrics.NewCounter(registry, "queries_abandoned_total", "Queries that were ended because their caller had left."),
	}
}

// countAttempt counts an attempt. Without metrics nothing is counted.
func (m *Metrics) countAttempt(kind attemptKind) {
	if m != nil {
		m.attempts[kind].Inc()
	}
}

// countAbandoned counts a query whose caller has left.
func (m *Metrics) countAbandoned() {
	if m != nil {
		m.abandoned.Inc()
	}
}
