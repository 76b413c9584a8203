package cachenode

import (
	"fmt"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"sync"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"

	"github.com/cloudwego/hertz/pkg/app"
)

// Ratios of the tier.
const (
	// rateLimitUse is the part of a service's RequestsPerS that is used;
	// ceilingBurst, a part of CeilingWindowS, is how long it may be saved up.
	rateLimitUse   = 0.98
	rateLimitBurst = 0.03
	// MaxSilenceBeforePause, a part of CatchUpS, is how long a larder that hears of no hut
	// goes on fetching; a hut counts it as gone after the whole of it.
	MaxSilenceBeforePause = 0.6
	// refreshAt, a part of the lifetime, is when a copy in use is confirmed ahead.
	refreshAt = 0.75
	// rejectAboveWait, a part of the time that a client has, is the wait above which it is refused.
	rejectAboveWait = 0.7
)

// Front is what a Fetcher needs of the front server that it belongs to.
type Front interface {
	// Route is the route of an object, nil where there is none yet.
	Route(hostName, target string) *routing.Route
	// Service is a service of the configuration in force, nil where there is
	// none; known is false while there is no configuration.
	Service(name string) (service *config.Service, known bool)
	// QuotaShare is this node's part of each service's rate limit; ok is
	// false while the node must not fetch.
	QuotaShare() (part float64, ok bool)
	// PickEndpoint picks a searcher for a request of the node's own and
	// tells when to send it.
	PickEndpoint(service string, target time.Duration) (*upstream.Endpoint, time.Time)
	// ListedAsCacheNode tells whether the agreed list of cache nodes holds this one.
	ListedAsCacheNode() bool
	// ControlIPs are the control nodes that the front server knows.
	ControlIPs() []string
}

// Fetcher fetches objects, within this node's part of each service's ceiling.
// On a larder it also keeps the copies that the fronts share.
type Fetcher struct {
	host  *host.Host
	front Front
	// endpoints carries the attempts out, purges knows which objects are invalid.
	endpoints *upstream.Pool
	purges    *frontend.CacheHandler

	mu            sync.Mutex
	objects       *cache.Store
	queue         *cache.FetchQueue
	limits        map[string]*ratelimit.TokenBucket
	wakeup        chan struct{}
	fetches       int64
	requestNumber int64
	name          string
}

// NewFetcher makes the fetcher of a front or cache node; its objects may take
// maxBytes. It starts with Run.
func NewFetcher(h *host.Host, front Front, endpoints *upstream.Pool, purges *frontend.CacheHandler, maxBytes int) *Fetcher {
	return &Fetcher{
		host: h, front: front, endpoints: endpoints, purges: purges, name: host.RandomID(),
		objects: cache.NewStore(maxBytes),
		queue:   cache.NewFetchQueue(),
		limits:  map[string]*ratelimit.TokenBucket{},
		wakeup:  make(chan struct{}, 1),
	}
}

func (k *Fetcher) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// Usage tells how many copies a larder holds, and their bytes.
func (k *Fetcher) Usage() (copies, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.objects.Len(), k.objects.Used()
}

// Fetches is how many fetches there were.
func (k *Fetcher) Fetches() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fetches
}

// quota is this node's part of what a service takes a second; below 0 where
// the service has no ceiling.
func (k *Fetcher) quota(service string) float64 {
	sv, known := k.front.Service(service)
	if !known {
		return 0
	}
	if sv == nil || sv.RequestsPerS <= 0 {
		return -1
	}
	parts, ok := k.front.QuotaShare()
	if !ok {
		return 0
	}
	return sv.RequestsPerS * rateLimitUse * parts
}

// Run lets one fetch after the other go as the ceilings allow.
func (k *Fetcher) Run() {
	for {
		wait := k.host.Heartbeats(0.2)
		k.mu.Lock()
		now := k.host.Now()
		for _, service := range k.queue.Services() {
			if w := k.startFetches(service, now); w < wait {
				wait = w
			}
		}
		k.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-k.host.Stopping:
			t.Stop()
			return
		case <-k.wakeup:
			t.Stop()
		case <-t.C:
		}
	}
}

// startFetches begins the fetches from a service that may go now and tells when the
// next may; it runs under the lock.
func (k *Fetcher) startFetches(service string, now time.Duration) time.Duration {
	share := k.quota(service)
	c := k.limits[service]
	if c == nil {
		c = &ratelimit.TokenBucket{}
		c.SetRate(0, 0, now)
		k.limits[service] = c
	}
	if share >= 0 && share != c.Rate() {
		c.SetRate(share, max(0.1, k.host.Settings().Bounds.CeilingWindowS*rateLimitBurst), now)
	}
	for k.queue.Queued(service) > 0 {
		if share >= 0 {
			ok, wait := c.Take(now)
			if !ok && wait < 0 {
				return k.host.Heartbeats(0.2)
			}
			if !ok {
				return max(wait, time.Millisecond)
			}
		}
		f := k.queue.Next(service, k.purges.KnownPurge(), now)
		if f == nil {
			break
		}
		var old *cache.Object
		if c, _ := k.objects.Peek(f.Key()); c != nil && c.Service == service {
			old = c
		}
		go k.fetch(f, old)
	}
	return k.host.Heartbeats(0.2)
}

