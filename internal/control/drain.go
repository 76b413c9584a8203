package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
)

// Deadlines of the steps of a drain, as ratios of its grace period.
const (
	finishAcceptedDeadline = 0.15
	firstHandOffDeadline   = 0.5
	// changesDeadline is until when operators' changes that are in flight are
	// waited for, and lastHandOffDeadline until when their result is handed over.
	changesDeadline     = 0.58
	lastHandOffDeadline = 0.66
	// minDrainTime is how long a drain takes at least; the node answers all
	// the while.
	minDrainTime = 1.0 / 3
	// storeCloseParts: closing the store may take one part in so many.
	storeCloseParts = 4
)

const (
	// changesCheckHeartbeats is how often the changes in flight are counted.
	changesCheckHeartbeats = 0.01
	// handOffRoundHeartbeats bounds a round of handing over, and
	// handOffPauseHeartbeats is the pause after one.
	handOffRoundHeartbeats = 0.5
	handOffPauseHeartbeats = 0.05
)

// Drain hands over what this node has, and goes on answering meanwhile. At the
// end it takes no more changes of operators, so that it acknowledges none that
// no other node has.
func (s *Server) Drain(start time.Time, grace time.Duration) {
	at := func(ratio float64) time.Time { return start.Add(time.Duration(float64(grace) * ratio)) }
	s.loop.Call(s.notifyWatchers)
	s.finishAccepted(at(finishAcceptedDeadline))
	s.pollLease.resign()
	s.handOffAll(at(firstHandOffDeadline))
	s.closing.Store(true)
	for s.ordersInFlight.Load() > 0 && time.Now().Before(at(changesDeadline)) {
		time.Sleep(s.host.Heartbeats(changesCheckHeartbeats))
	}
	p := s.handOffAll(at(lastHandOffDeadline))
	events.Log(events.DrainHandoff, "done", p.Complete(), "state", p.StateReplicas, "table", p.TableReplicas, "stay", p.StayingNodes, "votes", p.IsVoter, "begun", p.ProposalPending)
	time.Sleep(time.Until(at(minDrainTime)))
	s.store.Close(grace / storeCloseParts)
}

// finishAccepted has the open slot decided where this node accepted a value for
// it. It comes before the others hear that this node leaves: its replacement is
// proposed for the same slot, and would make the accepted value lose.
func (s *Server) finishAccepted(deadline time.Time) {
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		var base consensus.State
		pending := false
		s.loop.Call(func() { base, pending = s.acceptor.State, s.acceptor.AcceptedValue != nil })
		if !pending || s.isolated() {
			return
		}
		if !s.propose(base, nil) {
			s.backOff(attempt)
		}
	}
}

// handOffRound is one round of handing over everything that this node has.
type handOffRound struct {
	state consensus.State
	// own is what this node has, and staying whom it is handed to.
	own      nodeapi.Heartbeat
	staying  []string
	progress membership.DrainProgress
}

// newHandOffRound takes what there is to hand over now. It runs on loop.
func (s *Server) newHandOffRound() handOffRound {
	r := handOffRound{state: s.acceptor.State, own: s.heartbeat(), staying: s.stayingPeers()}
	r.progress = membership.DrainProgress{
		ProposalPending:   s.acceptor.AcceptedValue != nil,
		IsVoter:           r.state.IsVoter(s.acceptor.ID),
		StandbyAvailable:  s.standbyCount() > 0,
		StayingNodes:      len(r.staying),
		ToleratedFailures: s.toleratedLosses(),
	}
	return r
}

// handOffAll hands everything that this node has to the nodes that stay, until
// all of it is on enough disks and its vote passed on.
func (s *Server) handOffAll(deadline time.Time) membership.DrainProgress {
	// finishing holds a token while the open slot is being decided; that goes
	// on during the following rounds.
	finishing := make(chan struct{}, 1)
	for {
		var round handOffRound
		s.loop.Call(func() { round = s.newHandOffRound() })
		if round.progress.ProposalPending {
			select {
			case finishing <- struct{}{}:
				go func() {
					s.propose(round.state, nil)
					<-finishing
				}()
			default:
			}
		}
		s.sendHeartbeats()
		s.runHandOffRound(&round, earlier(deadline, time.Now().Add(s.host.Heartbeats(handOffRoundHeartbeats))))
		if round.progress.Complete() || !time.Now().Before(deadline) {
			return round.progress
		}
		time.Sleep(min(s.host.Heartbeats(handOffPauseHeartbeats), max(0, time.Until(deadline))))
	}
}

// runHandOffRound hands the round's state to all nodes that stay and counts the
// replicas, until there are enough.
func (s *Server) runHandOffRound(round *handOffRound, deadline time.Time) {
	// A nil answer: the node did not take it in time.
	answers := make(chan *nodeapi.Heartbeat, len(round.staying))
	state := round.state
	for _, ip := range round.staying {
		go func() {
			heartbeat, ok := s.ensureDurableAt(ip, state, deadline)
			if !ok {
				answers <- nil
				return
			}
			answers <- &heartbeat
		}()
	}
	for range round.staying {
		heartbeat := <-answers
		if heartbeat == nil || heartbeat.Draining {
			continue
		}
		round.progress.StateReplicas++
		if !heartbeat.Stamp.Before(round.own.Stamp) && heartbeat.FrontCount >= round.own.FrontCount {
			round.progress.TableReplicas++
		}
		if round.progress.Replicated() {
			return
		}
	}
}
