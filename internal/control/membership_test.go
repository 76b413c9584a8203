package control_test

import (
	"fmt"
	"net/http"
	"strings"
	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/membership"
)

// A member goes for good under a storm of changes. The newcomer has its place
// well within CatchUpS of its own start beyond the silence that must be, and
// the moment it has it, another disk may be lost.
func TestReplacedUnderAStorm(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	end := startChanges(w, 1, 2)
	time.Sleep(200 * time.Millisecond)
	w.Kill("3")
	time.Sleep(w.Control(1).ReplacementTimeout())
	at := time.Now()
	w.StartNode(4, false, 1, 2)
	for !w.IsVoter(4, 4) {
		if time.Since(at) > 2500*time.Millisecond {
			end()
			t.Fatalf("no vote after %v", time.Since(at))
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("a vote after %v", time.Since(at))
	w.WipeDisk(1)
	newest := end()
	w.Eventually("what was acknowledged is read back", func() bool {
		st, body := w.PutConfiguration(4, "GET", "", "")
		if st != 200 {
			return false
		}
		var v int64
		_, _ = fmt.Sscanf(body, `{"Version":%d`, &v) // a body without a version counts as 0
		if v < newest {
			t.Fatalf("version %d, acknowledged was %d", v, newest)
		}
		return true
	})
	w.StartNode(1, false, 4)
	w.Eventually("the lost disk votes again", func() bool { return w.IsVoter(2, 1) })
	// The one that was replaced comes back with its disk and its old vote.
	w.StartNode(3, false, 1, 2)
	w.Eventually("it learns that it was replaced", func() bool { return !w.IsVoter(3, 3) })
	if st, body := w.PutConfiguration(3, "GET", "", ""); st != 200 || !strings.HasPrefix(body, `{"Version":`) {
		t.Fatalf("%d %s", st, body)
	}
	time.Sleep(w.Control(1).ReplacementTimeout())
	if s := w.Control(2).State(); w.Control(3).Status().HoldsLease || !s.IsVoter(w.Control(1).ID()) || !s.IsVoter(w.Control(4).ID()) || len(s.Voters) != 3 {
		t.Fatalf("it has a place or a duty: %v", s.Voters)
	}
}

// One judge hears nothing of a member that all others hear: it replaces nobody.
func TestOneJudgeIsWronglySilent(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	h := w.Control(1)
	stop := make(chan struct{})
	deaf := make(chan struct{})
	go func() {
		defer close(deaf)
		for {
			h.Loop().Call(func() {
				now := h.Host().Now()
				detector := membership.NewFailureDetector(time.Hour, 0)
				h.SetDetector(detector)
				var ids []string
				for _, v := range h.Acceptor().State.Voters {
					ids = append(ids, v.ID)
				}
				detector.SetVoters(ids, -time.Hour)
				for _, v := range h.Acceptor().State.Voters {
					if v.IP != w.IP(3) {
						detector.OnHeartbeat(v.ID, now)
					}
				}
			})
			select {
			case <-stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	}()
	defer func() { close(stop); <-deaf }()
	w.StartNode(4, false, 1)
	w.Eventually("hut 1 calls hut 3 silent", func() bool { return len(h.MemberReport().Suspected) == 1 })
	w.Eventually("the newcomer is caught up", func() bool { return w.Control(4).State().Version == 3 })
	say := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()})
	time.Sleep(700 * time.Millisecond)
	if say.IsVoter || w.IsVoter(2, 4) || !w.IsVoter(2, 3) {
		t.Fatalf("replaced by one node's timer: %v", w.Control(2).State().Voters)
	}
	// With hut 3 really gone, one node that has no majority replaces nobody either.
	w.Kill("3")
	w.Kill("2")
	if say := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()}); say.IsVoter {
		t.Fatal("a vote given without a majority")
	}
}

// at waits until these huts hold that version.
func waitVersion(w *testcluster.Cluster, version int64, huts ...int) {
	w.T.Helper()
	w.Eventually(fmt.Sprint("all hold version ", version), func() bool {
		for _, k := range huts {
			if w.Control(k).State().Version != version {
				return false
			}
		}
		return true
	})
}

