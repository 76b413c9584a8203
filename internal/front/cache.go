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
	snapshot := t.frontend.Current()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.Map.Services[name], true
}

// Route finds the route of an object, if there is any yet.
func (t *Server) Route(host, target string) *routing.Route {
	snap := t.frontend.Current()
	if snap == nil {
		return nil
	}
	return snap.Map.Match(host, target)
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

// Bring asks the larder that owns the object, or the next in line where that
// one does not answer. Without any, the front fetches itself, sparingly.
func (t *Server) Bring(w frontend.Want) frontend.Brought {
	deadline := time.Now().Add(w.Left)
	l := t.cacheNodes.Load()
	if l == nil {
		return frontend.Brought{Status: 503, Back: t.host.Heartbeats(0.2)}
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
			return frontend.Brought{Status: 504}
		}
		if at >= 2*len(order) {
			return frontend.Brought{Status: 503, Back: min(t.host.Heartbeats(0.5), left/4)}
		}
		wait := min(left, max(w.Aim*3/4, t.host.Heartbeats(0.2)))
		to := order[at%len(order)]
		got, err := t.fetchFrom(to, w, left, wait)
		t.cacheNodeHealth.Done(to.IP, err == nil, time.Now())
		switch {
		case err != nil || got.Status == nodeapi.StatusNoQuota:
			at++
		case got.Status == 202 && got.Copy == nil:
			// It is being fetched there; the wish counts once.
			w.Weight, w.Again = 0, true
		default:
			return got
		}
	}
}

func (t *Server) fetchFrom(to consensus.CacheNode, w frontend.Want, left, wait time.Duration) (frontend.Brought, error) {
	a := nodeapi.CacheFetchRequest{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, PurgeSeq: t.cacheHandler.Known(), TimeLeftMs: left.Milliseconds(), PollTimeoutMs: wait.Milliseconds(), TargetLatencyMs: w.Aim.Milliseconds(), IsRetry: w.Again}
	began := t.host.Now()
	rep, err := t.host.Client.Do(t.host.Settings().InternalAddress(to.IP), "POST", nodeapi.PathCacheFetch, nil, codec.MustEncode("larder", a), min(left, wait+max(w.Aim/2, t.host.Heartbeats(0.2))))
	if err != nil {
		return frontend.Brought{}, err
	}
	var s nodeapi.CacheFetchResponse
	if err := json.Unmarshal([]byte(rep.Header(nodeapi.HeaderCacheFetch)), &s); err != nil {
		return frontend.Brought{}, err
	}
	return fetchResult(w, s, rep.Body, began), nil
}

// fetchResult reads a larder's answer; began is when it was asked for, from which
// the copy's age is counted on.
func fetchResult(w frontend.Want, s nodeapi.CacheFetchResponse, body []byte, began time.Duration) frontend.Brought {
	switch {
	case s.PassThrough:
		return frontend.Brought{Passed: &cache.Passed{Status: s.Status, Fields: s.Fields, Body: body, Stamp: s.Stamp}}
	case s.Status == 200:
		return frontend.Brought{Copy: &cache.Copy{
			Host: w.Host, Target: w.Target, Service: w.Service, Fields: s.Fields, Body: body, ETag: s.ETag, Stamp: s.Stamp, Tags: s.Tags,
			Born: began - time.Duration(s.AgeMs)*time.Millisecond, Known: s.PurgeSeq,
		}}
	}
	return frontend.Brought{Status: s.Status, Back: time.Duration(s.RetryAfterMs) * time.Millisecond}
}

// fetchSelf fetches where there is no larder.
func (t *Server) fetchSelf(w frontend.Want) frontend.Brought {
	r := t.Route(w.Host, w.Target)
	if r == nil {
		return frontend.Brought{Status: 503}
	}
	began := t.host.Now()
	left := w.Left.Milliseconds()
	s, body := t.fetcher.Get(nodeapi.CacheFetchRequest{Host: w.Host, Target: w.Target, Service: w.Service, Weight: w.Weight, TimeLeftMs: left, PollTimeoutMs: left, TargetLatencyMs: w.Aim.Milliseconds(), IsRetry: w.Again}, r.Lifetime, r.Sends)
	switch s.Status {
	case 202:
		s.Status = 504
	case nodeapi.StatusNoQuota:
		s.Status, s.RetryAfterMs = 503, min(t.host.Heartbeats(0.5).Milliseconds(), left/4)
	}
	return fetchResult(w, s, body, began)
}
