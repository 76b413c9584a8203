package front

import (
	"cmp"
	"encoding/json"
	"slices"
	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/upstream"
)

// FrontFetchShare is the part of a rate limit that the fronts share while there
// is no cache node.
const FrontFetchShare = 0.5

// cacheNodeList is what a node knows of those that keep copies; it is never changed.
type cacheNodeList struct {
	list []consensus.CacheNode
	// member: this node is one of them.
	member bool
	// since is when this node came onto the list, in this life.
	since     time.Duration
	inherited bool
}

// setCacheNodes takes the agreed list; it runs on the desk.
func (t *Server) setCacheNodes(list []consensus.CacheNode) {
	old := t.cacheNodes.Load()
	now := &cacheNodeList{list: list}
	now.member = slices.ContainsFunc(list, func(l consensus.CacheNode) bool { return l.IP == t.host.Settings().IpAddress })
	switch {
	case !now.member:
	case old == nil:
		// It was on the list in an earlier life: nobody else has its part.
		now.inherited = true
	case old.member:
		now.since, now.inherited = old.since, old.inherited
	default:
		now.since = t.host.Now()
	}
	t.cacheNodes.Store(now)
	if t.cacheNode {
		t.endpoints.SetFrontCounts(upstream.FrontCounts{All: len(list)})
	}
}

// CacheNodes is the agreed list of cache nodes.
func (t *Server) CacheNodes() []consensus.CacheNode {
	l := t.cacheNodes.Load()
	if l == nil {
		return nil
	}
	return l.list
}

// ListedAsCacheNode tells whether the agreed list of cache nodes holds this one.
func (t *Server) ListedAsCacheNode() bool {
	l := t.cacheNodes.Load()
	return l != nil && l.member
}

// Service is a service of the configuration in force, nil where there is none;
// known is false while there is no configuration.
func (t *Server) Service(name string) (service *config.Service, known bool) {
	snapshot := t.frontend.Snapshot()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.RouteTable.Services[name], true
}

// Route finds the route of an object, if there is any yet.
func (t *Server) Route(host, target string) *routing.Route {
	snap := t.frontend.Snapshot()
	if snap == nil {
		return nil
	}
	return snap.RouteTable.Match(host, target)
}

// QuotaShare is this node's part of each service's ceiling; ok is false while it
// must not fetch. A larder that came onto the list waits until the others have
// heard of it and given up their part; one that no hut in touch with a
// majority answers stops before the huts count it as gone and the others take
// its part. Fronts fetch only where there is no larder.
func (t *Server) QuotaShare() (part float64, ok bool) {
	l := t.cacheNodes.Load()
	if l == nil {
		return 0, false
	}
	now := t.host.Now()
	if now-time.Duration(t.majorityHeardAt.Load()) > config.Seconds(t.host.Settings().Bounds.CatchUpS, cachenode.MaxSilenceBeforePause) {
		return 0, false
	}
	if t.cacheNode {
		if !l.member || !l.inherited && now-l.since < t.host.Heartbeats(2) {
			return 0, false
		}
		return 1 / float64(len(l.list)), true
	}
	if len(l.list) > 0 || now < t.host.Heartbeats(4) {
		return 0, false
	}
	return FrontFetchShare / float64(max(1, t.frontCount.Load())), true
}

