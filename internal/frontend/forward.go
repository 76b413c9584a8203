package frontend

import (
	"math/rand/v2"
	"net/http"
	"time"

	"swiftswitch/internal/scatter"
)

// forward sends the request on and writes the response. It is the last filter.
func (h *Handler) forward(e *exchange) bool {
	if h.cache != nil && isCacheable(e) {
		return h.serveCached(e)
	}
	policy, shards := h.plan(e)
	e.request.StreamsResponse = len(e.route.Shards) == 0
	if !h.canAnswerInTime(e, policy, shards) {
		return h.reject(e, rejectOverloaded)
	}
	query := scatter.NewQuery(policy, shards)
	defer query.Release()
	succeeded := false
	e.caller.Watch(func() {
		succeeded = h.gatherer.Gather(e.caller, query, e.request, e.deadlines, h.relayFor(e))
	})
	h.writeResult(e, query, succeeded)
	return false
}

// isCacheable reports whether a request may be answered by a cached object.
func isCacheable(e *exchange) bool {
	method := e.request.Method
	return e.route.Cacheable && (method == http.MethodGet || method == http.MethodHead) && !e.request.HasBody()
}

// plan returns the policy of a request and its shard requests: one for each
// shard of a scattered route, or one to a service of the route.
func (h *Handler) plan(e *exchange) (scatter.Policy, []*scatter.ShardRequest) {
	route := e.route
	policy := scatter.Policy{
		MaxAttempts: route.MaxAttempts,
		Idempotent:  route.Idempotent,
		MinShare:    1,
	}
	if len(route.Shards) == 0 {
		service := route.PickService(rand.Float64())
		return policy, []*scatter.ShardRequest{serviceRequest(service, h.chooseVersion(e.snapshot, service))}
	}
	policy.MinShare = route.MinShare
	var shards []*scatter.ShardRequest
	for _, shard := range route.Shards {
		shards = append(shards, e.snapshot.shardRequest(shard, h.chooseVersion(e.snapshot, shard)))
	}
	return policy, shards
}

// writeResult answers the client by what came of its request.
func (h *Handler) writeResult(e *exchange, query *scatter.Query, succeeded bool) {
	isScattered := len(e.route.Shards) > 0
	switch {
	case succeeded && isScattered:
		writeMerged(e, query)
	case succeeded:
		h.writeAttempt(e, &query.Shards[0].Answer)
	case !isScattered && query.Shards[0].CanForwardFailure():
		h.writeAttempt(e, &query.Shards[0].LastFailure)
	case !query.MayHaveRun():
		h.reject(e, rejectNoEndpoint)
	case !time.Now().Before(e.deadlines.HardDeadline):
		h.reject(e, rejectTimedOut)
	case e.request.BodyBegun() && e.caller.RequestBody().CallerFailed():
		h.reject(e, rejectBodyIncomplete)
	default:
		h.reject(e, rejectNoCompleteResponse)
	}
}
