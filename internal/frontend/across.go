package frontend

import (
	"time"

	"swiftswitch/internal/relay"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// RelayCaller carries a call to another front.
type RelayCaller func(ip string, ask relay.Request, say *relay.Response, within time.Duration) error

// SetRelays lets gathered requests go by way of fronts in other zones.
func (h *Handler) SetRelays(c *relay.Balancer, call RelayCaller) { h.choice, h.call = c, call }

// crossing is one request's way across.
type crossing struct {
	h *Handler
	v *visit
}

// across is nil where the request is none that another front may gather for.
func (h *Handler) across(v *visit) scatter.Relay {
	if h.choice == nil || len(v.route.Shards) < 2 || !v.req.IsGetWithoutBody() {
		return nil
	}
	return crossing{h, v}
}

// Pick picks the front to ask.
func (c crossing) Pick(zone string) (func([]int, time.Duration) ([]string, []byte), bool) {
	front := c.h.choice.Pick(zone, time.Now())
	if front == nil {
		return nil, false
	}
	v := c.v
	version, req, until := v.snap.RouteTable.Version, v.req, v.times.ShardDeadline
	return func(legs []int, wait time.Duration) ([]string, []byte) {
		left := time.Until(until)
		ask := relay.Request{
			Version: version, Shards: legs, Head: req.Head(), RemainingMs: left.Milliseconds(), WaitMs: wait.Milliseconds(),
		}
		var say relay.Response
		err := c.h.call(front.IP, ask, &say, min(left, 3*wait))
		c.h.choice.Done(front.IP, err == nil, time.Now())
		if err != nil || len(say.Stamps) != len(legs) || len(say.Records)%scatter.RecordSize != 0 {
			return make([]string, len(legs)), nil
		}
		return say.Stamps, say.Records
	}, true
}

// HandleRelay gathers some shards for another front. It asks one searcher of each
// and answers with what is in when the wait is over; false means that this
// node does not hold the same version.
func (h *Handler) HandleRelay(a relay.Request) (relay.Response, bool) {
	start := time.Now()
	snap := h.now.Load()
	if snap == nil || h.leave.Load() || snap.RouteTable.Version != a.Version || a.RemainingMs <= 0 || len(a.Shards) == 0 {
		return relay.Response{}, false
	}
	req, ok := upstream.NewRelayedRequest(a.Head)
	if !ok {
		return relay.Response{}, false
	}
	route := snap.RouteTable.Match(req.Host, req.Target)
	if route == nil {
		return relay.Response{}, false
	}
	var legs []*scatter.ShardRequest
	for _, i := range a.Shards {
		if i < 0 || i >= len(route.Shards) {
			return relay.Response{}, false
		}
		legs = append(legs, snap.leg(route.Shards[i], h.steadyWay(snap, route.Shards[i])))
	}
	req.Route, req.LatencyTarget = route.Name, route.TargetLatency
	h.busy.Add(1)
	h.lent.Add(1)
	defer h.busy.Add(-1)
	left := time.Duration(a.RemainingMs) * time.Millisecond
	wait := min(left, time.Duration(a.WaitMs)*time.Millisecond)
	p := scatter.NewQuery(scatter.Policy{MaxAttempts: 1, Idempotent: true, Relayed: true}, legs)
	defer p.Release()
	h.guide.Gather(p, req, scatter.Deadlines{Start: start, TargetLatency: route.TargetLatency, SoftDeadline: start.Add(wait), HardDeadline: start.Add(wait), ShardDeadline: start.Add(left)}, nil)
	say := relay.Response{Stamps: make([]string, len(legs))}
	var bodies [][]byte
	for k, l := range legs {
		if l.Answered() {
			say.Stamps[k] = l.Answer.Stamp
			bodies = append(bodies, l.Answer.Records())
		}
	}
	say.Records = scatter.Merge(bodies, route.TopRecords)
	return say, true
}

// Relayed counts the requests in which this front helped another.
func (h *Handler) Relayed() int64 { return h.lent.Load() }
