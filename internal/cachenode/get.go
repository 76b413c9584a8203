package cachenode

import (
	"net/http"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/nodeapi"
)

const (
	// refreshAt is the part of its lifetime after which an object in use is
	// revalidated ahead of its end, so that its clients need not wait for the
	// origin: the rest is for finding a moment in which no client waits for one.
	// An object is in use if it was used more than refreshUses times.
	refreshAt   = 0.75
	refreshUses = 2
	// purgePollHeartbeats is the interval of waiting for a purge,
	// failedRetryHeartbeats when a client may come back after a failed fetch.
	purgePollHeartbeats   = 0.01
	failedRetryHeartbeats = 0.1
)

// lookup is what the fetcher has for a request: an object that may be served,
// or else the fetch to wait for, or else a response without an object.
type lookup struct {
	at         time.Duration
	object     *cache.Object
	knownPurge int64
	fetch      *cache.Fetch
	rejection  nodeapi.CacheFetchResponse
}

// Get returns an object that may be served, fetching it if need be. A client
// whose object can't be there in time is told so at once. Get waits for at most
// PollTimeoutMs; then the response says that the fetch is under way. lifetime
// and splitsTo are those of the object's route.
func (f *Fetcher) Get(request nodeapi.CacheFetchRequest, lifetime time.Duration, splitsTo func(string) bool) (nodeapi.CacheFetchResponse, []byte) {
	clientDeadline := f.host.Now() + milliseconds(request.TimeLeftMs)
	pollTimeout := milliseconds(min(request.PollTimeoutMs, request.TimeLeftMs))
	deadline := time.Now().Add(pollTimeout)
	f.awaitPurge(request.KnownPurge, deadline)
	for {
		found := f.lookupOrEnqueue(&request, clientDeadline, lifetime, splitsTo)
		if found.object != nil {
			f.refreshAhead(found.object, lifetime, found.at)
			return objectResponse(found.object, found.knownPurge, found.at)
		}
		if found.fetch == nil {
			return found.rejection, nil
		}
		f.wake()
		timer := time.NewTimer(time.Until(deadline))
		select {
		case <-found.fetch.Done:
			timer.Stop()
		case <-timer.C:
			return nodeapi.CacheFetchResponse{Status: http.StatusAccepted}, nil
		}
		if response, body, ok := f.fetchedResponse(found.fetch, lifetime, splitsTo); ok {
			return response, body
		}
	}
}

// awaitPurge waits until this node knows a purge that the front knows. It is
// on its way.
func (f *Fetcher) awaitPurge(seq int64, deadline time.Time) {
	for f.purges.KnownPurge() < seq && time.Now().Before(deadline) {
		time.Sleep(f.host.Heartbeats(purgePollHeartbeats))
	}
}

// lookupOrEnqueue finds the object or joins its fetch, in one step under the
// lock: between two, a fetch could end unnoticed and another would start.
func (f *Fetcher) lookupOrEnqueue(request *nodeapi.CacheFetchRequest, clientDeadline, lifetime time.Duration, splitsTo func(string) bool) lookup {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.host.Now()
	source := cache.Source{Host: request.Host, Target: request.Target, Service: request.Service, Tenant: request.Tenant}
	object := f.objects.Get(source.Key())
	if knownPurge, ok := f.purges.CheckUsable(object, lifetime, splitsTo); ok {
		return lookup{at: now, object: object, knownPurge: knownPurge}
	}
	if !f.mayFetch(request.Service) {
		return lookup{at: now, rejection: nodeapi.CacheFetchResponse{Status: nodeapi.StatusNoQuota}}
	}
	if fetch := f.queue.Find(source.Key()); fetch != nil && request.Continues {
		return lookup{at: now, fetch: fetch}
	}
	client := cache.Client{Deadline: clientDeadline, Priority: request.Priority}
	fetch, retryAfter := f.queue.Admit(source, client, f.schedule(request.Service, now))
	return lookup{at: now, fetch: fetch, rejection: unavailable(retryAfter)}
}

// unavailable tells a client when to come back.
func unavailable(retryAfter time.Duration) nodeapi.CacheFetchResponse {
	return nodeapi.CacheFetchResponse{Status: http.StatusServiceUnavailable, RetryAfterMs: retryAfter.Milliseconds()}
}

// fetchedResponse returns the response to a fetch that has ended; ok is false
// if its object was invalidated since and must be fetched again. A route
// without a lifetime serves an object to those who waited for it.
func (f *Fetcher) fetchedResponse(fetch *cache.Fetch, lifetime time.Duration, splitsTo func(string) bool) (response nodeapi.CacheFetchResponse, body []byte, ok bool) {
	switch {
	case fetch.Object != nil:
		knownPurge, fresh := f.purges.CheckUsable(fetch.Object, lifetime, splitsTo)
		if !fresh && lifetime > 0 {
			return response, nil, false
		}
		if !fresh {
			knownPurge = fetch.Object.KnownPurge
		}
		response, body = objectResponse(fetch.Object, knownPurge, f.host.Now())
	case fetch.PassThrough != nil:
		answer := fetch.PassThrough
		response = nodeapi.CacheFetchResponse{Status: answer.Status, Fields: answer.Fields, Stamp: answer.Stamp, PassThrough: true}
		body = answer.Body
	case fetch.RetryAfter > 0:
		response = unavailable(fetch.RetryAfter)
	default:
		response = nodeapi.CacheFetchResponse{Status: fetch.Status, RetryAfterMs: f.host.Heartbeats(failedRetryHeartbeats).Milliseconds()}
	}
	return response, body, true
}

// refreshAhead revalidates an object in use before it expires, if no other
// fetch from its service is queued.
func (f *Fetcher) refreshAhead(object *cache.Object, lifetime, now time.Duration) {
	if float64(object.Age(now)) < refreshAt*float64(lifetime) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, uses := f.objects.Peek(object.Key())
	if uses > refreshUses && f.queue.Find(object.Key()) == nil && f.queue.Queued(object.Service) == 0 {
		source := cache.Source{Host: object.Host, Target: object.Target, Service: object.Service, Tenant: object.Tenant}
		f.queue.Refresh(source, object.FetchedAt+lifetime)
		f.wake()
	}
}

// objectResponse describes an object. Its age is rounded up, so that it never
// grows younger on its way.
func objectResponse(object *cache.Object, knownPurge int64, now time.Duration) (nodeapi.CacheFetchResponse, []byte) {
	return nodeapi.CacheFetchResponse{
		Status:     http.StatusOK,
		Fields:     object.Fields,
		ETag:       object.ETag,
		Stamp:      object.Stamp,
		Tags:       object.Tags,
		KnownPurge: knownPurge,
		AgeMs:      object.Age(now).Milliseconds() + 1,
	}, object.Body
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
