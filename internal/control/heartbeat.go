package control

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/peersampling"
)

// Times of heartbeats, in heartbeat intervals.
const (
	// sendPeriodHeartbeats is the time between two rounds of heartbeats.
	sendPeriodHeartbeats = 0.4
	// heartbeatCallHeartbeats bounds one heartbeat and its answer.
	heartbeatCallHeartbeats = 0.8
	// recentlyHeardHeartbeats is within which time a peer must have been heard for its
	// own heartbeats to stand for this node's.
	recentlyHeardHeartbeats = 0.6
	// majorityHeardHeartbeats is within which time a voter must have been heard to
	// count for the majority.
	majorityHeardHeartbeats = 2
)

// heartbeat describes this node. It runs on loop.
func (s *Server) heartbeat() nodeapi.Heartbeat {
	settings := s.host.Settings()
	return nodeapi.Heartbeat{
		ID:             s.acceptor.ID,
		IP:             settings.IpAddress,
		Zone:           settings.Zone,
		DecidedSlot:    s.acceptor.State.Slot,
		DurableSlot:    s.acceptor.DurableSlot(),
		Epoch:          s.pollLease.ObservedEpoch,
		Holder:         s.pollLease.ObservedHolder,
		Ineligible:     !s.pollLease.Eligible(s.host.Now()),
		Stamp:          s.tables.stamp(),
		FrontCount:     s.fronts.count,
		RosterRevision: s.fronts.ownRoster().Revision,
		ElapsedMs:      s.rollouts.elapsedByOrder(),
		Draining:       s.host.Draining.Load(),
		Pending:        s.acceptor.AcceptedValue != nil,
		Clock:          s.clockReading(),
		Format:         consensus.Format,
	}
}

// onHeartbeat takes the heartbeat of another control node, and starts to hand
// it what it lacks. It runs on loop.
func (s *Server) onHeartbeat(heartbeat nodeapi.Heartbeat) {
	now := s.host.Now()
	ip := heartbeat.IP
	s.peers.onHeartbeat(heartbeat, s.contact(heartbeat, now), now)
	s.confirmState()
	s.fronts.onPeerCount(heartbeat.FrontCount, now)
	s.pollLease.OnHeartbeat(heartbeat.ID, !heartbeat.Draining && !heartbeat.Ineligible, now)
	s.pollLease.ObserveEpoch(heartbeat.Epoch, heartbeat.Holder)
	s.rollouts.onElapsedByOrder(heartbeat.ElapsedMs, now)
	s.fronts.onRosterRevision(ip, heartbeat.RosterRevision)
	s.peers.handoff.OnAcknowledged(ip, heartbeat.DurableSlot)
	own := s.acceptor.State.Slot
	if heartbeat.DecidedSlot < own && s.peers.handoff.NeedsHandoff(ip, own) {
		s.peers.handoff.Begin(ip)
		go s.handOff(ip, heartbeat.DecidedSlot)
	}
	if s.tables.current != nil && heartbeat.Stamp.Before(s.tables.stamp()) {
		s.tables.send(ip, heartbeat.Stamp)
	}
}

// peerIPs lists the other control nodes to send to: the voters and the nodes
// heard lately. It forgets the others. It runs on loop.
func (s *Server) peerIPs() (ips []string) {
	settings := s.host.Settings()
	add := func(ip string) {
		if ip != settings.IpAddress && ip != "" && !slices.Contains(ips, ip) {
			ips = append(ips, ip)
		}
	}
	for _, v := range s.acceptor.State.Voters {
		add(v.IP)
	}
	now := s.host.Now()
	inTouch := config.Milliseconds(settings.Bounds.InTouchMs, 1)
	for ip, peer := range s.peers.byIP {
		if now-peer.heardAt < inTouch {
			add(ip)
		} else if !slices.Contains(ips, ip) {
			s.peers.forget(ip)
			s.fronts.forgetPeer(ip)
		}
	}
	return ips
}

// heartbeatLoop sends heartbeats, and ticks the failure detector, which notices
// where this process was paused.
func (s *Server) heartbeatLoop() {
	for {
		s.loop.Call(func() {
			if s.peers.detector.Tick(s.host.Now()) {
				events.Log(events.FailureDetectorReset)
			}
		})
		s.sendHeartbeats()
		select {
		case <-s.host.Stopping:
			return
		case <-time.After(s.host.Heartbeats(sendPeriodHeartbeats)):
		}
	}
}