// fetch asks one searcher for the whole object, or whether the copy held still is the newest.
func (k *Fetcher) fetch(f *cache.Fetch, old *cache.Object) {
	k.mu.Lock()
	k.requestNumber++
	k.fetches++
	id := fmt.Sprintf("%s-%d", k.name, k.requestNumber)
	until := f.StartedAt + k.host.Heartbeats(8)
	k.mu.Unlock()
	etag := ""
	if old != nil {
		etag = old.ETag
	}
	aim := k.host.Heartbeats(0.5)
	if r := k.front.Route(f.Host, f.Target); r != nil {
		aim = r.TargetLatency
		until = f.StartedAt + r.Timeout
	}
	peer, start := k.front.PickEndpoint(f.Service, aim)
	if peer == nil {
		k.onFailed(f, 503, "no searcher")
		return
	}
	left := until - k.host.Now()
	ask := upstream.NewFetchRequest(id, f.Host, f.Target, etag)
	ask.LatencyTarget = aim
	o := k.endpoints.Do(peer, ask, start, time.Now().Add(left))
	defer o.Release()
	switch {
	case o.Outcome == upstream.OutcomeAnswered && o.Status == 304 && old != nil:
		k.onFetched(f, old.Revalidated(f.StartedAt, f.KnownPurge), nil)
	case o.Succeeded() && o.Status == 200 && len(o.Response.Header.Peek("ETag")) > 0:
		k.onFetched(f, k.objectOf(f, &o), nil)
	case o.Outcome == upstream.OutcomeAnswered && (o.Succeeded() || o.Status >= 300) && o.Status < 500 && o.Status != 304 && o.Status != 429:
		c := k.objectOf(f, &o)
		k.onFetched(f, nil, &cache.PassThrough{Status: o.Status, Fields: c.Fields, Body: c.Body, Stamp: o.Stamp})
	case o.Outcome == upstream.OutcomeUnprocessed:
		k.onFailed(f, 503, "the searcher is full")
	default:
		k.onFailed(f, 502, "no whole answer")
	}
}

// objectOf takes the searcher's answer as a copy.
func (k *Fetcher) objectOf(f *cache.Fetch, o *upstream.Attempt) *cache.Object {
	c := &cache.Object{Host: f.Host, Target: f.Target, Service: f.Service, Stamp: o.Stamp, FetchedAt: f.StartedAt, KnownPurge: f.KnownPurge}
	c.Body = append([]byte(nil), o.Response.Body()...)
	o.Response.Header.VisitAll(func(key, val []byte) {
		name, v := string(key), string(val)
		switch name {
		case "Content-Length", "Swiftswitch-Request-Id", upstream.HeaderServerStamp, upstream.HeaderInstanceID, upstream.HeaderServerLoad, "Content-Range":
			return
		case "ETag", "Etag":
			c.ETag = v
			return
		case cache.HeaderTags:
			c.Tags = cache.SplitTags(v)
		}
		if !upstream.IsHopByHop(name) {
			c.Fields = append(c.Fields, cache.Field{Name: name, Value: v})
		}
	})
	return c
}

// onFetched ends a fetch that brought something.
func (k *Fetcher) onFetched(f *cache.Fetch, c *cache.Object, p *cache.PassThrough) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.host.Now()
	if c != nil {
		if k.purges.Invalidated(c) && f.Attempts < 4 && f.IsAwaited(now) {
			// A purge came while it was fetched: what is here may be what it ended.
			k.queue.Requeue(f)
			k.wake()
			return
		}
		if r := k.front.Route(f.Host, f.Target); r != nil && r.Cacheable && r.CacheLifetime > 0 {
			k.objects.Put(c)
		}
		f.Object = c
	}
	f.PassThrough = p
	k.queue.Finish(f, 200, "")
}

// onFailed lets a fetch try once more, or ends it.
func (k *Fetcher) onFailed(f *cache.Fetch, status int, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Attempts < 3 && f.IsAwaited(k.host.Now()) {
		k.queue.Requeue(f)
		k.wake()
		return
	}
	k.queue.Finish(f, status, why)
}

