package control_test

import (
	"testing"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/testcluster"
)

// The lease holder is partitioned from the other control nodes, but not from the
// platform: it raises no epoch. The majority goes on, what it saw drain stays
// so, and the holder follows once the partition heals.
func TestPartitionedPoller(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	one, two, three := w.Nodes["1"].Control(), w.Nodes["2"].Control(), w.Nodes["3"].Control()
	w.Eventually("the first holds the lease", func() bool { return one.Status().HoldsLease })
	before := one.Status()
	if before.LeaseAgeMs <= 0 {
		t.Error("the holder does not know how old its lease is")
	}
	otherPort := w.Port + 1
	w.ListenOnPort(otherPort, "2", "3", "11", "12")
	w.UseInternalPort(w.Port+2, "1")
	w.UseInternalPort(otherPort, "2", "3", "11", "12")
	w.SetEndpointState("plain-a", "draining")
	both := 0
	w.Eventually("the majority goes on", func() bool {
		st := two.Status()
		if st.HoldsLease && one.Status().HoldsLease {
			both++
		}
		return st.HoldsLease && st.LeaseEpoch > before.LeaseEpoch && st.LeaseHolder == st.ID
	})
	w.Eventually("the fronts send the endpoint nothing", func() bool {
		ran := s["plain-a"].RunCount()
		for range 6 {
			w.Request(11, "GET", "/p/x", "")
			w.Request(12, "GET", "/p/x", "")
		}
		return s["plain-a"].RunCount() == ran
	})
	// The platform's list lags and calls it ready again. Several leases go by.
	w.SetEndpointState("plain-a", "ready")
	tableBefore := one.Status().TableStamp
	for end := time.Now().Add(6 * one.Host().Heartbeats(1)); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		st := one.Status()
		if st.HoldsLease || st.LeaseEpoch != before.LeaseEpoch || st.TableStamp != tableBefore {
			t.Fatalf("the partitioned node has epoch %d (it had %d), holds the lease: %v, table %v", st.LeaseEpoch, before.LeaseEpoch, st.HoldsLease, st.TableStamp)
		}
	}
	one.Loop().Call(func() {
		if records, _ := one.Voter().Records(); records[control.PollerRole].Epoch != before.LeaseEpoch {
			t.Errorf("it granted itself epoch %d", records[control.PollerRole].Epoch)
		}
	})
	// It decides nothing and says so at once; what was acknowledged stays so.
	for _, call := range []struct {
		method, match, body string
		want                int
	}{{"GET", "", "", 503}, {"PUT", "3", testcluster.ConfigurationBody(4, "s1", "s2"), 503}, {"PUT", "0", testcluster.ConfigurationBody(3, "s1", "s2"), 200}} {
		at := time.Now()
		status, text := w.PutConfiguration(1, call.method, call.match, call.body)
		if took := time.Since(at); status != call.want || took > one.Host().Heartbeats(2) {
			t.Errorf("%s by the partitioned node: %d after %v: %s", call.method, status, took, text)
		}
	}
	if st := one.Status(); !st.Isolated || st.MajorityAgeMs < one.Host().Heartbeats(2).Milliseconds() || two.Status().Isolated {
		t.Errorf("the partitioned node shows isolated %v, a majority %d ms ago; another %v", st.Isolated, st.MajorityAgeMs, two.Status().Isolated)
	}
	other := two.Status().LeaseEpoch
	w.UseInternalPort(w.Port, "1", "2", "3", "11", "12")
	w.Eventually("it holds the lease again, above the others' epoch", func() bool {
		st := one.Status()
		if st.HoldsLease && two.Status().HoldsLease {
			both++
		}
		return st.HoldsLease && st.LeaseEpoch > other
	})
	if both > 0 {
		t.Errorf("both were seen to hold the lease: %d times", both)
	}
	w.SetEndpointState("s1-a", "draining") // a change, so that there is a table of that epoch
	w.Eventually("it hears a majority again, and remembers the changes", func() bool {
		st := one.Status()
		return !st.Isolated && st.MajorityAgeMs < one.Host().Heartbeats(1).Milliseconds() && st.DurableSlot == st.Slot && st.BehindBy == 0 && st.Incarnation == 1 && st.RememberedChanges == 1 && st.AppliedChanges == 1
	})
	w.Eventually("all have its table", func() bool {
		a, b, c := one.Status().TableStamp, two.Status().TableStamp, three.Status().TableStamp
		return a.Epoch > other && a == b && b == c
	})
	one.Loop().Call(func() {
		for _, x := range one.Table().Endpoints {
			if x.ID == "plain-a" && !x.Draining {
				t.Error("what drained during the partition is ready again")
			}
		}
	})
}
