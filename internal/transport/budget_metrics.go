package transport

import "swiftswitch/internal/metrics"

// budgetMetrics counts what becomes of callers that ask for too much.
type budgetMetrics struct {
	// evictions counts the connections that made room for others, by their state.
	evictions metrics.Counters
	// refusals counts the requests that were refused before they were handled.
	refusals metrics.Counters
}

// stateLabels names the states in the metrics.
var stateLabels = [stateCount]string{
	stateIdle:        "idle",
	stateIdleHolding: "idle_holding",
	stateLingering:   "lingering",
	stateReading:     "reading",
	stateHandling:    "handling",
	stateWriting:     "writing",
}

func newBudgetMetrics(registry *metrics.Registry) budgetMetrics {
	var reasons []string
	for _, r := range refusals {
		reasons = append(reasons, r.label)
	}
	return budgetMetrics{
		evictions: metrics.NewCounters(registry, "evicted_connections_total", "Connections that were ended to make room for others.", "state", stateLabels[:]),
		refusals:  metrics.NewCounters(registry, "refused_requests_total", "Requests that were refused before they were handled.", "reason", reasons),
	}
}