// Get gives a copy that may be served, fetching it if need be; it waits at
// most for wait, and then tells that it is under way.
func (k *Fetcher) Get(a nodeapi.CacheFetchRequest, lifetime time.Duration, sends func(string) bool) (nodeapi.CacheFetchResponse, []byte) {
	until := time.Now().Add(time.Duration(min(a.PollTimeoutMs, a.TimeLeftMs)) * time.Millisecond)
	for k.purges.KnownPurge() < a.PurgeSeq && time.Now().Before(until) {
		// The asker has heard of a purge that this node has not: it is on its way.
		time.Sleep(k.host.Heartbeats(0.01))
	}
	key := cache.Key(a.Host, a.Target)
	for {
		k.mu.Lock()
		now := k.host.Now()
		c := k.objects.Get(key)
		if known, ok := k.purges.CheckFresh(c, lifetime, sends); ok {
			k.mu.Unlock()
			k.refreshAhead(c, lifetime, now)
			return objectResponse(c, known, now)
		}
		if k.quota(a.Service) == 0 {
			k.mu.Unlock()
			return nodeapi.CacheFetchResponse{Status: nodeapi.StatusNoQuota}, nil
		}
		left, aim := time.Duration(a.TimeLeftMs)*time.Millisecond, time.Duration(a.TargetLatencyMs)*time.Millisecond
		f := k.queue.Enqueue(a.Host, a.Target, a.Service, a.Weight, now, now+left, aim/3)
		back := k.expectedWait(f, now)
		k.mu.Unlock()
		k.wake()
		if !a.IsRetry && back > aim || back > time.Duration(float64(left)*rejectAboveWait) {
			// Told now when it will be there, the client loses less than by waiting.
			return nodeapi.CacheFetchResponse{Status: 503, RetryAfterMs: min(back, left/4).Milliseconds()}, nil
		}
		t := time.NewTimer(time.Until(until))
		select {
		case <-f.Done:
			t.Stop()
		case <-t.C:
			return nodeapi.CacheFetchResponse{Status: 202}, nil
		}
		switch {
		case f.Object != nil:
			if known, ok := k.purges.CheckFresh(f.Object, lifetime, sends); ok {
				return objectResponse(f.Object, known, k.host.Now())
			} else if lifetime <= 0 {
				return objectResponse(f.Object, f.Object.KnownPurge, k.host.Now())
			}
			continue
		case f.PassThrough != nil:
			return nodeapi.CacheFetchResponse{Status: f.PassThrough.Status, Fields: f.PassThrough.Fields, Stamp: f.PassThrough.Stamp, PassThrough: true}, f.PassThrough.Body
		}
		return nodeapi.CacheFetchResponse{Status: f.Status, RetryAfterMs: int64(k.host.Heartbeats(0.1) / time.Millisecond)}, nil
	}
}

// expectedWait is about how long it takes until a fetch has ended; it runs under the lock.
func (k *Fetcher) expectedWait(f *cache.Fetch, now time.Duration) time.Duration {
	typical, _ := k.endpoints.LatencyPercentiles(f.Service)
	if f.Running {
		return max(0, f.StartedAt+typical-now)
	}
	if c := k.limits[f.Service]; c != nil && c.Rate() > 0 {
		typical += time.Duration(float64(k.queue.QueuedBefore(f, now)) / c.Rate() * float64(time.Second))
	}
	return typical
}

// refreshAhead confirms a copy in use before it is too old, where nothing else waits.
func (k *Fetcher) refreshAhead(c *cache.Object, lifetime, now time.Duration) {
	if float64(c.Age(now)) < refreshAt*float64(lifetime) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, uses := k.objects.Peek(c.Key()); uses > 2 && k.queue.Find(c.Key()) == nil && k.queue.Queued(c.Service) == 0 {
		k.queue.Enqueue(c.Host, c.Target, c.Service, 0.01, now, c.FetchedAt+lifetime, lifetime)
		k.wake()
	}
}

func objectResponse(c *cache.Object, known int64, now time.Duration) (nodeapi.CacheFetchResponse, []byte) {
	return nodeapi.CacheFetchResponse{Status: 200, Fields: c.Fields, ETag: c.ETag, Stamp: c.Stamp, Tags: c.Tags, PurgeSeq: known, AgeMs: c.Age(now).Milliseconds() + 1}, c.Body
}

// HandleFetch takes a front's ask.
func (k *Fetcher) HandleFetch(c *app.RequestContext) {
	var a nodeapi.CacheFetchRequest
	if !transport.ReadJSON(c, &a) {
		return
	}
	s := nodeapi.CacheFetchResponse{Status: 503}
	var body []byte
	if r := k.front.Route(a.Host, a.Target); r != nil && a.TimeLeftMs > 0 && r.Cacheable && r.SplitsTo(a.Service) {
		s, body = k.Get(a, r.CacheLifetime, r.SplitsTo)
	}
	c.SetStatusCode(200)
	c.Response.Header.Set(nodeapi.HeaderCacheFetch, string(codec.MustEncode("larder", s)))
	c.Response.Header.SetContentType("application/octet-stream")
	c.Response.SetBodyRaw(body)
}

// JoinLoop makes this node one of the larders.
func (k *Fetcher) JoinLoop() {
	for {
		select {
		case <-k.host.Stopping:
			return
		case <-time.After(k.host.Heartbeats(0.5)):
		}
		if k.front.ListedAsCacheNode() || k.host.Draining.Load() {
			continue
		}
		self := consensus.CacheNode{Name: k.host.Settings().NodeName, IP: k.host.Settings().IpAddress, Zone: k.host.Settings().Zone}
		for _, ip := range k.front.ControlIPs() {
			if k.host.Client.CallJSON(k.host.Settings().InternalAddress(ip), nodeapi.PathCacheJoin, self, nil, config.Milliseconds(k.host.Settings().Bounds.AcknowledgeMs, 0.4)) == nil {
				events.Log(events.CacheNodeRegistered, "by", ip)
				break
			}
		}
	}
}
