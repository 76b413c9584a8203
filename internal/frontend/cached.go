package frontend

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/upstream"
)

// FetchRequest is what a front asks a larder for.
type FetchRequest struct {
	Host, Target, Service string
	// Weight is how much the object is wanted.
	Weight float64
	// TimeLeft is how long the client waits, Aim when the answer has its full worth.
	TimeLeft, TargetLatency time.Duration
	// IsRetry: the client was refused before, and waits now.
	IsRetry bool
}

// FetchResult is what came of a Want.
type FetchResult struct {
	Object      *cache.Object
	PassThrough *cache.PassThrough
	// Status, where neither is set, is the refusal or failure.
	Status int
	// RetryAfter is when the client may come again.
	RetryAfter time.Duration
}

// ObjectFetcher fetches objects by way of the nodes that keep copies.
type ObjectFetcher interface {
	Fetch(w FetchRequest) FetchResult
}

// CacheHandler is the front's own small shelf.
type CacheHandler struct {
	mu      sync.Mutex
	shelf   *cache.Store
	notices *cache.PurgeLog
	flights map[string]*call
	steady  func() time.Duration
	bringer ObjectFetcher
}

type call struct {
	done chan struct{}
	got  FetchResult
}

// NewCacheHandler makes a shelf for limit bytes.
func NewCacheHandler(limit int, steady func() time.Duration, b ObjectFetcher) *CacheHandler {
	return &CacheHandler{shelf: cache.NewStore(limit), flights: map[string]*call{}, steady: steady, bringer: b}
}

// noticesKept bounds a front's index of purges.
const noticesKept = 4096

// ApplyPurges notes purges.
func (p *CacheHandler) ApplyPurges(seq, floor int64, list []cache.Purge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices == nil {
		p.notices = cache.NewPurgeLog(seq)
		return
	}
	p.notices.Apply(seq, floor, list)
	p.notices.Compact(noticesKept)
}

// KnownPurge is the number of the last purge.
func (p *CacheHandler) KnownPurge() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices == nil {
		return 0
	}
	return p.notices.Seq
}

// Usable tells whether a copy may be served: its age, the purges and the route allow it.
func (p *CacheHandler) Usable(c *cache.Object, lifetime time.Duration, sends func(string) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.good(c, lifetime, sends)
}

// CheckFresh is Good, and gives the number of the last purge under which that is
// so: handed on, the copy counts as known up to there.
func (p *CacheHandler) CheckFresh(c *cache.Object, lifetime time.Duration, sends func(string) bool) (known int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.good(c, lifetime, sends) {
		return 0, false
	}
	return max(c.KnownPurge, p.notices.Seq), true
}

// Invalidated tells whether a purge that is known here ended the copy.
func (p *CacheHandler) Invalidated(c *cache.Object) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices == nil || p.notices.Invalidates(c)
}

func (p *CacheHandler) good(c *cache.Object, lifetime time.Duration, sends func(string) bool) bool {
	return c.IsFresh(lifetime, p.steady()) && p.notices != nil && !p.notices.Invalidates(c) && sends(c.Service)
}

// get gives the copy, or the call that brings it; first tells whether the
// caller is the one to make it.
func (p *CacheHandler) get(key string, lifetime time.Duration, sends func(string) bool) (c *cache.Object, fl *call, first bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c = p.shelf.Get(key); p.good(c, lifetime, sends) {
		return c, nil, false
	}
	if fl = p.flights[key]; fl != nil {
		return nil, fl, false
	}
	fl = &call{done: make(chan struct{})}
	p.flights[key] = fl
	return nil, fl, true
}

// end closes a call and keeps what it brought.
func (p *CacheHandler) end(key string, fl *call, got FetchResult, lifetime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fl.got = got
	delete(p.flights, key)
	if got.Object != nil && lifetime > 0 {
		p.shelf.Put(got.Object)
	}
	close(fl.done)
}

// Usage tells how many copies the shelf holds, and their bytes.
func (p *CacheHandler) Usage() (copies, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shelf.Len(), p.shelf.Used()
}

// SetCacheHandler lets cached routes be served from copies.
func (h *Handler) SetCacheHandler(p *CacheHandler) { h.pantry = p }

