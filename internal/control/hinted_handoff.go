package control

import (
	"time"

	"swiftswitch/internal/consensus"
)

const (
	// handoffHeartbeats bounds one hinted handoff, in heartbeat intervals.
	handoffHeartbeats = 1
	// maxResends bounds how often a decided slot is sent again to a voter that
	// did not acknowledge it.
	maxResends = 8
	// resendPauseHeartbeats is the time before each resend, and
	// resendCallHeartbeats bounds the resend itself.
	resendPauseHeartbeats = 0.1
	resendCallHeartbeats  = 0.3
)

// handOff sends a node that is at a slot the decided state that it missed. The
// caller has marked the handoff as in progress.
func (s *Server) handOff(ip string, slot int64) {
	durable := s.sendState(ip, slot, s.host.Heartbeats(handoffHeartbeats))
	s.loop.Submit(func() { s.peers.handoff.Finish(ip, durable) })
}

// resendState sends a decided slot again to a voter that did not acknowledge
// it, until it does, or another slot is decided. What still misses it after
// maxResends is handed over on its next heartbeat.
func (s *Server) resendState(ip string, decided consensus.State) {
	for range maxResends {
		select {
		case <-s.host.Stopping:
			return
		case <-time.After(s.host.Heartbeats(resendPauseHeartbeats)):
		}
		needed := false
		s.loop.Call(func() {
			needed = s.acceptor.State.Slot == decided.Slot &&
				decided.IsVoter(s.voterIDAt(ip)) &&
				!s.peers.handoff.Holds(ip, decided.Slot)
		})
		if !needed {
			return
		}
		durable := s.sendState(ip, decided.Slot-1, s.host.Heartbeats(resendCallHeartbeats))
		if durable >= 0 {
			s.loop.Submit(func() { s.peers.handoff.OnAcknowledged(ip, durable) })
		}
	}
}

// voterIDAt is the identity that has a vote at an address, "" if none has. It
// runs on loop.
func (s *Server) voterIDAt(ip string) string {
	for _, v := range s.acceptor.State.Voters {
		if v.IP == ip {
			return v.ID
		}
	}
	return ""
}
