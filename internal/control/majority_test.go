package control_test

import (
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

// pollOnce sends a long poll to a control node, which answers it soon.
func pollOnce(t *testing.T, w *testcluster.Cluster, n int) (response nodeapi.WatchResponse) {
	t.Helper()
	node := w.Control(n).Host()
	request := nodeapi.WatchRequest{Name: "poller", IP: "127.0.0.9", Slot: 1 << 40, KnownPurge: -1, MaxHoldMs: 1}
	address := node.Settings().InternalAddress(w.IP(n))
	if err := node.Client.CallJSON(address, nodeapi.PathWatch, request, &response, 3*time.Second); err != nil {
		t.Fatal(err)
	}
	return response
}

// Guards against keys that a front accepts on the word of a control node which
// just started: it has heard nobody, and the time since its start says nothing.
func TestNodeThatJustStartedClaimsNoMajority(t *testing.T) {
	w := startThreeControlNodes(t)
	for _, n := range []string{"1", "2", "3"} {
		w.Kill(n)
	}
	lone := w.StartNode(3, false, 1, 2, 3).Control()
	for end := time.Now().Add(lone.Host().Heartbeats(2)); time.Now().Before(end); {
		if response := pollOnce(t, w, 3); !response.LacksMajority {
			t.Fatal("a node alone claims a majority")
		}
		if status := lone.Status(); !status.Isolated || status.MajorityAgeMs >= 0 {
			t.Fatalf("a node alone shows isolated %v, a majority %d ms ago", status.Isolated, status.MajorityAgeMs)
		}
	}
	// It acknowledges nothing by what it remembers, but a change that it knows as
	// decided, which stays so whatever came later.
	for _, call := range []struct {
		method, path, match, body string
		want                      int
	}{
		{"GET", nodeapi.PathConfiguration, "", "", 503},
		{"PUT", nodeapi.PathConfiguration, "3", testcluster.ConfigurationBody(4, "s1"), 503},
		{"PUT", nodeapi.PathConfiguration, "0", testcluster.ConfigurationBody(3, "s1"), 200},
		{"POST", nodeapi.PathPurge, "", `{"Tag":"x"}`, 503},
		{"POST", nodeapi.PathRollouts, "", testcluster.RolloutBody, 503},
	} {
		if status, answer := w.Operate(3, call.method, call.path, call.match, call.body); status != call.want {
			t.Errorf("%s %s by a node alone: %d %s", call.method, call.path, status, answer)
		}
	}
	w.StartNode(1, false, 1, 2, 3)
	w.Eventually("it hears a majority", func() bool { return !pollOnce(t, w, 3).LacksMajority })
}

// Guards against a state that counts as the newest on the word of a heartbeat
// which was long on its way, as when a cut heals or the process was paused: it is
// dated by the echo of this node's clock, not by its arrival.
func TestLateHeartbeatConfirmsNothing(t *testing.T) {
	w := startThreeControlNodes(t)
	one, two := w.Control(1), w.Control(2)
	w.Eventually("the state is confirmed", func() bool { return !pollOnce(t, w, 1).Unconfirmed })
	w.Kill("2")
	w.Kill("3")
	var heartbeat nodeapi.Heartbeat
	heartbeat.ID, heartbeat.IP = two.ID(), w.IP(2)
	heartbeat.DecidedSlot = one.State().Slot
	heartbeat.Clock = &nodeapi.ClockReading{Run: 1}
	send := func(echo *nodeapi.ClockReading) (answer nodeapi.Heartbeat) {
		t.Helper()
		heartbeat.Echo = echo
		address := one.Host().Settings().InternalAddress(w.IP(1))
		if err := one.Host().Client.CallJSON(address, nodeapi.PathHeartbeat, heartbeat, &answer, time.Second); err != nil {
			t.Fatal(err)
		}
		return answer
	}
	const delay = time.Second
	answer := send(nil)
	first := answer.Clock
	if answer.Echo == nil || *answer.Echo != *heartbeat.Clock {
		t.Fatalf("the answer echoes %+v", answer.Echo)
	}
	time.Sleep(delay)
	for _, c := range []struct {
		name string
		echo *nodeapi.ClockReading
	}{
		{"from before this run", nil},
		{"of another run", &nodeapi.ClockReading{Run: first.Run + 1, AtMs: first.AtMs}},
		{"on its way for long", first},
	} {
		send(c.echo)
		response := pollOnce(t, w, 1)
		if response.LacksMajority || response.Unconfirmed || response.ConfirmedAfterMs > -delay.Milliseconds() {
			t.Errorf("a heartbeat %s: lacks a majority %v, confirmed %d ms after the poll's arrival", c.name, response.LacksMajority, response.ConfirmedAfterMs)
		}
	}
	send(send(first).Clock)
	if response := pollOnce(t, w, 1); response.ConfirmedAfterMs < -delay.Milliseconds()/2 {
		t.Errorf("a heartbeat in time: confirmed %d ms after the poll's arrival", response.ConfirmedAfterMs)
	}
	// A voter that accepted a value for the next slot may know of more.
	heartbeat.Pending = true
	time.Sleep(delay)
	send(send(first).Clock)
	if response := pollOnce(t, w, 1); response.ConfirmedAfterMs > -delay.Milliseconds() {
		t.Errorf("a voter with a pending value: confirmed %d ms after the poll's arrival", response.ConfirmedAfterMs)
	}
}