// outgoingHeartbeat is a heartbeat with whom it goes to.
type outgoingHeartbeat struct {
	message nodeapi.Heartbeat
	// renewal is the lease request that the message renews; its epoch is 0
	// where it renews none.
	renewal lease.Request
	sent    time.Duration
	to      []string
	// echoes holds, by address, the last clock reading of those nodes.
	echoes map[string]*nodeapi.ClockReading
	// noPeers: no other control node was heard, and there is no other voter.
	noPeers bool
}

// nextHeartbeat prepares the heartbeat that is to be sent now. A heartbeat is
// answered by one, so of two nodes that hear each other only one sends. It runs
// on loop.
func (s *Server) nextHeartbeat() outgoingHeartbeat {
	out := outgoingHeartbeat{sent: s.host.Now(), message: s.heartbeat(), echoes: map[string]*nodeapi.ClockReading{}}
	out.renewal, out.message.Renewals = s.pollLease.renewals(out.sent)
	peers := s.peerIPs()
	out.noPeers = len(peers) == 0
	for _, ip := range peers {
		peer, heard := s.peers.byIP[ip]
		recent := heard && out.sent-peer.heardAt < s.host.Heartbeats(recentlyHeardHeartbeats)
		if !recent || out.message.Draining || s.initiatesHeartbeat(out.message, ip, peer) {
			out.to = append(out.to, ip)
			out.echoes[ip] = peer.clock
		}
	}
	return out
}

// sendHeartbeats sends one round of heartbeats. Their answers are taken in the
// background. A node without peers tries all control nodes that it knows of.
func (s *Server) sendHeartbeats() {
	var out outgoingHeartbeat
	s.loop.Call(func() { out = s.nextHeartbeat() })
	if out.noPeers {
		out.to = s.otherControlIPs()
	}
	for _, ip := range out.to {
		out.message.Echo = out.echoes[ip]
		go s.sendHeartbeat(out, ip)
	}
}

// sendHeartbeat sends a heartbeat to one node and takes the answer.
func (s *Server) sendHeartbeat(out outgoingHeartbeat, ip string) {
	var answer nodeapi.Heartbeat
	err := s.host.Client.CallJSON(s.host.Settings().InternalAddress(ip), nodeapi.PathHeartbeat, out.message, &answer, s.host.Heartbeats(heartbeatCallHeartbeats))
	if err != nil {
		return
	}
	s.loop.Submit(func() {
		s.onHeartbeat(answer)
		s.pollLease.onRenewals(out.renewal, answer, out.sent)
	})
	s.host.ViewLoop.Submit(func() {
		s.host.View.Add(peersampling.Node{Name: answer.ID, IP: answer.IP, IsControl: true})
	})
}

// initiatesHeartbeat tells which of two nodes that hear each other sends the
// heartbeats: the holder of a lease to a voter, as its renewals go along, and
// otherwise the one with the lower address. It runs on loop.
func (s *Server) initiatesHeartbeat(own nodeapi.Heartbeat, ip string, peer peerState) bool {
	switch {
	case own.Renewals != nil && s.acceptor.State.IsVoter(peer.id):
		return true
	case peer.id == s.pollLease.ObservedHolder && s.acceptor.State.IsVoter(s.acceptor.ID):
		return false
	}
	return own.IP <= ip
}

// majorityHeardAt is the latest time since which this process has heard a
// majority of the voters, itself included. ok is false where it never heard so
// many of them: no time stands for that, least of all the start. It runs on loop.
func (s *Server) majorityHeardAt(now time.Duration) (at time.Duration, ok bool) {
	voters := s.acceptor.State.Voters
	var heardAt []time.Duration
	for _, v := range voters {
		if v.ID == s.acceptor.ID {
			heardAt = append(heardAt, now)
		} else if at, heard := s.pollLease.LastHeard(v.ID); heard {
			heardAt = append(heardAt, at)
		}
	}
	quorum := s.acceptor.State.Quorum()
	if len(voters) == 0 || len(heardAt) < quorum {
		return 0, false
	}
	slices.Sort(heardAt)
	return heardAt[len(heardAt)-quorum], true
}

// lacksMajority reports whether this node has not heard a majority of the voters
// lately. It runs on loop.
func (s *Server) lacksMajority(now time.Duration) bool {
	at, ok := s.majorityHeardAt(now)
	return !ok || now-at >= s.host.Heartbeats(majorityHeardHeartbeats)
}

// isolated reports whether this node can't settle anything now, because it lacks
// a majority. It answers at once instead of waiting for time-outs, so that
// callers go on to another node.
func (s *Server) isolated() (isolated bool) {
	s.loop.Call(func() { isolated = s.lacksMajority(s.host.Now()) })
	return isolated
}
