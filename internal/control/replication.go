package control

import (
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
)

const (
	// persistTimeoutRatio, of AcknowledgeMs, bounds the write that a
	// PathPersist call waits for.
	persistTimeoutRatio = 0.3
	// persistCallHeartbeats bounds one PathPersist call to another node, and
	// persistRetryHeartbeats is when one that failed is repeated.
	persistCallHeartbeats  = 0.6
	persistRetryHeartbeats = 0.05
	// replicationCheckHeartbeats is how often a change that is to be
	// acknowledged is checked for enough replicas.
	replicationCheckHeartbeats = 0.05
	// justStartedRatio, of AcknowledgeMs, is how long after its start a node
	// expects others to come.
	justStartedRatio = 0.75
	// livePeerHeartbeats is within which time a live node is heard.
	livePeerHeartbeats = 2
)

// toleratedLosses is how many machines may be lost at once without loss of data.
func (s *Server) toleratedLosses() int {
	return int(s.host.Settings().ToleratedLosses.GetMachines())
}

// targetVoters is how many voters bear the tolerated losses.
func (s *Server) targetVoters() int { return 2*s.toleratedLosses() + 1 }

// stayingPeers lists the other control nodes that live and don't drain. It runs on loop.
func (s *Server) stayingPeers() []string {
	return s.peers.staying(s.host.Now(), s.host.Heartbeats(livePeerHeartbeats))
}

// standbyCount counts the staying peers without a vote. It runs on loop.
func (s *Server) standbyCount() (count int) {
	for _, ip := range s.stayingPeers() {
		if !s.acceptor.State.IsVoter(s.peers.byIP[ip].id) {
			count++
		}
	}
	return count
}

// persistAndReport answers a PathPersist call: its heartbeat describes what
// this node has on disk. The answer leaves after a write that was queued behind
// all earlier ones; the store writes in order.
func (s *Server) persistAndReport() (heartbeat nodeapi.Heartbeat, err error) {
	done := make(chan error, 1)
	s.loop.Call(func() {
		heartbeat = s.heartbeat()
		heartbeat.FrontCount = s.fronts.persistedCount
		state := s.acceptor.State
		s.store.PutAll(records.StateRecords(state, state.Version, state.AppliedCount), func(err error) {
			if err == nil {
				s.loop.Submit(func() { s.markStateDurable(state.Slot) })
			}
			done <- err
		})
	})
	err = awaitWrite(done, s.acknowledgeTime(persistTimeoutRatio))
	return heartbeat, err
}

// ensureDurableAt makes sure that another node has a state, or a later one, on
// disk: it asks, sends the state where it is missing, and asks again. heartbeat
// is the node's last answer; ok is false where the deadline passed.
func (s *Server) ensureDurableAt(ip string, state consensus.State, deadline time.Time) (heartbeat nodeapi.Heartbeat, ok bool) {
	address := s.host.Settings().InternalAddress(ip)
	for {
		timeout := min(s.host.Heartbeats(persistCallHeartbeats), time.Until(deadline))
		if timeout <= 0 {
			return heartbeat, false
		}
		err := s.host.Client.CallJSON(address, nodeapi.PathPersist, struct{}{}, &heartbeat, timeout)
		switch {
		case err != nil:
			time.Sleep(min(s.host.Heartbeats(persistRetryHeartbeats), max(0, time.Until(deadline))))
		case heartbeat.DecidedSlot >= state.Slot:
			s.loop.Submit(func() { s.peers.handoff.OnAcknowledged(ip, heartbeat.DecidedSlot) })
			return heartbeat, true
		default:
			s.sendState(ip, heartbeat.DecidedSlot, timeout)
		}
	}
}

// majorityDurable waits until a majority of a state's voters has that state, or
// a later one, on disk.
func (s *Server) majorityDurable(state consensus.State, deadline time.Time) bool {
	answers := make(chan bool, len(state.Voters))
	for _, v := range state.Voters {
		go func() { answers <- s.durableAtVoter(v, state, deadline) }()
	}
	durable := 0
	for range state.Voters {
		if <-answers {
			durable++
		}
		if durable > len(state.Voters)/2 {
			return true
		}
	}
	return false
}

// durableAtVoter makes sure that a voter, which may be this node, has a state
// on disk.
func (s *Server) durableAtVoter(v consensus.Voter, state consensus.State, deadline time.Time) bool {
	if v.ID == s.acceptor.ID {
		heartbeat, err := s.persistAndReport()
		return err == nil && heartbeat.DecidedSlot >= state.Slot
	}
	heartbeat, ok := s.ensureDurableAt(v.IP, state, deadline)
	return ok && heartbeat.ID == v.ID
}

// redundancy counts the replicas of what was decided up to a slot. It runs on loop.
func (s *Server) redundancy(slot int64) membership.Redundancy {
	r := membership.Redundancy{
		Voters:            len(s.acceptor.State.Voters),
		StandbyNodes:      s.standbyCount(),
		ToleratedFailures: s.toleratedLosses(),
		JustStarted:       s.host.Now() <= config.Milliseconds(s.host.Settings().Bounds.AcknowledgeMs, justStartedRatio),
	}
	for _, v := range s.acceptor.State.Voters {
		leaving, durable := s.host.Draining.Load(), true
		if v.ID != s.acceptor.ID {
			peer, known := s.peers.voter(v)
			leaving = known && peer.leaving
			durable = known && s.peers.handoff.Holds(v.IP, slot)
		}
		switch {
		case leaving:
			r.LeavingVoters++
		case durable:
			r.DurableReplicas++
		}
	}
	return r
}

// waitReplicated waits until what was decided survives the tolerated losses and
// may be acknowledged: there are as many voters as that takes, if there are
// nodes to vote, and enough of those that have it on disk stay. A node that
// has been up for a while without hearing of others makes do with those that
// are there.
func (s *Server) waitReplicated(deadline time.Time) bool {
	slot := s.State().Slot
	for {
		sufficient := false
		s.loop.Call(func() { sufficient = s.redundancy(slot).Sufficient() })
		if sufficient {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(s.host.Heartbeats(replicationCheckHeartbeats))
	}
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