// cached serves a request on a cached route from a copy.
func (h *Handler) cached(v *visit) bool {
	p, r := h.pantry, v.route
	service := r.PickService(point(v.req.Host + v.req.Target))
	key := cache.Key(v.req.Host, v.req.Target)
	again := v.spent > 0
	for tries := 0; ; tries++ {
		c, fl, first := p.get(key, r.CacheLifetime, r.SplitsTo)
		if c != nil {
			return h.fromCopy(v, c)
		}
		left := time.Until(v.times.HardDeadline)
		if left <= 0 || tries >= 4 {
			return h.refuse(v, 503, "no answer in time")
		}
		if first {
			w := FetchRequest{Host: v.req.Host, Target: v.req.Target, Service: service, Weight: weight(r.Priority), TimeLeft: left, TargetLatency: r.TargetLatency, IsRetry: again}
			go func() { p.end(key, fl, p.bringer.Fetch(w), r.CacheLifetime) }()
		}
		t := time.NewTimer(left)
		select {
		case <-fl.done:
			t.Stop()
		case <-t.C:
			return h.refuse(v, 503, "no answer in time")
		case <-h.ending:
			t.Stop()
			return h.refuse(v, 503, "this node leaves")
		}
		got := fl.got
		switch {
		case got.Object != nil && p.Usable(got.Object, max(r.CacheLifetime, 0), r.SplitsTo):
			return h.fromCopy(v, got.Object)
		case got.Object != nil && r.CacheLifetime <= 0:
			// Not to be kept, but fetched for those who asked.
			return h.fromCopy(v, got.Object)
		case got.Object != nil:
			// A purge came in the meantime: once more.
			continue
		case got.PassThrough != nil:
			return h.passOn(v, got.PassThrough)
		case got.Status == 503 && got.RetryAfter > 0 && again && !first:
			// It was the refusal of another that had not waited yet.
			continue
		case got.Status == 503 && got.RetryAfter > 0:
			h.comeBack(v, got.RetryAfter)
			v.c.SetStatusCode(503)
			v.c.Response.SetBodyString("the object can't be fetched now\n")
			return false
		case got.Status == 504 && !first && time.Until(v.times.HardDeadline) > r.TargetLatency/8:
			// Whoever asked had less time than this one.
			continue
		}
		status := max(got.Status, 502)
		if status == 504 {
			// As far as is known it was never offered to a searcher.
			status = 503
		}
		return h.refuse(v, status, "the object could not be fetched")
	}
}

// weight is how much a request adds to the wish for an object: the higher its rank, the more.
func weight(priority int) float64 { return 1 / float64(1+max(0, priority)) }

// point is where a name falls in [0, 1).
func point(name string) float64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(name))
	return float64(f.Sum64()>>11) / (1 << 53)
}

func (h *Handler) fromCopy(v *visit, c *cache.Object) bool {
	hd := &v.c.Request.Header
	a := c.Respond(cache.RequestConditions{
		Method: v.req.Method, Range: string(hd.Peek("Range")), IfRange: string(hd.Peek("If-Range")), IfNoneMatch: string(hd.Peek("If-None-Match")),
	})
	out := &v.c.Response
	out.SetStatusCode(a.Status)
	h.fields(v, c.Fields)
	out.Header.Set(upstream.HeaderServerStamp, c.Stamp)
	out.Header.Set("ETag", c.ETag)
	out.Header.Set("Age", strconv.Itoa(int(c.Age(h.pantry.steady())/time.Second)))
	if a.ContentRange != "" {
		out.Header.Set("Content-Range", a.ContentRange)
	}
	if a.Body != nil {
		out.SetBodyRaw(a.Body)
	}
	return false
}

func (h *Handler) passOn(v *visit, p *cache.PassThrough) bool {
	v.c.SetStatusCode(p.Status)
	h.fields(v, p.Fields)
	if p.Stamp != "" {
		v.c.Response.Header.Set(upstream.HeaderServerStamp, p.Stamp)
	}
	v.c.Response.SetBodyRaw(p.Body)
	return false
}

func (h *Handler) fields(v *visit, l []cache.Field) {
	out := &v.c.Response.Header
	for _, f := range l {
		switch f.Name {
		case "Content-Type":
			out.SetContentType(f.Value)
		case "Server":
			out.SetServerBytes([]byte(f.Value))
		case "Content-Encoding":
			out.SetContentEncoding(f.Value)
		default:
			out.Add(f.Name, f.Value)
		}
	}
	out.Set(upstream.HeaderRequestID, v.req.ID)
}
