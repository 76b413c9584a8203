package control_test

import (
	"fmt"
	"testing"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// A value that one voter accepted from a proposer that is gone is decided, though
// nobody reads or changes anything.
func TestAcceptedValueIsDecided(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	waitVersion(w, 3, 1, 2, 3)
	h := w.Control(2)
	body := testcluster.ConfigurationBody(9, "s1")
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: body}}}
	if response, err := h.HandleConsensus(m); err != nil || !response.OK {
		t.Fatalf("not accepted: %+v %v", response, err)
	}
	waitVersion(w, 9, 1, 2, 3)
	if s := w.Control(3).State(); s.Body != body {
		t.Errorf("the outcome is %s", s.Body)
	}
}

// waitVersion waits until these control nodes hold a version.
func waitVersion(w *testcluster.Cluster, version int64, nodes ...int) {
	w.T.Helper()
	w.Eventually(fmt.Sprint("all hold version ", version), func() bool {
		for _, k := range nodes {
			if w.Control(k).State().Version != version {
				return false
			}
		}
		return true
	})
}
