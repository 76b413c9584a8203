package control_test

import (
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// pollOnce sends a long poll to a control node, which answers it soon.
func pollOnce(t *testing.T, w *testcluster.Cluster, n int) (response nodeapi.WatchResponse) {
	t.Helper()
	node := w.Control(n).Host()
	request := nodeapi.WatchRequest{Name: "poller", IP: "127.0.0.9", Slot: 1 << 40, KnownPurge: -1, MaxHoldMs: 1}
	address := node.Settings().InternalAddress(w.IP(n))
	if err := node.Client.CallJSON(address, nodeapi.PathWatch, request, &response, 3*time.Second); err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against keys that a front accepts on the word of a control node which
// just started: it has heard nobody, and the time since its start says nothing.
func TestNodeThatJustStartedClaimsNoMajority(t *testing.T) {
	w := startThreeControlNodes(t)
	for _, n := range []string{"1", "2", "3"} {
		w.Kill(n)
	}
	lone := w.StartNode(3, false, 1, 2, 3).Control()
	for end := time.Now().Add(lone.Host().Heartbeats(2)); time.Now().Before(end); {
		if response := pollOnce(t, w, 3); !response.LacksMajority {
			t.Fatal("a node alone claims a majority")
		}
		if status := lone.Status(); !status.Isolated || status.MajorityAgeMs >= 0 {
			t.Fatalf("a node alone shows isolated %v, a majority %d ms ago", status.Isolated, status.MajorityAgeMs)
		}
	}
	w.StartNode(1, false, 1, 2, 3)
	w.Eventually("it hears a majority", func() bool { return !pollOnce(t, w, 3).LacksMajority })
}
