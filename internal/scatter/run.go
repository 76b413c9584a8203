package scatter

import (
	"context"
	"time"

	"swiftswitch/internal/upstream"
)

// lateAttemptGrace is how long attempts may go on that are in flight when their
// query was decided and its caller then left. Most end within it, which spares
// their connections and shows how fast their endpoints are.
const lateAttemptGrace = 100 * time.Millisecond

// run is the execution of one query. The goroutine of [Gatherer.Gather] owns it
// and the query, and keeps both on its stack: the query is an argument beside
// the run, and closures for workers capture single fields of the run, never the
// run.
type run struct {
	*Gatherer
	caller    Caller
	request   *upstream.Request
	deadlines Deadlines
	relay     Relay
	// ctx is that of all attempts; cancel breaks them off.
	ctx    context.Context
	cancel context.CancelFunc
	// results has room for every attempt that the policy allows, so that no
	// send on it blocks.
	results chan result
	// longest is what nearly all attempts of the route stay within, 0 where none
	// was measured.
	longest time.Duration
}

// result is the outcome of an attempt of one shard or, where relayed is set, of
// a RelayCall.
type result struct {
	shard   int
	attempt upstream.Attempt
	relayed *relayResult
}

// sendFirst sends the first attempt of every shard.
func (r *run) sendFirst(q *Query) {
	shards := q.Shards
	var remote []remoteShard
	for i, s := range shards {
		if !q.policy.Relayed {
			r.RetryBudget.Deposit(s.Service, r.Now())
		}
		q.ScheduleHedge(i, hedgeTime(r.longest, &r.deadlines))
		p, isCanary := r.pickFirst(s)
		if r.relay != nil && !isCanary && (p.endpoint == nil || !p.endpoint.InLocalZone()) {
			remote = append(remote, remoteShard{i, p})
			continue
		}
		r.sendOrGiveUp(q, i, p, attemptFirst)
	}
	if len(remote) > 0 {
		r.sendRemote(q, remote)
	}
}

// await takes results and sends retries and hedges until the query is decided.
func (r *run) await(q *Query) (succeeded bool) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	callerLeft := r.caller.Context().Done()
	for {
		now := time.Now()
		if d := q.Decide(now, !now.Before(r.deadlines.HardDeadline)); d != Undecided {
			return d == Succeeded
		}
		wake := r.hedge(q, now, r.deadlines.HardDeadline)
		if silentAt := q.SilentAt(); silentAt.After(now) {
			wake = earlier(wake, silentAt)
		}
		timer.Reset(wake.Sub(now))
		select {
		case res := <-r.results:
			r.onResult(q, &res)
		case <-callerLeft:
			r.abandon(q)
			callerLeft = nil
		case <-timer.C:
		}
	}
}

// abandon ends what is done for a caller that has left.
func (r *run) abandon(q *Query) {
	r.Metrics.countAbandoned()
	q.OnCallerLeft()
	r.cancel()
}

// hedge sends the hedges that are due. It returns when the next one may be, if
// that is before wake, else wake.
func (r *run) hedge(q *Query, now, wake time.Time) time.Time {
	due, next := q.DueHedges(now)
	for _, i := range due {
		r.retry(q, i, true, attemptHedge)
	}
	if !next.IsZero() && next.Before(wake) {
		return next
	}
	return wake
}

// onResult feeds a result to the query and does what it asks for.
func (r *run) onResult(q *Query, res *result) {
	if res.relayed != nil {
		again, _ := q.OnRelayResult(res.relayed.shards, res.relayed.stamps, res.relayed.records)
		for _, i := range again {
			r.retry(q, i, true, attemptRetry)
		}
		return
	}
	action, retained := q.OnResult(res.shard, res.attempt)
	if !retained {
		res.attempt.Release()
	}
	if action == Retry {
		r.retry(q, res.shard, res.attempt.Outcome == upstream.OutcomeUnprocessed, attemptRetry)
	}
}

