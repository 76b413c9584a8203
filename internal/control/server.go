package control

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/host"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
)

// Server is the control server of a node. See the package comment for its parts
// and for the command loop.
//
// All fields are set by New and not changed afterwards. What peers and the
// controllers hold is owned by the loop, unless they say otherwise.
type Server struct {
	host  *host.Host
	store *storage.Store
	loop  *commandloop.Loop
	// handlers answer the calls of other nodes, by path.
	handlers map[string]handlerFunc
	// bootID is drawn for each run of the process. It is the high part of
	// revisions that count within one run, so that those of two runs differ.
	// Unlike the incarnation it is not on disk, and does not order the runs.
	bootID int64

	// replica is this node's replica of the replicated log. It is embedded, as
	// every part of the server proposes to the log or reads its state.
	*replica
	// versions answers the fronts that fetch the configuration.
	versions *versionCache
	// tables holds the endpoint table and distributes it.
	tables *tableController
	// pollLease campaigns for the lease of the poller role and grants it; poller
	// polls the platform while this node holds that lease.
	pollLease *leaseController
	poller    *discoveryPoller
	// peers holds what is known of the other control nodes. confirmedAt, owned by
	// loop, is when the state was last certain to be the newest, nil for never.
	peers       peerTable
	confirmedAt *time.Duration
	// fronts holds what is known of the fronts and cache nodes, cacheNodes changes
	// the list of cache nodes, watch answers the long polls of both.
	fronts     *frontRegistry
	cacheNodes *cacheNodeRegistry
	watch      *watchHandler
	// unreachable collects the fronts' reports of endpoints that do not answer.
	unreachable *unreachableTable
	// purges and rollouts have operators' orders decided; rollouts carries them
	// on, and orders tells copies of past orders from new ones.
	purges   *purgeController
	rollouts *rolloutController
	orders   *orderRetirer
	// quotas grants fronts tokens of the tenants' quotas.
	quotas *quotaController

	// parsing is held while a change of the configuration is parsed.
	parsing sync.Mutex

	// ordersInFlight counts the operators' changes that this node works on;
	// closing: it takes no more of them, since it drains.
	ordersInFlight atomic.Int64
	closing        atomic.Bool
}

// New makes the control server of a node from what its disk holds. Start runs it.
func New(n *host.Host) (*Server, error) {
	settings := n.Settings()
	store, deadline, err := openStore(settings)
	if err != nil {
		return nil, err
	}
	stored, err := records.Load(store, n.MaxMessageBytes())
	if err != nil {
		return nil, err
	}
	initial := beginIncarnation(settings, store, stored)
	retryInterval := config.Milliseconds(settings.Bounds.AcknowledgeMs, diskRetryRatio)
	if err := writeInitialRecords(store.PutAll, initial, deadline, retryInterval); err != nil {
		store.Close(retryInterval)
		return nil, err
	}
	return newServer(n, store, stored), nil
}

// newServer assembles the server: first the tables that stand for themselves,
// then the controllers, each after those that it refers to.
func newServer(n *host.Host, store *storage.Store, stored *records.Stored) *Server {
	s := &Server{
		host:   n,
		store:  store,
		loop:   commandloop.New(),
		bootID: newBootID(),
	}
	s.replica = newReplica(n, store, s.loop, stored)
	s.replica.owner = s
	s.watch = newWatchHandler(s)
	s.versions = newVersionCache(s)
	s.unreachable = newUnreachableTable(s.bootID)
	s.fronts = newFrontRegistry(s, stored.FrontCount)
	s.cacheNodes = newCacheNodeRegistry(s)
	s.purges = newPurgeController(s)
	s.peers = newPeerTable(membership.NewFailureDetector(n.Heartbeats(1), n.Now()))
	s.tables = newTableController(s, stored.Table)
	s.pollLease = newLeaseController(s, stored.Leases)
	s.tables.candidate = s.pollLease.Candidate
	s.poller = newDiscoveryPoller(s)
	s.rollouts = newRolloutController(s, stored.RolloutClock, n.Now())
	s.orders = newOrderRetirer(s)
	s.quotas = newQuotaController(s)
	s.handlers = s.internalAPI()
	s.onVotersRestored()
	s.rollouts.apply()
	s.orders.apply()
	return s
}

// newBootID leaves room for more than a thousand revisions below each ID.
func newBootID() int64 { return rand.Int64N(1<<40) << 10 }

// Start runs the controllers. The node's listener is open by then.
func (s *Server) Start() {
	go s.heartbeatLoop()
	go s.pollLease.run()
	go s.poller.run()
	go s.joinLoop()
	go s.finishAcceptedLoop()
	go s.purges.run()
	go s.rollouts.run()
	go s.orders.run()
	go s.quotas.run()
}

// onVotersRestored follows the voters of the state; see replicaOwner.
func (s *Server) onVotersRestored() {
	ids := voterIDs(s.acceptor.State)
	slices.Sort(ids)
	s.peers.detector.SetVoters(ids, s.host.Now())
	s.pollLease.SetVoters(s.acceptor.State.VotersSlot, ids)
}

// onStateLearned follows a decided state; see replicaOwner.
func (s *Server) onStateLearned(old, learned consensus.State) {
	s.onVotersRestored()
	consecutive := learned.VotersSlot == old.Slot+1
	s.pollLease.voter.SetVoters(learned.VotersSlot, learned.IsVoter(s.acceptor.ID), consecutive, s.host.Now())
	s.rollouts.apply()
	s.orders.apply()
	s.confirmState()
	if learned.Version != old.Version {
		s.versions.invalidate()
	}
}

// Close ends the server at once, without draining; the store has until the
// timeout to finish its writes.
func (s *Server) Close(timeout time.Duration) {
	s.store.Close(timeout)
	s.quotas.loop.Close()
	s.loop.Close()
}

// BeginChange registers an operator's change that this node works on, so that
// Drain waits for its end. ok is false once the node takes no more of them.
func (s *Server) BeginChange() (end func(), ok bool) {
	s.ordersInFlight.Add(1)
	return func() { s.ordersInFlight.Add(-1) }, !s.closing.Load()
}

// Closing reports whether the node takes no more changes because it drains.
func (s *Server) Closing() bool { return s.closing.Load() }
