package control_test

import (
	"strings"
	"testing"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// orderPlain orders the plain service to a version at node n, once.
func orderPlain(w *testcluster.Cluster, n int, target string) int {
	status, _ := w.PostOperator(n, nodeapi.PathRollouts, strings.Replace(testcluster.RolloutBody, "v2", target, 1), nil)
	return status
}

// orderAndSettle orders the plain service to a version and has the end decided.
func orderAndSettle(t *testing.T, w *testcluster.Cluster, n int, target string, end consensus.Phase) {
	t.Helper()
	w.Eventually("the order to "+target, func() bool { return orderPlain(w, n, target) == 200 })
	settleOrder(t, w.Control(n), end)
}

// startThreeControlNodes starts three control nodes with a configuration.
func startThreeControlNodes(t *testing.T) *testcluster.Cluster {
	t.Helper()
	w := testcluster.New(t)
	for n := 1; n <= 3; n++ {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	return w
}

// Guards against an acknowledged order that is lost: a node that missed the
// later orders of a service took an order for a copy by its own old state.
func TestNodeWithoutMajorityAcknowledgesNoOrder(t *testing.T) {
	w := startThreeControlNodes(t)
	orderAndSettle(t, w, 1, "v2", consensus.PhaseCompleted)
	w.Eventually("the third node knows the end", func() bool {
		r, _ := w.Control(3).State().Rollout("plain")
		return r.Phase == consensus.PhaseCompleted
	})
	w.Kill("3")
	orderAndSettle(t, w, 1, "v3", consensus.PhaseCompleted)
	w.Kill("1")
	w.Kill("2")
	w.StartNode(3, false, 1, 2, 3)
	if status := orderPlain(w, 3, "v2"); status != 503 {
		t.Errorf("a node alone, with an old state, answers %d", status)
	}
	w.StartNode(1, false, 1, 2, 3)
	w.StartNode(2, false, 1, 2, 3)
	w.Eventually("the last order is read", func() bool {
		status, r := w.Rollout(2)
		return status == 200 && r.TargetVersion == "v3"
	})
}
