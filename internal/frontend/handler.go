package frontend

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"swiftswitch/internal/metrics"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/tenant"
	"swiftswitch/internal/transport"
	"swiftswitch/internal/upstream"

	"github.com/cloudwego/hertz/pkg/app"
)

// Options configure a Handler.
type Options struct {
	// GiveUpAfter is the part of the client's time after which a response
	// could not reach it any more.
	GiveUpAfter float64
	// RetryElsewhere is when a client is asked to come back, on average, that
	// any other node may serve.
	RetryElsewhere time.Duration
	// WriteTimeout bounds the writing of a response whose client waits no longer.
	WriteTimeout time.Duration
	// StartupWait is how long a request waits for the first snapshot.
	StartupWait time.Duration
	// Clock returns the monotonic time and how long ago the node had contact
	// with a majority of the voters, without end where it never had. After MajorityTimeout without contact the
	// node sends no requests to versions that are not settled.
	Clock           func() (now, silence time.Duration)
	MajorityTimeout time.Duration
	// KeysConfirmed reports whether the keys in force are recent enough to
	// accept any. Nil means always.
	KeysConfirmed func() bool
	// Quotas keeps tenants within their quotas. Nil means that there are none.
	Quotas QuotaLimiter
	// Metrics is where the handler's metrics are shown, if anywhere.
	Metrics *metrics.Registry
}

// Handler handles clients' requests. Its methods may be called from any
// goroutine, except that SetRelays and SetCacheHandler must precede the first
// request.
type Handler struct {
	options  Options
	gatherer *scatter.Gatherer
	filters  []filter
	metrics  handlerMetrics

	snapshot atomic.Pointer[Snapshot]
	// hasSnapshot is closed with the first snapshot.
	hasSnapshot chan struct{}

	draining atomic.Bool
	// cancelWaiting is closed when a draining node answers the requests that
	// still wait for a fetch.
	cancelWaiting chan struct{}
	inFlight      atomic.Int64
	relayed       atomic.Int64

	// relays is nil if requests are not relayed by fronts of other zones.
	relays    *relay.Balancer
	callRelay RelayCaller
	// cache is nil if cached routes are forwarded like others.
	cache *CacheHandler
}

// New returns a handler without a snapshot; until it has one it rejects
// requests.
func New(options Options, gatherer *scatter.Gatherer) *Handler {
	if options.KeysConfirmed == nil {
		options.KeysConfirmed = func() bool { return true }
	}
	h := &Handler{
		options:       options,
		gatherer:      gatherer,
		metrics:       newHandlerMetrics(options.Metrics),
		hasSnapshot:   make(chan struct{}),
		cancelWaiting: make(chan struct{}),
	}
	h.filters = []filter{h.pinSnapshot, h.checkSize, h.parseRequest, h.matchRoute, h.authenticate, h.setDeadlines, h.checkQuota, h.forward}
	return h
}

// SetCacheHandler makes cached routes be served from the cache.
func (h *Handler) SetCacheHandler(c *CacheHandler) { h.cache = c }

// SetSnapshot puts a snapshot in force for the requests to come.
func (h *Handler) SetSnapshot(s *Snapshot) {
	if h.snapshot.Swap(s) == nil {
		close(h.hasSnapshot)
	}
}

// Snapshot returns the snapshot in force, nil before the first.
func (h *Handler) Snapshot() *Snapshot { return h.snapshot.Load() }

// Drain makes every further response the last on its connection.
func (h *Handler) Drain() { h.draining.Store(true) }

// CancelWaiting rejects the requests that wait for a fetch and were not sent
// to an endpoint. It must be called once at most.
func (h *Handler) CancelWaiting() { close(h.cancelWaiting) }

// InFlight returns the number of requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// exchange is a request and its response on their way through the filters. The
// goroutine of its connection owns it.
type exchange struct {
	ctx *app.RequestContext
	// caller is the client, as far as its connection shows.
	caller   *transport.Caller
	start    time.Time
	snapshot *Snapshot
	request  *upstream.Request
	route    *routing.Route
	// tenant is nil where the request needs no key.
	tenant    *tenant.Tenant
	deadlines scatter.Deadlines
	// expectedWait is how long the request would have had to wait that was
	// rejected for it; 0 where that is not known.
	expectedWait time.Duration
	// closeConnection: the connection ends with this response.
	closeConnection bool
}

// Handle handles one request of the clients' listener.
func (h *Handler) Handle(ctx context.Context, c *app.RequestContext) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	e := &exchange{ctx: c, caller: transport.CallerFrom(ctx), start: time.Now()}
	for _, apply := range h.filters {
		if !apply(e) {
			break
		}
	}
	h.finish(e)
	h.metrics.countRequest(e)
}

// finish sets what ends the exchange on its connection.
func (h *Handler) finish(e *exchange) {
	if body := e.caller.RequestBody(); body != nil {
		body.Close()
		e.closeConnection = e.closeConnection || !body.Whole()
	}
	if e.closeConnection || h.draining.Load() || e.caller.Context().Err() != nil {
		e.ctx.SetConnectionClose()
	} else if e.snapshot != nil {
		// A client that stops using the connection a second earlier sends no
		// request just when the node closes it.
		if idle := int(e.snapshot.RouteTable.Limits.IdleTimeout / time.Second); idle > 1 {
			e.ctx.Response.Header.Set("Keep-Alive", "timeout="+strconv.Itoa(idle-1))
		}
	}
	// A long response over a slow link may take as long as its client waits. A
	// peer that is gone is noticed sooner, by the connection itself.
	_ = e.ctx.GetConn().SetWriteTimeout(max(h.options.WriteTimeout, time.Until(e.deadlines.ShardDeadline)))
}
