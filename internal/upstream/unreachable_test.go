package upstream

import (
	"os"
	"slices"
	"testing"
	"time"
)

// A node tells of searchers that did not answer it, unless it seems ill
// itself; what others tell sends it elsewhere until an answer proves them wrong.
func TestMissedAndTold(t *testing.T) {
	g := fleet(1, 250, 8, func(int) FrontCounts { return all(6) })[0]
	target := 100 * time.Millisecond
	misses := 0
	g.OnUnreachable = func() { misses++ }
	end := func(p *Endpoint, o Attempt, took time.Duration) {
		g.record(p, &o, time.Now().Add(-took))
	}
	answered := Attempt{Outcome: OutcomeAnswered, Status: 200, Stamp: "x"}
	late := Attempt{Outcome: OutcomeUnknown, Err: os.ErrDeadlineExceeded}
	for s := 0; s < 6; s++ {
		end(g.endpoints["i-"+string(rune('0'+s))+"-0"], answered, 5*time.Millisecond)
	}
	near := g.endpoints["i-1-0"]
	g.services["s1"].latency.p50 = 5
	end(near, late, 8*time.Millisecond)
	if misses != 0 || len(g.UnreachableOrdinals(time.Second)) != 0 {
		t.Fatal("a searcher that was given no time is told of")
	}
	end(near, late, 300*time.Millisecond)
	if got := g.UnreachableOrdinals(time.Second); misses != 1 || !slices.Equal(got, []int64{near.Ordinal}) {
		t.Fatalf("missed %v, told %d times", got, misses)
	}
	for s := 2; s < 5; s++ {
		p := g.endpoints["i-"+string(rune('0'+s))+"-0"]
		g.services[p.Service].latency.p50 = 5
		end(p, late, 300*time.Millisecond)
	}
	if got := g.UnreachableOrdinals(time.Second); got != nil {
		t.Fatalf("a node that is ill itself accuses %v", got)
	}
	near = g.endpoints["i-7-0"]
	if p, start := g.Pick(Selector{Service: "s7"}, nil, target, false); p != near {
		t.Fatal("the near one is not preferred")
	} else {
		g.CancelPick(p, start)
	}
	g.MarkUnreachable([]int64{near.Ordinal}, time.Now().Add(time.Minute))
	if p, start := g.Pick(Selector{Service: "s7"}, nil, target, false); p == near {
		t.Fatal("what others tell is not heard")
	} else {
		g.CancelPick(p, start)
	}
	if p, start := g.Pick(Selector{Service: "s7", IDs: []string{near.ID}}, nil, target, false); p != near {
		t.Fatal("the last resort is not asked")
	} else {
		g.CancelPick(p, start)
	}
	end(near, answered, 5*time.Millisecond)
	if p, _ := g.Pick(Selector{Service: "s7"}, nil, target, false); p != near {
		t.Fatal("an answer does not prove the others wrong")
	}
}
