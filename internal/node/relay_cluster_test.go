package node_test

import (
	"bytes"
	"strings"
	"testing"

	"swiftswitch/internal/testcluster"
)

// Shards without an endpoint in the zone of front 11 are gathered by front 12,
// in whose zone they are.
func TestRelayThroughAFrontOfAnotherZone(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	addEndpoints(c, endpoints, "f1-far", "f2-far", "f3-far")
	if status, body := c.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "s1", "f1", "f2", "f3")); status != 200 {
		t.Fatalf("%d %s", status, body)
	}
	want := testcluster.TopRecords(7, "s1", "f1", "f2", "f3")
	relayed := func() int64 { return c.Nodes["12"].Front().Status().Relayed }
	c.Eventually("the other front helps", func() bool {
		response, body, _ := c.Request(11, "GET", "/g/x?y=%2F", "")
		return response.StatusCode == 200 && bytes.Equal(body, want) && relayed() > 0
	})
	before := relayed()
	for range 20 {
		response, body, id := c.Request(11, "GET", "/g/x", "")
		stamps := strings.Split(response.Header.Get("Swiftswitch-Part-Stamps"), ", ")
		if response.StatusCode != 200 || !bytes.Equal(body, want) || len(stamps) != 4 || strings.Count(strings.Join(stamps, " "), id) != 4 {
			t.Fatalf("%d %v", response.StatusCode, response.Header)
		}
	}
	if relayed()-before < 15 {
		t.Fatalf("the other front helped with %d of 20", relayed()-before)
	}
	// One of the remote endpoints fails: its part is missing, or retried, and
	// nothing is mixed.
	endpoints["f2-far"].SetMode(testcluster.ModeError)
	for range 8 {
		response, body, _ := c.Request(11, "GET", "/g/x", "")
		if response.StatusCode != 200 || response.Header.Get("Swiftswitch-Missing-Parts") != "1" || !bytes.Equal(body, testcluster.TopRecords(7, "s1", "f1", "f3")) {
			t.Fatalf("with one part failing: %d %v", response.StatusCode, response.Header)
		}
	}
	endpoints["f2-far"].SetMode(testcluster.ModeNormal)
	// Without the other front the endpoints are reached directly.
	c.Kill("12")
	for range 8 {
		if response, body, _ := c.Request(11, "GET", "/g/x", ""); response.StatusCode != 200 || !bytes.Equal(body, want) {
			t.Fatalf("without the other front: %d %v", response.StatusCode, response.Header)
		}
	}
}
