package frontend

import (
	"sync"
	"time"

	"swiftswitch/internal/cache"
)

// FetchRequest asks for an object that is not in the front's own cache.
type FetchRequest struct {
	Host, Target, Service string
	// Tenant is the name of the tenant that the object is for, empty if it is
	// for all.
	Tenant string
	// Priority is the client's rank; 0 is the highest.
	Priority int
	// TimeLeft is how long the client waits.
	TimeLeft time.Duration
}

// FetchResult is what came of a FetchRequest: an object, an answer to pass
// through, or a failure.
type FetchResult struct {
	Object      *cache.Object
	PassThrough *cache.PassThrough
	// Status is the reason where both are nil.
	Status int
	// RetryAfter is when a client that was rejected may come back: how long it
	// would have had to wait.
	RetryAfter time.Duration
}

// ObjectFetcher fetches objects by way of the cache nodes.
type ObjectFetcher interface {
	Fetch(request FetchRequest) FetchResult
}

// maxPurgeEntries bounds a front's index of single purges.
const maxPurgeEntries = 4096

// CacheHandler is a front's own cache, with the purges that the node knows. It
// collapses requests for one object into one fetch. It is safe for concurrent
// use.
type CacheHandler struct {
	now     func() time.Duration
	fetcher ObjectFetcher

	// mu guards the fields below.
	mu      sync.Mutex
	objects *cache.Store
	// purges is nil until the node knows the number of the last purge. No
	// object may be served before.
	purges *cache.PurgeLog
	// fetches holds, by key, those under way.
	fetches map[string]*sharedFetch
}

// sharedFetch is a fetch that several requests wait for.
type sharedFetch struct {
	// deadline is that of the client whose request carries it out.
	deadline time.Time
	// done is closed once result is set.
	done   chan struct{}
	result FetchResult
}

// NewCacheHandler returns an empty cache for maxBytes. now is the monotonic clock.
func NewCacheHandler(maxBytes int, now func() time.Duration, fetcher ObjectFetcher) *CacheHandler {
	return &CacheHandler{
		now:     now,
		fetcher: fetcher,
		objects: cache.NewStore(maxBytes),
		fetches: map[string]*sharedFetch{},
	}
}

// ApplyPurges adds the purges up to seq. compactedSeq is the last that the
// sender no longer lists.
func (c *CacheHandler) ApplyPurges(seq, compactedSeq int64, purges []cache.Purge) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.purges == nil {
		c.purges = cache.NewPurgeLog(seq)
		return
	}
	c.purges.Apply(seq, compactedSeq, purges)
	c.purges.Compact(maxPurgeEntries)
}

// KnownPurge returns the number of the last purge known, 0 before the first.
func (c *CacheHandler) KnownPurge() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.purges == nil {
		return 0
	}
	return c.purges.Seq
}

// Usable reports whether an object may be served: it is fresh, no purge
// invalidated it and the route still leads to the service that it is from.
func (c *CacheHandler) Usable(object *cache.Object, lifetime time.Duration, splitsTo func(string) bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.usable(object, lifetime, splitsTo)
}

// CheckUsable is Usable, and returns the number of the last purge that was
// checked: the node that receives the object need check later ones only.
func (c *CacheHandler) CheckUsable(object *cache.Object, lifetime time.Duration, splitsTo func(string) bool) (knownPurge int64, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.usable(object, lifetime, splitsTo) {
		return 0, false
	}
	return max(object.KnownPurge, c.purges.Seq), true
}

// Invalidated reports whether a purge invalidated an object, or may have.
func (c *CacheHandler) Invalidated(object *cache.Object) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.purges == nil || c.purges.Invalidates(object)
}

// Usage returns how many objects the cache holds, and their bytes.
func (c *CacheHandler) Usage() (objects, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.objects.Len(), c.objects.Used()
}

func (c *CacheHandler) usable(object *cache.Object, lifetime time.Duration, splitsTo func(string) bool) bool {
	return object.IsFresh(lifetime, c.now()) && c.purges != nil && !c.purges.Invalidates(object) && splitsTo(object.Service)
}

// lookupOrJoin returns an object that may be served, or else the fetch to wait
// for; where isFirst, the caller must carry it out and call finish. A client
// joins no fetch that is for one with more time: it might come too late.
func (c *CacheHandler) lookupOrJoin(key string, deadline time.Time, lifetime time.Duration, splitsTo func(string) bool) (object *cache.Object, fetch *sharedFetch, isFirst bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if object = c.objects.Get(key); c.usable(object, lifetime, splitsTo) {
		return object, nil, false
	}
	if fetch = c.fetches[key]; fetch != nil && !deadline.Before(fetch.deadline) {
		return nil, fetch, false
	}
	fetch = &sharedFetch{deadline: deadline, done: make(chan struct{})}
	c.fetches[key] = fetch
	return nil, fetch, true
}

// finish ends a fetch, and stores its object if the route caches objects.
func (c *CacheHandler) finish(key string, fetch *sharedFetch, result FetchResult, lifetime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	fetch.result = result
	if c.fetches[key] == fetch {
		delete(c.fetches, key)
	}
	if result.Object != nil && lifetime > 0 {
		c.objects.Put(result.Object)
	}
	close(fetch.done)
}
