package front

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"swiftswitch/internal/host"
	"swiftswitch/internal/metrics"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/quota"
	"swiftswitch/internal/tenant"
)

const (
	// quotaCallHeartbeats bounds one report of shares, in heartbeat intervals.
	quotaCallHeartbeats = 0.25
	// quotaRetryHeartbeats is the pause after all control nodes were asked in vain.
	quotaRetryHeartbeats = 0.2
	// quotaJitter spreads the reports of fronts, by this part to either side.
	quotaJitter = 0.2
	// maxRefusedTenants bounds for how many tenants refusals are counted apart.
	maxRefusedTenants = 1024
)

// quotaOutcomeNames name the outcomes of requests of tenants with a quota.
var quotaOutcomeNames = []string{quota.Taken: "admitted", quota.Refused: "refused", quota.Waiting: "unconfirmed"}

// quotaLimiter keeps the requests of tenants within their quotas, by the front's
// shares of them. It implements frontend.QuotaLimiter.
type quotaLimiter struct {
	host *host.Host
	// controlIPs returns the addresses of the control nodes known.
	controlIPs func() []string
	outcomes   metrics.Counters

	// wakeup makes run report at once; it has room for one signal.
	wakeup chan struct{}

	// mu guards the fields below.
	mu sync.Mutex
	// holder is the address of the control node to report to, empty if it is not
	// known. Only the goroutine of run changes it.
	holder string
	shares *quota.Shares
	// waiters holds the requests that wait for a token, by tenant, the first ones first.
	waiters map[string][]*quotaWaiter
	// refused counts the requests that were refused, by tenant.
	refused map[string]int64
}

// quotaWaiter is a request that waits for a token.
type quotaWaiter struct {
	// decided has room for the decision.
	decided chan quotaDecision
}

// quotaDecision is what came of a request that waited.
type quotaDecision struct {
	outcome    quota.Outcome
	retryAfter time.Duration
}

func newQuotaLimiter(h *host.Host, controlIPs func() []string) *quotaLimiter {
	return &quotaLimiter{
		host:       h,
		controlIPs: controlIPs,
		outcomes:   metrics.NewCounters(h.Metrics, "quota_requests_total", "Clients' requests of tenants that have a quota, by what became of them.", "outcome", quotaOutcomeNames),
		wakeup:     make(chan struct{}, 1),
		shares:     quota.NewShares(h.Settings().IpAddress, rand.Int64(), h.QuotaBounds()),
		waiters:    map[string][]*quotaWaiter{},
		refused:    map[string]int64{},
	}
}

// TryAdmit implements frontend.QuotaLimiter.
func (q *quotaLimiter) TryAdmit(tenant *tenant.Tenant) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.shares.TryTake(tenant.Name, tenant.Quota, q.host.Now())
	if taken {
		q.outcomes[quota.Taken].Inc()
	}
	return taken
}

// Admit implements frontend.QuotaLimiter.
func (q *quotaLimiter) Admit(tenant *tenant.Tenant, callerLeft <-chan struct{}, timeout time.Duration) (outcome quota.Outcome, retryAfter time.Duration) {
	outcome, retryAfter = q.take(tenant.Name, tenant.Quota, callerLeft, timeout)
	q.outcomes[outcome].Inc()
	if outcome == quota.Refused {
		q.countRefused(tenant.Name)
	}
	return outcome, retryAfter
}

// take takes a token, or waits for one.
func (q *quotaLimiter) take(name string, limit quota.Limit, callerLeft <-chan struct{}, timeout time.Duration) (quota.Outcome, time.Duration) {
	q.mu.Lock()
	outcome, wait := q.shares.Take(name, limit, q.host.Now())
	if outcome != quota.Waiting {
		q.mu.Unlock()
		return outcome, wait
	}
	waiter := &quotaWaiter{decided: make(chan quotaDecision, 1)}
	q.waiters[name] = append(q.waiters[name], waiter)
	isFirst := len(q.waiters[name]) == 1
	q.mu.Unlock()
	if isFirst {
		// The others go along with its report, or with the next.
		q.wake()
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case decision := <-waiter.decided:
		return decision.outcome, decision.retryAfter
	case <-timer.C:
	case <-callerLeft:
	}
	return q.leave(name, waiter)
}

// leave takes a request out of those that wait, unless it is decided already.
func (q *quotaLimiter) leave(name string, waiter *quotaWaiter) (quota.Outcome, time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiters[name]
	i := slices.Index(waiting, waiter)
	if i < 0 {
		decision := <-waiter.decided
		return decision.outcome, decision.retryAfter
	}
	q.setWaiters(name, slices.Delete(waiting, i, i+1))
	q.shares.Leave(name)
	return quota.Waiting, 0
}

func (q *quotaLimiter) setWaiters(name string, waiting []*quotaWaiter) {
	if len(waiting) == 0 {
		delete(q.waiters, name)
		return
	}
	q.waiters[name] = waiting
}

