package control_test

import (
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/testcluster"
)

func TestRolloutCompletesWhileLeaseHolderFails(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	failed := w.StartTraffic()
	news := []*testcluster.Endpoint{w.AddEndpoint("plain", "plain-c-new"), w.AddEndpoint("plain", "plain-d-new")}
	if status, _ := w.Rollout(1); status != 404 {
		t.Fatalf("never ordered: %d", status)
	}
	time.Sleep(600 * time.Millisecond)
	if news[0].RunCount()+news[1].RunCount() > 0 {
		t.Fatal("a version that nobody ordered was asked")
	}
	// An order by way of a front, and again at another node.
	if status, body := w.StartRollout(11, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	if status, body := w.StartRollout(2, "v2", 40); status != 200 {
		t.Fatalf("the same order again: %d %s", status, body)
	}
	if status, _ := w.StartRollout(3, "v3", 40); status != 409 {
		t.Fatalf("another order: %d", status)
	}
	if status, r := w.Rollout(12); status != 200 || r.State != "running" || r.TargetVersion != "v2" || r.RemainingS <= 0 || r.RemainingS > 40 {
		t.Fatalf("it runs: %d %+v", status, r)
	}
	w.Kill("1") // the preferred holder of the poll lease
	w.Eventually("completed", func() bool { _, r := w.Rollout(2); return r.State == "completed" })
	w.WaitPhaseAtFronts(consensus.PhaseCompleted)
	// The endpoints of the old version end at once.
	for _, id := range []string{"plain-a", "plain-b"} {
		s[id].Server.CloseClientConnections()
		_ = s[id].Server.Listener.Close()
		w.SetEndpointState(id, "draining")
	}
	before := failed()
	for range 60 {
		if r, _, _ := w.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("after completed: %d", r.StatusCode)
		}
	}
	if n := failed() - before; n > 0 {
		t.Errorf("%d requests failed when the old endpoints ended", n)
	}
	if status, body := w.StartRollout(3, "v2", 40); status != 200 {
		t.Fatalf("the settled order again: %d %s", status, body)
	}
	if _, r := w.Rollout(3); r.State != "completed" {
		t.Fatalf("the settled order again starts something: %+v", r)
	}
	if st := w.Nodes["2"].Status(); len(st.Control.Rollouts) != 1 || st.Control.Rollouts[0].State != "completed" {
		t.Errorf("status: %+v", st.Control.Rollouts)
	}
}

