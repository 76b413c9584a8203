package lodge

import (
	"context"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/transport"
)

// onPort lets the nodes make their calls to another port; a part of the town
// that listens there too is cut off from the rest.
func (w *town) onPort(port int, names ...string) {
	for _, name := range names {
		s := *w.nodes[name].set()
		s.InternalPortRange = []int32{int32(port), int32(port + 10)}
		w.nodes[name].settings.Store(&s)
	}
}

// also opens a further port for the calls of other nodes.
func (w *town) also(port int, names ...string) {
	for _, name := range names {
		n := w.nodes[name]
		s := config.Settings{}
		s.InternalPortRange = []int32{int32(port), int32(port + 10)}
		ln, ok := transport.Listen(s.InternalAddress(n.set().IpAddress), n.userTimeout(), n.heartbeat(0.1), n.stop)
		if !ok {
			w.t.Fatal("a node does not listen")
		}
		transport.Serve(ln, n.listener(2*time.Second), func(ctx context.Context, c *app.RequestContext) { n.handleRope(ctx, c) })
		n.sockets = append(n.sockets, ln)
	}
}

// A poller that is cut off from the core, but not from the platform, raises no
// epoch; the majority goes on, what it saw drain stays so, and the healed one
// follows.
func TestPollerCutOff(t *testing.T) {
	w, s := start(t)
	one, two, three := w.nodes["1"].hut, w.nodes["2"].hut, w.nodes["3"].hut
	w.eventually("the first has the duty", func() bool { return one.Status().Polling })
	before := one.Status()
	if before.LeaseAgeMs <= 0 {
		t.Error("the holder does not know how old its lease is")
	}
	cut := w.port + 1
	w.also(cut, "2", "3", "11", "12")
	w.onPort(w.port+2, "1")
	w.onPort(cut, "2", "3", "11", "12")
	w.mark("plain-a", "draining")
	both := 0
	w.eventually("the majority goes on", func() bool {
		st := two.Status()
		if st.Polling && one.Status().Polling {
			both++
		}
		return st.Polling && st.Epoch > before.Epoch && st.Holder == st.ID
	})
	w.eventually("the fronts leave the searcher alone", func() bool {
		ran := s["plain-a"].ran()
		for range 6 {
			w.ask(11, "GET", "/p/x", "")
			w.ask(12, "GET", "/p/x", "")
		}
		return s["plain-a"].ran() == ran
	})
	// The list lags and calls it ready once more. Several leases go by.
	w.mark("plain-a", "ready")
	alone := one.Status().Table
	for end := time.Now().Add(6 * one.host.heartbeat(1)); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		st := one.Status()
		if st.Polling || st.Epoch != before.Epoch || st.Table != alone {
			t.Fatalf("the one cut off has epoch %d (it had %d), polls: %v, table %v", st.Epoch, before.Epoch, st.Polling, st.Table)
		}
	}
	one.loop.Call(func() {
		if records, _ := one.voter.Records(); records[pollerRole].Epoch != before.Epoch {
			t.Errorf("it granted itself epoch %d", records[pollerRole].Epoch)
		}
	})
	// It settles nothing and says so at once; what was acknowledged stays so.
	for _, call := range []struct {
		method, match, body string
		want                int
	}{{"GET", "", "", 503}, {"PUT", "3", configBody(4, "s1", "s2"), 503}, {"PUT", "0", configBody(3, "s1", "s2"), 200}} {
		at := time.Now()
		status, text := w.control(1, call.method, call.match, call.body)
		if took := time.Since(at); status != call.want || took > one.host.heartbeat(2) {
			t.Errorf("%s by the one cut off: %d after %v: %s", call.method, status, took, text)
		}
	}
	if st := one.Status(); !st.Lone || st.MajorityAgeMs < one.host.heartbeat(2).Milliseconds() || two.Status().Lone {
		t.Errorf("the one cut off shows lone %v, a majority %d ms ago; another %v", st.Lone, st.MajorityAgeMs, two.Status().Lone)
	}
	other := two.Status().Epoch
	w.onPort(w.port, "1", "2", "3", "11", "12")
	w.eventually("the healed one has the duty again, above the others' epoch", func() bool {
		st := one.Status()
		if st.Polling && two.Status().Polling {
			both++
		}
		return st.Polling && st.Epoch > other
	})
	if both > 0 {
		t.Errorf("seen to poll both: %d times", both)
	}
	w.mark("s1-a", "draining") // a change, so that there is a table of that epoch
	w.eventually("it shows that it is in touch again, and what it remembers", func() bool {
		st := one.Status()
		return !st.Lone && st.MajorityAgeMs < one.host.heartbeat(1).Milliseconds() && st.Kept == st.Slot && st.BehindBy == 0 && st.Life == 1 && st.Resends == 1 && st.Changes == 1
	})
	w.eventually("all have its table", func() bool {
		a, b, c := one.Status().Table, two.Status().Table, three.Status().Table
		return a.Epoch > other && a == b && b == c
	})
	one.loop.Call(func() {
		for _, x := range one.table.Endpoints {
			if x.ID == "plain-a" && !x.Draining {
				t.Error("what drained during the cut is ready again")
			}
		}
	})
}
