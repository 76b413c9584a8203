package control

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"sync/atomic"
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
)

// Server is the part of a node with a disk. Its tables belong to one desk.
type Server struct {
	host  *host.Host
	store *storage.Store
	loop  *commandloop.Loop
	// handlers answer the calls of other nodes, by path.
	handlers map[string]handlerFunc

	// Owned by the desk.
	acceptor         consensus.DurableAcceptor
	versionLearnedAt time.Duration
	// highestRound is the highest number of a ballot that was seen.
	highestRound int64
	// packedValue is the body of the accepted value, as it came.
	packedValue []byte
	// lastWrite is what was last given to the disk; keeping wait until all is there.
	lastWrite         struct{ version, takenSeq int64 }
	durabilityWaiters []durabilityWaiter
	// stateDeltas holds news for those behind, by the slot they are at.
	stateDeltas map[int64]*nodeapi.StateDelta
	// tables holds the endpoint table.
	tables *tableController
	// pastBodies holds the last few configurations, packed what was made of them
	// for who holds which of them.
	pastBodies     []records.Body
	packedVersions map[int64]packedVersion
	// pollLease campaigns for the lease of the poller role and grants it; poller
	// polls the platform while this node holds that lease.
	pollLease *leaseController
	poller    *discoveryPoller
	// peers holds what is known of the other control nodes.
	peers  peerTable
	fronts map[string]frontState
	// frontCount is how many fronts there are, before what an earlier life counted.
	frontCount, inheritedFrontCount int
	frontsCountedAt                 time.Duration
	// persistedFrontCount is the count on disk.
	persistedFrontCount int
	changed             chan struct{}
	// rosterRevision numbers the states of the roll of nodes that watch this hut
	// first; rolls holds those of the other huts.
	rosterRevision int64
	lastRoster     []relay.Front
	peerRosters    map[string]peerRoster
	// cacheNodeHeardAt are the larders, and when they were last heard.
	cacheNodeHeardAt map[string]time.Duration
	purgeQueue       chan *pendingPurge
	unreachable      unreachableTable
	rollouts         *rolloutController
	// reportScheduled: what is new in gossip goes out in a moment.
	reportScheduled bool
	// knownFronts are the fronts that this hut or another heard, and when.
	knownFronts map[string]knownFront

	// bootID tells one life of this node from another; life numbers them: it was
	// raised on disk before anything else was done in this one.
	bootID, incarnation int64

	// proposalLock lets one proposal of this node run at a time.
	proposalLock proposalLock
	// ordersInFlight counts the operator's orders under way; closing: none is taken any more.
	ordersInFlight atomic.Int64
	closing        atomic.Bool
}

// maxPastBodies is how many versions back a hut can tell the difference, as long
// as they take no more than a message may.
const maxPastBodies = 8

func New(n *host.Host) (*Server, error) {
	s := n.Settings()
	slow, again := config.Milliseconds(s.Bounds.AcknowledgeMs, 0.1), config.Milliseconds(s.Bounds.AcknowledgeMs, 0.04)
	cel, err := storage.Open(s.DataDirectory, slow, again)
	until := time.Now().Add(config.Milliseconds(s.Bounds.AcknowledgeMs, 2))
	for err != nil && time.Now().Before(until) {
		// A disk in trouble often comes back; ending and starting anew would be no better.
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(again)
		cel, err = storage.Open(s.DataDirectory, slow, again)
	}
	if err != nil {
		return nil, err
	}
	h := &Server{host: n, store: cel, loop: commandloop.New(), fronts: map[string]frontState{}, changed: make(chan struct{}), peerRosters: map[string]peerRoster{}, knownFronts: map[string]knownFront{}, cacheNodeHeardAt: map[string]time.Duration{}, purgeQueue: make(chan *pendingPurge, 1024), packedVersions: map[int64]packedVersion{}, stateDeltas: map[int64]*nodeapi.StateDelta{}, unreachable: unreachableTable{reports: map[int64]map[string]time.Duration{}, unreachableUntil: map[int64]time.Duration{}}}
	leases := map[string]lease.Record{}
	var id string
	var terms rollout.TermRecord
	var table *endpoints.Table
	err = records.Load(cel, map[string]any{records.KeyTerms: &terms, records.KeyIdentity: &id, records.KeyLeases: &leases, records.KeyTable: &table, records.KeyFrontCount: &h.inheritedFrontCount, records.KeyIncarnation: &h.incarnation})
	if err != nil {
		return nil, err
	}
	st, ballots, packed, err := records.LoadState(cel, n.MaxMessageBytes())
	if err != nil {
		return nil, err
	}
	h.lastWrite.version, h.lastWrite.takenSeq = st.Version, st.AppliedCount
	h.incarnation++
	initial := map[string][]byte{records.KeyIncarnation: codec.MustEncode(records.KeyIncarnation, h.incarnation)}
	if id == "" {
		if s.FirstStart && !cel.Quarantined() {
			ips := s.SeedIPs()
			slices.Sort(ips)
			id, st = consensus.GenesisID(s.IpAddress), consensus.Genesis(ips)
			events.Log(events.ClusterBootstrapped, "voters", strings.Join(ips, ","))
		} else {
			// What was promised under an identity in a store that was set aside may be forgotten.
			id = "later-" + s.IpAddress + "-" + host.RandomID()
			events.Log(events.IdentityCreated, "id", id)
		}
		maps.Copy(initial, records.StateRecords(st, -1, 0))
		initial[records.KeyIdentity] = codec.MustEncode(records.KeyIdentity, id)
	}
	if err := writeInitialRecords(cel.PutAll, initial, until, again); err != nil {
		cel.Close(again)
		return nil, err
	}
	h.acceptor.ID = id
	h.acceptor.Restore(st, ballots)
	h.packedValue, h.highestRound = packed, h.acceptor.Promised.Round
	h.bootID = rand.Int64N(1<<40) << 10
	h.unreachable.revision = h.bootID
	h.persistedFrontCount = h.inheritedFrontCount
	h.peers = newPeerTable(membership.NewFailureDetector(n.Heartbeats(1), n.Now()))
	h.tables = newTableController(h, table)
	h.pollLease = newLeaseController(h, leases)
	h.tables.candidate = h.pollLease.Candidate
	h.poller = newDiscoveryPoller(h)
	h.handlers = h.internalAPI()
	h.applyVoters()
	h.rollouts = newRolloutController(h, terms, n.Now())
	h.rollouts.apply()
	return h, nil
}

