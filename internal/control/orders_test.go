package control_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

// After a call's deadline nothing is proposed for it, even if it then acquires
// the proposal lock.
func TestNothingStartsPastThePatience(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	before := h.State()
	h.ProposalLock().Lock()
	calls := 0
	got := make(chan int, 4)
	for path, body := range map[string]string{nodeapi.PathRollouts: testcluster.RolloutBody, nodeapi.PathPurge: `{"Tag":"x"}`} {
		calls++
		go func() {
			status, head := w.PostOperator(1, path, body, map[string]string{nodeapi.HeaderForwardedBy: "x", nodeapi.HeaderTimeLeft: "120"})
			testcluster.CheckRetryAfter(t, head)
			got <- status
		}()
	}
	time.Sleep(250 * time.Millisecond)
	h.ProposalLock().Unlock()
	for range calls {
		if status := <-got; status != 503 {
			t.Errorf("past the deadline: %d", status)
		}
	}
	h.ProposalLock().Lock()
	go func() {
		status := h.ChangeConfiguration(false, testcluster.ConfigurationBody(5, "s1"), "3", time.Now().Add(50*time.Millisecond))
		got <- status
	}()
	time.Sleep(150 * time.Millisecond)
	h.ProposalLock().Unlock()
	if status := <-got; status != 503 {
		t.Errorf("a change past the deadline: %d", status)
	}
	if s := h.State(); s.Slot != before.Slot {
		t.Errorf("%d slots were decided", s.Slot-before.Slot)
	}
}

// settleOrder has the last phase of the plain service's order decided.
func settleOrder(t *testing.T, h *control.Server, phase consensus.Phase) {
	t.Helper()
	h.ProposalLock().Lock()
	defer h.ProposalLock().Unlock()
	for range 20 {
		s := h.State()
		r, _ := s.Rollout("plain")
		if r.Phase == phase {
			return
		}
		h.Propose(s, &consensus.Value{Rollout: &consensus.Rollout{OrderSlot: r.OrderSlot, Service: "plain", Phase: phase}})
	}
	t.Fatalf("the order did not become %s", phase)
}

func TestLateCopyOfAnEarlierOrderStartsNothing(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	order := func(target string) int {
		t.Helper()
		status, _ := w.PostOperator(1, nodeapi.PathRollouts, strings.Replace(testcluster.RolloutBody, "v2", target, 1), nil)
		return status
	}
	last := func(want string, phase consensus.Phase) {
		t.Helper()
		if r, _ := h.State().Rollout("plain"); r.TargetVersion != want || r.Phase != phase {
			t.Fatalf("the last order is %+v, want %s %s", r, want, phase)
		}
	}
	if status := order("v2"); status != 200 {
		t.Fatalf("%d", status)
	}
	settleOrder(t, h, consensus.PhaseRolledBack)
	if status := order("v2"); status != 200 {
		t.Fatalf("the same order again: %d", status)
	}
	last("v2", consensus.PhaseRolledBack)
	if status := order("v3"); status != 200 {
		t.Fatalf("the next order: %d", status)
	}
	// While the next one runs, a late copy is acknowledged again; another order is not.
	if status := order("v2"); status != 200 {
		t.Errorf("a late copy beside a running order: %d", status)
	}
	if status := order("v4"); status != 409 {
		t.Errorf("another order beside a running one: %d", status)
	}
	last("v3", consensus.PhaseCanary)
	settleOrder(t, h, consensus.PhaseCompleted)
	if status := order("v2"); status != 200 {
		t.Errorf("a late copy: %d", status)
	}
	last("v3", consensus.PhaseCompleted)
	// Long after, the log decides that it is a new order.
	h.Loop().Call(func() {
		for slot := range h.OrderKnownSince() {
			h.OrderKnownSince()[slot] -= 4 * time.Duration(h.Host().Settings().Bounds.AcknowledgeMs) * time.Millisecond
		}
	})
	w.Eventually("the orders are retired", func() bool { return len(h.State().PastOrders) == 0 })
	if status := order("v2"); status != 200 {
		t.Errorf("the order anew: %d", status)
	}
	last("v2", consensus.PhaseCanary)
}

// A node that is behind reads from a majority before it rejects an order.
func TestOrderAtANodeThatIsBehind(t *testing.T) {
	w := startThreeControlNodes(t)
	one, two := w.Nodes["1"].Control(), w.Nodes["2"].Control()
	w.Eventually("the first order", func() bool {
		status, _ := w.PostOperator(1, nodeapi.PathRollouts, testcluster.RolloutBody, nil)
		return status == 200
	})
	w.Eventually("both know it", func() bool { _, ok := two.State().Rollout("plain"); return ok })
	old := two.State()
	settleOrder(t, one, consensus.PhaseRolledBack)
	w.Eventually("the end is known", func() bool { r, _ := two.State().Rollout("plain"); return !r.Running() })
	two.Loop().Call(func() { two.Acceptor().State = old })
	if status, _ := w.PostOperator(2, nodeapi.PathRollouts, strings.Replace(testcluster.RolloutBody, "v2", "v3", 1), nil); status != 200 {
		t.Errorf("an order where the node took the last one for running: %d", status)
	}
	if r, _ := two.State().Rollout("plain"); r.TargetVersion != "v3" {
		t.Errorf("the last order is %+v", r)
	}
}

// The answer to a change that lost names the current version.
func TestLostChangeNamesTheCurrentVersion(t *testing.T) {
	w, h := testcluster.StartSingleControlNode(t)
	for match, want := range map[string]string{"2": "3", "9": "3"} {
		req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:8090%s", w.IP(1), nodeapi.PathConfiguration), strings.NewReader(testcluster.ConfigurationBody(11, "s1")))
		req.Header.Set("If-Match", match)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		var say struct{ Error string }
		_ = json.NewDecoder(resp.Body).Decode(&say)
		_ = resp.Body.Close()
		if resp.StatusCode != 412 || resp.Header.Get("ETag") != want || !strings.Contains(say.Error, "version "+want) {
			t.Errorf("on top of %s: %d, ETag %q, %q", match, resp.StatusCode, resp.Header.Get("ETag"), say.Error)
		}
	}
	if h.State().Version != 3 {
		t.Error("it is in force")
	}
}
