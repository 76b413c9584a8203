package upstream

import (
	"swiftswitch/internal/metrics"

	"github.com/prometheus/client_golang/prometheus"
)

// outcomeNames name the outcomes in the metrics.
var outcomeNames = []string{
	OutcomeAnswered:    "answered",
	OutcomeUnprocessed: "unprocessed",
	OutcomeUnsent:      "unsent",
	OutcomeUnknown:     "unknown",
	OutcomeCanceled:    "canceled",
}

// poolMetrics count the attempts of a pool and what they led to.
type poolMetrics struct {
	attempts  metrics.Counters
	dials     prometheus.Counter
	ejections prometheus.Counter
}

func newPoolMetrics(registry *metrics.Registry) poolMetrics {
	return poolMetrics{
		attempts:  metrics.NewCounters(registry, "attempts_total", "Attempts at requests to endpoints, by their outcome.", "outcome", outcomeNames),
		dials:     metrics.NewCounter(registry, "upstream_dials_total", "Attempts to open a connection to an endpoint."),
		ejections: metrics.NewCounter(registry, "ejections_total", "Endpoints that were ejected after failures in a row."),
	}
}
