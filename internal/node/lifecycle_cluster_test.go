package node_test

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"swiftswitch/internal/config"
	"swiftswitch/internal/testcluster"
)

func TestReloadTakesValidSettingsOnly(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	n := c.Nodes["11"]
	path := filepath.Join(t.TempDir(), "boot.yaml")
	n.SetSettingsPath(path)
	settings := func(seed string) string {
		return fmt.Sprintf("{NodeName: node, IpAddress: %q, Zone: z1, Serves: [], InternalPortRange: [%d, %d], SeedNodes: [%q], HeartbeatIntervalMs: 300, Bounds: {InTouchMs: 1000, AcknowledgeMs: 2500, CatchUpS: 1, DrainMs: 800, GraceS: 2, ConfigEffectMs: 1000, RetryWindowS: 2}}",
			c.IP(11), c.Port, c.Port+10, seed)
	}
	for _, test := range []struct{ text, wantSeed string }{
		{settings("10.9.9.9:1"), "10.9.9.9:1"},
		{settings("nowhere"), "10.9.9.9:1"},
		{"{", "10.9.9.9:1"},
		{strings.Replace(settings("10.9.9.8:1"), c.IP(11), "10.1.1.1", 1), "10.9.9.9:1"},
		{settings("10.9.9.7:1"), "10.9.9.7:1"},
	} {
		if err := os.WriteFile(path, []byte(test.text), 0o644); err != nil {
			t.Fatal(err)
		}
		n.Reload()
		if got := n.Settings().SeedNodes[0]; got != test.wantSeed {
			t.Fatalf("after %s the seed is %s", test.text, got)
		}
	}
}

// Requests in flight end well within GraceS; new connections go elsewhere.
func TestDrainOfAFront(t *testing.T) {
	const grace = 2 * time.Second
	c, endpoints := testcluster.StartDefault(t)
	n := c.Nodes["11"]
	settings := proto.Clone(n.Settings()).(*config.Settings)
	settings.Bounds.GraceS = grace.Seconds()
	n.SetSettings(settings)
	endpoints["plain-a"].SetMode(testcluster.ModeSlow)
	endpoints["plain-b"].SetMode(testcluster.ModeSlow)
	type outcome struct {
		status int
		closed bool
	}
	inFlight := make(chan outcome)
	go func() {
		response, _, _ := c.Request(11, "GET", "/p/x", "")
		inFlight <- outcome{status: response.StatusCode, closed: response.Close}
	}()
	time.Sleep(100 * time.Millisecond)
	delete(c.Nodes, "11")
	begun := time.Now()
	drained := make(chan time.Duration)
	go func() { n.Drain(); drained <- time.Since(begun) }()
	time.Sleep(100 * time.Millisecond)
	if c.IsFrontReady(11) {
		t.Fatal("a draining front calls itself ready")
	}
	if got := <-inFlight; got.status != 200 || !got.closed {
		t.Fatalf("a request in flight ended with %+v", got)
	}
	if took := <-drained; took > grace {
		t.Fatalf("draining took %v", took)
	}
	if _, err := net.DialTimeout("tcp", c.IP(11)+":8080", time.Second); err == nil {
		t.Fatal("a front that drained still listens")
	}
}
