package control_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// drainChanges is what became of the changes that were sent to node 3 while it drained.
type drainChanges struct {
	taken, refused int
	// retryAfter is the header of the last refusal.
	retryAfter string
	drainTook  time.Duration
}

// changeUntilDrained has node 3 drain and sends it changes, one after the
// other, until it has.
func changeUntilDrained(w *testcluster.Cluster, n *node.Node) (changes drainChanges) {
	done := make(chan time.Duration)
	go func() {
		at := time.Now()
		n.Drain()
		done <- time.Since(at)
	}()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		select {
		case changes.drainTook = <-done:
			return changes
		default:
		}
		request, _ := http.NewRequest("PUT", fmt.Sprintf("http://%s:8090/-/configuration", w.IP(3)), strings.NewReader("{"))
		response, err := client.Do(request)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == 503 && n.Control().Closing() {
			changes.refused++
			changes.retryAfter = response.Header.Get("Retry-After")
		} else {
			changes.taken++
		}
	}
}

// The node that drains holds the only copies: the newest table, the count of
// fronts and, once another disk is lost right after, of a value that a majority
// accepted, so that it may be acknowledged, and whose outcome nobody knows. A
// value accepted by a single voter would prove nothing: its slot may go to the
// change of the voters.
func TestDrainHandsOffTheOnlyCopy(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 3)
	waitVersion(w, 3, 1, 2, 3, 4)
	h := w.Control(3)
	var stamp endpoints.Stamp
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: testcluster.ConfigurationBody(9, "s1"), RequestFingerprint: "x"}}}
	for _, k := range []int{1, 3} {
		if response, err := w.Control(k).HandleConsensus(m); err != nil || !response.OK {
			t.Errorf("node %d has not accepted: %+v %v", k, response, err)
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
	changes := changeUntilDrained(w, n)
	// The last loss, in this very moment.
	w.WipeDisk(1)
	if changes.drainTook > time.Second {
		t.Errorf("the drain took %v", changes.drainTook)
	}
	if changes.refused == 0 || changes.taken == 0 || changes.retryAfter == "" {
		t.Errorf("changes: %d taken, %d refused, Retry-After %q", changes.taken, changes.refused, changes.retryAfter)
	}
	// It knows the outcome of the value before it is gone.
	h.Loop().Call(func() {
		if h.Acceptor().AcceptedValue != nil || h.Acceptor().State.Version != 9 {
			t.Errorf("it left with a pending proposal, at version %d", h.Acceptor().State.Version)
		}
	})
	for _, k := range []int{2, 4} {
		s := w.Control(k).State()
		if s.Version != 9 || s.IsVoter(n.Control().ID()) || !s.IsVoter(w.Control(4).ID()) {
			t.Errorf("node %d: version %d, voters %v", k, s.Version, s.Voters)
		}
		var kept int
		var at endpoints.Stamp
		w.Control(k).Loop().Call(func() { kept, at = w.Control(k).PersistedFrontCount(), w.Control(k).Table().Stamp })
		if kept < 7 {
			t.Errorf("node %d: %d fronts", k, kept)
		}
		if at.Before(stamp) {
			t.Errorf("node %d: table %v", k, at)
		}
	}
	w.Eventually("the outcome is read back", func() bool {
		st, body := w.PutConfiguration(4, "GET", "", "")
		return st == 200 && body == testcluster.ConfigurationBody(9, "s1")
	})
	n.Control().Loop().Close()
}

// All drain at once: nobody waits for another without bound, and none hands its
// vote to one that drains.
func TestAllDrainAtOnce(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 1)
	w.Eventually("the fourth is on standby", func() bool { return w.Control(4).State().Version == 3 })
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
				t.Errorf("node %s took %v", name, took)
			}
			if s := n.Control().State(); s.Slot != before {
				t.Errorf("node %s: a vote was handed over: %v", name, s.Voters)
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

// A voter that drains has decided what it alone accepted, without waiting for
// the proposal lock, and though nobody takes its place.
func TestDrainDecidesAcceptedValue(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	waitVersion(w, 3, 1, 2, 3)
	h, n, body := w.Control(3), w.Nodes["3"], testcluster.ConfigurationBody(9, "s1")
	m := nodeapi.ConsensusRequest{Request: consensus.Request{Slot: h.State().Slot + 1, Ballot: consensus.Ballot{Round: 1 << 20, ProposerID: "gone"}, Value: &consensus.Value{Version: 9, BaseVersion: 3, Body: body, RequestFingerprint: "x"}}}
	if response, err := h.HandleConsensus(m); err != nil || !response.OK {
		t.Fatalf("not accepted: %+v %v", response, err)
	}
	// A change holds the proposal lock all the while.
	h.ProposalLock().Lock()
	defer h.ProposalLock().Unlock()
	delete(w.Nodes, "3")
	n.Drain()
	for _, k := range []int{1, 2} {
		if s := w.Control(k).State(); s.Version != 9 || s.Body != body {
			t.Errorf("node %d is at version %d", k, s.Version)
		}
	}
	h.Loop().Close()
}
