package lodge

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/host"
)

func TestPatienceIsARatioOfTheBound(t *testing.T) {
	for _, c := range []struct {
		ack  float64
		size int
		want time.Duration
	}{{6000, 0, 1200 * time.Millisecond}, {6000, 64 << 10, 1800 * time.Millisecond}, {6000, 8 << 20, 4800 * time.Millisecond}, {500, 0, 100 * time.Millisecond}} {
		if got := callerTimeout(c.ack, c.size); got != c.want {
			t.Errorf("of %v with %d bytes: %v, want %v", c.ack, c.size, got, c.want)
		}
	}
	for told, want := range map[string]time.Duration{"": time.Second, "400": 400 * time.Millisecond, "0": 0, "5000": time.Second, "x": 0, "-3": 0, "99999999999999": time.Second} {
		if got := timeLeft(time.Second, told); got != want {
			t.Errorf("told %q: %v, want %v", told, got, want)
		}
	}
}

func TestVigilSeesThatTheNodeStoodStill(t *testing.T) {
	ms := time.Millisecond
	v := pauseDetector{Threshold: 300 * ms}
	// How long it took to begin is no standing still.
	for _, at := range []time.Duration{5000, 5075, 5150, 5450, 5600} {
		if still := v.Check(at * ms); still > 0 || v.RecentlyPaused(at*ms) {
			t.Fatalf("at %d it stood still for %v", at, still)
		}
	}
	if still := v.Check(6600 * ms); still != 1000*ms {
		t.Fatalf("it stood still for %v", still)
	}
	v.Check(6700 * ms)
	for at, want := range map[time.Duration]bool{6600: true, 6700: true, 6899: true, 6900: false, 8000: false} {
		if v.RecentlyPaused(at*ms) != want {
			t.Errorf("at %d calls are in doubt: %v", at, !want)
		}
	}
}

func TestUnheardAreAskedLast(t *testing.T) {
	u := unresponsivePeers{}
	ips := []string{"a", "b", "c", "d"}
	u.Record("a", false, 10)
	u.Record("c", false, 15)
	for _, c := range []struct {
		now  time.Duration
		want string
	}{{20, "bdac"}, {105, "bdac"}, {111, "abdc"}, {200, "abcd"}} {
		if got := strings.Join(u.SortLast(ips, c.now, 100), ""); got != c.want {
			t.Errorf("at %d: %s, want %s", c.now, got, c.want)
		}
	}
	if len(u) > 0 {
		t.Errorf("still kept: %v", u)
	}
	u.Record("b", false, 210)
	u.Record("b", true, 220)
	if got := u.SortLast(ips, 230, 100); !slices.Equal(got, ips) {
		t.Errorf("one that answered again is asked last: %v", got)
	}
}

func TestPurgesOfOneBatchAreDistinct(t *testing.T) {
	now := time.Now()
	wait := func(id, host, path, tag string, in time.Duration) *pendingPurge {
		return &pendingPurge{purge: consensus.Purge{ID: id, Host: host, Path: path, Tag: tag}, until: now.Add(in)}
	}
	a, b, again, other := wait("1", "h", "/x", "", 50), wait("2", "", "", "t", 90), wait("3", "h", "/x", "", 70), wait("4", "h", "/y", "", 20)
	gone := wait("5", "h", "/z", "", -1)
	purges, of, until := distinctPurges([]*pendingPurge{gone, a, b, again, other}, now)
	if len(purges) != 3 || purges[0].ID != "1" || purges[1].ID != "2" || purges[2].ID != "4" {
		t.Errorf("chosen are %+v", purges)
	}
	if again.purge.ID != "1" || !of[again] || of[gone] || len(of) != 4 || !until.Equal(now.Add(90)) {
		t.Errorf("they are for %v until %v", of, until)
	}
}

// other stands in for a node that a call is passed on to.
func (w *town) other(n int, handle http.HandlerFunc) {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", w.ip(n), w.port))
	if err != nil {
		w.t.Fatal(err)
	}
	srv := &http.Server{Handler: handle}
	go func() { _ = srv.Serve(l) }()
	w.t.Cleanup(func() { _ = srv.Close() })
}

// gateway is a front that only takes calls, and knows of huts 9 and 8.
func (w *town) gateway() *Node {
	node, err := Open(w.settings(11, false, 9, 8), "", host.DefaultOptions())
	if err != nil {
		w.t.Fatal(err)
	}
	if !node.listen() {
		w.t.Fatal("it does not listen")
	}
	w.nodes["11"] = node
	go node.pauseLoop()
	return node
}

const anOrder = `{"Service":"plain","TargetVersion":"v2","DurationS":40}`

