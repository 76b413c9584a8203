package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
)

// peerSlotTTL, in heartbeats, is how long the slot that another control node
// reported counts for Status.BehindBy.
const peerSlotTTL = 2

// Status is the control server's part of the node's status.
type Status struct {
	// ID is the identity on the node's disk.
	ID string `json:"ID"`
	// Slot is the last decided slot that the node knows, Version the
	// configuration in force at it.
	Slot    int64 `json:"Slot"`
	Version int64 `json:"Version"`
	// VersionAgeMs is how long ago this node learned of Version, in
	// milliseconds. Unsupported is what it asks for and this program does not do:
	// paths of fields and of values.
	VersionAgeMs int64    `json:"VersionAgeMs,omitempty"`
	Unsupported  []string `json:"Unsupported,omitempty"`
	// DurableSlot is the last decided slot on disk. BehindBy counts the slots
	// that control nodes heard lately know beyond Slot.
	DurableSlot int64 `json:"DurableSlot"`
	BehindBy    int64 `json:"BehindBy,omitempty"`
	// Incarnation numbers the runs with this identity. Promised is the ballot
	// below which this acceptor rejects, Accepted that of the value that it
	// accepted for the open slot.
	Incarnation int64  `json:"Incarnation"`
	Promised    string `json:"Promised,omitempty"`
	Accepted    string `json:"Accepted,omitempty"`
	// Voters are the voters as ID@IP.
	Voters  []string `json:"Voters"`
	IsVoter bool     `json:"IsVoter"`
	// VotersSlot is the slot that decided the voters.
	VotersSlot int64 `json:"VotersSlot"`
	// MajorityAgeMs is how long ago a majority of the voters, this node
	// included, was last heard, below 0 where it never was since the start.
	// Isolated reports that it is too long for this
	// node to have anything decided.
	MajorityAgeMs int64 `json:"MajorityAgeMs"`
	Isolated      bool  `json:"Isolated,omitempty"`
	// RememberedChanges counts the applied changes that are recognized when
	// they are sent again, AppliedChanges those that were ever applied.
	RememberedChanges int   `json:"RememberedChanges"`
	AppliedChanges    int64 `json:"AppliedChanges"`
	// LeaseEpoch and LeaseHolder are those of the newest lease of the poller
	// role that the node knows. HoldsLease reports that it holds the lease.
	LeaseEpoch  int64  `json:"LeaseEpoch"`
	LeaseHolder string `json:"LeaseHolder"`
	HoldsLease  bool   `json:"HoldsLease"`
	// LeaseAgeMs is how long ago the holder asked for the lease in force.
	LeaseAgeMs int64 `json:"LeaseAgeMs,omitempty"`
	// TableStamp orders the endpoint table, which lists so many Endpoints.
	TableStamp endpoints.Stamp `json:"TableStamp"`
	Endpoints  int             `json:"Endpoints"`
	// FrontSlots is the last decided slot that each watcher holds, by its name.
	FrontSlots map[string]int64 `json:"FrontSlots"`
	// PurgeSeq is the number of the last purge.
	PurgeSeq int64 `json:"PurgeSeq,omitempty"`
	// CacheNodes are the cache nodes as name@IP.
	CacheNodes []string `json:"CacheNodes,omitempty"`
	// Rollouts are the services' last orders, the one that changed last first.
	Rollouts []RolloutStatus `json:"Rollouts,omitempty"`
	// Quotas is the ledger of tenants' quotas, if this node kept one.
	Quotas *QuotaStatus `json:"Quotas,omitempty"`
}

// neverHeard is MajorityAgeMs of a node that never heard a majority.
const neverHeard = -1

// Status reports the state of the server. It must not be called on the loop.
func (s *Server) Status() *Status {
	status := &Status{}
	s.loop.Call(func() {
		now := s.host.Now()
		state := s.acceptor.State
		s.addConsensusStatus(status, state)
		s.addVotersStatus(status, state, now)
		s.addLeaseStatus(status, now)
		if table := s.tables.current; table != nil {
			status.TableStamp = table.Stamp
			status.Endpoints = len(table.Endpoints)
		}
		status.FrontSlots = s.fronts.slots()
		status.PurgeSeq = state.PurgeSeq
		for _, node := range state.CacheNodes {
			status.CacheNodes = append(status.CacheNodes, node.Name+"@"+node.IP)
		}
	})
	status.Rollouts = s.rollouts.statuses(s.State())
	status.Quotas = s.quotas.status()
	return status
}

// addConsensusStatus adds what this node's acceptor holds. It runs on the loop.
func (s *Server) addConsensusStatus(status *Status, state consensus.State) {
	status.ID = s.acceptor.ID
	status.Incarnation = s.incarnation
	status.Slot = state.Slot
	status.DurableSlot = s.acceptor.DurableSlot()
	status.Version = state.Version
	status.VersionAgeMs = (s.host.Now() - s.versionLearnedAt).Milliseconds()
	status.Unsupported = s.unsupported
	status.Promised = s.acceptor.Promised.String()
	status.Accepted = s.acceptor.AcceptedBallot.String()
	status.RememberedChanges = len(state.AppliedChanges)
	status.AppliedChanges = state.AppliedCount
}

// addVotersStatus adds who votes, and how far this node is in touch with the
// others. It runs on the loop.
func (s *Server) addVotersStatus(status *Status, state consensus.State, now time.Duration) {
	status.IsVoter = state.IsVoter(s.acceptor.ID)
	status.VotersSlot = state.VotersSlot
	status.Isolated = s.lacksMajority(now)
	for _, voter := range state.Voters {
		status.Voters = append(status.Voters, voter.ID+"@"+voter.IP)
	}
	status.MajorityAgeMs = neverHeard
	if at, ok := s.majorityHeardAt(now); ok {
		status.MajorityAgeMs = (now - at).Milliseconds()
	}
	for _, peer := range s.peers.byIP {
		if now-peer.heardAt < s.host.Heartbeats(peerSlotTTL) {
			status.BehindBy = max(status.BehindBy, peer.slot-state.Slot)
		}
	}
}

// addLeaseStatus adds the lease of the poller role. It runs on the loop.
func (s *Server) addLeaseStatus(status *Status, now time.Duration) {
	status.LeaseEpoch = s.pollLease.ObservedEpoch
	status.LeaseHolder = s.pollLease.ObservedHolder
	status.HoldsLease = s.pollLease.Holds(now)
	if requestedAt, ok := s.pollLease.LeaseStart(); ok && status.HoldsLease {
		status.LeaseAgeMs = max(1, (now - requestedAt).Milliseconds())
	}
}
