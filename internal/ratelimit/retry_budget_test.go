package ratelimit

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Any mix of nodes, restarts among them, stays within the shared budget in every sliding window.
func TestSharedBudgetHoldsInEveryWindow(t *testing.T) {
	for seed := uint64(1); seed <= 5; seed++ {
		checkSharedBudget(t, seed)
	}
}

func checkSharedBudget(t *testing.T, seed uint64) {
	t.Helper()
	const ratio, slack, window = 0.2, 58.0, 10 * time.Second
	r := rand.New(rand.NewPCG(seed, 1))
	options := BudgetOptions{Ratio: ratio, Slack: slack, Window: window, Utilization: 0.85, FirstWindowShare: 0.3}
	nodes := make([]*RetryBudget, 9)
	start := func(i int, now time.Duration) {
		nodes[i] = NewRetryBudget(options, now)
		nodes[i].SetNodes(len(nodes))
	}
	for i := range nodes {
		start(i, 0)
	}
	var requests, retries []time.Duration
	for now := time.Duration(0); now < time.Minute; now += 4 * time.Millisecond {
		i := r.IntN(len(nodes))
		if r.IntN(900) == 0 {
			start(i, now)
		}
		nodes[i].Deposit("s", now)
		requests = append(requests, now)
		for k := r.IntN(3); k > 0; k-- {
			if nodes[i].TryWithdraw("s", now) {
				retries = append(retries, now)
			}
		}
	}
	if len(retries) < 100 {
		t.Fatalf("only %d retries were granted", len(retries))
	}
	for _, from := range retries {
		if from+window > time.Minute {
			continue // cut short by the end
		}
		asked, granted := countWithin(requests, from, window), countWithin(retries, from, window)
		if float64(granted) > ratio*float64(asked)+slack {
			t.Fatalf("seed %d: window from %v: %d retries for %d requests", seed, from, granted, asked)
		}
	}
}

// countWithin counts the times in [from, from+window).
func countWithin(times []time.Duration, from, window time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= from && at < from+window {
			n++
		}
	}
	return n
}

// spend withdraws all that is granted at now.
func spend(b *RetryBudget, now time.Duration) (n int) {
	for b.TryWithdraw("s", now) {
		n++
	}
	return n
}

// An incarnation in its first window and the one before it share the node's slack.
func TestIncarnationsShareSlack(t *testing.T) {
	b := NewRetryBudget(BudgetOptions{Ratio: 0.2, Slack: 10, Window: time.Second, Utilization: 1, FirstWindowShare: 0.3}, 0)
	if spend(b, 0) != 0 {
		t.Fatal("slack is used before it is known how many nodes share it")
	}
	b.SetNodes(1)
	if n := spend(b, 0); n != 3 {
		t.Fatalf("a node that just started used %d of 10", n)
	}
	if n := spend(b, 2100*time.Millisecond); n != 7 {
		t.Fatalf("after a window it used %d of 10", n)
	}
}

// Hundreds of nodes share the slack: each has still enough for one retry in a window.
func TestSlackAmongHundreds(t *testing.T) {
	b := NewRetryBudget(BudgetOptions{Ratio: 0.2, Slack: 630, Window: time.Second, Utilization: 0.85, FirstWindowShare: 0.3}, 0)
	b.SetNodes(295)
	for range 4 {
		b.Deposit("s", 0)
	}
	if n := spend(b, 0); n != 1 {
		t.Fatalf("%d retries for four requests of a node that just started", n)
	}
}

func TestRatio(t *testing.T) {
	b := NewRetryBudget(BudgetOptions{Ratio: 0.25, Window: time.Second, Utilization: 1}, 0)
	for range 4 {
		b.Deposit("s", 0)
	}
	if n := spend(b, 0); n != 1 {
		t.Fatalf("%d retries for four requests at a ratio of 1/4", n)
	}
	if b.TryWithdraw("s", 3*time.Second) {
		t.Fatal("requests that left the window still count")
	}
}
