package front

import (
	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/upstream"
)

// Server is the part of a node that serves clients, or that caches objects for
// the fronts. It wires the controllers together; it has no tables of its own.
type Server struct {
	host    *host.Host
	options host.Options
	// isCacheNode: the node serves no clients.
	isCacheNode bool
	// loop owns the tables of all controllers.
	loop *commandloop.Loop

	// The request path.
	endpoints    *upstream.Pool
	retryBudget  *ratelimit.RetryBudget
	frontend     *frontend.Handler
	cacheHandler *frontend.CacheHandler
	fetcher      *cachenode.Fetcher
	// relays balances over the fronts of other zones, nil if relaying is off.
	relays  *relay.Balancer
	clients *clientListener

	// The controllers.
	progress    *progressTracker
	majority    *majorityContact
	keys        *keyConfirmation
	layouts     *layoutController
	rollouts    *rolloutFollower
	reporter    *rolloutReporter
	watcher     *controlWatcher
	cacheNodes  *cacheNodeRoster
	unreachable *unreachableReporter
	quotas      *quotaLimiter
}

// Start begins to watch the control nodes and to serve. It returns at once.
func (s *Server) Start() {
	s.watcher.start()
	go s.fetcher.Run()
	if s.isCacheNode {
		go s.fetcher.JoinLoop()
	} else {
		s.clients.start()
		go s.serveReadiness()
		go s.quotas.run()
		if s.options.ShareUnreachable {
			go s.unreachable.run()
		}
	}
	go s.layouts.run()
	go s.reporter.run()
}

// Close closes the clients' listener at once.
func (s *Server) Close() { s.clients.close() }

// Snapshot returns what requests are routed by now, nil while the front is not ready.
func (s *Server) Snapshot() *frontend.Snapshot { return s.frontend.Snapshot() }

// Ready reports whether the front has a configuration and a table of endpoints.
func (s *Server) Ready() bool { return s.layouts.ready.Load() }

// Listening reports whether clients can connect.
func (s *Server) Listening() bool { return s.clients.isListening() }

// Progress returns the newest version and endpoint table that the front holds.
func (s *Server) Progress() (version int64, table endpoints.Stamp) {
	current := s.progress.load()
	return current.version, current.table
}
