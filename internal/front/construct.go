package front

import (
	"time"

	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/shardmap"
	"swiftswitch/internal/upstream"

	"github.com/panjf2000/ants/v2"
)

// Limits that hold where the operator sets none.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 1 << 20
	defaultMemoryBytes    = 256 << 20
	// minWorkers is the least size of the pool of goroutines that send attempts.
	minWorkers = 256
	// fileDescriptorsPerWorker: each worker holds a connection, and as many
	// are left for the clients.
	fileDescriptorsPerWorker = 2
)

// Times of the request path as parts of InTouchMs, the longest silence of a
// node that counts as reachable.
const (
	headerTimeoutRatio  = 1
	clientIdleRatio     = 3
	dialTimeoutRatio    = 0.125
	upstreamIdleRatio   = 1
	settleTimeRatio     = 0.05
	baseEjectionRatio   = 0.2
	latencyDecayRatio   = 0.75
	consecutiveFailures = 3
	// twoChoicesThreshold is the number of endpoints from which two drawn at
	// random are compared instead of all.
	twoChoicesThreshold = 5
)

// Times of the request path in heartbeat intervals.
const (
	workerIdleHeartbeats    = 8
	startupWaitHeartbeats   = 0.5
	relayEjectionHeartbeats = 1
	// retryElsewhereHeartbeats spreads the clients that come back at once.
	retryElsewhereHeartbeats = 0.02
)

const (
	// giveUpAfter is the part of the client's time after which an answer could
	// not reach it in time.
	giveUpAfter = 0.97
	// firstWindowShare is the part of the retry budget that a node may use in
	// its first window.
	firstWindowShare = 0.3
	// minShardHolders is how many holders a shard wants that have it loaded,
	// where there are fewer endpoints than slots.
	minShardHolders = 2
	// localFetchRatio is the part of a front's cache that objects may take
	// which it fetched itself.
	localFetchRatio = 0.25
)

// New returns the server of a node. It starts with Start.
func New(h *host.Host, options host.Options) (*Server, error) {
	settings := h.Settings()
	workers, err := ants.NewPool(
		int(max(minWorkers, settings.Limits.FileDescriptors/fileDescriptorsPerWorker)),
		ants.WithNonblocking(true),
		ants.WithExpiryDuration(h.Heartbeats(workerIdleHeartbeats)),
	)
	if err != nil {
		return nil, err
	}
	s := &Server{
		host:        h,
		options:     options,
		isCacheNode: options.Role == host.RoleCache,
		loop:        commandloop.New(),
		progress:    newProgressTracker(),
		majority:    &majorityContact{host: h},
		keys:        &keyConfirmation{host: h},
	}
	s.buildRequestPath(workers)
	s.buildControllers()
	s.buildCache()
	s.subscribe()
	return s, nil
}

// buildRequestPath makes what a request passes through on its way to endpoints.
func (s *Server) buildRequestPath(workers *ants.Pool) {
	s.endpoints = newEndpointPool(s.host, s.options)
	s.quotas = newQuotaLimiter(s.host, s.host.ControlIPs)
	s.retryBudget = newRetryBudget(s.host, s.options)
	gatherer := &scatter.Gatherer{
		Upstream:    s.endpoints,
		RetryBudget: s.retryBudget,
		Workers:     workers,
		Now:         s.host.Now,
		Metrics:     scatter.NewMetrics(s.host.Metrics),
	}
	s.frontend = frontend.New(frontend.Options{
		GiveUpAfter:     giveUpAfter,
		RetryElsewhere:  s.host.Heartbeats(retryElsewhereHeartbeats),
		WriteTimeout:    s.host.TCPUserTimeout(),
		StartupWait:     s.host.Heartbeats(startupWaitHeartbeats),
		Clock:           s.majority.clock,
		MajorityTimeout: s.host.MajorityTimeout(),
		KeysConfirmed:   s.keys.isRecent,
		Quotas:          s.quotas,
		Metrics:         s.host.Metrics,
	}, gatherer)
	if s.options.Relay {
		s.relays = relay.NewBalancer(s.host.Heartbeats(relayEjectionHeartbeats))
		s.frontend.SetRelays(s.relays, s.callRelay)
	}
	s.clients = &clientListener{
		host:          s.host,
		handler:       s.frontend,
		defaultLimits: defaultLimits(s.host),
		connections:   s.host.Budget.NewTracker(),
	}
}