// retry sends shard i to one more endpoint, if there is one and the retry
// budget grants it. Hedges, relayed shards that are missing and retries after
// a full endpoint are spareOnly: they want an endpoint that is not full itself,
// since under load they would only add to its queue.
func (r *run) retry(q *Query, i int, spareOnly bool, kind attemptKind) {
	if r.caller.Left() {
		r.abandon(q)
		q.GiveUp(i)
		return
	}
	s := q.Shards[i]
	p := r.pick(s, s.attempted, spareOnly)
	if p.endpoint == nil && s.relayed {
		// It may have been the other front that failed, not the endpoint.
		p = r.pick(s, nil, spareOnly)
	}
	if p.endpoint != nil && !r.mayRetry(s) {
		r.Upstream.CancelPick(p.endpoint, p.start)
		p.endpoint = nil
	}
	r.sendOrGiveUp(q, i, p, kind)
}

// mayRetry reports whether what bounds further attempts grants one to a shard.
func (r *run) mayRetry(s *ShardRequest) bool {
	if r.request.BodyBegun() {
		return false
	}
	if s.isRetry() && !r.RetryBudget.TryWithdraw(s.Service, r.Now()) {
		return false
	}
	mayRunTwice := s.mayHaveRun || s.inFlight > 0
	return !mayRunTwice || r.request.MayRunAgain == nil || r.request.MayRunAgain()
}

// sendOrGiveUp sends shard i to the endpoint of a pick, if there is one.
func (r *run) sendOrGiveUp(q *Query, i int, p picked, kind attemptKind) {
	if p.endpoint == nil {
		q.GiveUp(i)
		return
	}
	q.OnSent(i, p.endpoint)
	r.scheduleSilence(q, i, kind)
	r.Metrics.countAttempt(kind)
	ctx, pool, request, deadline, results, latencies := r.ctx, r.Upstream, r.request, r.deadlines.ShardDeadline, r.results, &r.latencies
	err := r.Workers.Submit(func() {
		attempt := pool.Do(ctx, p.endpoint, request, p.start, deadline)
		if attempt.Succeeded() {
			latencies.Add(request.Route, time.Since(p.start))
		}
		results <- result{shard: i, attempt: attempt}
	})
	if err != nil {
		pool.CancelPick(p.endpoint, p.start)
		results <- result{shard: i, attempt: upstream.Attempt{Outcome: upstream.OutcomeUnsent, Endpoint: p.endpoint, Err: err}}
	}
}

// scheduleSilence sets when shard i, to which an attempt is sent, is silent: a
// further attempt has as long as nearly all take. So has the one attempt for
// another front, which makes the further one itself.
func (r *run) scheduleSilence(q *Query, i int, kind attemptKind) {
	now := time.Now()
	if kind == attemptFirst && !q.policy.Relayed {
		q.ScheduleSilence(i, silenceTime(r.longest, now))
	} else if r.longest > 0 {
		q.PostponeSilence(i, now.Add(r.longest))
	}
}

// finish ends the run once the query is decided. Attempts that are in flight
// run on for as long as the caller is there.
func (r *run) finish(q *Query) {
	n := q.inFlight()
	if n == 0 || q.callerLeft {
		r.cancel()
	}
	if n > 0 {
		go releaseResults(r.results, n, r.caller.Context(), r.cancel)
	}
}

// releaseResults releases the results of n attempts as they come. If the
// caller's context is canceled meanwhile, it cancels the attempts that are not
// about to end.
func releaseResults(results <-chan result, n int, caller context.Context, cancel context.CancelFunc) {
	defer cancel()
	callerLeft := caller.Done()
	for n > 0 {
		select {
		case res := <-results:
			res.attempt.Release()
			if res.relayed != nil {
				n -= len(res.relayed.shards)
			} else {
				n--
			}
		case <-callerLeft:
			callerLeft = nil
			defer time.AfterFunc(lateAttemptGrace, cancel).Stop()
		}
	}
}
