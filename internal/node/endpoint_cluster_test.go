package node_test

import (
	"bytes"
	"testing"
	"time"

	"swiftswitch/internal/testcluster"
)

// retryBudgetWindow is RetryWindowS of the test clusters: a front that just
// started may not retry before its end.
const retryBudgetWindow = 2200 * time.Millisecond

func TestFaultyEndpointsDoNotReachClients(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	time.Sleep(retryBudgetWindow)
	for _, mode := range []testcluster.Mode{testcluster.ModeError, testcluster.ModeTruncated, testcluster.ModeNotRun, testcluster.ModeSlow, testcluster.ModeNoStamp, testcluster.ModeSurplus} {
		endpoints["s1-a"].SetMode(mode)
		endpoints["plain-a"].SetMode(mode)
		for range 12 {
			response, body, _ := c.Request(11, "GET", "/g/x", "")
			missing := response.Header.Get("Swiftswitch-Missing-Parts")
			if response.StatusCode != 200 || missing == "" && !bytes.Equal(body, testcluster.TopRecords(7, "s1", "s2")) ||
				missing == "1" && !bytes.Equal(body, testcluster.TopRecords(5, "s2")) {
				t.Fatalf("%s: gathered %d %v", mode, response.StatusCode, response.Header)
			}
			if r, body, _ := c.Request(12, "GET", "/p/x", ""); r.StatusCode != 200 || !bytes.Equal(body, testcluster.Records("plain")) {
				t.Fatalf("%s: plain %d %q", mode, r.StatusCode, body)
			}
		}
		endpoints["s1-a"].SetMode(testcluster.ModeNormal)
		endpoints["plain-a"].SetMode(testcluster.ModeNormal)
	}
}

func TestUnsafeRequestsAreExecutedAtMostOnce(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	time.Sleep(retryBudgetWindow)
	a, b := endpoints["plain-a"], endpoints["plain-b"]
	a.SetMode(testcluster.ModeTruncated)
	b.SetMode(testcluster.ModeTruncated)
	for range 5 {
		before := executed(a, b)
		response, _, _ := c.Request(11, "POST", "/u/x", "once")
		if n := executed(a, b) - before; n > 1 || n == 1 && (response.StatusCode == 503 || response.StatusCode == 200) {
			t.Fatalf("executed %d times, status %d", n, response.StatusCode)
		}
	}
}

func TestDrainingEndpointGetsNoRequests(t *testing.T) {
	c, endpoints := testcluster.StartDefault(t)
	c.SetEndpointState("plain-a", "draining")
	time.Sleep(700 * time.Millisecond)
	before := endpoints["plain-a"].RunCount()
	for range 10 {
		if r, _, _ := c.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("with one endpoint draining: %d", r.StatusCode)
		}
	}
	if endpoints["plain-a"].RunCount() != before {
		t.Fatal("a draining endpoint got requests")
	}
}
