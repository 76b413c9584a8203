package testcluster

import (
	"cmp"
	"fmt"
	"strings"
	"time"

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

// Bounds on quotas of the settings.
const (
	quotaWindow    = time.Second
	quotaOvershoot = 0.1
	quotaSlack     = 5
)

func isControlNode(n int) bool { return n <= maxControlNode }

func (c *Cluster) isCacheNode(n int) bool { return n > cmp.Or(c.LastFront, maxFront) }

// ConfigurationEffect is ConfigEffectMs of the settings.
func (c *Cluster) ConfigurationEffect() time.Duration { return c.scaled(configurationEffect) }

// scaled returns a time of the settings, stretched by TimeScale.
func (c *Cluster) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * cmp.Or(c.TimeScale, 1))
}

// Settings returns the settings of node n.
func (c *Cluster) Settings(n int, firstStart bool, seeds ...int) *config.Settings {
	serves, listen, dataDir := "", "", ""
	switch {
	case isControlNode(n):
		serves = "control"
		listen = fmt.Sprintf("ControlAddress: %q", c.address(n, controlPort))
		dataDir = c.DataDir(n)
	case c.isCacheNode(n):
		dataDir = c.DataDir(n)
	default:
		serves = "front"
		listen = fmt.Sprintf("FrontAddress: %q, ReadinessAddress: %q", c.address(n, frontPort), c.address(n, readinessPort))
	}
	scale := cmp.Or(c.TimeScale, 1)
	zone := "z1"
	if n == remoteFront {
		zone = "z2"
	}
	var seedNodes []string
	for _, seed := range seeds {
		seedNodes = append(seedNodes, fmt.Sprintf("%q", c.address(seed, controlPort)))
	}
	text := fmt.Sprintf(`{NodeName: "node-%d", IpAddress: %q, Zone: %s, Serves: [%s], InternalPortRange: [%d, %d], SeedNodes: [%s], FirstStart: %v, DataDirectory: %q, HeartbeatIntervalMs: %v, ToleratedLosses: {Machines: %d},
 Limits: {MemoryMb: %v, FileDescriptors: %d},
 ListenAddresses: {%s},
 Bounds: {InTouchMs: %v, AcknowledgeMs: %v, CatchUpS: %v, DrainMs: %v, GraceS: %v, ConfigEffectMs: %v, RetryBudgetRatio: 0.5, RetryWindowS: 2, RetryBudgetSlack: 100, ExposureShare: 0.3, ExposureSlack: 50, RollbackMs: %v, RevocationClosed: %v, RevocationMs: %v, QuotaWindowS: %v, QuotaOvershoot: %v, QuotaSlack: %v}, CloudApi: {Address: %q}}`,
		n, c.IP(n), zone, serves, c.Port, c.Port+10, strings.Join(seedNodes, ","), firstStart, dataDir, 300*scale, c.ToleratedLosses,
		c.MemoryMb, c.FileDescriptors, listen,
		c.scaled(inTouchTime).Milliseconds(), 2500*scale, 1*scale, 800*scale, 1*scale, c.scaled(configurationEffect).Milliseconds(), 1500*scale,
		c.RevocationMs > 0, c.RevocationMs*scale, c.QuotaWindow().Seconds(), quotaOvershoot, quotaSlack, c.platform.Listener.Addr())
	settings, err := config.ParseSettings([]byte(text))
	if err != nil {
		c.T.Fatalf("settings: %v\n%s", err, text)
	}
	return settings
}

// QuotaWindow is QuotaWindowS of the settings.
func (c *Cluster) QuotaWindow() time.Duration { return c.scaled(quotaWindow) }

// revocation is after how long a removed key runs nowhere any more, 0 for no bound.
func (c *Cluster) revocation() time.Duration {
	return c.scaled(time.Duration(c.RevocationMs * float64(time.Millisecond)))
}

func (c *Cluster) address(n, port int) string { return fmt.Sprintf("%s:%d", c.IP(n), port) }