// Fetch asks the larder that owns the object, or the next in line where that
// one does not answer. Without any, the front fetches itself, sparingly.
func (t *Server) Fetch(w frontend.FetchRequest) frontend.FetchResult {
	deadline := time.Now().Add(w.TimeLeft)
	l := t.cacheNodes.Load()
	if l == nil {
		return frontend.FetchResult{Status: 503, RetryAfter: t.host.Heartbeats(0.2)}
	}
	if len(l.list) == 0 {
		return t.fetchSelf(w)
	}
	order := slices.Clone(l.list)
	key, now := cache.Key(w.Host, w.Target), time.Now()
	score := func(x consensus.CacheNode) uint64 { return upstream.HashString(x.IP + "\n" + key) }
	slices.SortFunc(order, func(a, b consensus.CacheNode) int {
		return cmp.Or(cmp.Compare(t.cacheNodeHealth.EjectionRank(a.IP, now), t.cacheNodeHealth.EjectionRank(b.IP, now)), cmp.Compare(score(b), score(a)))
	})
	for at := 0; ; {
		left := time.Until(deadline)
		if left < time.Millisecond {
			return frontend.FetchResult{Status: 504}
		}
		if at >= 2*len(order) {
			return frontend.FetchResult{Status: 503, RetryAfter: min(t.host.Heartbeats(0.5), left/4)}
		}
		wait := min(left, max(w.TargetLatency*3/4, t.host.Heartbeats(0.2)))
		to := order[at%len(order)]
		got, err := t.fetchFrom(to, w, left, wait)
		t.cacheNodeHealth.Done(to.IP, err == nil, time.Now())
		switch {
		case err != nil || got.Status == nodeapi.StatusNoQuota:
			at++
		case got.Status == 202 && got.Object == nil:
			// It is being fetched there; the wish counts once.
			w.Weight, w.IsRetry = 0, true
		default:
			return got
		}
	}
}

func (t *Server) fetchFrom(to consensus.CacheNode, w frontend.FetchRequest, left, wait time.Duration) (frontend.FetchResult, error) {
	a := nodeapi.CacheFetchRequest{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, PurgeSeq: t.cacheHandler.KnownPurge(), TimeLeftMs: left.Milliseconds(), PollTimeoutMs: wait.Milliseconds(), TargetLatencyMs: w.TargetLatency.Milliseconds(), IsRetry: w.IsRetry}
	began := t.host.Now()
	rep, err := t.host.Client.Do(t.host.Settings().InternalAddress(to.IP), "POST", nodeapi.PathCacheFetch, nil, codec.MustEncode("larder", a), min(left, wait+max(w.TargetLatency/2, t.host.Heartbeats(0.2))))
	if err != nil {
		return frontend.FetchResult{}, err
	}
	var s nodeapi.CacheFetchResponse
	if err := json.Unmarshal([]byte(rep.Header(nodeapi.HeaderCacheFetch)), &s); err != nil {
		return frontend.FetchResult{}, err
	}
	return fetchResult(w, s, rep.Body, began), nil
}

// fetchResult reads a larder's answer; began is when it was asked for, from which
// the copy's age is counted on.
func fetchResult(w frontend.FetchRequest, s nodeapi.CacheFetchResponse, body []byte, began time.Duration) frontend.FetchResult {
	switch {
	case s.PassThrough:
		return frontend.FetchResult{PassThrough: &cache.PassThrough{Status: s.Status, Fields: s.Fields, Body: body, Stamp: s.Stamp}}
	case s.Status == 200:
		return frontend.FetchResult{Object: &cache.Object{
			Host: w.Host, Target: w.Target, Service: w.Service, Fields: s.Fields, Body: body, ETag: s.ETag, Stamp: s.Stamp, Tags: s.Tags,
			FetchedAt: began - time.Duration(s.AgeMs)*time.Millisecond, KnownPurge: s.PurgeSeq,
		}}
	}
	return frontend.FetchResult{Status: s.Status, RetryAfter: time.Duration(s.RetryAfterMs) * time.Millisecond}
}

// fetchSelf fetches where there is no larder.
func (t *Server) fetchSelf(w frontend.FetchRequest) frontend.FetchResult {
	r := t.Route(w.Host, w.Target)
	if r == nil {
		return frontend.FetchResult{Status: 503}
	}
	began := t.host.Now()
	left := w.TimeLeft.Milliseconds()
	s, body := t.fetcher.Get(nodeapi.CacheFetchRequest{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, TimeLeftMs: left, PollTimeoutMs: left, TargetLatencyMs: w.TargetLatency.Milliseconds(), IsRetry: w.IsRetry}, r.CacheLifetime, r.SplitsTo)
	switch s.Status {
	case 202:
		s.Status = 504
	case nodeapi.StatusNoQuota:
		s.Status, s.RetryAfterMs = 503, min(t.host.Heartbeats(0.5).Milliseconds(), left/4)
	}
	return fetchResult(w, s, body, began)
}
