package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Any mix of nodes, restarts among them, stays within the shared budget in every sliding window.
func TestShared(t *testing.T) {
	const ratio, slack = 0.2, 58.0
	window := 10 * time.Second
	for seed := uint64(1); seed <= 5; seed++ {
		r := rand.New(rand.NewPCG(seed, 1))
		rules := BudgetOptions{Ratio: ratio, Slack: slack, Window: window, Utilization: 0.85, FirstWindowShare: 0.3}
		nodes := make([]*RetryBudget, 9)
		for i := range nodes {
			nodes[i] = NewRetryBudget(rules, 0)
			nodes[i].SetNodes(len(nodes))
		}
		var asked, further []time.Duration
		for now := time.Duration(0); now < time.Minute; now += 4 * time.Millisecond {
			i := r.IntN(len(nodes))
			if r.IntN(900) == 0 {
				nodes[i] = NewRetryBudget(rules, now)
				nodes[i].SetNodes(len(nodes))
			}
			nodes[i].Deposit("s", now)
			asked = append(asked, now)
			for k := r.IntN(3); k > 0; k-- {
				if nodes[i].TryWithdraw("s", now) {
					further = append(further, now)
				}
			}
		}
		if len(further) < 100 {
			t.Fatalf("only %d further tries were granted", len(further))
		}
		for _, from := range further {
			a, f := 0, 0
			for _, x := range asked {
				if x >= from && x < from+window {
					a++
				}
			}
			for _, x := range further {
				if x >= from && x < from+window {
					f++
				}
			}
			// The last windows are cut short by the end.
			if from+window <= time.Minute && float64(f) > ratio*float64(a)+slack {
				t.Fatalf("seed %d: window from %v: %d further tries for %d requests", seed, from, f, a)
			}
		}
	}
}

// A life in its first window and the one before it share the node's slack.
func TestLivesShareSlack(t *testing.T) {
	rules := BudgetOptions{Ratio: 0.2, Slack: 10, Window: time.Second, Utilization: 1, FirstWindowShare: 0.3}
	spend := func(l *RetryBudget, now time.Duration) (n int) {
		for l.TryWithdraw("s", now) {
			n++
		}
		return n
	}
	l := NewRetryBudget(rules, 0)
	if spend(l, 0) != 0 {
		t.Fatal("slack before it is known how many share it")
	}
	l.SetNodes(1)
	if n := spend(l, 0); n != 3 {
		t.Fatalf("a node that just started used %d of 10", n)
	}
	if n := spend(l, 2100*time.Millisecond); n != 7 {
		t.Fatalf("after a window it used %d of 10", n)
	}
	// Hundreds share it: each has still enough for a straggler in a window.
	l = NewRetryBudget(BudgetOptions{Ratio: 0.2, Slack: 630, Window: time.Second, Utilization: 0.85, FirstWindowShare: 0.3}, 0)
	l.SetNodes(295)
	for i := 0; i < 4; i++ {
		l.Deposit("s", 0)
	}
	if n := spend(l, 0); n != 1 {
		t.Fatalf("%d further tries for four requests of a young node among hundreds", n)
	}
	l = NewRetryBudget(rules, 0)
	for i := 0; i < 4; i++ {
		l.Deposit("u", 5*time.Second)
	}
	l2 := NewRetryBudget(BudgetOptions{Ratio: 0.25, Window: time.Second, Utilization: 1}, 0)
	for i := 0; i < 4; i++ {
		l2.Deposit("u", 0)
	}
	if !l2.TryWithdraw("u", 0) || l2.TryWithdraw("u", 0) || l2.TryWithdraw("u", 3*time.Second) {
		t.Fatal("the ratio is not kept, or old requests still count")
	}
}

// Whatever happens to the parts, no window sees more than the ceiling: nodes
// that start anew, parts that change hands, a ceiling that is lowered.
func TestCeiling(t *testing.T) {
	const rate, window = 100.0, 5 * time.Second
	var at []time.Duration
	parts := []*TokenBucket{{}, {}, {}, {}}
	for _, c := range parts {
		c.SetRate(rate/4, 0.1, 0)
	}
	if ok, wait := parts[0].Take(0); ok || wait <= 0 || wait > 40*time.Millisecond {
		t.Fatalf("a node that just started has something saved up: %v %v", ok, wait)
	}
	if ok, wait := (&TokenBucket{}).Take(time.Second); ok || wait >= 0 {
		t.Fatal("a node without a part fetches")
	}
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		if now == 7*time.Second { // one starts anew
			parts[1] = &TokenBucket{}
			parts[1].SetRate(rate/4, 0.1, now)
		}
		if now == 12*time.Second { // one is given up, the others take its part
			parts[3].SetRate(0, 0.1, now)
		}
		if now == 14*time.Second {
			for _, c := range parts[:3] {
				c.SetRate(rate/3, 0.1, now)
			}
		}
		for _, c := range parts {
			if ok, _ := c.Take(now); ok {
				at = append(at, now)
			}
		}
	}
	most := 0
	for i, j := 0, 0; j < len(at); j++ {
		for at[j]-at[i] > window {
			i++
		}
		most = max(most, j-i+1)
	}
	if most > int(rate*5*1.1)+5 || most < int(rate*5*0.95) {
		t.Fatalf("%d in a window", most)
	}
}