// sendOrder sends an order and tells the answer's headers too.
func (w *town) sendOrder(n int, path, body string, header map[string]string) (status int, h http.Header) {
	w.t.Helper()
	req, _ := http.NewRequest("POST", fmt.Sprintf("http://%s:%d%s", w.ip(n), w.port, path), strings.NewReader(body))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		w.t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// soon checks that an answer says when to come back, in a moment.
func soon(t *testing.T, h http.Header) {
	t.Helper()
	if s, err := strconv.ParseFloat(h.Get("Retry-After"), 64); err != nil || s <= 0 || s > 0.5 {
		t.Errorf("Retry-After is %q", h.Get("Retry-After"))
	}
}

func TestPassedOnPastANodeThatHangs(t *testing.T) {
	w := newTown(t)
	node := w.gateway()
	hold := make(chan struct{})
	var hung, settled atomic.Int32
	var left atomic.Value
	w.other(9, func(http.ResponseWriter, *http.Request) { hung.Add(1); <-hold })
	w.other(8, func(rw http.ResponseWriter, r *http.Request) {
		settled.Add(1)
		left.Store(r.Header.Get(headerTimeLeft))
		rw.Header().Set("ETag", "7")
		rw.Header().Set("Retry-After", "0.25")
		rw.WriteHeader(412)
	})
	defer close(hold)
	own := callerTimeout(node.Settings().Bounds.AcknowledgeMs, len(anOrder))
	at := time.Now()
	status, h := w.sendOrder(11, PathRollouts, anOrder, nil)
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
	if status, _ := w.sendOrder(11, PathRollouts, anOrder, nil); status != 412 || hung.Load() != 1 || settled.Load() != 2 {
		t.Errorf("%d; the one that hangs was asked %d times, the other %d", status, hung.Load(), settled.Load())
	}
	// What is left of the patience counts from the first node on.
	if status, _ = w.sendOrder(11, PathRollouts, anOrder, map[string]string{headerForwardedBy: "x"}); status != 503 {
		t.Errorf("passed on twice: %d", status)
	}
}

func TestPassedOnWithinThePatience(t *testing.T) {
	w := newTown(t)
	node := w.gateway()
	hold := make(chan struct{})
	defer close(hold)
	for _, n := range []int{8, 9} {
		w.other(n, func(http.ResponseWriter, *http.Request) { <-hold })
	}
	own := callerTimeout(node.Settings().Bounds.AcknowledgeMs, len(anOrder))
	at := time.Now()
	status, h := w.sendOrder(11, PathRollouts, anOrder, nil)
	if took := time.Since(at); status != 503 || took > own+own/2 {
		t.Errorf("nobody answers: %d after %v, the patience is %v", status, took, own)
	}
	soon(t, h)
}

// alone is a town of one hut with a configuration in force.
func alone(t *testing.T) (*town, *ControlServer) {
	w := newTown(t)
	node := w.run(1, true, 1)
	w.eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.control(1, "PUT", "0", configBody(3, "s1"))
		return status == 200
	})
	return w, node.control
}

func TestOrderThatWaitedInAFrozenNode(t *testing.T) {
	w, h := alone(t)
	gap := w.nodes["1"].pauses.Threshold
	frozen := make(chan struct{})
	go h.host.ViewLoop.Call(func() { close(frozen); time.Sleep(3 * gap) })
	<-frozen
	for path, body := range map[string]string{PathRollouts: anOrder, PathPurge: `{"Tag":"x"}`} {
		status, head := w.sendOrder(1, path, body, nil)
		if status != 503 {
			t.Errorf("%s: an order that may be an old one: %d", path, status)
		}
		soon(t, head)
	}
	if s := h.State(); len(s.Rollouts) > 0 || s.PurgeSeq > 0 {
		t.Fatalf("it started something: %+v", s.Rollouts)
	}
	// A change bears its lateness, and later orders are taken.
	w.eventually("orders are taken again", func() bool { status, _ := w.sendOrder(1, PathRollouts, anOrder, nil); return status == 200 })
	go h.host.ViewLoop.Call(func() { time.Sleep(2 * gap) })
	if status, body := w.control(1, "PUT", "3", configBody(5, "s1")); status != 200 {
		t.Errorf("a change after a freeze: %d %s", status, body)
	}
}

