package control

import (
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/nodeapi"
)

// disseminateHeartbeats bounds one call that spreads a decided slot, in
// heartbeat intervals.
const disseminateHeartbeats = 1

// disseminate spreads a slot that this node's ballot decided to the other
// control nodes, without waiting for them.
func (s *Server) disseminate(ballot consensus.Ballot, state consensus.State) {
	var ips []string
	s.loop.Call(func() { ips = s.peerIPs() })
	for _, ip := range ips {
		go s.disseminateTo(ip, ballot, state)
	}
}

// disseminateTo names the ballot to one node. That is enough for a voter that
// accepted the value; any other is sent the state. To a node that does not confirm
// that it has the slot on disk the state is sent again.
func (s *Server) disseminateTo(ip string, ballot consensus.Ballot, state consensus.State) {
	timeout := s.host.Heartbeats(disseminateHeartbeats)
	request := nodeapi.LearnRequest{Slot: state.Slot, Ballot: ballot}
	var response nodeapi.LearnResponse
	if err := s.host.Client.CallJSON(s.host.Settings().InternalAddress(ip), nodeapi.PathLearn, request, &response, timeout); err != nil {
		s.resendState(ip, state)
		return
	}
	durableSlot := response.DurableSlot
	if durableSlot < state.Slot {
		durableSlot = s.sendState(ip, durableSlot, timeout)
	}
	if durableSlot >= 0 {
		s.loop.Submit(func() { s.peers.handoff.OnAcknowledged(ip, durableSlot) })
	}
	if durableSlot < state.Slot {
		s.resendState(ip, state)
	}
}
