package control

import (
	"slices"
	"time"

	"swiftswitch/internal/endpoints"
)

// Status is the hut's part of the status.
type Status struct {
	ID      string `json:"ID"`
	Slot    int64  `json:"Slot"`
	Version int64  `json:"Version"`
	// DurableSlot is the last slot on disk; BehindBy counts the slots that the huts
	// heard lately know beyond this one's.
	DurableSlot int64 `json:"Kept"`
	BehindBy    int64 `json:"BehindBy,omitempty"`
	// Incarnation numbers this identity's lives. Promised is the ballot below which
	// this voter refuses, Accepted that of the value whose outcome it waits for.
	Incarnation int64    `json:"Life"`
	Promised    string   `json:"Promised,omitempty"`
	Accepted    string   `json:"Accepted,omitempty"`
	Voters      []string `json:"Voters"`
	IsVoter     bool     `json:"Votes"`
	// VotersSlot decided the voters.
	VotersSlot int64 `json:"VotersSlot"`
	// MajorityAgeMs is how long ago a majority of the voters, this one
	// included, was last heard; Lone: too long to settle anything.
	MajorityAgeMs int64 `json:"MajorityAgeMs"`
	Isolated      bool  `json:"Lone,omitempty"`
	// RememberedChanges counts the changes that are known when they are sent again, of
	// all Changes that were ever taken.
	RememberedChanges int    `json:"Resends"`
	AppliedChanges    int64  `json:"Changes"`
	LeaseEpoch        int64  `json:"Epoch"`
	LeaseHolder       string `json:"Holder"`
	HoldsLease        bool   `json:"Polling"`
	// LeaseAgeMs is how long ago the holder asked for the lease that runs.
	LeaseAgeMs int64            `json:"LeaseAgeMs,omitempty"`
	TableStamp endpoints.Stamp  `json:"Table"`
	Endpoints  int              `json:"Searchers"`
	FrontSlots map[string]int64 `json:"Fronts"`
	PurgeSeq   int64            `json:"Purge,omitempty"`
	CacheNodes []string         `json:"Larders,omitempty"`
	// Rollouts are the services' last orders, the last changed first.
	Rollouts []RolloutStatus `json:"Rollouts,omitempty"`
}

func (h *Server) Status() *Status {
	st := &Status{FrontSlots: map[string]int64{}}
	h.loop.Call(func() {
		s, now := h.acceptor.State, h.host.Now()
		st.ID, st.Slot, st.Version, st.IsVoter = h.acceptor.ID, s.Slot, s.Version, s.IsVoter(h.acceptor.ID)
		var silent []time.Duration
		for _, v := range s.Voters {
			st.Voters = append(st.Voters, v.ID+"@"+v.IP)
			silent = append(silent, h.pollLease.SilentFor(v.ID, now))
		}
		if slices.Sort(silent); len(silent) > 0 {
			st.MajorityAgeMs = silent[len(silent)/2].Milliseconds()
		}
		st.Isolated, st.Incarnation, st.DurableSlot, st.VotersSlot = h.lacksMajority(now), h.incarnation, h.acceptor.DurableSlot(), s.VotersSlot
		st.Promised, st.Accepted = h.acceptor.Promised.String(), h.acceptor.AcceptedBallot.String()
		st.RememberedChanges, st.AppliedChanges = len(s.AppliedChanges), s.AppliedCount
		for _, o := range h.peers.byIP {
			if now-o.heardAt < h.host.Heartbeats(2) {
				st.BehindBy = max(st.BehindBy, o.slot-s.Slot)
			}
		}
		st.LeaseEpoch, st.LeaseHolder, st.HoldsLease = h.pollLease.ObservedEpoch, h.pollLease.ObservedHolder, h.pollLease.Holds(now)
		if sent, ok := h.pollLease.LeaseStart(); ok && st.HoldsLease {
			st.LeaseAgeMs = max(1, (now - sent).Milliseconds())
		}
		if h.tables.current != nil {
			st.TableStamp, st.Endpoints = h.tables.current.Stamp, len(h.tables.current.Endpoints)
		}
		for name, f := range h.fronts {
			st.FrontSlots[name] = f.slot
		}
		st.PurgeSeq = s.PurgeSeq
		for _, l := range s.CacheNodes {
			st.CacheNodes = append(st.CacheNodes, l.Name+"@"+l.IP)
		}
	})
	st.Rollouts = h.rollouts.statuses(h.State())
	return st
}
