package frontend

import (
	"hash/fnv"
	"strconv"
	"sync"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/upstream"
)

// Want is what a front asks a larder for.
type Want struct {
	Host, Target, Service string
	// Weight is how much the object is wanted.
	Weight float64
	// Left is how long the client waits, Aim when the answer has its full worth.
	Left, Aim time.Duration
	// Again: the client was refused before, and waits now.
	Again bool
}

// Brought is what came of a Want.
type Brought struct {
	Copy   *cache.Copy
	Passed *cache.Passed
	// Status, where neither is set, is the refusal or failure.
	Status int
	// Back is when the client may come again.
	Back time.Duration
}

// Bringer fetches objects by way of the nodes that keep copies.
type Bringer interface {
	Bring(w Want) Brought
}

// Pantry is the front's own small shelf.
type Pantry struct {
	mu      sync.Mutex
	shelf   *cache.Shelf
	notices *cache.Notices
	flights map[string]*call
	steady  func() time.Duration
	bringer Bringer
}

type call struct {
	done chan struct{}
	got  Brought
}

// NewPantry makes a shelf for limit bytes.
func NewPantry(limit int, steady func() time.Duration, b Bringer) *Pantry {
	return &Pantry{shelf: cache.NewShelf(limit), flights: map[string]*call{}, steady: steady, bringer: b}
}

// noticesKept bounds a front's index of purges.
const noticesKept = 4096

// Take notes purges.
func (p *Pantry) Take(seq, floor int64, list []cache.Purge) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices == nil {
		p.notices = cache.NewNotices(seq)
		return
	}
	p.notices.Take(seq, floor, list)
	p.notices.Forget(noticesKept)
}

// Known is the number of the last purge.
func (p *Pantry) Known() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notices == nil {
		return 0
	}
	return p.notices.Seq
}

// Good tells whether a copy may be served: its age, the purges and the route allow it.
func (p *Pantry) Good(c *cache.Copy, lifetime time.Duration, sends func(string) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.good(c, lifetime, sends)
}

// Vouch is Good, and gives the number of the last purge under which that is
// so: handed on, the copy counts as known up to there.
func (p *Pantry) Vouch(c *cache.Copy, lifetime time.Duration, sends func(string) bool) (known int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.good(c, lifetime, sends) {
		return 0, false
	}
	return max(c.Known, p.notices.Seq), true
}

// Killed tells whether a purge that is known here ended the copy.
func (p *Pantry) Killed(c *cache.Copy) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notices == nil || p.notices.Kills(c)
}

func (p *Pantry) good(c *cache.Copy, lifetime time.Duration, sends func(string) bool) bool {
	return c.Fresh(lifetime, p.steady()) && p.notices != nil && !p.notices.Kills(c) && sends(c.Service)
}

// get gives the copy, or the call that brings it; first tells whether the
// caller is the one to make it.
func (p *Pantry) get(key string, lifetime time.Duration, sends func(string) bool) (c *cache.Copy, fl *call, first bool) {
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
func (p *Pantry) end(key string, fl *call, got Brought, lifetime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fl.got = got
	delete(p.flights, key)
	if got.Copy != nil && lifetime > 0 {
		p.shelf.Put(got.Copy)
	}
	close(fl.done)
}

// Held tells how many copies the shelf holds, and their bytes.
func (p *Pantry) Held() (copies, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shelf.Len(), p.shelf.Used()
}

// SetPantry lets cached routes be served from copies.
func (h *Head) SetPantry(p *Pantry) { h.pantry = p }

// cached serves a request on a cached route from a copy.
func (h *Head) cached(v *visit) bool {
	p, r := h.pantry, v.route
	service := r.Pick(point(v.req.Host + v.req.Target))
	key := cache.Key(v.req.Host, v.req.Target)
	again := v.spent > 0
	for tries := 0; ; tries++ {
		c, fl, first := p.get(key, r.Lifetime, r.Sends)
		if c != nil {
			return h.fromCopy(v, c)
		}
		left := time.Until(v.times.Hard)
		if left <= 0 || tries >= 4 {
			return h.refuse(v, 503, "no answer in time")
		}
		if first {
			w := Want{Host: v.req.Host, Target: v.req.Target, Service: service, Weight: weight(r.Priority), Left: left, Aim: r.Target, Again: again}
			go func() { p.end(key, fl, p.bringer.Bring(w), r.Lifetime) }()
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
		case got.Copy != nil && p.Good(got.Copy, max(r.Lifetime, 0), r.Sends):
			return h.fromCopy(v, got.Copy)
		case got.Copy != nil && r.Lifetime <= 0:
			// Not to be kept, but fetched for those who asked.
			return h.fromCopy(v, got.Copy)
		case got.Copy != nil:
			// A purge came in the meantime: once more.
			continue
		case got.Passed != nil:
			return h.passOn(v, got.Passed)
		case got.Status == 503 && got.Back > 0 && again && !first:
			// It was the refusal of another that had not waited yet.
			continue
		case got.Status == 503 && got.Back > 0:
			h.comeBack(v, got.Back)
			v.c.SetStatusCode(503)
			v.c.Response.SetBodyString("the object can't be fetched now\n")
			return false
		case got.Status == 504 && !first && time.Until(v.times.Hard) > r.Target/8:
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

func (h *Head) fromCopy(v *visit, c *cache.Copy) bool {
	hd := &v.c.Request.Header
	a := c.Answer(cache.Ask{
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

func (h *Head) passOn(v *visit, p *cache.Passed) bool {
	v.c.SetStatusCode(p.Status)
	h.fields(v, p.Fields)
	if p.Stamp != "" {
		v.c.Response.Header.Set(upstream.HeaderServerStamp, p.Stamp)
	}
	v.c.Response.SetBodyRaw(p.Body)
	return false
}

func (h *Head) fields(v *visit, l []cache.Field) {
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
