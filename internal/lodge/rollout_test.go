package lodge

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

// roll sends an order for the plain service and tells its status.
func (w *town) roll(n int, target string, seconds float64) (int, string) {
	return w.operate(n, "POST", "/-/rollouts", "", fmt.Sprintf(`{"Service":"plain","TargetVersion":%q,"DurationS":%v}`, target, seconds))
}

// rollout reads how far the plain service's order is.
func (w *town) rollout(n int) (status int, r RolloutStatus) {
	status, body := w.operate(n, "GET", "/-/rollouts/plain", "", "")
	_ = json.Unmarshal([]byte(body), &r)
	return status, r
}

// hold waits until both fronts hold a phase of the order; a machine under load
// may take longer to tell them than the huts wait.
func (w *town) hold(phase consensus.Phase) {
	w.t.Helper()
	w.eventually("the fronts hold "+string(phase), func() bool {
		for _, n := range []string{"11", "12"} {
			if l := w.nodes[n].front.frontend.Current().Lanes["plain"]; l == nil || l.Phase != phase {
				return false
			}
		}
		return true
	})
}

// traffic asks both fronts until the end of the test; it returns a way to
// count the answers that were none.
func (w *town) traffic() (failed func() int) {
	stop := make(chan struct{})
	var mu sync.Mutex
	var done sync.WaitGroup
	n := 0
	for i := range 4 {
		done.Add(1)
		go func() {
			defer done.Done()
			for id := 0; ; {
				select {
				case <-stop:
					return
				case <-time.After(8 * time.Millisecond):
				}
				id++
				if r := w.send(11+i%2, "GET", "/p/x", "", fmt.Sprintf("t%d-%05d", i, id)); r != 200 {
					mu.Lock()
					n++
					mu.Unlock()
				}
			}
		}()
	}
	w.t.Cleanup(func() { close(stop); done.Wait() })
	return func() int { mu.Lock(); defer mu.Unlock(); return n }
}

