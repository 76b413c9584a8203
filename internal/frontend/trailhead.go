package frontend

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/events"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// Snapshot is what a request is pinned to: one configuration and the slots
// of its cut. It is never changed.
type Snapshot struct {
	RouteTable *routing.Table
	// Holders names, for each shard of the cut and version of its searchers,
	// those with a slot.
	Holders map[string]map[string][]string
	// TrafficSplits says to which versions of a service's searchers requests may go.
	TrafficSplits map[string]*rollout.TrafficSplit
}

// leg is the part of a gathered request that goes to a shard: to its holders
// and to nobody else, even where there are none.
func (s *Snapshot) leg(shard string, w rollout.VersionChoice) *scatter.ShardRequest {
	return s.make(shard, w, func(version string) []string {
		if l := s.Holders[shard][version]; l != nil {
			return l
		}
		return []string{}
	})
}

// alone is the one part of a request to a single service: any searcher will do.
func (s *Snapshot) alone(service string, w rollout.VersionChoice) *scatter.ShardRequest {
	return s.make(service, w, func(string) []string { return nil })
}

func (s *Snapshot) make(service string, w rollout.VersionChoice, holders func(version string) []string) *scatter.ShardRequest {
	l := &scatter.ShardRequest{Service: service, Version: w.Primary, Holders: holders(w.Primary)}
	if w.Canary != "" {
		l.Canary = &upstream.Selector{Service: service, Version: w.Canary, IDs: holders(w.Canary)}
	}
	if w.Fallback != "" {
		l.Fallback = &upstream.Selector{Service: service, Version: w.Fallback, IDs: holders(w.Fallback)}
	}
	return l
}

// way draws to which version of a service's searchers one request goes.
func (h *Handler) way(s *Snapshot, service string) rollout.VersionChoice {
	l := s.TrafficSplits[service]
	if l == nil {
		return rollout.VersionChoice{}
	}
	if l.Settled() {
		return l.Route(0, 0, 0, 0)
	}
	now, heard := h.opt.Clock()
	return l.Route(now, heard, h.opt.MajorityTimeout, rand.Float64())
}

// ChooseVersion draws which version of a service's endpoints one request
// goes, as the snapshot in force allows.
func (h *Handler) ChooseVersion(service string) rollout.VersionChoice {
	s := h.now.Load()
	if s == nil {
		return rollout.VersionChoice{}
	}
	return h.way(s, service)
}

// steadyWay is the way of a request that another front counts: no canary.
func (h *Handler) steadyWay(s *Snapshot, service string) rollout.VersionChoice {
	w := h.way(s, service)
	w.Canary = ""
	return w
}

// Options are ratios.
type Options struct {
	// PartialResponseAfter is the part of the target that is used before a partial answer is weighed.
	PartialResponseAfter float64
	// GiveUpAfter is the part of the client's time that is used before giving up.
	GiveUpAfter float64
	// LateResponseValue is what a late answer is taken to be worth beside one in time.
	LateResponseValue float64
	// RetryAfterRatio, a part of the target, is when a refused client may come back.
	RetryAfterRatio float64
	// WriteTimeout bounds the sending of an answer whose client waits no longer.
	WriteTimeout time.Duration
	// OverloadFactor, times its slots, is how much a searcher may have to do before requests of the highest priority are refused.
	OverloadFactor float64
	// StartupWait is how long a request may wait for a node that just started.
	StartupWait time.Duration
	// Clock tells steady time, and how long ago a hut in touch with a majority
	// answered; beyond Deaf of that the node keeps to versions that are settled.
	Clock           func() (now, heard time.Duration)
	MajorityTimeout time.Duration
}

// Handler serves clients.
type Handler struct {
	opt   Options
	guide *scatter.Gatherer
	now   atomic.Pointer[Snapshot]
	leave atomic.Bool
	// ending is closed when a leaving node answers what still waits here.
	ending chan struct{}
	busy   atomic.Int64
	chain  []filter
	first  chan struct{}

	// longest is the most time that a client of each route came with.
	longest sync.Map
	lent    atomic.Int64

	choice *relay.Balancer
	call   RelayCaller
	pantry *CacheHandler
}

// New makes a head without a snapshot; until it has one it refuses.
func New(o Options, g *scatter.Gatherer) *Handler {
	h := &Handler{opt: o, guide: g, first: make(chan struct{}), ending: make(chan struct{})}
	h.chain = []filter{h.pin, h.bound, h.read, h.route, h.times, h.serve}
	return h
}

// SetSnapshot puts a snapshot in force for the requests that come from now on.
func (h *Handler) SetSnapshot(s *Snapshot) {
	if h.now.Swap(s) == nil {
		close(h.first)
	}
}

// Snapshot is the snapshot in force.
func (h *Handler) Snapshot() *Snapshot { return h.now.Load() }

// Drain makes every further answer the last on its connection.
func (h *Handler) Drain() { h.leave.Store(true) }

// CancelWaiting answers, once, all that waits here and has not gone to a searcher.
func (h *Handler) CancelWaiting() { close(h.ending) }