func TestBadVersionIsRolledBackAndStaysSoAfterPowerLoss(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	w.StartTraffic()
	news := []*testcluster.Endpoint{w.AddEndpoint("plain", "plain-c-new"), w.AddEndpoint("plain", "plain-d-new")}
	for _, s := range news {
		s.SetMode("500")
	}
	if status, body := w.StartRollout(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.Eventually("it is asked", func() bool { return news[0].RunCount()+news[1].RunCount() > 0 })
	w.Eventually("rolled back", func() bool { _, r := w.Rollout(2); return r.State == "rolled_back" })
	w.WaitPhaseAtFronts(consensus.PhaseRolledBack)
	time.Sleep(300 * time.Millisecond)
	asked := news[0].RunCount() + news[1].RunCount()
	time.Sleep(500 * time.Millisecond)
	if now := news[0].RunCount() + news[1].RunCount(); now != asked {
		t.Fatalf("still asked after the roll back: %d, %d", asked, now)
	}
	for _, n := range []string{"1", "2", "3"} {
		w.Kill(n)
	}
	for n := 1; n <= 3; n++ {
		w.StartNode(n, false, 1, 2, 3)
	}
	w.Eventually("the decision is there after the loss of power", func() bool { _, r := w.Rollout(1); return r.State == "rolled_back" && r.Reason != "" })
}

func TestPowerLossMidRollout(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	w.StartTraffic()
	w.AddEndpoint("plain", "plain-c-new")
	w.AddEndpoint("plain", "plain-d-new")
	if status, body := w.StartRollout(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	time.Sleep(2 * time.Second)
	_, before := w.Rollout(1)
	for _, n := range []string{"1", "2", "3"} {
		w.Kill(n)
	}
	for n := 1; n <= 3; n++ {
		w.StartNode(n, false, 1, 2, 3)
	}
	w.Eventually("it still runs", func() bool {
		status, r := w.Rollout(2)
		if status == 200 && r.RemainingS > before.RemainingS {
			t.Fatalf("more time is left than before: %v, %v", before.RemainingS, r.RemainingS)
		}
		return status == 200
	})
	w.Eventually("the right end", func() bool { _, r := w.Rollout(2); return r.State == "completed" })
}

// The lease holder fails after its charts signalled and before the log has
// decided: the successor comes to the same result and has it decided.
func TestHolderGoesBetweenAlarmAndDecision(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	w.StartTraffic()
	for _, id := range []string{"plain-c-new", "plain-d-new"} {
		w.AddEndpoint("plain", id).SetMode("500")
	}
	holder := w.Nodes["1"].Control()
	holder.ProposalLock().Lock() // it can't propose
	defer holder.ProposalLock().Unlock()
	if status, body := w.StartRollout(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.Eventually("the holder's charts signal", func() (bad bool) {
		holder.Loop().Call(func() {
			for _, j := range holder.Evaluators() {
				bad = bad || j.Finding() != ""
			}
		})
		return bad
	})
	// On a slow machine the others may have suspected the holder already.
	if _, r := w.Rollout(2); r.State != "running" && w.Nodes["2"].Status().Control.LeaseHolder == holder.Acceptor().ID {
		t.Fatalf("decided already: %+v", r)
	}
	w.Kill("1")
	w.Eventually("the successor rolls it back", func() bool { _, r := w.Rollout(2); return r.State == "rolled_back" })
}

// A front that starts during a rollout knows it before it is ready, and sends
// the canary no more than its share.
func TestFrontStartsMidRollout(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	news := []*testcluster.Endpoint{w.AddEndpoint("plain", "plain-c-new"), w.AddEndpoint("plain", "plain-d-new")}
	if status, body := w.StartRollout(3, "v2", 400); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.Kill("11")
	again := w.StartNode(11, false, 1, 2, 3)
	w.Eventually("it serves", func() bool { return again.Front().Ready() && again.Front().Listening() })
	l := again.Front().Snapshot().TrafficSplits["plain"]
	if l == nil || l.FromVersion != "v1" || l.TargetVersion != "v2" || l.Phase != "canary" {
		t.Fatalf("ready without the order: %+v", l)
	}
	asked := func() int { return news[0].RunCount() + news[1].RunCount() }
	w.Eventually("the new version is asked", func() bool { w.Request(11, "GET", "/p/x", ""); return asked() > 0 })
	const n = 300
	before := asked()
	for range n {
		if r, _, _ := w.Request(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("%d", r.StatusCode)
		}
	}
	// The share is 0.15; the bound is five standard deviations above it.
	if got := asked() - before; got > n*15/100+31 {
		t.Errorf("%d of %d requests went to the new version", got, n)
	}
	// Partitioned from all control nodes, it goes back to the old version by itself.
	for _, h := range []string{"1", "2", "3"} {
		w.Kill(h)
	}
	time.Sleep(again.MajorityTimeout() + 400*time.Millisecond)
	before = asked()
	for range 100 {
		w.Request(11, "GET", "/p/x", "")
	}
	if got := asked() - before; got > 0 {
		t.Errorf("%d requests went to the new version without a majority", got)
	}
}

func TestOrdersRaceAndBadOnes(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	for body, want := range map[string]string{
		"":                                     "not an order",
		"[]":                                   "not an order",
		`{} x`:                                 "more follows",
		`{"TargetVersion":"v2","DurationS":5}`: "Service",
		`{"Service":"nobody","TargetVersion":"v2","DurationS":5}`:                      "Service",
		`{"Service":"plain","TargetVersion":"","DurationS":5}`:                         "TargetVersion",
		`{"Service":"plain","TargetVersion":"v2"}`:                                     "DurationS",
		`{"Service":"plain","TargetVersion":"v2","DurationS":0}`:                       "DurationS",
		`{"Service":"plain","TargetVersion":"v2","DurationS":-3}`:                      "DurationS",
		`{"Service":"plain","TargetVersion":"v2","DurationS":1e12}`:                    "DurationS",
		`{"Service":"plain","TargetVersion":"v2","DurationS":"5"}`:                     "not an order",
		`{"Service":"` + strings.Repeat("x", 20<<10) + `","TargetVersion":"v2"}`:       "too large",
		`{"Service":"plain","TargetVersion":"` + strings.Repeat("x", 300) + `","D":1}`: "TargetVersion",
	} {
		status, got := w.Operate(1, "POST", "/-/rollouts", "", body)
		if status < 400 || status > 499 || !strings.Contains(got, want) {
			t.Errorf("%.60q: %d %.100s", body, status, got)
		}
	}
	if status, _ := w.Operate(1, "DELETE", "/-/rollouts/plain", "", ""); status != 405 {
		t.Errorf("DELETE: %d", status)
	}
	if status, _ := w.Rollout(11); status != 404 {
		t.Errorf("bad orders started something: %d", status)
	}
	got := make(chan int, 2)
	for i, target := range []string{"v2", "v3"} {
		go func() { status, _ := w.StartRollout(1+i, target, 9); got <- status }()
	}
	if a, b := <-got, <-got; a+b != 200+409 {
		t.Errorf("two orders at once: %d and %d", a, b)
	}
}

// A call that waits for enough replicas must not keep a node from becoming a voter.
func TestVotersJoinWhileCallsWait(t *testing.T) {
	w := testcluster.New(t)
	w.ToleratedLosses = 2
	for n := 1; n <= 4; n++ {
		w.StartNode(n, true, 1, 2, 3)
	}
	defer testcluster.Repeat(3, func(i int) { w.PutConfiguration(i+1, "PUT", "0", testcluster.ConfigurationBody(3, "s1")) })()
	time.Sleep(100 * time.Millisecond)
	node := w.StartNode(5, false, 1, 2, 3)
	w.Eventually("the fifth votes", func() bool { s := node.Control().State(); return s.IsVoter(node.Control().ID()) })
}

// Without a majority nothing is decided and the new version gets no requests;
// once there is one again, the rollout completes.
func TestCoreCutMidRollout(t *testing.T) {
	w, _ := testcluster.StartDefault(t)
	failed := w.StartTraffic()
	news := []*testcluster.Endpoint{w.AddEndpoint("plain", "plain-c-new"), w.AddEndpoint("plain", "plain-d-new")}
	asked := func() int { return news[0].RunCount() + news[1].RunCount() }
	if status, body := w.StartRollout(3, "v2", 60); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.Eventually("the new version is asked", func() bool { return asked() > 0 })
	w.Kill("2")
	w.Kill("3")
	time.Sleep(w.Nodes["11"].MajorityTimeout() + 600*time.Millisecond)
	before := asked()
	time.Sleep(500 * time.Millisecond)
	if now := asked(); now != before {
		t.Errorf("the new version is asked without a majority: %d, %d", before, now)
	}
	if status, r := w.Rollout(1); status == 200 {
		t.Errorf("one control node of three answers a read of the order: %+v", r)
	}
	w.StartNode(2, false, 1, 2, 3)
	w.StartNode(3, false, 1, 2, 3)
	w.Eventually("the right end", func() bool { _, r := w.Rollout(2); return r.State == "completed" })
	if n := failed(); n > 0 {
		t.Errorf("%d requests failed", n)
	}
}
