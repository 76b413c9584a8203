package ratelimit

import (
	"sync"
	"time"
)

const buckets = 20

// BudgetOptions are the bounds as the settings give them.
type BudgetOptions struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
	// Utilization is the part of the budget that is used at most.
	Utilization float64
	// FirstWindowShare is the part of its slack that a node may use before it has lived
	// for a window; later it uses the rest, so that two lives of a node within
	// one window stay within its share.
	FirstWindowShare float64
}

// RetryBudget counts requests and further tries per service.
type RetryBudget struct {
	mu    sync.Mutex
	rules BudgetOptions
	born  time.Duration
	share int
	rows  map[string]*row
}

type row struct {
	at      int64
	asked   [buckets]int32
	further [buckets]int32
	sumA    int32
	sumF    int32
}

// NewRetryBudget starts a ledger at now (steady time).
func NewRetryBudget(r BudgetOptions, now time.Duration) *RetryBudget {
	return &RetryBudget{rules: r, born: now, rows: map[string]*row{}}
}

// SetNodes says how many nodes share the slack.
func (l *RetryBudget) SetNodes(n int) { l.mu.Lock(); l.share = n; l.mu.Unlock() }

func (l *RetryBudget) row(service string, now time.Duration) *row {
	r := l.rows[service]
	tick := int64(now / (l.rules.Window / buckets))
	if r == nil {
		r = &row{at: tick}
		l.rows[service] = r
	}
	if tick-r.at >= buckets {
		*r = row{at: tick}
	}
	for r.at < tick {
		r.at++
		i := r.at % buckets
		r.sumA -= r.asked[i]
		r.sumF -= r.further[i]
		r.asked[i], r.further[i] = 0, 0
	}
	return r
}

// Deposit counts a request for a service.
func (l *RetryBudget) Deposit(service string, now time.Duration) {
	l.mu.Lock()
	r := l.row(service, now)
	r.asked[r.at%buckets]++
	r.sumA++
	l.mu.Unlock()
}

// TryWithdraw asks for one further try and counts it where it is granted. What a
// node's earlier life spent is unknown: it never spends the part of the young.
func (l *RetryBudget) TryWithdraw(service string, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.row(service, now)
	allowed := l.rules.Ratio * float64(r.sumA)
	if l.share > 0 {
		part := 1 - l.rules.FirstWindowShare
		if now-l.born <= l.rules.Window {
			part = l.rules.FirstWindowShare
		}
		allowed += l.rules.Slack * part / float64(l.share)
	}
	if float64(r.sumF+1) > allowed*l.rules.Utilization {
		return false
	}
	r.further[r.at%buckets]++
	r.sumF++
	return true
}