// InFlight counts the requests under way.
func (h *Handler) InFlight() int64 { return h.busy.Load() }

// visit is one request on its way through the chain.
type visit struct {
	c     *app.RequestContext
	start time.Time
	snap  *Snapshot
	req   *upstream.Request
	route *routing.Route
	times scatter.Deadlines
	// spent is how long ago, as far as is known, the client first asked.
	spent time.Duration
	// last: the connection ends with this answer.
	last bool
}

// filter handles a visit and tells whether the next filter follows.
type filter func(v *visit) bool

// Handle is the handler for the clients' listener.
func (h *Handler) Handle(_ context.Context, c *app.RequestContext) {
	h.busy.Add(1)
	defer h.busy.Add(-1)
	v := &visit{c: c, start: time.Now()}
	for _, f := range h.chain {
		if !f(v) {
			break
		}
	}
	if v.last || h.leave.Load() {
		c.SetConnectionClose()
	} else if v.snap != nil {
		// The client must not come just when the node closes.
		if s := int(v.snap.RouteTable.Limits.IdleTimeout / time.Second); s > 1 {
			c.Response.Header.Set("Keep-Alive", "timeout="+strconv.Itoa(s-1))
		}
	}
	// A long answer over a slow link may take as long as its client waits; a
	// peer that is gone is noticed sooner, by the connection itself.
	_ = c.GetConn().SetWriteTimeout(max(h.opt.WriteTimeout, time.Until(v.times.ShardDeadline)))
}

func (h *Handler) refuse(v *visit, status int, why string) bool {
	v.c.SetStatusCode(status)
	v.c.Response.Header.SetContentType("text/plain")
	v.c.Response.SetBodyString(why + "\n")
	if status == 503 || status == 429 {
		target := 100 * time.Millisecond
		if v.route != nil {
			target = v.route.TargetLatency
		}
		h.retryAfter(v, target)
	}
	return false
}

// retryAfter tells the client when to come back.
func (h *Handler) retryAfter(v *visit, target time.Duration) {
	h.comeBack(v, time.Duration(float64(target)*h.opt.RetryAfterRatio*(0.5+rand.Float64())))
}

func (h *Handler) comeBack(v *visit, in time.Duration) {
	v.c.Response.Header.Set("Retry-After", strconv.FormatFloat(in.Seconds(), 'f', 3, 64))
}

// pin takes the snapshot that the request keeps to its end.
func (h *Handler) pin(v *visit) bool {
	if v.snap = h.now.Load(); v.snap == nil {
		select {
		case <-h.first:
			v.snap = h.now.Load()
		case <-time.After(h.opt.StartupWait):
		}
	}
	if v.snap == nil {
		return h.refuse(v, 503, "no configuration yet")
	}
	return true
}

// bound keeps clients within the operator's limits.
func (h *Handler) bound(v *visit) bool {
	l := v.snap.RouteTable.Limits
	if len(v.c.Request.Header.RawHeaders())+len(v.c.Request.Header.RequestURI()) > l.HeaderBytes {
		v.last = true
		return h.refuse(v, 431, "headers too large")
	}
	if len(v.c.Request.Body()) > l.BodyBytes {
		v.last = true
		return h.refuse(v, 413, "body too large")
	}
	return true
}

// read checks the request strictly: nothing doubtful reaches a searcher.
func (h *Handler) read(v *visit) bool {
	hd := &v.c.Request.Header
	req, err := upstream.NewRequest(string(hd.Method()), string(hd.RequestURI()), hd.RawHeaders(), v.c.Request.Body())
	if err != nil || !hd.IsHTTP11() {
		events.Log(events.RequestRejected, "err", err)
		v.last = true
		return h.refuse(v, 400, "malformed request")
	}
	v.req = req
	return true
}

// route finds the route, or there is none.
func (h *Handler) route(v *visit) bool {
	if v.route = v.snap.RouteTable.Match(v.req.Host, v.req.Target); v.route == nil {
		return h.refuse(v, 404, "no route")
	}
	v.req.Route, v.req.LatencyTarget = v.route.Name, v.route.TargetLatency
	return true
}

// times sets the bounds of the request.
func (h *Handler) times(v *visit) bool {
	limit := v.route.Timeout
	if d := v.req.DeadlineMs; d >= 0 && d < float64(limit)/float64(time.Millisecond) {
		limit = time.Duration(d * float64(time.Millisecond))
	}
	if limit < time.Millisecond {
		// Never offered to a searcher: 503 says so, 504 would not.
		return h.refuse(v, 503, "no time left")
	}
	soft := time.Duration(float64(v.route.TargetLatency) * h.opt.PartialResponseAfter)
	if v.spent = h.since(v); v.spent < soft {
		soft -= v.spent
	}
	v.times = scatter.Deadlines{
		Start: v.start, TargetLatency: v.route.TargetLatency,
		SoftDeadline:  v.start.Add(soft),
		HardDeadline:  v.start.Add(time.Duration(float64(limit) * h.opt.GiveUpAfter)),
		ShardDeadline: v.start.Add(limit),
	}
	return true
}

