package control_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// A voter is lost for good under a load of changes. Its replacement has a vote
// well within CatchUpS of its start, beyond the time that the lost voter must be
// silent, and from that moment on another disk may be lost.
func TestReplacementUnderLoad(t *testing.T) {
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
	// The replaced voter comes back with its disk and its old vote.
	w.StartNode(3, false, 1, 2)
	w.Eventually("it learns that it was replaced", func() bool { return !w.IsVoter(3, 3) })
	if st, body := w.PutConfiguration(3, "GET", "", ""); st != 200 || !strings.HasPrefix(body, `{"Version":`) {
		t.Fatalf("%d %s", st, body)
	}
	time.Sleep(w.Control(1).ReplacementTimeout())
	if s := w.Control(2).State(); w.Control(3).Status().HoldsLease || !s.IsVoter(w.Control(1).ID()) || !s.IsVoter(w.Control(4).ID()) || len(s.Voters) != 3 {
		t.Fatalf("it has a vote or the lease: %v", s.Voters)
	}
}

// One voter does not hear a voter that all others hear: it replaces nobody.
func TestSuspicionOfOneVoterReplacesNobody(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	h := w.Control(1)
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
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
	defer func() { close(stop); <-done }()
	w.StartNode(4, false, 1)
	w.Eventually("node 1 suspects node 3", func() bool { return len(h.MemberReport().Suspected) == 1 })
	w.Eventually("the newcomer is caught up", func() bool { return w.Control(4).State().Version == 3 })
	response := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()})
	time.Sleep(700 * time.Millisecond)
	if response.IsVoter || w.IsVoter(2, 4) || !w.IsVoter(2, 3) {
		t.Fatalf("replaced by one voter's suspicion: %v", w.Control(2).State().Voters)
	}
	// With node 3 really gone, one node that has no majority replaces nobody either.
	w.Kill("3")
	w.Kill("2")
	if response := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()}); response.IsVoter {
		t.Fatal("a vote given without a majority")
	}
}

// A newcomer dies right after it was admitted; the node on standby follows.
// Then a disk is lost, twice.
func TestNewVoterDies(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.Kill("3")
	w.StartNode(4, false, 1)
	w.Eventually("the first newcomer votes", func() bool { return w.IsVoter(1, 4) })
	w.StartNode(5, false, 2)
	w.WipeDisk(4)
	w.Eventually("the second newcomer votes", func() bool { return w.IsVoter(2, 5) })
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
// change of the voters is not complete while a majority of them lacks it on disk.
func TestVoteOnlyOnceDurable(t *testing.T) {
	w := testcluster.StartControlNodes(t, 1, 1, 2, 3)
	w.StartNode(4, false, 1)
	w.Eventually("the newcomer is on standby", func() bool { return w.Control(4).State().Version == 3 })
	h := w.Control(1)
	s := h.State()
	if !h.MajorityDurable(s, time.Now().Add(time.Second)) {
		t.Fatal("a state that all have is not on disk")
	}
	w.Control(4).Store().Close(time.Second)
	w.Kill("3")
	w.Eventually("the lost voter is suspected", func() bool {
		return len(h.MemberReport().Suspected) == 1 && len(w.Control(2).MemberReport().Suspected) == 1
	})
	if response := h.HandleJoin(nodeapi.JoinRequest{ID: w.Control(4).ID(), IP: w.IP(4), DurableSlot: w.Control(4).WaitDurable()}); response.IsVoter || w.IsVoter(1, 4) || w.IsVoter(2, 4) {
		t.Fatal("a vote for one whose disk takes nothing")
	}
	w.Control(2).Store().Close(time.Second)
	if h.MajorityDurable(s, time.Now().Add(300*time.Millisecond)) {
		t.Fatal("one disk of three is called a majority")
	}
}

// startChanges sends changes to these control nodes from several operators until
// end is called, which returns the newest acknowledged version.
func startChanges(w *testcluster.Cluster, nodes ...int) (end func() int64) {
	// Looked up once: the cluster's nodes change meanwhile.
	var at []*control.Server
	for _, n := range nodes {
		at = append(at, w.Control(n))
	}
	var mu sync.Mutex
	newest := int64(3)
	// At every moment a change waits for the proposal lock.
	endLocking := testcluster.Repeat(3*len(at), func(i int) {
		h := at[i%len(at)]
		h.ProposalLock().Lock()
		time.Sleep(5 * time.Millisecond)
		h.ProposalLock().Unlock()
	})
	endChanges := testcluster.Repeat(8, func(i int) {
		n := nodes[i%len(nodes)]
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
	return func() int64 { endLocking(); endChanges(); return newest }
}
