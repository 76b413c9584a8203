package control

import (
	"time"

	"swiftswitch/internal/commandloop"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/host"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
)

// The tests of whole nodes are in an external package, as package node imports
// this one. What they need of a server's internals is exported here.

func (s *Server) Acceptor() *consensus.DurableAcceptor { return &s.acceptor }
func (s *Server) Loop() *commandloop.Loop              { return s.loop }
func (s *Server) ProposalLock() *proposalLock          { return &s.proposalLock }
func (s *Server) Host() *host.Host                     { return s.host }
func (s *Server) Store() *storage.Store                { return s.store }
func (s *Server) Table() *endpoints.Table              { return s.tables.current }
func (s *Server) Voter() *lease.Voter                  { return s.pollLease.voter }
func (s *Server) PollLease() *lease.Candidate          { return s.pollLease.Candidate }
func (s *Server) Incarnation() int64                   { return s.incarnation }
func (s *Server) TableDeltas() int                     { return len(s.tables.deltas) }
func (s *Server) SetFrontCounts(n int)                 { s.fronts.count, s.fronts.persistedCount = n, n }
func (s *Server) InheritedFrontCount() int             { return s.fronts.inheritedCount }
func (s *Server) PersistedFrontCount() int             { return s.fronts.persistedCount }
func (s *Server) OrderKnownSince() map[int64]time.Duration {
	return s.orders.knownSince
}
func (s *Server) Evaluators() map[int64]*rollout.Evaluator { return s.rollouts.evaluators }

func (s *Server) SetDetector(d *membership.FailureDetector) { s.peers.detector = d }

func (s *Server) ReplacementTimeout() time.Duration { return s.replacementTimeout() }
func (s *Server) MemberReport() membership.Report   { return s.memberReport() }
func (s *Server) WaitDurable() int64                { return s.waitDurable() }
func (s *Server) SetTable(t *endpoints.Table)       { s.tables.set(t) }
func (s *Server) CountFronts(now time.Duration) int { return s.fronts.countAll(now) }
func (s *Server) FrontsAround(zone string) (region, here int) {
	counts := s.fronts.around(zone)
	return counts.region, counts.zone
}

func (s *Server) HandleJoin(m nodeapi.JoinRequest) nodeapi.JoinResponse {
	return s.handleJoin(m)
}

func (s *Server) HandleConsensus(m nodeapi.ConsensusRequest) (nodeapi.ConsensusResponse, error) {
	return s.handleConsensus(m)
}

func (s *Server) MajorityDurable(state consensus.State, until time.Time) bool {
	return s.majorityDurable(state, until)
}

func (s *Server) Propose(base consensus.State, own *consensus.Value) bool {
	return s.propose(base, own)
}

func (s *Server) ChangeConfiguration(isPatch bool, body, match string, until time.Time) int {
	_, err := s.changeConfiguration(configurationChange{isPatch: isPatch, body: body, ifMatch: match}, until)
	return httpStatus(err)
}

func (s *Server) RolloutTotals() *nodeapi.RolloutTotals {
	return s.rollouts.step().totals
}

var (
	RequiredReporters   = requiredReporters
	WriteInitialRecords = writeInitialRecords
)

// Waiting counts the waiters.
func (l *proposalLock) Waiting() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.urgent) + len(l.normal)
}

// SetPeerFormat has a node heard just now whose program has that format. It runs on the loop.
func (s *Server) SetPeerFormat(ip string, format int) {
	s.peers.byIP[ip] = peerState{id: ip, heardAt: s.host.Now(), format: format}
}

// DueRetirement is the slot up to which orders are to be retired now. It runs on the loop.
func (s *Server) DueRetirement() int64 { return s.orders.due(s.host.Now()) }

// JoinCacheNode puts a cache node on the list.
func (s *Server) JoinCacheNode(node consensus.CacheNode) bool { return s.cacheNodes.join(node) }

// RemoveSilentCacheNodes takes silent cache nodes off the list under an epoch.
func (s *Server) RemoveSilentCacheNodes(epoch int64) { s.cacheNodes.removeSilent(epoch) }