func TestGoodVersionCompletesWhileAHutGoes(t *testing.T) {
	w, s := start(t)
	failed := w.traffic()
	news := []*searcher{w.searcher("plain", "plain-c-new"), w.searcher("plain", "plain-d-new")}
	if status, _ := w.rollout(1); status != 404 {
		t.Fatalf("never ordered: %d", status)
	}
	time.Sleep(600 * time.Millisecond)
	if news[0].ran()+news[1].ran() > 0 {
		t.Fatal("a version that nobody ordered was asked")
	}
	// An order by way of a front, and again at another node.
	if status, body := w.roll(11, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	if status, body := w.roll(2, "v2", 40); status != 200 {
		t.Fatalf("the same order again: %d %s", status, body)
	}
	if status, _ := w.roll(3, "v3", 40); status != 409 {
		t.Fatalf("another order: %d", status)
	}
	if status, r := w.rollout(12); status != 200 || r.State != "running" || r.TargetVersion != "v2" || r.LeftS <= 0 || r.LeftS > 40 {
		t.Fatalf("it runs: %d %+v", status, r)
	}
	w.stop("1") // the first in the order has the duty
	w.eventually("completed", func() bool { _, r := w.rollout(2); return r.State == "completed" })
	w.hold(consensus.PhaseCompleted)
	// The old searchers end at once.
	for _, id := range []string{"plain-a", "plain-b"} {
		s[id].srv.CloseClientConnections()
		_ = s[id].srv.Listener.Close()
		w.mark(id, "draining")
	}
	before := failed()
	for range 60 {
		if r, _, _ := w.ask(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("after completed: %d", r.StatusCode)
		}
	}
	if n := failed() - before; n > 0 {
		t.Errorf("%d requests failed when the old searchers ended", n)
	}
	if status, body := w.roll(3, "v2", 40); status != 200 {
		t.Fatalf("the settled order again: %d %s", status, body)
	}
	if _, r := w.rollout(3); r.State != "completed" {
		t.Fatalf("the settled order again starts something: %+v", r)
	}
	if st := w.nodes["2"].Status(); len(st.Hut.Rollouts) != 1 || st.Hut.Rollouts[0].State != "completed" {
		t.Errorf("status: %+v", st.Hut.Rollouts)
	}
}

func TestBadVersionIsRolledBackAndStaysSoAfterPowerLoss(t *testing.T) {
	w, _ := start(t)
	w.traffic()
	news := []*searcher{w.searcher("plain", "plain-c-new"), w.searcher("plain", "plain-d-new")}
	for _, s := range news {
		s.set("500")
	}
	if status, body := w.roll(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.eventually("it is asked", func() bool { return news[0].ran()+news[1].ran() > 0 })
	w.eventually("rolled back", func() bool { _, r := w.rollout(2); return r.State == "rolled_back" })
	w.hold(consensus.PhaseRolledBack)
	time.Sleep(300 * time.Millisecond)
	asked := news[0].ran() + news[1].ran()
	time.Sleep(500 * time.Millisecond)
	if now := news[0].ran() + news[1].ran(); now != asked {
		t.Fatalf("still asked after the roll back: %d, %d", asked, now)
	}
	for _, n := range []string{"1", "2", "3"} {
		w.stop(n)
	}
	for n := 1; n <= 3; n++ {
		w.run(n, false, 1, 2, 3)
	}
	w.eventually("the decision is there after the loss of power", func() bool { _, r := w.rollout(1); return r.State == "rolled_back" && r.Why != "" })
}

func TestPowerLossMidRollout(t *testing.T) {
	w, _ := start(t)
	w.traffic()
	w.searcher("plain", "plain-c-new")
	w.searcher("plain", "plain-d-new")
	if status, body := w.roll(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	time.Sleep(2 * time.Second)
	_, before := w.rollout(1)
	for _, n := range []string{"1", "2", "3"} {
		w.stop(n)
	}
	for n := 1; n <= 3; n++ {
		w.run(n, false, 1, 2, 3)
	}
	w.eventually("it still runs", func() bool {
		status, r := w.rollout(2)
		if status == 200 && r.LeftS > before.LeftS {
			t.Fatalf("more time is left than before: %v, %v", before.LeftS, r.LeftS)
		}
		return status == 200
	})
	w.eventually("the right end", func() bool { _, r := w.rollout(2); return r.State == "completed" })
}

// The holder of the duty goes once the charts have spoken and before the log
// has decided: whoever takes the duty over finds the same and decides it.
func TestHolderGoesBetweenAlarmAndDecision(t *testing.T) {
	w, _ := start(t)
	w.traffic()
	for _, id := range []string{"plain-c-new", "plain-d-new"} {
		w.searcher("plain", id).set("500")
	}
	holder := w.nodes["1"].control
	holder.proposalLock.Lock() // it can't propose
	defer holder.proposalLock.Unlock()
	if status, body := w.roll(3, "v2", 40); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.eventually("the holder's charts speak", func() (bad bool) {
		holder.loop.Call(func() {
			for _, j := range holder.rollouts.evaluators {
				bad = bad || j.Bad() != ""
			}
		})
		return bad
	})
	// On a slow machine the others may have thought the holder gone already.
	if _, r := w.rollout(2); r.State != "running" && w.nodes["2"].Status().Hut.Holder == holder.acceptor.ID {
		t.Fatalf("decided already: %+v", r)
	}
	w.stop("1")
	w.eventually("the successor rolls it back", func() bool { _, r := w.rollout(2); return r.State == "rolled_back" })
}

// A front that starts in the middle of an order knows it before it is ready,
// and keeps to its share.
func TestFrontStartsMidRollout(t *testing.T) {
	w, _ := start(t)
	news := []*searcher{w.searcher("plain", "plain-c-new"), w.searcher("plain", "plain-d-new")}
	if status, body := w.roll(3, "v2", 400); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.stop("11")
	again := w.run(11, false, 1, 2, 3)
	w.eventually("it serves", func() bool { return again.front.ready.Load() && again.front.listener.Load() != nil })
	l := again.front.frontend.Current().Lanes["plain"]
	if l == nil || l.From != "v1" || l.Target != "v2" || l.Phase != "canary" {
		t.Fatalf("ready without the order: %+v", l)
	}
	asked := func() int { return news[0].ran() + news[1].ran() }
	w.eventually("the new version is asked", func() bool { w.ask(11, "GET", "/p/x", ""); return asked() > 0 })
	const n = 300
	before := asked()
	for range n {
		if r, _, _ := w.ask(11, "GET", "/p/x", ""); r.StatusCode != 200 {
			t.Fatalf("%d", r.StatusCode)
		}
	}
	// 0.15 of them are its share; five times the spread beyond it is no chance.
	if got := asked() - before; got > n*15/100+31 {
		t.Errorf("%d of %d requests went to the new version", got, n)
	}
	// Cut off from all huts it goes back to the old version by itself.
	for _, h := range []string{"1", "2", "3"} {
		w.stop(h)
	}
	time.Sleep(again.MajorityTimeout() + 400*time.Millisecond)
	before = asked()
	for range 100 {
		w.ask(11, "GET", "/p/x", "")
	}
	if got := asked() - before; got > 0 {
		t.Errorf("%d requests went to the new version without a majority", got)
	}
}

func TestOrdersRaceAndBadOnes(t *testing.T) {
	w, _ := start(t)
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
		status, got := w.operate(1, "POST", "/-/rollouts", "", body)
		if status < 400 || status > 499 || !strings.Contains(got, want) {
			t.Errorf("%.60q: %d %.100s", body, status, got)
		}
	}
	if status, _ := w.operate(1, "DELETE", "/-/rollouts/plain", "", ""); status != 405 {
		t.Errorf("DELETE: %d", status)
	}
	if status, _ := w.rollout(11); status != 404 {
		t.Errorf("bad orders started something: %d", status)
	}
	got := make(chan int, 2)
	for i, target := range []string{"v2", "v3"} {
		go func() { status, _ := w.roll(1+i, target, 9); got <- status }()
	}
	if a, b := <-got, <-got; a+b != 200+409 {
		t.Errorf("two orders at once: %d and %d", a, b)
	}
}

// A call that waits for the voters to become enough must not keep them from
// becoming so.
func TestVotersJoinWhileCallsWait(t *testing.T) {
	w := newTown(t)
	w.losses = 2
	for n := 1; n <= 4; n++ {
		w.run(n, true, 1, 2, 3)
	}
	defer repeat(3, func(i int) { w.control(i+1, "PUT", "0", configBody(3, "s1")) })()
	time.Sleep(100 * time.Millisecond)
	node := w.run(5, false, 1, 2, 3)
	w.eventually("the fifth votes", func() bool { s := node.control.State(); return s.IsVoter(node.control.acceptor.ID) })
}

// Without a majority nothing is decided and the new version is left alone;
// when it is back the order goes on to the right end.
func TestCoreCutMidRollout(t *testing.T) {
	w, _ := start(t)
	failed := w.traffic()
	news := []*searcher{w.searcher("plain", "plain-c-new"), w.searcher("plain", "plain-d-new")}
	asked := func() int { return news[0].ran() + news[1].ran() }
	if status, body := w.roll(3, "v2", 60); status != 200 {
		t.Fatalf("order: %d %s", status, body)
	}
	w.eventually("the new version is asked", func() bool { return asked() > 0 })
	w.stop("2")
	w.stop("3")
	time.Sleep(w.nodes["11"].MajorityTimeout() + 600*time.Millisecond)
	before := asked()
	time.Sleep(500 * time.Millisecond)
	if now := asked(); now != before {
		t.Errorf("the new version is asked without a majority: %d, %d", before, now)
	}
	if status, r := w.rollout(1); status == 200 {
		t.Errorf("one hut of three answers for the order: %+v", r)
	}
	w.run(2, false, 1, 2, 3)
	w.run(3, false, 1, 2, 3)
	w.eventually("the right end", func() bool { _, r := w.rollout(2); return r.State == "completed" })
	if n := failed(); n > 0 {
		t.Errorf("%d requests failed", n)
	}
}
