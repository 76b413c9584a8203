package frontend

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"swiftswitch/internal/events"
)

// rejection is a reason why a request is answered without a response of an
// endpoint.
type rejection int

const (
	rejectNoConfiguration rejection = iota
	rejectHeadersTooLarge
	rejectBodyTooLarge
	rejectBodyIncomplete
	rejectMalformed
	rejectNoRoute
	rejectUnauthenticated
	rejectKeysUnconfirmed
	rejectNoTimeLeft
	rejectOverQuota
	rejectQuotaUnconfirmed
	rejectOverloaded
	rejectNoEndpoint
	rejectTimedOut
	rejectNoCompleteResponse
	rejectFetchTimedOut
	rejectFetchUnavailable
	rejectFetchFailed
	rejectDraining
)

// rejections tell how each reason is answered. 429 and 503 promise that no
// endpoint processed the request, and carry Retry-After; 502 and 504 do not.
var rejections = [...]struct {
	// label names the reason in the metrics.
	label   string
	status  int
	message string
	// closesConnection: what follows on the connection can't be trusted, or
	// was not read.
	closesConnection bool
	// event is logged, if there is one.
	event events.Event
}{
	rejectNoConfiguration:    {label: "no_configuration", status: http.StatusServiceUnavailable, message: "no configuration yet"},
	rejectHeadersTooLarge:    {label: "headers_too_large", status: http.StatusRequestHeaderFieldsTooLarge, message: "headers too large", closesConnection: true},
	rejectBodyTooLarge:       {label: "body_too_large", status: http.StatusRequestEntityTooLarge, message: "body too large", closesConnection: true},
	rejectBodyIncomplete:     {label: "body_incomplete", status: http.StatusBadRequest, message: "the body did not come whole", closesConnection: true},
	rejectMalformed:          {label: "malformed", status: http.StatusBadRequest, message: "malformed request", closesConnection: true, event: events.RequestRejected},
	rejectNoRoute:            {label: "no_route", status: http.StatusNotFound, message: "no route"},
	rejectUnauthenticated:    {label: "unauthenticated", status: http.StatusUnauthorized, message: "a valid key is needed"},
	rejectKeysUnconfirmed:    {label: "keys_unconfirmed", status: http.StatusServiceUnavailable, message: "keys can't be checked now"},
	rejectNoTimeLeft:         {label: "no_time_left", status: http.StatusServiceUnavailable, message: "no time left"},
	rejectOverQuota:          {label: "over_quota", status: http.StatusTooManyRequests, message: "the tenant's quota is used up"},
	rejectQuotaUnconfirmed:   {label: "quota_unconfirmed", status: http.StatusServiceUnavailable, message: "the tenant's quota can't be checked now"},
	rejectOverloaded:         {label: "overloaded", status: http.StatusServiceUnavailable, message: "all searchers are busy"},
	rejectNoEndpoint:         {label: "no_endpoint", status: http.StatusServiceUnavailable, message: "no searcher can take this now"},
	rejectTimedOut:           {label: "timed_out", status: http.StatusGatewayTimeout, message: "no answer in time"},
	rejectNoCompleteResponse: {label: "no_complete_response", status: http.StatusBadGateway, message: "no whole answer"},
	rejectFetchTimedOut:      {label: "fetch_timed_out", status: http.StatusServiceUnavailable, message: "no answer in time"},
	rejectFetchUnavailable:   {label: "fetch_unavailable", status: http.StatusServiceUnavailable, message: "the object could not be fetched"},
	rejectFetchFailed:        {label: "fetch_failed", status: http.StatusBadGateway, message: "the object could not be fetched"},
	rejectDraining:           {label: "draining", status: http.StatusServiceUnavailable, message: "this node leaves"},
}

// authenticationScheme is how clients are asked for a key.
const authenticationScheme = `ApiKey realm="swiftswitch"`

// reject answers a request by a reason and ends the filter chain. details are
// key/value pairs for the event.
func (h *Handler) reject(e *exchange, reason rejection, details ...any) bool {
	r := &rejections[reason]
	h.metrics.rejections[reason].Inc()
	if r.event != 0 {
		events.Log(r.event, details...)
	}
	if r.closesConnection {
		e.closeConnection = true
	}
	e.ctx.SetStatusCode(r.status)
	e.ctx.Response.Header.SetContentType("text/plain")
	e.ctx.Response.SetBodyString(r.message + "\n")
	if r.status == http.StatusUnauthorized {
		e.ctx.Response.Header.Set("WWW-Authenticate", authenticationScheme)
	}
	if isRetryable(r.status) {
		h.setRetryAfterWait(e, h.waitAfter(e, reason))
	}
	return false
}

// rejectFetch answers a request whose object can't be fetched before
// retryAfter.
func (h *Handler) rejectFetch(e *exchange, retryAfter time.Duration) {
	e.ctx.SetStatusCode(http.StatusServiceUnavailable)
	e.ctx.Response.SetBodyString("the object can't be fetched now\n")
	setRetryAfter(e, retryAfter)
}

// isRetryable reports whether a status says that the request was not processed
// and may be sent again.
func isRetryable(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// waitAfter returns after which time a request that was rejected for a reason may
// fare otherwise: once the queue that was found too long has been worked off, or
// an endpoint has answered one of its requests. All else depends on this node
// alone, and a further try meets another.
func (h *Handler) waitAfter(e *exchange, reason rejection) time.Duration {
	switch {
	case e.route == nil:
		return h.options.RetryElsewhere
	case reason == rejectOverQuota:
		return max(e.expectedWait, h.options.RetryElsewhere)
	case reason == rejectOverloaded:
		return max(e.expectedWait, h.usualLatency(e))
	case reason == rejectNoEndpoint:
		return h.usualLatency(e)
	}
	return h.options.RetryElsewhere
}

// usualLatency returns the median latency of the services of the request's
// route, the slowest of them where there are several.
func (h *Handler) usualLatency(e *exchange) time.Duration {
	services := e.route.Shards
	if len(services) == 0 {
		services = []string{e.route.PickService(rand.Float64())}
	}
	usual := h.options.RetryElsewhere
	for _, service := range services {
		usual = max(usual, h.gatherer.Upstream.Latency(service).P50)
	}
	return usual
}

// setRetryAfterWait asks the client to come back after a time, with jitter:
// clients rejected together must not return together.
func (h *Handler) setRetryAfterWait(e *exchange, wait time.Duration) {
	jitter := 0.5 + rand.Float64()
	setRetryAfter(e, scaled(wait, jitter))
}

// setRetryAfter sets the header in seconds, as a decimal fraction.
func setRetryAfter(e *exchange, after time.Duration) {
	e.ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}
