package lodge

import (
	"fmt"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"
)

// larderAsk asks for an object, larderSay goes with the answer, in a header:
// the object itself is the body. All times are in milliseconds.
type larderAsk struct {
	Host    string  `json:"H"`
	Target  string  `json:"T"`
	Service string  `json:"S"`
	Weight  float64 `json:"W"`
	// Purge is the last purge that the asker knows; LeftMs is how long the
	// client waits, WaitMs how long the asker does before it asks again.
	Purge  int64 `json:"P"`
	LeftMs int64 `json:"L"`
	WaitMs int64 `json:"M"`
	AimMs  int64 `json:"A"`
	// Again: the client was refused once and came back.
	Again bool `json:"R,omitempty"`
}

type larderSay struct {
	// Status is 200 for a copy, 202 while it is being fetched, the origin's
	// status for an answer passed on, and 502 to 504 for a failure of ours.
	Status int           `json:"X"`
	Fields []cache.Field `json:"F,omitempty"`
	ETag   string        `json:"E,omitempty"`
	Stamp  string        `json:"S,omitempty"`
	Tags   []string      `json:"T,omitempty"`
	Known  int64         `json:"K,omitempty"`
	AgeMs  int64         `json:"A,omitempty"`
	BackMs int64         `json:"B,omitempty"`
	Passed bool          `json:"P,omitempty"`
}

// statusClosed: the node has no part of the service's ceiling now.
const statusClosed = 409

const headerLarder = "Swiftswitch-Larder"

// Ratios of the tier.
const (
	// ceilingKeep is the part of a service's RequestsPerS that is used;
	// ceilingBurst, a part of CeilingWindowS, is how long it may be saved up.
	ceilingKeep  = 0.98
	ceilingBurst = 0.03
	// quietAt, a part of CatchUpS, is how long a larder that hears of no hut
	// goes on fetching; a hut counts it as gone after the whole of it.
	quietAt = 0.6
	// sparing is the part of the ceiling that fronts share when there is no larder.
	sparing = 0.5
	// refreshAt, a part of the lifetime, is when a copy in use is confirmed ahead.
	refreshAt = 0.75
	// hopeless, a part of the time that a client has, is the wait above which it is refused.
	hopeless = 0.7
)

// kitchen fetches objects, within this node's part of each service's ceiling.
// On a larder it also keeps the copies that the fronts share.
type kitchen struct {
	n *Node
	t *trail

	mu       sync.Mutex
	shelf    *cache.Shelf
	stove    *cache.Stove
	ceilings map[string]*ratelimit.Ceiling
	kick     chan struct{}
	fetched  int64
	ids      int64
	name     string
}

func newKitchen(n *Node, t *trail, limit int) *kitchen {
	return &kitchen{n: n, t: t, shelf: cache.NewShelf(limit), stove: cache.NewStove(), ceilings: map[string]*ratelimit.Ceiling{}, kick: make(chan struct{}, 1), name: randomName()}
}

func (k *kitchen) wake() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// held tells how many copies a larder holds, and their bytes.
func (k *kitchen) held() (copies, bytes int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.shelf.Len(), k.shelf.Used()
}

// count is how many fetches there were.
func (k *kitchen) count() int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.fetched
}

// share is this node's part of what a service takes a second; below 0 where
// the service has no ceiling.
func (k *kitchen) share(service string) float64 {
	snap := k.t.head.Current()
	if snap == nil {
		return 0
	}
	sv := snap.Map.Services[service]
	if sv == nil || sv.RequestsPerS <= 0 {
		return -1
	}
	parts, ok := k.t.parts()
	if !ok {
		return 0
	}
	return sv.RequestsPerS * ceilingKeep * parts
}

// serve lets one fetch after the other go as the ceilings allow.
func (k *kitchen) serve() {
	for {
		wait := k.n.heartbeat(0.2)
		k.mu.Lock()
		now := k.n.steady()
		for _, service := range k.stove.Services() {
			if w := k.next(service, now); w < wait {
				wait = w
			}
		}
		k.mu.Unlock()
		t := time.NewTimer(wait)
		select {
		case <-k.n.stop:
			t.Stop()
			return
		case <-k.kick:
			t.Stop()
		case <-t.C:
		}
	}
}

// next begins the fetches from a service that may go now and tells when the
// next may; it runs under the lock.
func (k *kitchen) next(service string, now time.Duration) time.Duration {
	share := k.share(service)
	c := k.ceilings[service]
	if c == nil {
		c = &ratelimit.Ceiling{}
		c.Set(0, 0, now)
		k.ceilings[service] = c
	}
	if share >= 0 && share != c.Rate() {
		c.Set(share, max(0.1, k.n.set().Bounds.CeilingWindowS*ceilingBurst), now)
	}
	for k.stove.Queued(service) > 0 {
		if share >= 0 {
			ok, wait := c.Take(now)
			if !ok && wait < 0 {
				return k.n.heartbeat(0.2)
			}
			if !ok {
				return max(wait, time.Millisecond)
			}
		}
		f := k.stove.Next(service, k.t.pantry.Known(), now)
		if f == nil {
			break
		}
		var old *cache.Copy
		if c, _ := k.shelf.Peek(f.Key()); c != nil && c.Service == service {
			old = c
		}
		go k.fetch(f, old)
	}
	return k.n.heartbeat(0.2)
}