// buildControllers makes what follows the state that control nodes announce.
func (s *Server) buildControllers() {
	s.layouts = &layoutController{
		host:          s.host,
		endpoints:     s.endpoints,
		frontend:      s.frontend,
		progress:      s.progress,
		defaultLimits: defaultLimits(s.host),
		loop:          s.loop,
		layouts: shardmap.New(shardmap.Options{
			SlotsPerShard: s.options.MaxSlotHolders,
			MinReady:      minShardHolders,
			LeaseDuration: s.host.Heartbeats(s.options.SlotLeaseHeartbeats),
			SwitchWait:    config.Milliseconds(s.host.Settings().Bounds.ConfigEffectMs, s.options.LayoutSwitchWait),
		}),
		routeTables: map[int64]*routing.Table{},
	}
	s.rollouts = newRolloutFollower(s.host, s.loop, s.options.Rollout, s.progress, s.layouts)
	s.watcher = newControlWatcher(s.host, s.loop, s.endpoints, s.progress, s.layouts, s.isCacheNode)
	s.reporter = newRolloutReporter(s.host, s.loop, s.watcher, s.rollouts)
	s.unreachable = &unreachableReporter{host: s.host, endpoints: s.endpoints, watcher: s.watcher, wakeup: make(chan struct{}, 1)}
	s.cacheNodes = &cacheNodeRoster{host: s.host, majority: s.majority, watcher: s.watcher, isCacheNode: s.isCacheNode}
}

// buildCache makes the handler of cached routes and the node's fetcher.
func (s *Server) buildCache() {
	memory := s.host.Settings().Limits.MemoryMb * (1 << 20)
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	fetched := memory * s.options.FrontCacheRatio * localFetchRatio
	if s.isCacheNode {
		fetched = memory * s.options.CacheNodeRatio
	}
	objects := &objectFetcher{
		host:     s.host,
		roster:   s.cacheNodes,
		balancer: relay.NewBalancer(s.host.Heartbeats(relayEjectionHeartbeats)),
		route:    s.Route,
	}
	s.cacheHandler = frontend.NewCacheHandler(int(memory*s.options.FrontCacheRatio), s.host.Now, objects)
	s.fetcher = cachenode.NewFetcher(s.host, s, s.endpoints, s.cacheHandler, int(fetched))
	objects.purges, objects.local = s.cacheHandler, s.fetcher
	s.frontend.SetCacheHandler(s.cacheHandler)
}

// subscribe connects the controllers to what they react to.
func (s *Server) subscribe() {
	s.watcher.onResponse = s.onWatchResponse
	s.layouts.onVersion = s.keys.onVersion
	s.endpoints.OnHealthy = s.layouts.onHealthy
	s.endpoints.OnUnhealthy = s.layouts.onUnhealthy
	s.endpoints.OnAttempt = s.rollouts.recordAttempt
	s.endpoints.OnUnreachable = s.unreachable.onUnreachable
}

func newEndpointPool(h *host.Host, options host.Options) *upstream.Pool {
	inTouch := func(ratio float64) time.Duration {
		return config.Milliseconds(h.Settings().Bounds.InTouchMs, ratio)
	}
	return upstream.NewPool(upstream.Options{
		NodeName:            h.Settings().NodeName,
		Distance:            h.Distance,
		DistancePenalty:     options.RemoteZonePenalty,
		TwoChoicesThreshold: twoChoicesThreshold,
		TCPUserTimeout:      h.TCPUserTimeout(),
		DialTimeout:         inTouch(dialTimeoutRatio),
		IdleTimeout:         inTouch(upstreamIdleRatio),
		MaxBodyBytes:        h.MaxMessageBytes(),
		BufferedBodyBytes:   h.MaxBufferedBodyBytes(),
		SettleTime:          inTouch(settleTimeRatio),
		ConsecutiveFailures: consecutiveFailures,
		BaseEjectionTime:    inTouch(baseEjectionRatio),
		DecayTime:           inTouch(latencyDecayRatio),
		Metrics:             h.Metrics,
	})
}

func newRetryBudget(h *host.Host, options host.Options) *ratelimit.RetryBudget {
	bounds := h.Settings().Bounds
	return ratelimit.NewRetryBudget(ratelimit.BudgetOptions{
		Ratio:            bounds.RetryBudgetRatio,
		Slack:            bounds.RetryBudgetSlack,
		Window:           config.Seconds(bounds.RetryWindowS, 1),
		Utilization:      options.RetryBudgetUse,
		FirstWindowShare: firstWindowShare,
	}, h.Now())
}

// defaultLimits returns the limits for clients where the configuration sets none.
func defaultLimits(h *host.Host) routing.Limits {
	bounds := h.Settings().Bounds
	return routing.Limits{
		HeaderBytes:   defaultMaxHeaderBytes,
		BodyBytes:     defaultMaxBodyBytes,
		HeaderTimeout: config.Milliseconds(bounds.InTouchMs, headerTimeoutRatio),
		IdleTimeout:   config.Milliseconds(bounds.InTouchMs, clientIdleRatio),
	}
}
