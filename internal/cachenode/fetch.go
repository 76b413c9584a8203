package cachenode

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/upstream"
)

const (
	// maxAttempts bounds the attempts of a fetch that fails, maxPurgedAttempts
	// those of one whose object a purge invalidates meanwhile.
	maxAttempts       = 3
	maxPurgedAttempts = 4
	// fetchTimeoutHeartbeats is how long an attempt may take where the route is
	// not known.
	fetchTimeoutHeartbeats = 8
)

// consumedHeaders are the response headers that end at this node: the front
// sets its own, or they tell of the connection and of the endpoint's state.
var consumedHeaders = []string{
	"Content-Length", "Content-Range",
	upstream.HeaderRequestID, upstream.HeaderServerStamp, upstream.HeaderInstanceID, upstream.HeaderServerLoad,
}

// runFetch makes one attempt of a fetch. held is the object held, if any: the
// endpoint is asked then whether it still is the newest.
func (f *Fetcher) runFetch(fetch *cache.Fetch, held *cache.Object) {
	timeout := f.host.Heartbeats(fetchTimeoutHeartbeats)
	target := timeout
	if route := f.front.Route(fetch.Host, fetch.Target); route != nil {
		target, timeout = route.TargetLatency, route.Timeout
	}
	request := f.fetchRequest(fetch, held)
	request.TargetLatency = target
	endpoint, start := f.front.PickEndpoint(fetch.Service)
	if endpoint == nil {
		f.onFailed(fetch, http.StatusServiceUnavailable, "no endpoint")
		return
	}
	timeLeft := fetch.StartedAt + timeout - f.host.Now()
	attempt := f.endpoints.Do(context.Background(), endpoint, request, start, time.Now().Add(timeLeft))
	defer attempt.Release()
	f.onAttempt(fetch, held, &attempt)
}

// fetchRequest makes the request of an attempt, with an ID of its own.
func (f *Fetcher) fetchRequest(fetch *cache.Fetch, held *cache.Object) *upstream.Request {
	f.mu.Lock()
	f.fetchCount++
	id := fmt.Sprintf("%s-%d", f.name, f.fetchCount)
	f.mu.Unlock()
	etag := ""
	if held != nil {
		etag = held.ETag
	}
	request := upstream.NewFetchRequest(id, fetch.Host, fetch.Target, etag)
	if fetch.Tenant != "" {
		request.SetTenant(fetch.Tenant)
	}
	return request
}

// onAttempt ends or repeats a fetch by the outcome of an attempt. Only a whole
// response with a stamp and an entity tag becomes a cached object.
func (f *Fetcher) onAttempt(fetch *cache.Fetch, held *cache.Object, attempt *upstream.Attempt) {
	isAnswered := attempt.Outcome == upstream.OutcomeAnswered
	switch {
	case isAnswered && attempt.Status == http.StatusNotModified && held != nil:
		f.onFetched(fetch, held.Revalidated(fetch.StartedAt, fetch.KnownPurge))
	case attempt.Succeeded() && attempt.Status == http.StatusOK && len(attempt.Response.Header.Peek("ETag")) > 0:
		f.onFetched(fetch, newObject(fetch, attempt))
	case isAnswered && isPassedThrough(attempt):
		object := newObject(fetch, attempt)
		f.onPassThrough(fetch, &cache.PassThrough{Status: attempt.Status, Fields: object.Fields, Body: object.Body, Stamp: attempt.Stamp})
	case attempt.Outcome == upstream.OutcomeUnprocessed:
		f.onFailed(fetch, http.StatusServiceUnavailable, "the endpoint is full")
	default:
		f.onFailed(fetch, http.StatusBadGateway, "no whole response")
	}
}

// isPassedThrough reports whether an answer is the origin's final one:
// a success that can't be cached, a redirect or a client error. Others are
// failures, which another endpoint may not show.
func isPassedThrough(attempt *upstream.Attempt) bool {
	switch attempt.Status {
	case http.StatusNotModified, http.StatusTooManyRequests:
		return false
	}
	return (attempt.Succeeded() || attempt.Status >= 300) && attempt.Status < 500
}

// newObject copies a response, whose memory is released after the attempt.
func newObject(fetch *cache.Fetch, attempt *upstream.Attempt) *cache.Object {
	object := &cache.Object{
		Host:       fetch.Host,
		Target:     fetch.Target,
		Service:    fetch.Service,
		Tenant:     fetch.Tenant,
		Body:       attempt.Body(),
		Stamp:      attempt.Stamp,
		FetchedAt:  fetch.StartedAt,
		KnownPurge: fetch.KnownPurge,
	}
	attempt.Response.Header.VisitAll(func(key, val []byte) {
		name, value := string(key), string(val)
		switch {
		case slices.Contains(consumedHeaders, name):
			return
		case name == "ETag", name == "Etag":
			object.ETag = value
			return
		case name == cache.HeaderTags:
			object.Tags = cache.SplitTags(value)
		}
		if !upstream.IsHopByHop(name) {
			object.Fields = append(object.Fields, cache.Field{Name: name, Value: value})
		}
	})
	return object
}

// onFetched ends a fetch that brought an object, and stores the object if its
// route still is a cached one. An object that a purge invalidated meanwhile is
// fetched again: it may be the very state that the purge was about.
func (f *Fetcher) onFetched(fetch *cache.Fetch, object *cache.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.purges.Invalidated(object) && fetch.Attempts < maxPurgedAttempts && fetch.IsAwaited(f.host.Now()) {
		f.requeue(fetch)
		return
	}
	if route := f.front.Route(fetch.Host, fetch.Target); route != nil && route.Cacheable && route.CacheLifetime > 0 {
		f.objects.Put(object)
	}
	fetch.Object = object
	f.queue.Finish(fetch, http.StatusOK, "")
}

// onPassThrough ends a fetch with an answer that is not cached.
func (f *Fetcher) onPassThrough(fetch *cache.Fetch, answer *cache.PassThrough) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fetch.PassThrough = answer
	f.queue.Finish(fetch, http.StatusOK, "")
}

// onFailed makes another attempt if somebody still waits, or ends the fetch.
func (f *Fetcher) onFailed(fetch *cache.Fetch, status int, reason string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if fetch.Attempts < maxAttempts && fetch.IsAwaited(f.host.Now()) {
		f.requeue(fetch)
		return
	}
	f.queue.Finish(fetch, status, reason)
}

// requeue puts a fetch back in the queue. It runs under the lock.
func (f *Fetcher) requeue(fetch *cache.Fetch) {
	f.queue.Requeue(fetch)
	f.wake()
}
