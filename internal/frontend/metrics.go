package frontend

import (
	"swiftswitch/internal/metrics"
	"swiftswitch/internal/tenant"
)

// routeKind is a kind of route, as the metrics tell requests apart.
type routeKind int

const (
	// routeUnknown: the request ended before its route was known, or has none.
	routeUnknown routeKind = iota
	routePlain
	routeScattered
	routeCached
)

var routeKindNames = []string{routeUnknown: "unknown", routePlain: "plain", routeScattered: "scattered", routeCached: "cached"}

// statusClasses are the classes of HTTP statuses, by their first digit less one.
var statusClasses = []string{"1xx", "2xx", "3xx", "4xx", "5xx"}

// relayOutcome is what became of a call to a front of another zone.
type relayOutcome int

const (
	relayAnswered relayOutcome = iota
	relayFailed
	relayCanceled
)

var relayOutcomeNames = []string{relayAnswered: "answered", relayFailed: "failed", relayCanceled: "canceled"}

// handlerMetrics count what a Handler did.
type handlerMetrics struct {
	requests   metrics.Table
	rejections metrics.Counters
	relayCalls metrics.Counters
	// authentications counts the verdicts on clients' keys.
	authentications metrics.Counters
}

func newHandlerMetrics(registry *metrics.Registry) handlerMetrics {
	reasons := make([]string, len(rejections))
	for reason := range rejections {
		reasons[reason] = rejections[reason].label
	}
	return handlerMetrics{
		requests: metrics.NewTable(registry, "requests_total", "Clients' requests, by the kind of their route and the class of the status that they were answered with.",
			metrics.Labels{Row: "route_kind", Column: "status_class", RowValues: routeKindNames, ColumnValues: statusClasses}),
		rejections:      metrics.NewCounters(registry, "rejections_total", "Requests answered without a response of an endpoint, by reason.", "reason", reasons),
		relayCalls:      metrics.NewCounters(registry, "relay_calls_total", "Calls to fronts of other zones that gather shards, by what became of them.", "outcome", relayOutcomeNames),
		authentications: metrics.NewCounters(registry, "authentications_total", "Clients' requests on known routes, by what was decided on their key.", "verdict", tenant.VerdictNames),
	}
}

// countRequest counts an exchange once its response is set.
func (m *handlerMetrics) countRequest(e *exchange) {
	class := e.ctx.Response.StatusCode()/100 - 1
	if class >= 0 && class < len(statusClasses) {
		m.requests[e.routeKind()][class].Inc()
	}
}

// routeKind returns the kind of the exchange's route.
func (e *exchange) routeKind() routeKind {
	switch {
	case e.route == nil:
		return routeUnknown
	case len(e.route.Shards) > 0:
		return routeScattered
	case e.route.Cacheable:
		return routeCached
	default:
		return routePlain
	}
}

// countRelayCall counts a call to another front.
func (m *handlerMetrics) countRelayCall(canceled bool, err error) {
	switch {
	case canceled:
		m.relayCalls[relayCanceled].Inc()
	case err != nil:
		m.relayCalls[relayFailed].Inc()
	default:
		m.relayCalls[relayAnswered].Inc()
	}
}
