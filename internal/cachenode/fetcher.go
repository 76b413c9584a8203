package cachenode

import (
	"sync"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/upstream"
)

const (
	// rateLimitUse is the part of a service's RequestsPerS that is used. The
	// rest leaves room for clocks that differ between nodes.
	rateLimitUse = 0.98
	// rateLimitBurst, a part of CeilingWindowS, is how long unused requests
	// may be saved up; minBurstSeconds is the least.
	rateLimitBurst  = 0.03
	minBurstSeconds = 0.1
	// MaxSilenceBeforePause, a part of CatchUpS, is how long a cache node goes
	// on fetching without contact with a majority. Control nodes count it as
	// gone, and give its share to others, after the whole of CatchUpS.
	MaxSilenceBeforePause = 0.6
	// scheduleHeartbeats is the longest time, in heartbeat intervals, until
	// the queue is looked at again.
	scheduleHeartbeats = 0.2
)

// Front is what a Fetcher needs of the front server that it belongs to.
type Front interface {
	// Route returns the route of an object, nil where there is none yet.
	Route(hostName, target string) *routing.Route
	// Service returns a service of the configuration in force, nil where there is
	// none; known is false while there is no configuration.
	Service(name string) (service *config.Service, known bool)
	// QuotaShare returns this node's part of each service's rate limit; ok is
	// false while the node must not fetch.
	QuotaShare() (share float64, ok bool)
	// PickEndpoint picks an endpoint for a request of the node's own and
	// returns the start of the attempt, for Pool.Do.
	PickEndpoint(service string) (*upstream.Endpoint, time.Time)
	// ListedAsCacheNode reports whether the agreed list of cache nodes holds this one.
	ListedAsCacheNode() bool
	// ControlIPs returns the addresses of the control nodes that the front
	// server knows.
	ControlIPs() []string
}

// Fetcher fetches objects and holds those that may be cached. It is safe for
// concurrent use.
type Fetcher struct {
	host  *host.Host
	front Front
	// endpoints carries the attempts out, purges knows which objects are invalid.
	endpoints *upstream.Pool
	purges    *frontend.CacheHandler
	// name is the prefix of the IDs of this process's requests.
	name string
	// wakeup makes Run look at the queue; it has room for one signal.
	wakeup chan struct{}

	// mu guards the fields below. Fetches of the queue are changed under it
	// too; their results may be read without it once Done is closed.
	mu      sync.Mutex
	objects *cache.Store
	queue   *cache.FetchQueue
	// limits holds a token bucket for each service.
	limits     map[string]*ratelimit.TokenBucket
	fetchCount int64
}

// NewFetcher returns the fetcher of a front or cache node; its objects may take
// maxBytes. It starts with Run.
func NewFetcher(h *host.Host, front Front, endpoints *upstream.Pool, purges *frontend.CacheHandler, maxBytes int) *Fetcher {
	return &Fetcher{
		host:      h,
		front:     front,
		endpoints: endpoints,
		purges:    purges,
		name:      host.RandomID(),
		wakeup:    make(chan struct{}, 1),
		objects:   cache.NewStore(maxBytes),
		queue:     cache.NewFetchQueue(),
		limits:    map[string]*ratelimit.TokenBucket{},
	}
}

// Usage returns how many objects the fetcher holds, and their bytes.
func (f *Fetcher) Usage() (objects, bytes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.objects.Len(), f.objects.Used()
}

// Fetches returns how many attempts to fetch an object there were.
func (f *Fetcher) Fetches() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fetchCount
}

// Run starts the fetches of the queue as the rate limits allow, until the node
// stops.
func (f *Fetcher) Run() {
	for {
		timer := time.NewTimer(f.startAllFetches())
		select {
		case <-f.host.Stopping:
			timer.Stop()
			return
		case <-f.wakeup:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (f *Fetcher) wake() {
	select {
	case f.wakeup <- struct{}{}:
	default:
	}
}

// startAllFetches starts the fetches that may go now, and returns when to look
// again.
func (f *Fetcher) startAllFetches() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.host.Now()
	wait := f.host.Heartbeats(scheduleHeartbeats)
	for _, service := range f.queue.Services() {
		wait = min(wait, f.startFetches(service, now))
	}
	return wait
}

// startFetches starts the fetches from a service that may go now, and returns
// when the next may. It runs under the lock.
func (f *Fetcher) startFetches(service string, now time.Duration) time.Duration {
	idle := f.host.Heartbeats(scheduleHeartbeats)
	bucket, limited := f.bucket(service, now)
	if limited && bucket.Rate() <= 0 {
		return idle
	}
	for {
		fetch := f.queue.Next(service, f.schedule(service, now))
		if fetch == nil {
			return idle
		}
		if limited {
			if ok, wait := bucket.Take(now); !ok {
				return max(wait, time.Millisecond)
			}
		}
		f.queue.Start(fetch, f.purges.KnownPurge(), now)
		go f.runFetch(fetch, f.held(fetch))
	}
}

// held returns the object that a fetch is to revalidate, nil if there is none.
// It runs under the lock.
func (f *Fetcher) held(fetch *cache.Fetch) *cache.Object {
	object, _ := f.objects.Peek(fetch.Key())
	if object == nil || object.Service != fetch.Service {
		return nil
	}
	return object
}

// quota returns this node's part of a service's rate limit in requests per
// second; limited is false where the service has none. The quota is 0 while
// the node must not fetch.
func (f *Fetcher) quota(name string) (quota float64, limited bool) {
	service, known := f.front.Service(name)
	if !known {
		return 0, true
	}
	if service == nil || service.RequestsPerS <= 0 {
		return 0, false
	}
	share, ok := f.front.QuotaShare()
	if !ok {
		return 0, true
	}
	return service.RequestsPerS * rateLimitUse * share, true
}

// mayFetch reports whether the node may fetch from a service at all.
func (f *Fetcher) mayFetch(service string) bool {
	quota, limited := f.quota(service)
	return !limited || quota > 0
}

// bucket returns the token bucket of a service at its present rate; limited is
// false where the service has no rate limit. It runs under the lock.
func (f *Fetcher) bucket(service string, now time.Duration) (bucket *ratelimit.TokenBucket, limited bool) {
	quota, limited := f.quota(service)
	bucket = f.limits[service]
	if bucket == nil {
		bucket = &ratelimit.TokenBucket{}
		bucket.SetRate(0, 0, now)
		f.limits[service] = bucket
	}
	if limited && quota != bucket.Rate() {
		burst := max(minBurstSeconds, f.host.Settings().Bounds.CeilingWindowS*rateLimitBurst)
		bucket.SetRate(quota, burst, now)
	}
	return bucket, limited
}

// schedule tells how fast the queued fetches from a service can be carried out.
// It runs under the lock.
func (f *Fetcher) schedule(service string, now time.Duration) cache.Schedule {
	latency := f.endpoints.Latency(service)
	schedule := cache.Schedule{Now: now, Usual: latency.P50, Longest: latency.P95}
	if bucket, limited := f.bucket(service, now); limited {
		schedule.Rate, schedule.Tokens = bucket.Rate(), bucket.Tokens(now)
	}
	return schedule
}