// The member that leaves holds the only copies: the newest table, the count of
// fronts, and, once another disk is lost right after, of a value that a
// majority accepted (so it may be acknowledged) and whose outcome nobody knows.
// One accepted by a single voter would prove nothing: its slot may go to the
// change of voters.
func TestLeavingWithTheOnlyCopy(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 3)
	waitVersion(w, 3, 1, 2, 3, 4)
	h := w.Control(3)
	var stamp endpoints.Stamp
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: testcluster.ConfigurationBody(9, "s1"), RequestFingerprint: "x"}}}
	for _, k := range []int{1, 3} {
		if say, err := w.Control(k).HandleConsensus(m); err != nil || !say.OK {
			t.Errorf("hut %d has not accepted: %+v %v", k, say, err)
		}
	}
	h.Loop().Call(func() {
		h.SetFrontCounts(7)
		stamp = endpoints.Stamp{Epoch: h.PollLease().ObservedEpoch + 5, Holder: h.Acceptor().ID, Sequence: 1}
		list := []endpoints.Endpoint{{ID: "only-here", Service: "plain", Addr: "127.0.0.1:1", Slots: 1}}
		table, _ := endpoints.NextTable(h.Table(), list, stamp)
		h.SetTable(table)
	})
	n := w.Nodes["3"]
	delete(w.Nodes, "3")
	var refused, taken int
	var retry string
	done := make(chan time.Duration)
	go func() { at := time.Now(); n.Drain(); done <- time.Since(at) }()
	var took time.Duration
	for took == 0 {
		select {
		case took = <-done:
		default:
			req, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:8090/-/configuration", w.IP(3)), strings.NewReader("{"))
			resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
			if err != nil {
				continue
			}
			resp.Body.Close()
			if resp.StatusCode == 503 && n.Control().Closing() {
				refused, retry = refused+1, resp.Header.Get("Retry-After")
			} else {
				taken++
			}
		}
	}
	// The closing loss, in this very moment.
	w.WipeDisk(1)
	if took > time.Second {
		t.Errorf("leaving took %v", took)
	}
	if refused == 0 || taken == 0 || retry == "" {
		t.Errorf("orders: %d taken, %d refused, Retry-After %q", taken, refused, retry)
	}
	// It knows what became of the value before it is gone.
	h.Loop().Call(func() {
		if h.Acceptor().AcceptedValue != nil || h.Acceptor().State.Version != 9 {
			t.Errorf("it left with something begun, at version %d", h.Acceptor().State.Version)
		}
	})
	for _, k := range []int{2, 4} {
		s := w.Control(k).State()
		if s.Version != 9 || s.IsVoter(n.Control().ID()) || !s.IsVoter(w.Control(4).ID()) {
			t.Errorf("hut %d: version %d, voters %v", k, s.Version, s.Voters)
		}
		var kept int
		var at endpoints.Stamp
		w.Control(k).Loop().Call(func() { kept, at = w.Control(k).PersistedFrontCount(), w.Control(k).Table().Stamp })
		if kept < 7 {
			t.Errorf("hut %d: %d fronts", k, kept)
		}
		if at.Before(stamp) {
			t.Errorf("hut %d: table %v", k, at)
		}
	}
	w.Eventually("the outcome is read back", func() bool {
		st, body := w.PutConfiguration(4, "GET", "", "")
		return st == 200 && body == testcluster.ConfigurationBody(9, "s1")
	})
	n.Control().Loop().Close()
}

// All leave at once: nobody waits for another without bound, and none hands its
// place to one that leaves.
func TestAllLeaveAtOnce(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 1)
	w.Eventually("the fourth stands by", func() bool { return w.Control(4).State().Version == 3 })
	before := w.Control(1).State().Slot
	var all sync.WaitGroup
	for _, name := range []string{"1", "2", "3", "4"} {
		n := w.Nodes[name]
		delete(w.Nodes, name)
		n.Draining.Store(true)
		all.Add(1)
		go func() {
			defer all.Done()
			at := time.Now()
			n.Drain()
			if took := time.Since(at); took > time.Second {
				t.Errorf("hut %s took %v", name, took)
			}
			if s := n.Control().State(); s.Slot != before {
				t.Errorf("hut %s: a place was given: %v", name, s.Voters)
			}
			n.Control().Loop().Close()
		}()
	}
	all.Wait()
	for n := 1; n <= 3; n++ {
		w.StartNode(n, false, 1, 2, 3)
	}
	w.Eventually("it is read back", func() bool {
		st, body := w.PutConfiguration(1, "GET", "", "")
		return st == 200 && body == testcluster.ConfigurationBody(3, "s1")
	})
}