// since tells how long ago the client first asked: every client of a route
// comes with the same time at first, and with less when it comes again.
func (h *Handler) since(v *visit) time.Duration {
	d := v.req.DeadlineMs
	if d < 0 {
		return 0
	}
	most, _ := h.longest.LoadOrStore(v.route.Name, d)
	if m := most.(float64); d < m {
		return time.Duration((m - d) * float64(time.Millisecond))
	} else if d > m {
		h.longest.Store(v.route.Name, d)
	}
	return 0
}

// serve sends the request on and answers.
func (h *Handler) serve(v *visit) bool {
	r := v.route
	if r.Cacheable && h.pantry != nil && (v.req.Method == "GET" || v.req.Method == "HEAD") && !v.req.HasBody() {
		return h.cached(v)
	}
	terms := scatter.Policy{MaxAttempts: r.MaxAttempts, Idempotent: r.Idempotent, MinShare: 1, LateResponseValue: h.opt.LateResponseValue}
	var legs []*scatter.ShardRequest
	if len(r.Shards) > 0 {
		terms.MinShare = r.MinShare
		for _, s := range r.Shards {
			legs = append(legs, v.snap.leg(s, h.way(v.snap, s)))
		}
	} else {
		s := r.PickService(rand.Float64())
		legs = []*scatter.ShardRequest{v.snap.alone(s, h.way(v.snap, s))}
	}
	// The lower a request's priority, the sooner it is refused; one that is
	// late already makes room for those that can be in time.
	factor := h.opt.OverloadFactor * (1 - 0.15*float64(min(r.Priority, 4)))
	if v.spent >= r.TargetLatency {
		factor *= h.opt.LateResponseValue
	}
	if h.crowded(legs, factor) {
		return h.refuse(v, 503, "all searchers are busy")
	}
	p := scatter.NewQuery(terms, legs)
	ok := h.guide.Gather(p, v.req, v.times, h.across(v))
	defer p.Release()
	switch {
	case ok && len(r.Shards) > 0:
		h.answerGathered(v, p)
	case ok:
		h.pass(v, &p.Shards[0].Answer)
	case len(r.Shards) == 0 && p.Shards[0].CanForwardFailure():
		h.pass(v, &p.Shards[0].LastFailure)
	case !p.MayHaveRun():
		h.refuse(v, 503, "no searcher can take this now")
	case !time.Now().Before(v.times.HardDeadline):
		h.refuse(v, 504, "no answer in time")
	default:
		h.refuse(v, 502, "no whole answer")
	}
	return false
}

// crowded tells whether more than half of the legs would wait in a long
// queue, that is behind more than factor times the slots. Then the request is
// better refused before anything of it runs.
func (h *Handler) crowded(legs []*scatter.ShardRequest, factor float64) bool {
	n := 0
	for _, l := range legs {
		if h.guide.Upstream.Overloaded(l.Selector(), factor) {
			n++
		}
	}
	return 2*n > len(legs)
}

// pass gives a searcher's answer back as it is.
func (h *Handler) pass(v *visit, o *upstream.Attempt) {
	out := &v.c.Response
	out.SetStatusCode(o.Status)
	named := map[string]bool{}
	for _, n := range strings.Split(string(o.Response.Header.Peek("Connection")), ",") {
		named[strings.ToLower(strings.TrimSpace(n))] = true
	}
	o.Response.Header.VisitAll(func(k, val []byte) {
		name := string(k)
		if upstream.IsHopByHop(name) || named[strings.ToLower(name)] {
			return
		}
		switch strings.ToLower(name) {
		case "content-type":
			out.Header.SetContentTypeBytes(val)
		case "server":
			out.Header.SetServerBytes(val)
		case "content-encoding":
			out.Header.SetContentEncodingBytes(val)
		default:
			out.Header.Add(name, string(val))
		}
	})
	out.SetBodyRaw(append([]byte(nil), o.Response.Body()...))
	if out.StatusCode() == 503 || out.StatusCode() == 429 {
		if len(out.Header.Peek("Retry-After")) == 0 {
			h.retryAfter(v, v.route.TargetLatency)
		}
	}
}

// answerGathered merges the parts that are in.
func (h *Handler) answerGathered(v *visit, p *scatter.Query) {
	var bodies [][]byte
	stamps := make([]byte, 0, 40*len(p.Shards))
	for _, l := range p.Shards {
		if !l.Answered() {
			continue
		}
		bodies = append(bodies, l.Answer.Records())
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, l.Answer.Stamp...)
	}
	out := &v.c.Response
	out.SetStatusCode(200)
	out.Header.SetContentType("application/octet-stream")
	out.Header.Set(upstream.HeaderPartStamps, string(stamps))
	if missing := len(p.Shards) - p.Answered(); missing > 0 {
		out.Header.Set(upstream.HeaderMissingParts, strconv.Itoa(missing))
	}
	out.Header.Set(upstream.HeaderRequestID, v.req.ID)
	out.SetBodyRaw(scatter.Merge(bodies, v.route.TopRecords))
}