// Past its caller's patience nothing is proposed for a call, though it gets
// the lock of proposals at last.
func TestNothingStartsPastThePatience(t *testing.T) {
	w, h := alone(t)
	before := h.State()
	h.proposalLock.Lock()
	calls := 0
	got := make(chan int, 4)
	for path, body := range map[string]string{PathRollouts: anOrder, PathPurge: `{"Tag":"x"}`} {
		calls++
		go func() {
			status, head := w.sendOrder(1, path, body, map[string]string{headerForwardedBy: "x", headerTimeLeft: "120"})
			soon(t, head)
			got <- status
		}()
	}
	time.Sleep(250 * time.Millisecond)
	h.proposalLock.Unlock()
	for range calls {
		if status := <-got; status != 503 {
			t.Errorf("past the patience: %d", status)
		}
	}
	h.proposalLock.Lock()
	go func() {
		status, _ := h.changeConfiguration(false, configBody(5, "s1"), "3", time.Now().Add(50*time.Millisecond))
		got <- status
	}()
	time.Sleep(150 * time.Millisecond)
	h.proposalLock.Unlock()
	if status := <-got; status != 503 {
		t.Errorf("a change past the patience: %d", status)
	}
	if s := h.State(); s.Slot != before.Slot {
		t.Errorf("%d slots were decided", s.Slot-before.Slot)
	}
}

// settleOrder ends the plain service's order in the log.
func (h *ControlServer) settleOrder(t *testing.T, phase consensus.Phase) {
	t.Helper()
	h.proposalLock.Lock()
	defer h.proposalLock.Unlock()
	for range 20 {
		s := h.State()
		r, _ := s.Rollout("plain")
		if r.Phase == phase {
			return
		}
		h.propose(s, &consensus.Value{Rollout: &consensus.Rollout{OrderSlot: r.OrderSlot, Service: "plain", Phase: phase}})
	}
	t.Fatalf("the order did not become %s", phase)
}

func TestLateCopyOfAnEarlierOrderStartsNothing(t *testing.T) {
	w, h := alone(t)
	order := func(target string) int {
		t.Helper()
		status, _ := w.sendOrder(1, PathRollouts, strings.Replace(anOrder, "v2", target, 1), nil)
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
	h.settleOrder(t, consensus.PhaseRolledBack)
	if status := order("v2"); status != 200 {
		t.Fatalf("the same order again: %d", status)
	}
	last("v2", consensus.PhaseRolledBack)
	if status := order("v3"); status != 200 {
		t.Fatalf("the next order: %d", status)
	}
	// While the next one runs a late copy is acknowledged again, another order is not.
	if status := order("v2"); status != 200 {
		t.Errorf("a late copy beside a running order: %d", status)
	}
	if status := order("v4"); status != 409 {
		t.Errorf("another order beside a running one: %d", status)
	}
	last("v3", consensus.PhaseCanary)
	h.settleOrder(t, consensus.PhaseCompleted)
	if status := order("v2"); status != 200 {
		t.Errorf("a late copy: %d", status)
	}
	last("v3", consensus.PhaseCompleted)
	// Long after, it is a new order.
	h.loop.Call(func() {
		for slot := range h.rollouts.orderKnownAt {
			h.rollouts.orderKnownAt[slot] -= 4 * time.Duration(h.host.Settings().Bounds.AcknowledgeMs) * time.Millisecond
		}
	})
	if status := order("v2"); status != 200 {
		t.Errorf("the order anew: %d", status)
	}
	last("v2", consensus.PhaseCanary)
}

// A node that is behind asks a majority before it refuses an order.
func TestOrderAtANodeThatIsBehind(t *testing.T) {
	w := newTown(t)
	for n := 1; n <= 3; n++ {
		w.run(n, true, 1, 2, 3)
	}
	w.eventually("the first configuration is acknowledged", func() bool {
		status, _ := w.control(2, "PUT", "0", configBody(3, "s1"))
		return status == 200
	})
	one, two := w.nodes["1"].control, w.nodes["2"].control
	w.eventually("the first order", func() bool { status, _ := w.sendOrder(1, PathRollouts, anOrder, nil); return status == 200 })
	w.eventually("both know it", func() bool { _, ok := two.State().Rollout("plain"); return ok })
	old := two.State()
	one.settleOrder(t, consensus.PhaseRolledBack)
	w.eventually("the end is known", func() bool { r, _ := two.State().Rollout("plain"); return !r.Running() })
	two.loop.Call(func() { two.acceptor.State = old })
	if status, _ := w.sendOrder(2, PathRollouts, strings.Replace(anOrder, "v2", "v3", 1), nil); status != 200 {
		t.Errorf("an order where the node took the last one for running: %d", status)
	}
	if r, _ := two.State().Rollout("plain"); r.TargetVersion != "v3" {
		t.Errorf("the last order is %+v", r)
	}
}

// A change that lost says which version is current.
func TestLostChangeNamesTheCurrentVersion(t *testing.T) {
	w, h := alone(t)
	for match, want := range map[string]string{"2": "3", "9": "3"} {
		req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:8090%s", w.ip(1), PathConfiguration), strings.NewReader(configBody(11, "s1")))
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
