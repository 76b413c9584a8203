package control_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/control"
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
	return startStretchedControlNodes(t, 1)
}

// startStretchedControlNodes is startThreeControlNodes with all bounds and
// intervals stretched.
func startStretchedControlNodes(t *testing.T, timeScale float64) *testcluster.Cluster {
	t.Helper()
	w := testcluster.New(t)
	w.TimeScale = timeScale
	for n := 1; n <= 3; n++ {
		w.StartNode(n, true, 1, 2, 3)
	}
	w.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.PutConfiguration(2, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == 200
	})
	return w
}

// restartAll kills nodes all at once and starts them again.
func restartAll(w *testcluster.Cluster, nodes ...string) {
	for _, n := range nodes {
		w.Kill(n)
	}
	for n := range nodes {
		w.StartNode(n+1, false, 1, 2, 3)
	}
}

// ageOrders lets every past order be known for longer than copies may arrive.
func ageOrders(nodes ...*control.Server) {
	for _, h := range nodes {
		h.Loop().Call(func() {
			for slot := range h.OrderKnownSince() {
				h.OrderKnownSince()[slot] -= 4 * time.Duration(h.Host().Settings().Bounds.AcknowledgeMs) * time.Millisecond
			}
		})
	}
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

// Guards against an acknowledged order that is lost: after a restart every order
// of before counted as decided just now, and an equal one as a copy of it.
func TestOrderBackAfterRestartsActsOrIsRefused(t *testing.T) {
	w := startThreeControlNodes(t)
	orderAndSettle(t, w, 1, "v2", consensus.PhaseRolledBack)
	ordered := time.Now()
	orderAndSettle(t, w, 1, "v3", consensus.PhaseCompleted)
	acknowledge := time.Duration(w.Control(1).Host().Settings().Bounds.AcknowledgeMs) * time.Millisecond
	time.Sleep(time.Until(ordered.Add(acknowledge + 100*time.Millisecond)))
	restartAll(w, "1", "2", "3")
	refused := 0
	w.Eventually("the order back is acknowledged", func() bool {
		status := orderPlain(w, 1+refused%3, "v2")
		if status == 503 {
			refused++
		}
		if status != 503 && status != 200 {
			t.Fatalf("the order back: %d", status)
		}
		return status == 200
	})
	for n := 1; n <= 3; n++ {
		w.Eventually("the order is known", func() bool {
			status, r := w.Rollout(n)
			if status == 200 && (r.TargetVersion != "v2" || r.State != "running") {
				t.Fatalf("the acknowledged order is gone, it is %+v", r)
			}
			return status == 200
		})
	}
	if refused == 0 {
		t.Error("it was taken for a new order while a copy could be under way")
	}
}

// Guards against an order that starts twice, or that is refused though it was
// taken: a copy within AcknowledgeMs is acknowledged by every node, also after
// all were restarted, and starts nothing.
func TestCopyActsOnNoNode(t *testing.T) {
	w := startStretchedControlNodes(t, 4) // room for the restarts within AcknowledgeMs
	orderAndSettle(t, w, 1, "v2", consensus.PhaseRolledBack)
	order, _ := w.Control(1).State().Rollout("plain")
	copies := func(when string) {
		t.Helper()
		for n := 1; n <= 3; n++ {
			w.Eventually("a copy is acknowledged "+when, func() bool { return orderPlain(w, n, "v2") == 200 })
			if r, _ := w.Control(n).State().Rollout("plain"); r.OrderSlot != order.OrderSlot || r.Phase != consensus.PhaseRolledBack {
				t.Fatalf("%s a copy at node %d started %+v", when, n, r)
			}
		}
	}
	copies("before the restart")
	restartAll(w, "1", "2", "3")
	copies("after the restart")
}

// Guards against an order after a roll-back that is acknowledged and dropped,
// since it equals the last one of its service.
func TestOrderIsCarriedOutAgainAfterRollBack(t *testing.T) {
	w := startThreeControlNodes(t)
	orderAndSettle(t, w, 1, "v2", consensus.PhaseRolledBack)
	first, _ := w.Control(1).State().Rollout("plain")
	ageOrders(w.Control(1), w.Control(2), w.Control(3))
	w.Eventually("the order is retired on all nodes", func() bool {
		retired := 0
		for n := 1; n <= 3; n++ {
			if w.Control(n).State().RetiredOrderSlot >= first.OrderSlot {
				retired++
			}
		}
		return retired == 3
	})
	w.Eventually("the order anew", func() bool { return orderPlain(w, 3, "v2") == 200 })
	if r, _ := w.Control(3).State().Rollout("plain"); r.OrderSlot == first.OrderSlot || r.Phase != consensus.PhaseCanary {
		t.Errorf("it started nothing: %+v", r)
	}
	if status := orderPlain(w, 3, "v2"); status != 200 {
		t.Errorf("a copy of it: %d", status)
	}
	// Once it is retired it can't be a copy any more, but it still runs.
	ageOrders(w.Control(1), w.Control(2), w.Control(3))
	w.Eventually("the second order is retired", func() bool { return len(w.Control(3).State().PastOrders) == 0 })
	if status := orderPlain(w, 3, "v2"); status != 409 {
		t.Errorf("a further order beside the one that runs: %d", status)
	}
}

// Guards against orders of an earlier program, which did not note when they were
// decided: an equal order is refused until they are retired, and then acts. While
// a node runs that program, nothing is retired that it would not know of.
func TestOrdersOfAnEarlierProgram(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	orderAndSettle(t, w, 1, "v2", consensus.PhaseRolledBack)
	h.Loop().Call(func() {
		past := h.Acceptor().State.PastOrders[0]
		past.OrderedAtMs = 0
		h.Acceptor().State.PastOrders = []consensus.PastOrder{past}
		h.SetPeerFormat(w.IP(9), 0)
	})
	if status := orderPlain(w, 1, "v2"); status != 503 {
		t.Errorf("an equal order: %d", status)
	}
	ageOrders(h)
	h.Loop().Call(func() {
		if slot := h.DueRetirement(); slot != 0 {
			t.Errorf("slot %d is to be retired beside an earlier program", slot)
		}
		h.SetPeerFormat(w.IP(9), consensus.Format)
	})
	w.Eventually("the order is retired", func() bool { return len(h.State().PastOrders) == 0 })
	if status := orderPlain(w, 1, "v2"); status != 200 {
		t.Errorf("the order anew: %d", status)
	}
	if r, _ := h.State().Rollout("plain"); r.Phase != consensus.PhaseCanary {
		t.Errorf("it started nothing: %+v", r)
	}
}

// Guards against an order that starts twice since the state had no room to
// remember it: such an order is refused.
func TestOrdersAreRefusedWhileTooManyAreRemembered(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	targets := []string{"v2", "v3", "v4", "v5"}
	for _, target := range targets {
		orderAndSettle(t, w, 1, target, consensus.PhaseRolledBack)
	}
	if status := orderPlain(w, 1, "v6"); status != 503 {
		t.Errorf("a further order: %d", status)
	}
	for _, target := range targets {
		if status := orderPlain(w, 1, target); status != 200 && status != 503 {
			t.Errorf("a copy of the order to %s: %d", target, status)
		}
	}
	if r, _ := h.State().Rollout("plain"); r.TargetVersion != "v5" || r.Running() {
		t.Errorf("a copy started %+v", r)
	}
	ageOrders(h)
	w.Eventually("the further order, later", func() bool { return orderPlain(w, 1, "v6") == 200 })
}

// fakeVoter answers as a voter that promises everything, and fails to accept. It
// notes the values that it was asked to accept.
type fakeVoter struct {
	id, ip string
	slot   int64

	mu       sync.Mutex
	accepted []consensus.Value
}

func (v *fakeVoter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var answer any
	switch r.URL.Path {
	case nodeapi.PathHeartbeat:
		answer = nodeapi.Heartbeat{ID: v.id, IP: v.ip, DecidedSlot: v.slot, DurableSlot: v.slot}
	case nodeapi.PathPeek:
		answer = nodeapi.PeekResponse{AcceptorID: v.id, DecidedSlot: v.slot}
	case nodeapi.PathConsensus:
		var request nodeapi.ConsensusRequest
		if err := json.NewDecoder(r.Body).Decode(&request); err == nil && request.Value == nil {
			answer = nodeapi.ConsensusResponse{Response: consensus.Response{AcceptorID: v.id, DecidedSlot: v.slot, OK: true, Promised: request.Ballot}}
		} else if err == nil {
			v.mu.Lock()
			v.accepted = append(v.accepted, *request.Value)
			v.mu.Unlock()
		}
	}
	if answer == nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// Guards against an accepted value that changes after it was accepted, since its
// proposer goes on to write to it for the next ballot.
func TestAcceptedOrderDoesNotChange(t *testing.T) {
	w := startThreeControlNodes(t)
	two := w.Control(2)
	voter := &fakeVoter{id: two.ID(), ip: w.IP(2), slot: w.Control(1).State().Slot}
	w.Kill("2")
	w.Kill("3")
	w.ServeFakeNode(2, voter.ServeHTTP)
	w.Eventually("the order is proposed in several ballots", func() bool {
		orderPlain(w, 1, "v2")
		voter.mu.Lock()
		defer voter.mu.Unlock()
		return len(voter.accepted) > 3
	})
	voter.mu.Lock()
	defer voter.mu.Unlock()
	for _, value := range voter.accepted {
		if first := voter.accepted[0]; !value.Equal(first) {
			t.Fatalf("%+v was accepted, and %+v is proposed later", first.Rollout, value.Rollout)
		}
	}
}
