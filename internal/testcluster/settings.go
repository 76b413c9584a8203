package testcluster

import (
	"fmt"
	"strings"

	"swiftswitch/internal/config"
)

// Numbers of the kinds of nodes.
const (
	maxControlNode = 9
	maxFront       = 20
	// remoteFront is the front in zone z2.
	remoteFront = 12
)

// Ports of the addresses that clients and the operator call.
const (
	frontPort     = 8080
	readinessPort = 8081
	controlPort   = 8090
)

func isControlNode(n int) bool { return n <= maxControlNode }

func isCacheNode(n int) bool { return n > maxFront }

// Settings returns the settings of node n.
func (c *Cluster) Settings(n int, firstStart bool, seeds ...int) *config.Settings {
	serves, listen, dataDir := "", "", ""
	switch {
	case isControlNode(n):
		serves = "control"
		listen = fmt.Sprintf("ControlAddress: %q", c.address(n, controlPort))
		dataDir = c.DataDir(n)
	case isCacheNode(n):
		dataDir = c.DataDir(n)
	default:
		serves = "front"
		listen = fmt.Sprintf("FrontAddress: %q, ReadinessAddress: %q", c.address(n, frontPort), c.address(n, readinessPort))
	}
	zone := "z1"
	if n == remoteFront {
		zone = "z2"
	}
	var seedNodes []string
	for _, seed := range seeds {
		seedNodes = append(seedNodes, fmt.Sprintf("%q", c.address(seed, controlPort)))
	}
	text := fmt.Sprintf(`{NodeName: "node-%d", IpAddress: %q, Zone: %s, Serves: [%s], InternalPortRange: [%d, %d], SeedNodes: [%s], FirstStart: %v, DataDirectory: %q, HeartbeatIntervalMs: 300, ToleratedLosses: {Machines: %d},
 ListenAddresses: {%s},
 Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 1, ConfigEffectMs: 1000, RetryBudgetRatio: 0.5, RetryWindowS: 2, RetryBudgetSlack: 100, ExposureShare: 0.3, ExposureSlack: 50, RollbackMs: 1500}, CloudApi: {Address: %q}}`,
		n, c.IP(n), zone, serves, c.Port, c.Port+10, strings.Join(seedNodes, ","), firstStart, dataDir, c.ToleratedLosses, listen, c.platform.Listener.Addr())
	settings, err := config.ParseSettings([]byte(text))
	if err != nil {
		c.T.Fatalf("settings: %v\n%s", err, text)
	}
	return settings
}

func (c *Cluster) address(n, port int) string { return fmt.Sprintf("%s:%d", c.IP(n), port) }
