package frontend

import (
	"time"

	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// filter is a step in the handling of a request. It returns whether the next
// filter follows; if not, it has written the response.
type filter func(e *exchange) bool

// pinSnapshot takes the snapshot that the request keeps to its end, so that a
// change of the configuration never shows in the middle of it.
func (h *Handler) pinSnapshot(e *exchange) bool {
	e.snapshot = h.snapshot.Load()
	if e.snapshot == nil {
		e.caller.Watch(func() {
			select {
			case <-h.hasSnapshot:
				e.snapshot = h.snapshot.Load()
			case <-e.caller.Context().Done():
			case <-time.After(h.options.StartupWait):
			}
		})
	}
	if e.snapshot == nil {
		return h.reject(e, rejectNoConfiguration)
	}
	return true
}

// checkSize keeps clients within the operator's limits.
func (h *Handler) checkSize(e *exchange) bool {
	limits := &e.snapshot.RouteTable.Limits
	header := &e.ctx.Request.Header
	if len(header.RawHeaders())+len(header.RequestURI()) > limits.HeaderBytes {
		return h.reject(e, rejectHeadersTooLarge)
	}
	if len(e.ctx.Request.Body()) > limits.BodyBytes {
		return h.reject(e, rejectBodyTooLarge)
	}
	return true
}

// parseRequest validates the request strictly. One that an endpoint might read
// in another way than this node (request smuggling) goes no further.
func (h *Handler) parseRequest(e *exchange) bool {
	header := &e.ctx.Request.Header
	request, err := upstream.NewRequest(string(header.Method()), string(header.RequestURI()), header.RawHeaders(), e.ctx.Request.Body())
	if err != nil || !header.IsHTTP11() {
		return h.reject(e, rejectMalformed, "err", err)
	}
	e.request = request
	if body := e.caller.RequestBody(); body != nil {
		request.SetStreamedBody(body)
	}
	return true
}

// matchRoute finds the request's route.
func (h *Handler) matchRoute(e *exchange) bool {
	e.route = e.snapshot.RouteTable.Match(e.request.Host, e.request.Target)
	if e.route == nil {
		return h.reject(e, rejectNoRoute)
	}
	e.request.Route, e.request.TargetLatency = e.route.Name, e.route.TargetLatency
	return true
}

// minTimeLeft is the least time in which a request is forwarded.
const minTimeLeft = time.Millisecond

// setDeadlines derives the deadlines from the route and the time that the
// client says it waits.
func (h *Handler) setDeadlines(e *exchange) bool {
	timeout := e.route.Timeout
	if ms := e.request.DeadlineMs; ms >= 0 && ms < float64(timeout)/float64(time.Millisecond) {
		timeout = fromMilliseconds(ms)
	}
	if timeout < minTimeLeft {
		return h.reject(e, rejectNoTimeLeft)
	}
	e.deadlines = scatter.Deadlines{
		Start:         e.start,
		HardDeadline:  e.start.Add(scaled(timeout, h.options.GiveUpAfter)),
		ShardDeadline: e.start.Add(timeout),
	}
	return true
}

func fromMilliseconds(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}

// scaled returns a part of a duration.
func scaled(d time.Duration, ratio float64) time.Duration {
	return time.Duration(float64(d) * ratio)
}
