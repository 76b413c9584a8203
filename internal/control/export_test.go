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

// What follows opens the server's inside to the tests that run whole nodes:
// they stand outside the package, since a node is made of this package.

func (h *Server) Acceptor() *consensus.DurableAcceptor { return &h.acceptor }
func (h *Server) Loop() *commandloop.Loop              { return h.loop }
func (h *Server) ProposalLock() *proposalLock          { return &h.proposalLock }
func (h *Server) Host() *host.Host                     { return h.host }
func (h *Server) Store() *storage.Store                { return h.store }
func (h *Server) Table() *endpoints.Table              { return h.tables.current }
func (h *Server) Voter() *lease.Voter                  { return h.pollLease.voter }
func (h *Server) PollLease() *lease.Candidate          { return h.pollLease.Candidate }
func (h *Server) Incarnation() int64                   { return h.incarnation }
func (h *Server) TableDeltas() int                     { return len(h.tables.deltas) }
func (h *Server) SetFrontCounts(n int)                 { h.fronts.count, h.fronts.persistedCount = n, n }
func (h *Server) InheritedFrontCount() int             { return h.fronts.inheritedCount }
func (h *Server) PersistedFrontCount() int             { return h.fronts.persistedCount }
func (h *Server) OrderKnownAt() map[int64]time.Duration {
	return h.rollouts.orderKnownAt
}
func (h *Server) Evaluators() map[int64]*rollout.Evaluator { return h.rollouts.evaluators }

func (h *Server) SetDetector(d *membership.FailureDetector) { h.peers.detector = d }

func (h *Server) ReplacementTimeout() time.Duration { return h.replacementTimeout() }
func (h *Server) MemberReport() membership.Report   { return h.memberReport() }
func (h *Server) WaitDurable() int64                { return h.waitDurable() }
func (h *Server) SetTable(t *endpoints.Table)       { h.tables.set(t) }
func (h *Server) CountFronts(now time.Duration) int { return h.fronts.countAll(now) }
func (h *Server) FrontsAround(zone string) (region, here int) {
	counts := h.fronts.around(zone)
	return counts.region, counts.zone
}

func (h *Server) HandleJoin(m nodeapi.JoinRequest) nodeapi.JoinResponse {
	return h.handleJoin(m)
}

func (h *Server) HandleConsensus(m nodeapi.ConsensusRequest) (nodeapi.ConsensusResponse, error) {
	return h.handleConsensus(m)
}

func (h *Server) MajorityDurable(s consensus.State, until time.Time) bool {
	return h.majorityDurable(s, until)
}

func (h *Server) Propose(base consensus.State, own *consensus.Value) bool {
	return h.propose(base, own)
}

func (h *Server) ChangeConfiguration(isPatch bool, body, match string, until time.Time) int {
	_, err := h.changeConfiguration(configurationChange{isPatch: isPatch, body: body, ifMatch: match}, until)
	return httpStatus(err)
}

func (h *Server) RolloutTotals() *nodeapi.RolloutTotals {
	return h.rollouts.step().totals
}

var (
	RequiredReporters   = requiredReporters
	WriteInitialRecords = writeInitialRecords
)

// Waiting counts those that wait for the lock.
func (t *proposalLock) Waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.urgent) + len(t.waiting)
}
