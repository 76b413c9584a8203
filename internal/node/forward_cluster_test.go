package node_test

import (
	"net/http"
	"strconv"
	"swiftswitch/internal/host"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
	"sync/atomic"
	"testing"
	"time"
)

// gateway is a front that only takes calls, and knows of huts 9 and 8.
func gateway(w *testcluster.Cluster) *node.Node {
	n, err := node.Open(w.Settings(11, false, 9, 8), "", host.DefaultOptions())
	if err != nil {
		w.T.Fatal(err)
	}
	if !n.Listen() {
		w.T.Fatal("it does not listen")
	}
	w.Nodes["11"] = n
	go n.PauseLoop()
	return n
}

func TestPassedOnPastANodeThatHangs(t *testing.T) {
	w := testcluster.New(t)
	n := gateway(w)
	hold := make(chan struct{})
	var hung, settled atomic.Int32
	var left atomic.Value
	w.ServeFakeNode(9, func(http.ResponseWriter, *http.Request) { hung.Add(1); <-hold })
	w.ServeFakeNode(8, func(rw http.ResponseWriter, r *http.Request) {
		settled.Add(1)
		left.Store(r.Header.Get(nodeapi.HeaderTimeLeft))
		rw.Header().Set("ETag", "7")
		rw.Header().Set("Retry-After", "0.25")
		rw.WriteHeader(412)
	})
	defer close(hold)
	own := node.CallerTimeout(n.Settings().Bounds.AcknowledgeMs, len(testcluster.RolloutBody))
	at := time.Now()
	status, h := w.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
	if took := time.Since(at); status != 412 || took > own {
		t.Fatalf("the second node's answer: %d after %v of %v", status, took, own)
	}
	if h.Get("ETag") != "7" || h.Get("Retry-After") != "0.25" {
		t.Errorf("headers of the answer are lost: %v", h)
	}
	if ms, err := strconv.Atoi(left.Load().(string)); err != nil || ms <= 0 || ms > int(own.Milliseconds()*8/10) {
		t.Errorf("it was told that %q ms of %v are left", left.Load(), own)
	}
	// The one that hangs is asked last from now on.
	if status, _ := w.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil); status != 412 || hung.Load() != 1 || settled.Load() != 2 {
		t.Errorf("%d; the one that hangs was asked %d times, the other %d", status, hung.Load(), settled.Load())
	}
	// What is left of the patience counts from the first node on.
	if status, _ = w.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, map[string]string{nodeapi.HeaderForwardedBy: "x"}); status != 503 {
		t.Errorf("passed on twice: %d", status)
	}
}

func TestPassedOnWithinThePatience(t *testing.T) {
	w := testcluster.New(t)
	n := gateway(w)
	hold := make(chan struct{})
	defer close(hold)
	for _, n := range []int{8, 9} {
		w.ServeFakeNode(n, func(http.ResponseWriter, *http.Request) { <-hold })
	}
	own := node.CallerTimeout(n.Settings().Bounds.AcknowledgeMs, len(testcluster.RolloutBody))
	at := time.Now()
	status, h := w.PostOperator(11, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
	if took := time.Since(at); status != 503 || took > own+own/2 {
		t.Errorf("nobody answers: %d after %v, the patience is %v", status, took, own)
	}
	testcluster.CheckRetryAfter(t, h)
}

func TestOrderThatWaitedInAFrozenNode(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	gap := w.Nodes["1"].PauseThreshold()
	frozen := make(chan struct{})
	go w.Nodes["1"].ViewLoop.Call(func() { close(frozen); time.Sleep(3 * gap) })
	<-frozen
	for path, body := range map[string]string{nodeapi.PathRollouts: testcluster.RolloutBody, nodeapi.PathPurge: `{"Tag":"x"}`} {
		status, head := w.PostOperator(1, path, body, nil)
		if status != 503 {
			t.Errorf("%s: an order that may be an old one: %d", path, status)
		}
		testcluster.CheckRetryAfter(t, head)
	}
	if s := h.State(); len(s.Rollouts) > 0 || s.PurgeSeq > 0 {
		t.Fatalf("it started something: %+v", s.Rollouts)
	}
	// A change bears its lateness, and later orders are taken.
	w.Eventually("orders are taken again", func() bool {
		status, _ := w.PostOperator(1, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
		return status == 200
	})
	go w.Nodes["1"].ViewLoop.Call(func() { time.Sleep(2 * gap) })
	if status, body := w.PutConfiguration(1, "PUT", "3", testcluster.ConfigurationBody(5, "s1")); status != 200 {
		t.Errorf("a change after a freeze: %d %s", status, body)
	}
}