// fetch asks one searcher for the whole object, or whether the copy held still is the newest.
func (k *kitchen) fetch(f *cache.Flight, old *cache.Copy) {
	k.mu.Lock()
	k.ids++
	k.fetched++
	id := fmt.Sprintf("%s-%d", k.name, k.ids)
	until := f.Began + k.n.heartbeat(8)
	k.mu.Unlock()
	etag := ""
	if old != nil {
		etag = old.ETag
	}
	aim := k.n.heartbeat(0.5)
	if r := k.t.route(f.Host, f.Target); r != nil {
		aim = r.Target
		until = f.Began + r.Timeout
	}
	peer, start := k.t.choose(f.Service, aim)
	if peer == nil {
		k.failed(f, 503, "no searcher")
		return
	}
	left := until - k.n.steady()
	ask := upstream.Read(id, f.Host, f.Target, etag)
	ask.Aim = aim
	o := k.t.rng.Try(peer, ask, start, time.Now().Add(left))
	defer o.Release()
	switch {
	case o.Verdict == upstream.Answered && o.Status == 304 && old != nil:
		k.done(f, old.Confirmed(f.Began, f.Known), nil)
	case o.Good() && o.Status == 200 && len(o.Resp.Header.Peek("ETag")) > 0:
		k.done(f, k.copyOf(f, &o), nil)
	case o.Verdict == upstream.Answered && (o.Good() || o.Status >= 300) && o.Status < 500 && o.Status != 304 && o.Status != 429:
		c := k.copyOf(f, &o)
		k.done(f, nil, &cache.Passed{Status: o.Status, Fields: c.Fields, Body: c.Body, Stamp: o.Stamp})
	case o.Verdict == upstream.NotRun:
		k.failed(f, 503, "the searcher is full")
	default:
		k.failed(f, 502, "no whole answer")
	}
}

// copyOf takes the searcher's answer as a copy.
func (k *kitchen) copyOf(f *cache.Flight, o *upstream.Outcome) *cache.Copy {
	c := &cache.Copy{Host: f.Host, Target: f.Target, Service: f.Service, Stamp: o.Stamp, Born: f.Began, Known: f.Known}
	c.Body = append([]byte(nil), o.Resp.Body()...)
	o.Resp.Header.VisitAll(func(key, val []byte) {
		name, v := string(key), string(val)
		switch name {
		case "Content-Length", "Swiftswitch-Request-Id", upstream.HeaderStamp, upstream.HeaderInstance, upstream.HeaderLoad, "Content-Range":
			return
		case "ETag", "Etag":
			c.ETag = v
			return
		case cache.HeaderTags:
			c.Tags = cache.SplitTags(v)
		}
		if !upstream.IsHop(name) {
			c.Fields = append(c.Fields, cache.Field{Name: name, Value: v})
		}
	})
	return c
}

// done ends a fetch that brought something.
func (k *kitchen) done(f *cache.Flight, c *cache.Copy, p *cache.Passed) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.n.steady()
	if c != nil {
		if k.t.pantry.Killed(c) && f.Tries < 4 && f.Wait(now) {
			// A purge came while it was fetched: what is here may be what it ended.
			k.stove.Again(f)
			k.wake()
			return
		}
		if r := k.t.route(f.Host, f.Target); r != nil && r.Cached && r.Lifetime > 0 {
			k.shelf.Put(c)
		}
		f.Copy = c
	}
	f.Passed = p
	k.stove.End(f, 200, "")
}

// failed lets a fetch try once more, or ends it.
func (k *kitchen) failed(f *cache.Flight, status int, why string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if f.Tries < 3 && f.Wait(k.n.steady()) {
		k.stove.Again(f)
		k.wake()
		return
	}
	k.stove.End(f, status, why)
}

