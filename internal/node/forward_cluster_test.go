package node_test

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/host"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// startForwardingFront starts front 11 with the listener for other nodes alone.
// It knows of control nodes 9 and 8.
func startForwardingFront(t *testing.T, c *testcluster.Cluster) *node.Node {
	t.Helper()
	n, err := node.Open(c.Settings(11, false, 9, 8), "", host.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Listen(); err != nil {
		t.Fatal(err)
	}
	c.Nodes["11"] = n
	go n.PauseLoop()
	return n
}

func TestForwardHedgesANodeThatHangs(t *testing.T) {
	c := testcluster.New(t)
	n := startForwardingFront(t, c)
	release := make(chan struct{})
	var hung, settled atomic.Int32
	var timeLeft atomic.Value
	c.ServeFakeNode(9, func(http.ResponseWriter, *http.Request) { hung.Add(1); <-release })
	c.ServeFakeNode(8, func(w http.ResponseWriter, r *http.Request) {
		settled.Add(1)
		timeLeft.Store(r.Header.Get(nodeapi.HeaderTimeLeft))
		w.Header().Set("ETag", "7")
		w.Header().Set("Retry-After", "0.25")
		w.WriteHeader(412)
	})
	defer close(release)
	timeout := node.CallerTimeout(n.Settings().Bounds.AcknowledgeMs, len(testcluster.RolloutBody))
	begun := time.Now()
	status, header := c.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
	if took := time.Since(begun); status != 412 || took > timeout {
		t.Fatalf("the second node's answer: %d after %v of %v", status, took, timeout)
	}
	if header.Get("ETag") != "7" || header.Get("Retry-After") != "0.25" {
		t.Errorf("headers of the answer are lost: %v", header)
	}
	// What is left of the caller's time-out counts from the first node on.
	if ms, err := strconv.Atoi(timeLeft.Load().(string)); err != nil || ms <= 0 || ms > int(timeout.Milliseconds()*8/10) {
		t.Errorf("forwarded with %q ms of %v left", timeLeft.Load(), timeout)
	}
	// The one that hangs is asked last from now on.
	if status, _ := c.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil); status != 412 || hung.Load() != 1 || settled.Load() != 2 {
		t.Errorf("%d; the one that hangs was asked %d times, the other %d", status, hung.Load(), settled.Load())
	}
	if status, _ = c.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, map[string]string{nodeapi.HeaderForwardedBy: "x"}); status != 503 {
		t.Errorf("forwarded twice: %d", status)
	}
}

func TestForwardEndsWithTheCallersTimeout(t *testing.T) {
	c := testcluster.New(t)
	n := startForwardingFront(t, c)
	release := make(chan struct{})
	defer close(release)
	for _, number := range []int{8, 9} {
		c.ServeFakeNode(number, func(http.ResponseWriter, *http.Request) { <-release })
	}
	timeout := node.CallerTimeout(n.Settings().Bounds.AcknowledgeMs, len(testcluster.RolloutBody))
	begun := time.Now()
	status, header := c.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
	if took := time.Since(begun); status != 503 || took > timeout+timeout/2 {
		t.Errorf("nobody answers: %d after %v, the caller's time-out is %v", status, took, timeout)
	}
	testcluster.CheckRetryAfter(t, header)
}

func TestPausedNodeRejectsOrders(t *testing.T) {
	c, control := testcluster.StartSingleControlNode(t)
	n := c.Nodes["1"]
	threshold := n.PauseThreshold()
	paused := make(chan struct{})
	go n.ViewLoop.Call(func() { close(paused); time.Sleep(3 * threshold) })
	<-paused
	for path, body := range map[string]string{nodeapi.PathRollouts: testcluster.RolloutBody, nodeapi.PathPurge: `{"Tag":"x"}`} {
		status, header := c.PostOperator(1, path, body, nil)
		if status != 503 {
			t.Errorf("%s: an order that may be an old one: %d", path, status)
		}
		testcluster.CheckRetryAfter(t, header)
	}
	if state := control.State(); len(state.Rollouts) > 0 || state.PurgeSeq > 0 {
		t.Fatalf("it started something: %+v", state.Rollouts)
	}
	c.Eventually("orders are taken again", func() bool {
		status, _ := c.PostOperator(1, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
		return status == 200
	})
	// A change of the configuration is taken after a pause too: a late one would
	// be rejected because of its base version.
	go n.ViewLoop.Call(func() { time.Sleep(2 * threshold) })
	if status, body := c.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "s1")); status != 200 {
		t.Errorf("a change after a pause: %d %s", status, body)
	}
}
