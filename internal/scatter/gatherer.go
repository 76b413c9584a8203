package scatter

import (
	"context"
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/latency"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/upstream"
)

// Gatherer drives queries. It is safe for concurrent use once its fields are set.
type Gatherer struct {
	Upstream    *upstream.Pool
	RetryBudget *ratelimit.RetryBudget
	// Workers run the attempts. The pool must not block on Submit.
	Workers *ants.Pool
	// Now is the node's monotonic clock.
	Now func() time.Duration
	// Metrics may be nil.
	Metrics *Metrics

	// latencies holds those of the attempts of each route: how long they take
	// depends on what is asked, and little on which shard it is.
	latencies latency.Table
}

// Caller is who waits for the response to a query. *transport.Caller implements
// it, also where it is nil.
type Caller interface {
	// Context returns a context that is canceled once the caller was seen to
	// have left.
	Context() context.Context
	// Left looks whether the caller has left.
	Left() bool
}

// Gather sends the request to every shard of the query and returns when the
// query is decided; it reports whether it succeeded. relay may be nil.
//
// Nothing is sent for a caller that has left, and what is under way for it is
// canceled. Otherwise attempts that are in flight when the query is decided run
// on in the background: an endpoint at work is not interrupted while its caller
// is there. Their responses are released.
func (g *Gatherer) Gather(caller Caller, q *Query, request *upstream.Request, deadlines Deadlines, relay Relay) (succeeded bool) {
	request.Idempotent = q.policy.Idempotent
	// The values of the caller's context alone: it is canceled by run.
	ctx, cancel := context.WithCancel(context.WithoutCancel(caller.Context()))
	r := &run{
		Gatherer: g, caller: caller, request: request, deadlines: deadlines, relay: relay,
		ctx: ctx, cancel: cancel,
		results: make(chan result, len(q.Shards)*q.policy.MaxAttempts),
		longest: g.latencies.Percentiles(request.Route).P95,
	}
	defer r.finish(q)
	if caller.Left() {
		q.OnCallerLeft()
		return false
	}
	r.sendFirst(q)
	return r.await(q)
}

// hedgeTime returns when a shard's first attempt is hedged: once it takes longer
// than nearly all attempts of its route, and in any case while the second
// attempt still has as much of the client's time as the first had.
func hedgeTime(longest time.Duration, d *Deadlines) time.Time {
	if longest == 0 {
		return d.half()
	}
	return earlier(d.Start.Add(longest), d.half())
}

// silenceTime returns when a shard is silent to which its first attempt is sent
// now: when a hedged request, too, would have taken longer than nearly all do.
// Then its endpoints are paused, cut off or gone, and no answer is expected soon.
// It is zero where nothing is known about the latency.
func silenceTime(longest time.Duration, now time.Time) time.Time {
	if longest == 0 {
		return time.Time{}
	}
	return now.Add(2 * longest)
}

// pickFirst picks the endpoint of a shard's first attempt, or nil. A canary is
// reached directly, however far it is: a front that relayed the attempt would
// count it once more.
func (g *Gatherer) pickFirst(s *ShardRequest) (p picked, isCanary bool) {
	if s.Canary != nil {
		if endpoint, start := g.Upstream.Pick(*s.Canary, nil, false); endpoint != nil {
			return picked{endpoint, start}, true
		}
	}
	return g.pick(s, nil, false), false
}

// pick picks among the shard's endpoints, or where none of them can be picked,
// among those of its fallback. With spareOnly, full endpoints are left out.
func (g *Gatherer) pick(s *ShardRequest, exclude []*upstream.Endpoint, spareOnly bool) picked {
	endpoint, start := g.Upstream.Pick(s.Selector(), exclude, spareOnly)
	if endpoint == nil && s.Fallback != nil {
		endpoint, start = g.Upstream.Pick(*s.Fallback, exclude, spareOnly)
	}
	return picked{endpoint, start}
}

// picked is an endpoint that the upstream pool counts as busy since start. Each
// is followed by an attempt or canceled. The endpoint may be nil.
type picked struct {
	endpoint *upstream.Endpoint
	start    time.Time
}
