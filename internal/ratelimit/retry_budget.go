package ratelimit

import (
	"sync"
	"time"
)

// windowBuckets is how many buckets of time make up the sliding window.
const windowBuckets = 20

// BudgetOptions bound the retries of all nodes together: in every window, for
// each service, Ratio x requests + Slack.
type BudgetOptions struct {
	// Ratio is how many retries each request deposits.
	Ratio float64
	// Slack is the number of retries a window beyond those, shared by all nodes.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Utilization is the part of the budget, in (0, 1], that is used at most.
	// The rest covers the retries of a bucket that has left the ring and still
	// lies partly within a window.
	Utilization float64
	// FirstWindowShare is the part of its slack that a node uses in the first
	// window of an incarnation. Later it uses the rest, 1 - FirstWindowShare:
	// so two incarnations within one window stay within the node's slack.
	FirstWindowShare float64
}

// RetryBudget counts requests and retries by service, and grants retries. It
// is safe for concurrent use.
type RetryBudget struct {
	options BudgetOptions
	// started is when this incarnation of the node began to count.
	started time.Duration

	// mu guards the fields below.
	mu       sync.Mutex
	nodes    int
	services map[string]*slidingWindow
}

// NewRetryBudget returns a budget that counts from now on. It grants no slack
// before SetNodes has said how many nodes share it.
func NewRetryBudget(options BudgetOptions, now time.Duration) *RetryBudget {
	return &RetryBudget{options: options, started: now, services: map[string]*slidingWindow{}}
}

// SetNodes sets how many nodes share the slack.
func (b *RetryBudget) SetNodes(n int) {
	b.mu.Lock()
	b.nodes = n
	b.mu.Unlock()
}

// Deposit counts a request for a service.
func (b *RetryBudget) Deposit(service string, now time.Duration) {
	b.mu.Lock()
	b.window(service, now).addRequest()
	b.mu.Unlock()
}

// TryWithdraw reports whether a retry for a service is granted, and counts it if so.
func (b *RetryBudget) TryWithdraw(service string, now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service, now)
	budget := b.options.Ratio*float64(w.requestSum) + b.slack(now)
	if float64(w.retrySum+1) > budget*b.options.Utilization {
		return false
	}
	w.addRetry()
	return true
}

// slack is this node's share of the slack. An earlier incarnation may have spent
// its part within the window, which it does not share with this one's first.
func (b *RetryBudget) slack(now time.Duration) float64 {
	if b.nodes <= 0 {
		return 0
	}
	part := 1 - b.options.FirstWindowShare
	if now-b.started <= b.options.Window {
		part = b.options.FirstWindowShare
	}
	return b.options.Slack * part / float64(b.nodes)
}

// window returns a service's window, moved on to now. b.mu must be held.
func (b *RetryBudget) window(service string, now time.Duration) *slidingWindow {
	bucket := int64(now / (b.options.Window / windowBuckets))
	w := b.services[service]
	if w == nil {
		w = &slidingWindow{newest: bucket}
		b.services[service] = w
	}
	w.advance(bucket)
	return w
}
