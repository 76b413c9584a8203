package frontend

import (
	"context"
	"time"

	"swiftswitch/internal/relay"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"
)

// RelayCaller sends a relay request to the front with an IP. The call ends, and
// with it the work of that front, once ctx is canceled.
type RelayCaller func(ctx context.Context, ip string, request relay.Request, response *relay.Response, timeout time.Duration) error

const (
	// minRelayedShards is the least number of shards of a route whose requests
	// are relayed: one shard needs one call to another zone anyway.
	minRelayedShards = 2
	// minRelayedAttemptTime is for how long endpoints may work on a relayed
	// request that the asking front does not wait for any more: less than they
	// may for a client that left right after it had asked.
	minRelayedAttemptTime = 400 * time.Millisecond
)

// SetRelays lets scattered requests be relayed by fronts of other zones.
func (h *Handler) SetRelays(relays *relay.Balancer, call RelayCaller) {
	h.relays, h.callRelay = relays, call
}

// exchangeRelay relays one client's request. It implements scatter.Relay.
type exchangeRelay struct {
	handler  *Handler
	exchange *exchange
}

// relayFor returns nil if the request may not be relayed.
func (h *Handler) relayFor(e *exchange) scatter.Relay {
	if h.relays == nil || len(e.route.Shards) < minRelayedShards || !e.request.IsGetWithoutBody() {
		return nil
	}
	return exchangeRelay{h, e}
}

// Pick picks a front of a zone and returns the call to it.
func (r exchangeRelay) Pick(zone string) (call scatter.RelayCall, longest time.Duration, ok bool) {
	front := r.handler.relays.Pick(zone, time.Now())
	if front == nil {
		return nil, 0, false
	}
	// The call may outlive the exchange: it must not refer to it.
	h, request := r.handler, r.exchange.request
	version, deadline := r.exchange.snapshot.RouteTable.Version, r.exchange.deadlines.ShardDeadline
	longest = h.relays.Latency(zone).P95
	call = func(ctx context.Context, shards []int, until time.Time) (stamps []string, records []byte) {
		began := time.Now()
		left := deadline.Sub(began)
		message := relay.Request{
			Version:     version,
			Shards:      shards,
			Head:        request.Head(),
			RemainingMs: left.Milliseconds(),
			WaitMs:      until.Sub(began).Milliseconds(),
		}
		var response relay.Response
		err := h.callRelay(ctx, front.IP, message, &response, callTimeout(left, until.Sub(began), longest))
		h.metrics.countRelayCall(ctx.Err() != nil, err)
		if ctx.Err() != nil {
			h.relays.Cancel(front.IP)
		} else {
			h.relays.Done(*front, err == nil, began, time.Now())
		}
		if err != nil || len(response.Stamps) != len(shards) || len(response.Records)%scatter.RecordSize != 0 {
			return make([]string, len(shards)), nil
		}
		return response.Stamps, response.Records
	}
	return call, longest, true
}

// callTimeout returns how long a call may take to a front that answers after
// wait at the latest: as much longer as nearly all calls take, and where that is
// not known the time that the client has left.
func callTimeout(left, wait, longest time.Duration) time.Duration {
	if longest == 0 {
		return left
	}
	return min(left, wait+longest)
}

// HandleRelay gathers some shards for a front in another zone. It makes one
// attempt at each and returns the answers that came within the wait; ok is
// false if this node does not hold the same version of the configuration. The
// asking front leaves when its own client does.
func (h *Handler) HandleRelay(caller *transport.Caller, message relay.Request) (response relay.Response, ok bool) {
	start := time.Now()
	snapshot := h.snapshot.Load()
	if snapshot == nil || h.draining.Load() || snapshot.RouteTable.Version != message.Version || message.RemainingMs <= 0 || len(message.Shards) == 0 {
		return relay.Response{}, false
	}
	request, ok := upstream.NewRelayedRequest(message.Head)
	if !ok {
		return relay.Response{}, false
	}
	route := snapshot.RouteTable.Match(request.Host, request.Target)
	if route == nil || !isRelayedTenantValid(snapshot.RouteTable.Tenants, route, request) {
		return relay.Response{}, false
	}
	shards, ok := h.relayedShards(snapshot, route, message.Shards)
	if !ok {
		return relay.Response{}, false
	}
	request.Route, request.TargetLatency = route.Name, route.TargetLatency
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.relayed.Add(1)
	query := scatter.NewQuery(scatter.Policy{MaxAttempts: 1, Idempotent: true, Relayed: true}, shards)
	defer query.Release()
	caller.Watch(func() {
		h.gatherer.Gather(caller, query, request, relayDeadlines(start, &message), nil)
	})
	return relayResponse(query, route.TopRecords), true
}

// relayedShards returns the shard requests for the shards at these positions of
// the route's list.
func (h *Handler) relayedShards(snapshot *Snapshot, route *routing.Route, positions []int) (shards []*scatter.ShardRequest, ok bool) {
	for _, i := range positions {
		if i < 0 || i >= len(route.Shards) {
			return nil, false
		}
		shard := route.Shards[i]
		shards = append(shards, snapshot.shardRequest(shard, h.chooseStableVersion(snapshot, shard)))
	}
	return shards, true
}

// relayDeadlines returns deadlines that end the gathering when the asking front
// needs the answer, which may be before the client's time is over. The endpoints
// get little longer: once that answer is written, nothing tells this node that
// the client has left.
func relayDeadlines(start time.Time, message *relay.Request) scatter.Deadlines {
	left := time.Duration(message.RemainingMs) * time.Millisecond
	wait := min(left, time.Duration(message.WaitMs)*time.Millisecond)
	return scatter.Deadlines{
		Start:         start,
		HardDeadline:  start.Add(wait),
		ShardDeadline: start.Add(min(left, max(wait, minRelayedAttemptTime))),
	}
}

// relayResponse merges the shards that answered.
func relayResponse(query *scatter.Query, topRecords int) relay.Response {
	response := relay.Response{Stamps: make([]string, len(query.Shards))}
	var bodies [][]byte
	for i, shard := range query.Shards {
		if shard.Answered() {
			response.Stamps[i] = shard.Answer.Stamp
			bodies = append(bodies, shard.Answer.Records())
		}
	}
	response.Records = scatter.Merge(bodies, topRecords)
	return response
}

// Relayed returns the number of requests relayed for other fronts.
func (h *Handler) Relayed() int64 { return h.relayed.Load() }
