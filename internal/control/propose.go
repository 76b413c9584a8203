package control

import (
	"math/rand/v2"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

// backOff backs off for a random part of the time for an acknowledgement.
func (h *Server) backOff(try int) {
	most := 0.008 * float64(min(try+1, 6))
	time.Sleep(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.002+most*rand.Float64()))
}

// propose runs one ballot on the slot after base, the state that own was made
// for: had this node moved on in the meantime, own would rest on something
// that is no longer so. It returns true when the node's state is a later one
// in the end, whoever's value it was.
func (h *Server) propose(base consensus.State, own *consensus.Value) bool {
	return h.proposeUntil(base, own, time.Time{})
}

// proposeUntil is a round that proposes nothing of its own once until is past,
// whatever this node was held up by since it asked for promises.
func (h *Server) proposeUntil(base consensus.State, own *consensus.Value, until time.Time) bool {
	var b consensus.Ballot
	moved := false
	h.loop.Call(func() {
		moved = h.acceptor.State.Slot != base.Slot
		h.highestRound++
		b = consensus.Ballot{Round: h.highestRound, ProposerID: h.acceptor.ID, Incarnation: h.incarnation}
	})
	if moved {
		return true
	}
	p := consensus.NewProposer(base, b, own)
	for p.Stage <= consensus.StageAccepting {
		if p.Stage == consensus.StageAccepting && p.ValueIsOwn && !until.IsZero() && time.Now().After(until) {
			p.Stage = consensus.StageAborted
			break
		}
		stage, m := p.Stage, nodeapi.ConsensusRequest{Request: p.Request()}
		if v := m.Value; v != nil && v.Body != "" {
			packed, err := codec.CompressDelta(base.Body, v.Body)
			if err != nil {
				events.Log(events.InvariantViolated, "err", err)
				panic(err)
			}
			m.Value, m.PackedBody = nodeapi.WithoutBody(v, packed), packed
		}
		type heard struct {
			say consensus.Response
			err error
		}
		in := make(chan heard, len(base.Voters))
		for _, v := range base.Voters {
			go func() {
				var x heard
				var say nodeapi.ConsensusResponse
				if v.IP == h.host.Settings().IpAddress {
					say, x.err = h.handleConsensus(m)
				} else {
					x.err = h.host.Client.CallJSON(h.host.Settings().InternalAddress(v.IP), nodeapi.PathConsensus, m, &say, config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.3))
				}
				if x.err == nil {
					x.say, x.err = h.unpackResponse(base, say)
				}
				in <- x
			}()
		}
		for left := len(base.Voters); left > 0 && p.Stage == stage; left-- {
			if x := <-in; x.err != nil {
				p.OnFailure()
			} else {
				p.OnResponse(stage, x.say)
			}
		}
		if p.Stage == stage {
			p.Stage = consensus.StageAborted
		}
	}
	switch p.Stage {
	case consensus.StageChosen:
		s := base.Apply(p.Value)
		h.loop.Call(func() { h.learn(s, "proposed") })
		h.disseminate(b, s)
		return true
	case consensus.StageBehind:
		h.loop.Call(func() { h.learn(*p.NewerState, "told") })
		return true
	}
	h.loop.Call(func() { h.highestRound = max(h.highestRound, p.HighestPromised.Round) })
	events.Log(events.ProposalPreempted, "slot", base.Slot+1, "ballot", b.Round)
	return false
}

// finishAcceptedLoop brings to an end what this voter accepted and hears no more of:
// its proposer may be gone, and until the slot is decided a change of voters
// may be in force that nobody knows, or still come into force late.
func (h *Server) finishAcceptedLoop() {
	var seen consensus.Ballot
	for {
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(time.Duration(float64(h.host.Heartbeats(0.4)) * (0.75 + rand.Float64()/2))):
		}
		var s consensus.State
		var now consensus.Ballot
		h.loop.Call(func() { s, now = h.acceptor.State, h.acceptor.AcceptedBallot })
		if now != (consensus.Ballot{}) && now == seen && !h.isolated() && h.proposalLock.TryLock() {
			done := h.propose(s, nil)
			h.proposalLock.Unlock()
			events.Log(events.SlotRecovered, "slot", s.Slot+1, "done", done)
		}
		seen = now
	}
}

// disseminate spreads a decided slot to the other huts.
func (h *Server) disseminate(b consensus.Ballot, s consensus.State) {
	var to []string
	h.loop.Call(func() { to = h.peerIPs() })
	for _, ip := range to {
		go func() {
			var say nodeapi.LearnResponse
			addr := h.host.Settings().InternalAddress(ip)
			err := h.host.Client.CallJSON(addr, nodeapi.PathLearn, nodeapi.LearnRequest{Slot: s.Slot, Ballot: b}, &say, h.host.Heartbeats(1))
			if err == nil && say.DurableSlot < s.Slot {
				say.DurableSlot = h.sendState(ip, say.DurableSlot, h.host.Heartbeats(1))
			}
			if err == nil && say.DurableSlot >= 0 {
				h.loop.Submit(func() { h.peers.handoff.OnAcknowledged(ip, say.DurableSlot) })
			}
			if err != nil || say.DurableSlot < s.Slot {
				h.resendState(ip, s)
			}
		}()
	}
}

// maxReadQuorumAge, a part of AcknowledgeMs, bounds how long ago the majority that a
// read rests on was asked.
const maxReadQuorumAge = 0.25

// readQuorum gives the newest decided state: a majority of the voters knows of no
// later slot and has begun none. What was begun is finished first.
func (h *Server) readQuorum(within time.Duration) (consensus.State, bool) {
	until := time.Now().Add(within)
	for try := 0; ; try++ {
		began := h.host.Now()
		s := h.State()
		if h.isolated() {
			return s, false
		}
		in := make(chan *nodeapi.PeekResponse, len(s.Voters))
		for _, v := range s.Voters {
			go func() {
				var say nodeapi.PeekResponse
				if v.IP == h.host.Settings().IpAddress {
					h.loop.Call(func() { say = h.peek() })
				} else if h.host.Client.CallJSON(h.host.Settings().InternalAddress(v.IP), nodeapi.PathPeek, struct{}{}, &say, config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.2)) != nil {
					in <- nil
					return
				}
				in <- &say
			}()
		}
		known, begun, ahead := 0, false, false
		for left := len(s.Voters); left > 0 && known < len(s.Voters)/2+1; left-- {
			say := <-in
			if say == nil || !s.IsVoter(say.AcceptorID) {
				continue
			}
			known++
			begun = begun || say.HasAccepted && say.DecidedSlot == s.Slot
			ahead = ahead || say.DecidedSlot > s.Slot
		}
		if known >= len(s.Voters)/2+1 && known > 0 {
			// Whatever froze this node since it asked, the answer rests on a
			// majority's word that is no older than this.
			if !begun && !ahead && h.host.Now()-began < config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, maxReadQuorumAge) {
				return s, true
			}
			h.propose(s, nil)
		}
		if time.Now().After(until) {
			return s, false
		}
		h.backOff(try)
	}
}

// peek tells what this voter knows of the open slot; it runs on the loop.
func (h *Server) peek() nodeapi.PeekResponse {
	return nodeapi.PeekResponse{AcceptorID: h.acceptor.ID, DecidedSlot: h.acceptor.State.Slot, HasAccepted: h.acceptor.AcceptedValue != nil}
}
