package upstream

import (
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

const lines = "Host: a.example\r\nSwiftswitch-Request-Id: r1\r\n"

func TestRequests(t *testing.T) {
	r, err := NewRequest("POST", "/a%2Fb/../c?q=1", []byte(lines+
		"Swiftswitch-Deadline-Milliseconds: 250.5\r\nX-Own: 1\r\nX-Own: 2\r\nConnection: keep-alive, X-Gone\r\nX-Gone: y\r\nTE: trailers\r\nSwiftswitch-Expected-Instance: forged\r\nTransfer-Encoding: chunked\r\n"), []byte("body"))
	if err != nil {
		t.Fatal(err)
	}
	if r.ID != "r1" || r.Host != "a.example" || r.DeadlineMs != 250.5 {
		t.Fatalf("read wrongly: %+v", r)
	}
	want := "POST /a%2Fb/../c?q=1 HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: r1\r\nX-Own: 1\r\nX-Own: 2\r\nContent-Length: 4\r\n" +
		"Swiftswitch-Deadline-Milliseconds: 99\r\nSwiftswitch-Expected-Instance: i-1\r\n\r\nbody"
	if got := string(r.encode("i-1", 99*time.Millisecond)); got != want {
		t.Fatalf("sent on as\n%q, want\n%q", got, want)
	}
}

func TestDoubtfulRequests(t *testing.T) {
	for name, raw := range map[string]string{
		"two lengths":          lines + "Content-Length: 4\r\nContent-Length: 4\r\n",
		"length and coding":    lines + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"wrong length":         lines + "Content-Length: 5\r\n",
		"signed length":        lines + "Content-Length: +4\r\n",
		"other coding":         lines + "Transfer-Encoding: gzip, chunked\r\n",
		"coding twice":         lines + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"space before colon":   lines + "Content-Length : 4\r\n",
		"folded line":          lines + "X-A: 1\r\n Content-Length: 9\r\n",
		"no colon":             lines + "Content-Length\r\n",
		"bare return":          lines + "X-A: 1\rContent-Length: 9\r\n",
		"no host":              "Swiftswitch-Request-Id: r1\r\n",
		"two hosts":            lines + "Host: b.example\r\n",
		"no id":                "Host: a.example\r\n",
		"two ids":              lines + "Swiftswitch-Request-Id: r2\r\n",
		"deadline not a time":  lines + "Swiftswitch-Deadline-Milliseconds: soon\r\n",
		"deadline below zero":  lines + "Swiftswitch-Deadline-Milliseconds: -1\r\n",
		"two deadlines differ": lines + "Swiftswitch-Deadline-Milliseconds: 1\r\nSwiftswitch-Deadline-Milliseconds: 2\r\n",
	} {
		if _, err := NewRequest("POST", "/a", []byte(raw), []byte("body")); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	for _, target := range []string{"/a b", "/a\r\nX: y", "/a\x00"} {
		if _, err := NewRequest("GET", target, []byte(lines), nil); err == nil {
			t.Errorf("target %q: taken", target)
		}
	}
}

func TestChoice(t *testing.T) {
	g := New(Options{Distance: func(z string) int {
		if z == "near" {
			return 0
		}
		return 2
	}, TwoChoicesThreshold: 5, ConsecutiveFailures: 3, BaseEjectionTime: time.Second, DistancePenalty: 0.15, DecayTime: 3 * time.Second})
	tab, _ := endpoints.NextTable(nil, []endpoints.Endpoint{
		{ID: "a", Service: "s", Zone: "near", Slots: 2}, {ID: "b", Service: "s", Zone: "far", Slots: 2},
		{ID: "d", Service: "s", Zone: "near", Slots: 2, Draining: true}, {ID: "o", Service: "other", Zone: "near"},
	}, endpoints.Stamp{Epoch: 1})
	g.SetTable(tab)
	target := 100 * time.Millisecond
	p, start := g.Pick(Selector{Service: "s"}, nil, target, false)
	if p.ID != "a" {
		t.Fatalf("the near one is not preferred: %s", p.ID)
	}
	if q, _ := g.Pick(Selector{Service: "s"}, []*Endpoint{p}, target, false); q.ID != "b" {
		t.Fatal("a second try does not go elsewhere")
	}
	if q, _ := g.Pick(Selector{Service: "s", IDs: []string{"x"}}, nil, target, false); q != nil {
		t.Fatal("a searcher without a slot was chosen")
	}
	var silent []string
	g.OnUnhealthy = func(id string) { silent = append(silent, id) }
	g.record(p, &Attempt{Outcome: OutcomeUnknown}, start)
	for i := 0; i < 2; i++ {
		p.inFlight = append(p.inFlight, start)
		g.record(p, &Attempt{Outcome: OutcomeUnknown}, start)
	}
	if len(silent) != 1 || silent[0] != "a" {
		t.Fatalf("silence told: %v", silent)
	}
	if q, _ := g.Pick(Selector{Service: "s"}, nil, target, false); q.ID != "b" {
		t.Fatal("a searcher that failed three times is still first")
	}
	g.SetConnectionLimit("s", 4)
	g.SetFrontCounts(FrontCounts{All: 4})
	if q, _ := g.Pick(Selector{Service: "s", IDs: []string{"b"}}, nil, target, false); q != nil {
		t.Fatal("the connections that others need were taken")
	}
	b := g.endpoints["b"]
	b.reportedRunning, b.reportedWaiting, b.loadReportedAt = 2, 0, time.Now()
	if q, _ := g.Pick(Selector{Service: "s", IDs: []string{"b"}}, nil, target, true); q != nil {
		t.Fatal("a full searcher was chosen as company for a straggler")
	}
	// A searcher that shuts new connections gets fewer, and more again later.
	g.SetConnectionLimit("s", 40)
	b.loadReportedAt, b.consecutiveFailures, b.ejectedUntil = time.Time{}, 0, time.Time{}
	for len(b.inFlight) < 8 {
		b.inFlight = append(b.inFlight, time.Now())
	}
	g.record(b, &Attempt{Outcome: OutcomeUnknown, closedOnConnect: true}, b.inFlight[0])
	if n := g.connectionLimit(b, g.service("s"), g.subset(g.service("s"), "", time.Now()), time.Now()); n != 4 || b.consecutiveFailures != 0 {
		t.Fatalf("room for %d connections, %d failures", n, b.consecutiveFailures)
	}
	if n := g.connectionLimit(b, g.service("s"), g.subset(g.service("s"), "", time.Now()), time.Now().Add(10*time.Second)); n != 10 {
		t.Fatalf("room for %d connections later", n)
	}
	var full []string
	g.OnHealthy = func(id string) { full = append(full, id) }
	for i := 0; i < 2; i++ {
		g.record(p, &Attempt{Outcome: OutcomeAnswered, Status: 200, Stamp: "x"}, start)
	}
	if strings.Join(full, ",") != "a" || p.consecutiveFailures != 0 {
		t.Fatalf("a searcher that is back was told %v times", full)
	}
}