// A newcomer dies right after it was voted in; the one that stood by follows.
// Then a disk is lost, twice.
func TestNewcomerDies(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.Kill("3")
	w.StartNode(4, false, 1)
	w.Eventually("the first has the place", func() bool { return w.IsVoter(1, 4) })
	w.StartNode(5, false, 2)
	w.WipeDisk(4)
	w.Eventually("the second follows", func() bool { return w.IsVoter(2, 5) })
	for range 2 {
		w.WipeDisk(2)
		w.StartNode(2, false, 1)
	}
	w.Eventually("the lost disk votes again", func() bool { return w.IsVoter(1, 2) })
	w.Kill("1")
	w.Eventually("two of three read", func() bool {
		st, body := w.PutConfiguration(5, "GET", "", "")
		return st == 200 && body == testcluster.ConfigurationBody(3, "s1")
	})
}

// A newcomer that answers, but whose disk takes nothing, gets no vote; and a
// change of voters is not done while their majority lacks it on disk.
func TestVotesAreOnDiskFirst(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 1)
	w.Eventually("the newcomer stands by", func() bool { return w.Control(4).State().Version == 3 })
	h := w.Control(1)
	s := h.State()
	if !h.MajorityDurable(s, time.Now().Add(time.Second)) {
		t.Fatal("a set that all have is not on disk")
	}
	w.Control(4).Store().Close(time.Second)
	w.Kill("3")
	w.Eventually("the lost one's place is free", func() bool {
		return len(h.MemberReport().Suspected) == 1 && len(w.Control(2).MemberReport().Suspected) == 1
	})
	if say := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()}); say.IsVoter || w.IsVoter(1, 4) || w.IsVoter(2, 4) {
		t.Fatal("a vote for one whose disk takes nothing")
	}
	w.Control(2).Store().Close(time.Second)
	if h.MajorityDurable(s, time.Now().Add(300*time.Millisecond)) {
		t.Fatal("one disk of three is called a majority")
	}
}

// A value that one voter accepted from a proposer that is gone is brought to
// an end, though nobody reads or orders anything.
func TestBegunIsFinished(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	waitVersion(w, 3, 1, 2, 3)
	h := w.Control(2)
	body := testcluster.ConfigurationBody(9, "s1")
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: body}}}
	if say, err := h.HandleConsensus(m); err != nil || !say.OK {
		t.Fatalf("not accepted: %+v %v", say, err)
	}
	waitVersion(w, 9, 1, 2, 3)
	if s := w.Control(3).State(); s.Body != body {
		t.Errorf("the outcome is %s", s.Body)
	}
}

// A member that leaves has decided what it alone accepted, without waiting for
// its turn among the orders, and though nobody takes its place.
func TestLeavingDecidesWhatItAccepted(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	waitVersion(w, 3, 1, 2, 3)
	h, n, body := w.Control(3), w.Nodes["3"], testcluster.ConfigurationBody(9, "s1")
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: body, RequestFingerprint: "x"}}}
	if say, err := h.HandleConsensus(m); err != nil || !say.OK {
		t.Fatalf("not accepted: %+v %v", say, err)
	}
	// An order has the turn all the while.
	h.ProposalLock().Lock()
	defer h.ProposalLock().Unlock()
	delete(w.Nodes, "3")
	n.Drain()
	for _, k := range []int{1, 2} {
		if s := w.Control(k).State(); s.Version != 9 || s.Body != body {
			t.Errorf("hut %d is at version %d", k, s.Version)
		}
	}
	h.Loop().Close()
}

// startChanges sends changes to the huts from several operators until it is ended;
// that returns the newest acknowledged version.
func startChanges(w *testcluster.Cluster, huts ...int) (end func() int64) {
	// Looked up once: the town's nodes change meanwhile.
	var at []*control.Server
	for _, n := range huts {
		at = append(at, w.Control(n))
	}
	var mu sync.Mutex
	newest := int64(3)
	// There is never a moment without an order that waits for its turn.
	endTurns := testcluster.Repeat(3*len(at), func(i int) {
		h := at[i%len(at)]
		h.ProposalLock().Lock()
		time.Sleep(5 * time.Millisecond)
		h.ProposalLock().Unlock()
	})
	endOrders := testcluster.Repeat(8, func(i int) {
		n := huts[i%len(huts)]
		if i >= 4 {
			_, _ = w.Operate(n, "POST", "/-/purge", "", `{"Tag":"x"}`)
			return
		}
		on := at[i%len(at)].State().Version
		if st, _ := w.PutConfiguration(n, "PUT", fmt.Sprint(on), testcluster.ConfigurationBody(int(on)+1+i, "s1")); st == 200 {
			mu.Lock()
			newest = max(newest, on+1+int64(i))
			mu.Unlock()
		}
	})
	return func() int64 { endTurns(); endOrders(); return newest }
}
