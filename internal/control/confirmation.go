package control

import (
	"time"

	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
)

// A heartbeat may arrive long after it was sent: as a cut of the network heals,
// or as this process goes on after a pause. So what it says is dated by the echo
// of this node's own clock that it carries, not by its arrival.

// clockReading is this run's clock now.
func (s *Server) clockReading() *nodeapi.ClockReading {
	return &nodeapi.ClockReading{Run: s.bootID, AtMs: s.host.Now().Milliseconds()}
}

// contact is what the sender of a heartbeat knew, nil where the heartbeat may be
// from before this run, or of any age. That of an earlier program, which echoes
// nothing, is dated by its arrival.
func (s *Server) contact(heartbeat nodeapi.Heartbeat, now time.Duration) *membership.Contact {
	contact := &membership.Contact{At: now, Slot: heartbeat.DecidedSlot}
	if heartbeat.Pending {
		contact.Slot++
	}
	switch {
	case heartbeat.Clock == nil:
		return contact
	case heartbeat.Echo == nil || heartbeat.Echo.Run != s.bootID:
		return nil
	}
	contact.At = time.Duration(heartbeat.Echo.AtMs) * time.Millisecond
	return contact
}

// confirmState notes up to when the state that this node holds was certainly the
// newest. A later state includes it, so that this never has to be taken back. It
// runs on loop, after each heartbeat and each change of the state.
func (s *Server) confirmState() {
	state := s.acceptor.State
	at, ok := membership.ConfirmedAt(state, s.acceptor.ID, s.acceptor.AcceptedValue != nil, s.peers.contacts(state), s.host.Now())
	if ok && (s.confirmedAt == nil || *s.confirmedAt < at) {
		s.confirmedAt = &at
	}
}

// stateConfirmedAt is the latest time at which the state that this node holds was
// certainly the newest; ok is false where it never was since the start. It runs
// on loop.
func (s *Server) stateConfirmedAt() (at time.Duration, ok bool) {
	if s.acceptor.State.Quorum() == 1 {
		s.confirmState() // no other node's word is needed
	}
	if s.confirmedAt == nil {
		return 0, false
	}
	return *s.confirmedAt, true
}
