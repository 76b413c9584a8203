package frontend

import (
	"hash/fnv"
	"net/http"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/transport"
)

// maxFetches is how many fetches one request carries out, one after the other,
// whose objects can't be served.
const maxFetches = 4

// serveCached answers a request on a cached route by an object: one of the
// front's own cache, or one that is fetched. Requests for one object share its
// fetch; the first carries it out.
func (h *Handler) serveCached(e *exchange) bool {
	route := e.route
	service := route.PickService(hashPoint(e.request.Host + e.request.Target))
	key := cache.TenantKey(e.tenantName(), e.request.Host, e.request.Target)
	for fetches := 0; ; {
		object, fetch, isFirst := h.cache.lookupOrJoin(key, e.deadlines.HardDeadline, route.CacheLifetime, route.SplitsTo)
		if object != nil {
			h.writeObject(e, object)
			return false
		}
		left := time.Until(e.deadlines.HardDeadline)
		if left <= 0 || fetches >= maxFetches || isFirst && e.caller.Left() {
			if isFirst {
				// Others may have joined already; they look for the object again.
				h.cache.finish(key, fetch, FetchResult{Status: http.StatusGatewayTimeout}, 0)
			}
			return h.reject(e, rejectFetchTimedOut)
		}
		if isFirst {
			fetches++
			request := fetchRequest(e, service, left)
			go func() { h.cache.finish(key, fetch, h.cache.fetcher.Fetch(request), route.CacheLifetime) }()
		}
		if reason, ok := h.awaitFetch(e.caller, fetch, left); !ok {
			return h.reject(e, reason)
		}
		if h.writeFetchResult(e, &fetch.result, isFirst) {
			return false
		}
	}
}

func fetchRequest(e *exchange, service string, left time.Duration) FetchRequest {
	return FetchRequest{
		Host:     e.request.Host,
		Target:   e.request.Target,
		Service:  service,
		Tenant:   e.tenantName(),
		Priority: max(0, e.priority()),
		TimeLeft: left,
	}
}

// awaitFetch waits for a fetch to end; ok is false if the request must be
// rejected before. The fetch of a client that leaves goes on for the others who
// wait for it, and for the cache.
func (h *Handler) awaitFetch(caller *transport.Caller, fetch *sharedFetch, left time.Duration) (reason rejection, ok bool) {
	timer := time.NewTimer(left)
	defer timer.Stop()
	caller.Watch(func() {
		select {
		case <-fetch.done:
			ok = true
		case <-timer.C:
			reason = rejectFetchTimedOut
		case <-caller.Context().Done():
			reason = rejectFetchUnavailable
		case <-h.cancelWaiting:
			reason = rejectDraining
		}
	})
	return reason, ok
}

// writeFetchResult answers by the result of a fetch. It returns false, without
// an answer, if the result does not hold for this request, which then looks
// for the object again.
func (h *Handler) writeFetchResult(e *exchange, result *FetchResult, isFirst bool) (written bool) {
	switch {
	case result.Object != nil:
		return h.writeFetchedObject(e, result.Object)
	case result.PassThrough != nil:
		writePassThrough(e, result.PassThrough)
		return true
	}
	left := time.Until(e.deadlines.HardDeadline)
	isRejected := result.Status == http.StatusServiceUnavailable && result.RetryAfter > 0
	switch {
	case isRejected && !isFirst && result.RetryAfter < left:
		// The fetch was rejected for a client with less time.
		return false
	case isRejected:
		h.rejectFetch(e, result.RetryAfter)
	case result.Status == http.StatusGatewayTimeout && !isFirst && left > 0:
		// The client that the fetch was for had less time.
		return false
	case result.Status == http.StatusServiceUnavailable, result.Status == http.StatusGatewayTimeout:
		// As far as is known no endpoint was asked.
		h.reject(e, rejectFetchUnavailable)
	default:
		h.reject(e, rejectFetchFailed)
	}
	return true
}

// writeFetchedObject answers by an object, unless a purge invalidated it on its
// way. A route without a lifetime serves it to all who waited for it.
func (h *Handler) writeFetchedObject(e *exchange, object *cache.Object) (written bool) {
	route := e.route
	if !h.cache.Usable(object, max(route.CacheLifetime, 0), route.SplitsTo) && route.CacheLifetime > 0 {
		return false
	}
	h.writeObject(e, object)
	return true
}

// hashPoint maps a name to a point in [0, 1), the same on all nodes.
func hashPoint(name string) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return float64(hash.Sum64()>>11) / (1 << 53)
}