func (q *quotaLimiter) countRefused(name string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if _, counted := q.refused[name]; counted || len(q.refused) < maxRefusedTenants {
		q.refused[name]++
	}
}

// wake makes run report at once. It never blocks.
func (q *quotaLimiter) wake() {
	select {
	case q.wakeup <- struct{}{}:
	default:
	}
}

// run reports the shares until the node stops, one report after the other.
func (q *quotaLimiter) run() {
	for failures := 0; ; {
		wakeup, pause := q.wakeup, q.interval()
		if failures > 0 {
			wakeup, pause = nil, q.retryPause(failures)
		}
		select {
		case <-q.host.Stopping:
			return
		case <-wakeup:
		case <-time.After(pause):
		}
		if q.report() {
			failures = 0
		} else {
			failures++
		}
	}
}

// interval returns how long to wait for a request that wants a token before the
// next report.
func (q *quotaLimiter) interval() time.Duration {
	jitter := 1 - quotaJitter + 2*quotaJitter*rand.Float64()
	return time.Duration(float64(q.host.QuotaBounds().Interval()) * jitter)
}

// retryPause returns how long to wait after failures: until all control nodes
// were asked, the next one is asked at once.
func (q *quotaLimiter) retryPause(failures int) time.Duration {
	if failures%(len(q.controlIPs())+1) == 0 {
		return q.host.Heartbeats(quotaRetryHeartbeats)
	}
	return 0
}

// report sends what there is to report, and reports whether it was answered by the
// holder.
func (q *quotaLimiter) report() (answered bool) {
	q.mu.Lock()
	sent := q.host.Now()
	report, due := q.shares.Report(sent)
	q.mu.Unlock()
	if !due {
		return true
	}
	ip := q.holder
	if ip == "" {
		ip = q.nextTarget("", "")
	}
	var answer quota.Answer
	err := q.host.Client.CallJSON(q.host.Settings().InternalAddress(ip), nodeapi.PathQuota, report, &answer, q.host.Heartbeats(quotaCallHeartbeats))
	if err != nil || answer.Epoch == 0 {
		next := q.nextTarget(ip, answer.Holder)
		q.mu.Lock()
		defer q.mu.Unlock()
		q.holder = next
		q.shares.OnFailure()
		return false
	}
	q.onAnswer(report, answer, ip, sent)
	return true
}

// onAnswer takes the answer of the holder to a report that was sent at that time.
func (q *quotaLimiter) onAnswer(report quota.Report, answer quota.Answer, holder string, sent time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.holder = holder
	admissions, again := q.shares.OnAnswer(report, answer, sent, q.host.Now())
	askAgain := time.Duration(0)
	for _, admission := range admissions {
		q.decide(admission)
		if admission.Refused == 0 {
			askAgain = max(askAgain, admission.RetryAfter)
		}
	}
	switch {
	case again, len(q.waiters) > 0 && askAgain == 0:
		q.wake()
	case len(q.waiters) > 0:
		time.AfterFunc(askAgain, q.wake)
	}
}

// nextTarget returns the control node to ask after one that is not the holder, or
// did not answer: the one that it named, or the next one known.
func (q *quotaLimiter) nextTarget(last, named string) string {
	if named != "" && named != last {
		return named
	}
	ips := q.controlIPs()
	if len(ips) == 0 {
		return last
	}
	return ips[(slices.Index(ips, last)+1)%len(ips)]
}

// decide tells the requests that waited first what became of them.
func (q *quotaLimiter) decide(admission quota.Admission) {
	waiting := q.waiters[admission.Tenant]
	for i := range admission.Admitted + admission.Refused {
		decision := quotaDecision{outcome: quota.Taken}
		if i >= admission.Admitted {
			decision = quotaDecision{quota.Refused, admission.RetryAfter}
		}
		waiting[i].decided <- decision
	}
	q.setWaiters(admission.Tenant, waiting[admission.Admitted+admission.Refused:])
}

// QuotaStatus is what a front has of the tenants' quotas.
type QuotaStatus struct {
	// Tokens counts the requests that the front may let through without asking,
	// Tenants those whose they are.
	Tokens  int `json:"Tokens"`
	Tenants int `json:"Tenants"`
	// Holder is the address of the control node that grants tokens.
	Holder string `json:"Holder,omitempty"`
	// Refused counts the requests beyond a quota that were refused, by tenant.
	Refused map[string]int64 `json:"Refused,omitempty"`
}

// status returns what the front has of the tenants' quotas.
func (q *quotaLimiter) status() *QuotaStatus {
	q.mu.Lock()
	defer q.mu.Unlock()
	status := &QuotaStatus{Holder: q.holder, Refused: map[string]int64{}}
	status.Tokens, status.Tenants = q.shares.Stock()
	for name, count := range q.refused {
		status.Refused[name] = count
	}
	return status
}
