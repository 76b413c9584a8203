package control

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
)

const (
	// admissionTimeoutRatio, of AcknowledgeMs, bounds the answer to a JoinRequest.
	admissionTimeoutRatio = 0.35
	// memberReportHeartbeats bounds the call that asks a node for its report.
	memberReportHeartbeats = 0.4
	// baseHandoverHeartbeats bounds, while the proposal lock is held, the
	// handover of the state that a change of the voters is proposed on.
	baseHandoverHeartbeats = 0.6
	// maxAdmissionBackoff is the highest step of the backoff between proposals
	// of a change of the voters, which holds up all other proposals.
	maxAdmissionBackoff = 2
	// replacementTimeoutRatio, of CatchUpS, is after how long a silent voter
	// may be replaced.
	replacementTimeoutRatio = 0.5
)

// replacementTimeout is how long a voter must be silent before it may be replaced.
func (s *Server) replacementTimeout() time.Duration {
	return config.Seconds(s.host.Settings().Bounds.CatchUpS, replacementTimeoutRatio)
}

// memberReport is this node's evidence for a voter that evaluates an admission.
func (s *Server) memberReport() (report membership.Report) {
	s.loop.Call(func() {
		now := s.host.Now()
		report = membership.Report{ID: s.acceptor.ID, Slot: s.acceptor.State.Slot, Leaving: s.host.Draining.Load()}
		for _, v := range s.acceptor.State.Voters {
			if v.ID != s.acceptor.ID && s.peers.detector.SilentFor(v.ID, now) > s.replacementTimeout() {
				report.Suspected = append(report.Suspected, v.ID)
			}
		}
	})
	return report
}

// newAdmission gathers what this node itself knows of an admission.
func (s *Server) newAdmission(request nodeapi.JoinRequest, base consensus.State) membership.Admission {
	admission := membership.Admission{
		Self:         s.acceptor.ID,
		Base:         base,
		Newcomer:     consensus.Voter{ID: request.ID, IP: request.IP},
		NewcomerSlot: request.DurableSlot,
		TargetVoters: s.targetVoters(),
		Leaving:      map[string]bool{},
		VoterReports: []membership.Report{s.memberReport()},
	}
	s.loop.Call(func() {
		for _, v := range base.Voters {
			if peer, known := s.peers.voter(v); known && peer.leaving {
				admission.Leaving[v.ID] = true
			}
		}
	})
	return admission
}

// reportAnswer is a node's report, nil where it did not answer.
type reportAnswer struct {
	ip     string
	report *membership.Report
}

// requestReport asks the node at an address for its report.
func (s *Server) requestReport(ip string) reportAnswer {
	var report membership.Report
	err := s.host.Client.CallJSON(s.host.Settings().InternalAddress(ip), nodeapi.PathSilentVoters, struct{}{}, &report, s.host.Heartbeats(memberReportHeartbeats))
	if err != nil {
		return reportAnswer{ip: ip}
	}
	return reportAnswer{ip: ip, report: &report}
}

// evaluateJoin asks the newcomer and the other voters for their reports and
// evaluates the admission. The voters returned are nil where it is refused.
func (s *Server) evaluateJoin(request nodeapi.JoinRequest, base consensus.State) ([]consensus.Voter, membership.Decision) {
	admission := s.newAdmission(request, base)
	ips := []string{request.IP}
	for _, v := range base.Voters {
		if v.ID != s.acceptor.ID && v.IP != request.IP {
			ips = append(ips, v.IP)
		}
	}
	answers := make(chan reportAnswer, len(ips))
	for _, ip := range ips {
		go func() { answers <- s.requestReport(ip) }()
	}
	for range ips {
		answer := <-answers
		switch {
		case answer.report == nil:
			continue
		case answer.ip == request.IP:
			admission.NewcomerReport = answer.report
		default:
			admission.VoterReports = append(admission.VoterReports, *answer.report)
		}
		if voters, decision := admission.Evaluate(); isFinal(decision) {
			return voters, decision
		}
	}
	return admission.Evaluate()
}

// isFinal reports whether no further report can change a decision, so that nodes
// that are cut off need not be waited for.
func isFinal(decision membership.Decision) bool {
	switch decision {
	case membership.AlreadyVoter, membership.EvaluatorBehind, membership.Rejoins, membership.AddsVoter:
		return true
	}
	return false
}

// handleJoin admits a node as a voter if there is a vacancy. Before the change
// of the voters is proposed, the newcomer has the state that it is proposed on
// on disk; before the newcomer is answered, a majority of the new voters has the
// change on disk. Otherwise the loss of one further disk could lose what the
// replaced voter had acknowledged.
func (s *Server) handleJoin(request nodeapi.JoinRequest) nodeapi.JoinResponse {
	if request.ID == "" || request.IP == "" {
		return nodeapi.JoinResponse{}
	}
	deadline := time.Now().Add(config.Milliseconds(s.host.Settings().Bounds.AcknowledgeMs, admissionTimeoutRatio))
	for time.Now().Before(deadline) {
		base := s.State()
		voters, decision := s.evaluateJoin(request, base)
		switch {
		case decision == membership.AlreadyVoter:
			return nodeapi.JoinResponse{IsVoter: s.majorityDurable(base, deadline), DecidedSlot: base.Slot}
		case decision == membership.EvaluatorBehind:
			s.propose(base, nil) // which learns what the others know
			continue
		case voters == nil:
			return nodeapi.JoinResponse{DecidedSlot: base.Slot}
		}
		s.loop.Call(func() { s.peers.add(request.IP, request.ID, s.host.Now()) })
		// Most of the state is handed over here, before the proposal lock is
		// taken and operators' changes have to wait for it.
		if heartbeat, ok := s.ensureDurableAt(request.IP, base, deadline); !ok || heartbeat.ID != request.ID {
			return nodeapi.JoinResponse{DecidedSlot: base.Slot}
		}
		if chosen, ok := s.changeVoters(request, base.Voters, voters, deadline); ok {
			durable := s.majorityDurable(chosen, deadline)
			events.Log(events.VoterAdded, "id", request.ID, "ip", request.IP, "why", decision.String(), "slot", chosen.Slot, "kept", durable)
			return nodeapi.JoinResponse{IsVoter: durable, DecidedSlot: chosen.Slot}
		}
	}
	return nodeapi.JoinResponse{DecidedSlot: s.State().Slot}
}

// changeVoters has the voters changed to the set given, unless they are no
// longer those that the admission was evaluated on. It returns the state by
// which the newcomer is a voter.
func (s *Server) changeVoters(request nodeapi.JoinRequest, from, to []consensus.Voter, deadline time.Time) (chosen consensus.State, ok bool) {
	if !s.proposalLock.LockUrgent(time.Until(deadline)) {
		return consensus.State{}, false
	}
	defer s.proposalLock.Unlock()
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		base := s.State()
		if base.IsVoter(request.ID) {
			return base, true
		}
		if !slices.Equal(base.Voters, from) {
			return base, false
		}
		// Exactly this base must be on the newcomer's disk: it votes on the
		// slot that follows it.
		handoverDeadline := earlier(deadline, time.Now().Add(s.host.Heartbeats(baseHandoverHeartbeats)))
		heartbeat, ok := s.ensureDurableAt(request.IP, base, handoverDeadline)
		if !ok || heartbeat.ID != request.ID || heartbeat.Draining {
			return base, false
		}
		if !s.propose(base, &consensus.Value{Voters: to}) {
			s.backOff(min(attempt, maxAdmissionBackoff))
		}
	}
	return consensus.State{}, false
}
