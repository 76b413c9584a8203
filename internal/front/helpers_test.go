package front

import (
	"testing"

	"swiftswitch/internal/config"
	"swiftswitch/internal/host"
)

const (
	testIP   = "10.0.0.1"
	otherIP  = "10.0.0.2"
	testZone = "zone-a"
)

// newTestHost returns a host whose heartbeat interval is so many milliseconds.
// With 0 every delay in heartbeats is over; with hourMs none is.
func newTestHost(t *testing.T, heartbeatMs float64) *host.Host {
	t.Helper()
	h := host.New(&config.Settings{
		NodeName:            "node-1",
		IpAddress:           testIP,
		Zone:                testZone,
		Region:              "region-1",
		Zones:               map[string]string{testZone: "region-1", "zone-b": "region-1", "zone-c": "region-2"},
		HeartbeatIntervalMs: heartbeatMs,
		Bounds:              &config.Bounds{CatchUpS: 3600},
		Limits:              &config.MachineLimits{},
	}, host.DefaultOptions())
	t.Cleanup(h.ViewLoop.Close)
	return h
}

const hourMs = 3600 * 1000
