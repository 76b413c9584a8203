package front

import (
	"math"

	"swiftswitch/internal/metrics"
)

// Gauges returns the node's figures as a front or cache node, for its metrics.
func (s *Server) Gauges() []metrics.Gauge {
	status := s.Status()
	return []metrics.Gauge{
		{Name: "front_configuration_version", Help: "Version of the configuration that requests are routed by.", Value: float64(status.Current)},
		{Name: "front_configuration_age_seconds", Help: "How long ago that version came into force at this node.", Value: float64(status.CurrentAgeMs) / 1000},
		{Name: "front_configuration_newest_version", Help: "Newest version that this node received.", Value: float64(status.LastBuilt)},
		{Name: "front_unsupported", Help: "Things that the newest version asks for and this program does not do.", Value: float64(len(status.Unsupported))},
		{Name: "front_tenants", Help: "Tenants of that version.", Value: float64(status.Tenants)},
		{Name: "front_tenant_keys", Help: "Keys of these tenants.", Value: float64(status.TenantKeys)},
		{Name: "front_ready", Help: "Whether the node calls itself ready.", Value: boolGauge(status.Ready)},
		{Name: "front_requests_in_flight", Help: "Requests under way.", Value: float64(status.InFlight)},
		{Name: "front_relayed_requests", Help: "Requests gathered for other fronts since the start.", Value: float64(status.Relayed)},
		{Name: "front_endpoints", Help: "Endpoints in the table.", Value: float64(status.Endpoints)},
		{Name: "front_endpoints_unhealthy", Help: "Endpoints that do not answer this node.", Value: float64(status.Connections.Unhealthy)},
		{Name: "front_endpoints_reported_unreachable", Help: "Endpoints that other nodes report as unreachable.", Value: float64(status.Connections.ReportedUnreachable)},
		{Name: "front_upstream_connections", Help: "Open connections to endpoints.", Value: float64(status.Connections.OpenConnections)},
		{Name: "front_majority_silence_seconds", Help: "Time since an answer of a control node in contact with a majority; endless where there was none since the start.", Value: s.majoritySilenceSeconds()},
		{Name: "front_count", Help: "Fronts in the cluster, as this node was told.", Value: float64(status.FrontCount)},
		{Name: "front_cached_objects", Help: "Objects in the node's cache.", Value: float64(status.CachedObjects)},
		{Name: "front_cached_bytes", Help: "Bytes in the node's cache.", Value: float64(status.CachedBytes)},
		{Name: "front_object_fetches", Help: "Attempts to fetch an object since the start.", Value: float64(status.Fetches)},
	}
}

// majoritySilenceSeconds is how long the node has had no contact with a majority.
func (s *Server) majoritySilenceSeconds() float64 {
	if _, silence := s.majority.clock(); silence < endlessSilence {
		return silence.Seconds()
	}
	return math.Inf(1)
}

func boolGauge(value bool) float64 {
	if value {
		return 1
	}
	return 0
}