// writeInitialRecords waits until the records are on disk; a write that failed is tried
// again, as the opening is, while there is time.
func writeInitialRecords(put func(map[string][]byte, func(error)), records map[string][]byte, until time.Time, again time.Duration) error {
	wait := make(chan error, 1)
	for {
		put(records, func(err error) { wait <- err })
		err := <-wait
		if err == nil || !time.Now().Before(until) {
			return err
		}
		events.Log(events.DiskDegraded, "err", err)
		time.Sleep(again)
	}
}

// writeRecord writes one record.
func (h *Server) writeRecord(name string, v any, then func(error)) {
	h.store.Put(name, codec.MustEncode(name, v), then)
}

func (h *Server) Start() {
	go h.heartbeatLoop()
	go h.pollLease.run()
	go h.poller.run()
	go h.joinLoop()
	go h.finishAcceptedLoop()
	go h.purgeLoop()
	go h.rollouts.run()
}

// applyVoters follows the voters; it runs on the desk.
func (h *Server) applyVoters() {
	var ids []string
	for _, v := range h.acceptor.State.Voters {
		ids = append(ids, v.ID)
	}
	slices.Sort(ids)
	h.peers.detector.SetVoters(ids, h.host.Now())
	h.pollLease.SetVoters(h.acceptor.State.VotersSlot, ids)
}

// notifyWatchers wakes everybody who waits for news; it runs on the desk.
func (h *Server) notifyWatchers() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// learn takes decided state; it runs on the desk.
func (h *Server) learn(s consensus.State, how string) {
	old := h.acceptor.State
	if !h.acceptor.Learn(s) {
		return
	}
	if s.Version != old.Version {
		h.versionLearnedAt = h.host.Now()
	}
	h.applyVoters()
	h.pollLease.voter.SetVoters(s.VotersSlot, s.IsVoter(h.acceptor.ID), s.VotersSlot == old.Slot+1, h.host.Now())
	h.rollouts.apply()
	h.persistState()
	h.packedValue = nil
	clear(h.stateDeltas)
	if s.Version != old.Version {
		clear(h.packedVersions)
		if old.Version > 0 {
			h.pastBodies = append(h.pastBodies, records.Body{Version: old.Version, Body: old.Body})
			size := 0
			for _, b := range h.pastBodies {
				size += len(b.Body)
			}
			for len(h.pastBodies) > maxPastBodies || size > h.host.MaxMessageBytes() {
				size -= len(h.pastBodies[0].Body)
				h.pastBodies = h.pastBodies[1:]
			}
		}
		events.Log(events.ConfigChosen, "slot", s.Slot, "version", s.Version, "how", how)
	}
	if len(s.Voters) != len(old.Voters) || !slices.Equal(s.Voters, old.Voters) {
		var l []string
		for _, v := range s.Voters {
			l = append(l, v.ID)
		}
		events.Log(events.VotersChosen, "slot", s.Slot, "voters", strings.Join(l, ","), "how", how)
	}
	h.notifyWatchers()
}

func (h *Server) State() (s consensus.State) {
	h.loop.Call(func() { s = h.acceptor.State })
	return s
}

// HasState tells whether this node has any state to settle calls with.
func (h *Server) HasState() bool { return len(h.State().Voters) > 0 }

func (h *Server) VoterIPs() []string {
	var out []string
	for _, v := range h.State().Voters {
		out = append(out, v.IP)
	}
	return out
}

// ID is the identity that this node's disk was given.
func (h *Server) ID() string { return h.acceptor.ID }

// Close ends the server at once; the store gets the time given to finish its writes.
func (h *Server) Close(within time.Duration) {
	h.store.Close(within)
	h.loop.Close()
}

// BeginChange registers an operator's change that this node works on, so that
// Drain waits for its end. ok is false once the node takes no more of them.
func (h *Server) BeginChange() (end func(), ok bool) {
	h.ordersInFlight.Add(1)
	return func() { h.ordersInFlight.Add(-1) }, !h.closing.Load()
}

// Closing tells whether the node takes no more changes because it drains.
func (h *Server) Closing() bool { return h.closing.Load() }