// bring gives a copy that may be served, fetching it if need be; it waits at
// most for wait, and then tells that it is under way.
func (k *kitchen) bring(a larderAsk, lifetime time.Duration, sends func(string) bool) (larderSay, []byte) {
	until := time.Now().Add(time.Duration(min(a.WaitMs, a.LeftMs)) * time.Millisecond)
	for k.t.pantry.Known() < a.Purge && time.Now().Before(until) {
		// The asker has heard of a purge that this node has not: it is on its way.
		time.Sleep(k.n.heartbeat(0.01))
	}
	key := cache.Key(a.Host, a.Target)
	for {
		k.mu.Lock()
		now := k.n.steady()
		c := k.shelf.Get(key)
		if known, ok := k.t.pantry.Vouch(c, lifetime, sends); ok {
			k.mu.Unlock()
			k.ahead(c, lifetime, now)
			return say(c, known, now)
		}
		if k.share(a.Service) == 0 {
			k.mu.Unlock()
			return larderSay{Status: statusClosed}, nil
		}
		left, aim := time.Duration(a.LeftMs)*time.Millisecond, time.Duration(a.AimMs)*time.Millisecond
		f := k.stove.Want(a.Host, a.Target, a.Service, a.Weight, now, now+left, aim/3)
		back := k.expect(f, now)
		k.mu.Unlock()
		k.wake()
		if !a.Again && back > aim || back > time.Duration(float64(left)*hopeless) {
			// Told now when it will be there, the client loses less than by waiting.
			return larderSay{Status: 503, BackMs: min(back, left/4).Milliseconds()}, nil
		}
		t := time.NewTimer(time.Until(until))
		select {
		case <-f.Done:
			t.Stop()
		case <-t.C:
			return larderSay{Status: 202}, nil
		}
		switch {
		case f.Copy != nil:
			if known, ok := k.t.pantry.Vouch(f.Copy, lifetime, sends); ok {
				return say(f.Copy, known, k.n.steady())
			} else if lifetime <= 0 {
				return say(f.Copy, f.Copy.Known, k.n.steady())
			}
			continue
		case f.Passed != nil:
			return larderSay{Status: f.Passed.Status, Fields: f.Passed.Fields, Stamp: f.Passed.Stamp, Passed: true}, f.Passed.Body
		}
		return larderSay{Status: f.Status, BackMs: int64(k.n.heartbeat(0.1) / time.Millisecond)}, nil
	}
}

// expect is about how long it takes until a fetch has ended; it runs under the lock.
func (k *kitchen) expect(f *cache.Flight, now time.Duration) time.Duration {
	typical, _ := k.t.rng.Latency(f.Service)
	if f.Running {
		return max(0, f.Began+typical-now)
	}
	if c := k.ceilings[f.Service]; c != nil && c.Rate() > 0 {
		typical += time.Duration(float64(k.stove.Before(f, now)) / c.Rate() * float64(time.Second))
	}
	return typical
}

// ahead confirms a copy in use before it is too old, where nothing else waits.
func (k *kitchen) ahead(c *cache.Copy, lifetime, now time.Duration) {
	if float64(c.Age(now)) < refreshAt*float64(lifetime) {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, uses := k.shelf.Peek(c.Key()); uses > 2 && k.stove.Find(c.Key()) == nil && k.stove.Queued(c.Service) == 0 {
		k.stove.Want(c.Host, c.Target, c.Service, 0.01, now, c.Born+lifetime, lifetime)
		k.wake()
	}
}

func say(c *cache.Copy, known int64, now time.Duration) (larderSay, []byte) {
	return larderSay{Status: 200, Fields: c.Fields, ETag: c.ETag, Stamp: c.Stamp, Tags: c.Tags, Known: known, AgeMs: c.Age(now).Milliseconds() + 1}, c.Body
}

// handle takes a front's ask.
func (k *kitchen) handle(c *app.RequestContext) {
	var a larderAsk
	if !transport.ReadJSON(c, &a) {
		return
	}
	s := larderSay{Status: 503}
	var body []byte
	if r := k.t.route(a.Host, a.Target); r != nil && a.LeftMs > 0 && r.Cached && r.Sends(a.Service) {
		s, body = k.bring(a, r.Lifetime, r.Sends)
	}
	c.SetStatusCode(200)
	c.Response.Header.Set(headerLarder, string(encode("larder", s)))
	c.Response.Header.SetContentType("application/octet-stream")
	c.Response.SetBodyRaw(body)
}

// enlistLoop makes this node one of the larders.
func (k *kitchen) enlistLoop() {
	for {
		select {
		case <-k.n.stop:
			return
		case <-time.After(k.n.heartbeat(0.5)):
		}
		if l := k.t.larders.Load(); l != nil && l.on || k.n.leaving.Load() {
			continue
		}
		self := consensus.Larder{Name: k.n.set().NodeName, IP: k.n.set().IpAddress, Zone: k.n.set().Zone}
		for _, ip := range k.t.hutIPs() {
			if k.n.call.CallJSON(k.n.set().InternalAddress(ip), pathEnlist, self, nil, config.Milliseconds(k.n.set().Bounds.AcknowledgeMs, 0.4)) == nil {
				events.Log(events.CacheNodeRegistered, "by", ip)
				break
			}
		}
	}
}
