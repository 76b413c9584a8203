package lodge

import (
	"math/rand/v2"
	"slices"
	"time"

	"swiftswitch/internal/cairn"
	"swiftswitch/internal/logbook"
	"swiftswitch/internal/signpost"
)

// pause backs off for a random part of the time for an acknowledgement.
func (h *hut) pause(try int) {
	most := 0.008 * float64(min(try+1, 6))
	time.Sleep(signpost.Ms(h.n.set().Bounds.AcknowledgeMs, 0.002+most*rand.Float64()))
}

// round runs one ballot on the open slot. It returns true when the node's
// state moved on, whoever's value it was.
func (h *hut) round(own *cairn.Value) bool {
	var base cairn.State
	var b cairn.Ballot
	h.desk.ask(func() {
		base = h.acc.State
		h.highest++
		b = cairn.Ballot{N: h.highest, By: h.acc.ID}
	})
	p := cairn.NewProposer(base, b, own)
	for p.Stage <= cairn.Accepting {
		stage, m := p.Stage, p.Ask()
		type heard struct {
			say cairn.Say
			err error
		}
		in := make(chan heard, len(base.Voters))
		for _, v := range base.Voters {
			go func() {
				var x heard
				if v.IP == h.n.set().IpAddress {
					x.say, x.err = h.vote(m)
				} else {
					x.err = h.n.call.Ask(h.n.set().RopeAddr(v.IP), pathCairn, m, &x.say, signpost.Ms(h.n.set().Bounds.AcknowledgeMs, 0.3))
				}
				in <- x
			}()
		}
		for left := len(base.Voters); left > 0 && p.Stage == stage; left-- {
			if x := <-in; x.err != nil {
				p.Lost()
			} else {
				p.Hear(stage, x.say)
			}
		}
		if p.Stage == stage {
			p.Stage = cairn.Outbid
		}
	}
	switch p.Stage {
	case cairn.Chosen:
		s := base.Apply(p.Value)
		h.desk.ask(func() { h.learn(s, "proposed") })
		h.tell(b, s)
		return true
	case cairn.Behind:
		h.desk.ask(func() { h.learn(*p.Newer, "told") })
		return true
	}
	h.desk.ask(func() { h.highest = max(h.highest, p.Higher.N) })
	logbook.Log(logbook.ProposalLost, "slot", base.Slot+1, "ballot", b.N)
	return false
}

// tell spreads a decided slot to the other huts.
func (h *hut) tell(b cairn.Ballot, s cairn.State) {
	var to []string
	h.desk.ask(func() { to = h.peers() })
	for _, ip := range to {
		go func() {
			var say learnSay
			addr := h.n.set().RopeAddr(ip)
			err := h.n.call.Ask(addr, pathLearn, learnAsk{Slot: s.Slot, Ballot: b}, &say, h.n.heartbeat(1))
			if err == nil && say.Slot < s.Slot {
				err = h.n.call.Ask(addr, pathLearn, learnAsk{Slot: s.Slot, State: &s}, &say, h.n.heartbeat(1))
			}
			if err == nil {
				h.desk.post(func() { h.depot.Confirm(ip, say.Slot) })
			}
		}()
	}
}

// read gives the newest decided state: a majority of the voters knows of no
// later slot and has begun none. What was begun is finished first.
func (h *hut) read(within time.Duration) (cairn.State, bool) {
	until := time.Now().Add(within)
	for try := 0; ; try++ {
		s := h.state()
		in := make(chan *peekSay, len(s.Voters))
		for _, v := range s.Voters {
			go func() {
				var say peekSay
				if v.IP == h.n.set().IpAddress {
					h.desk.ask(func() { say = peekSay{h.acc.ID, h.acc.State.Slot, h.acc.Value != nil} })
				} else if h.n.call.Ask(h.n.set().RopeAddr(v.IP), pathPeek, struct{}{}, &say, signpost.Ms(h.n.set().Bounds.AcknowledgeMs, 0.2)) != nil {
					in <- nil
					return
				}
				in <- &say
			}()
		}
		known, begun, ahead := 0, false, false
		for left := len(s.Voters); left > 0 && known < len(s.Voters)/2+1; left-- {
			say := <-in
			if say == nil || !s.Votes(say.ID) {
				continue
			}
			known++
			begun = begun || say.Begun && say.Slot == s.Slot
			ahead = ahead || say.Slot > s.Slot
		}
		if known >= len(s.Voters)/2+1 && known > 0 {
			if !begun && !ahead {
				return s, true
			}
			h.round(nil)
		}
		if time.Now().After(until) {
			return s, false
		}
		h.pause(try)
	}
}

// joinLoop asks for a vote as long as this node has none, after catching up.
func (h *hut) joinLoop() {
	for {
		select {
		case <-h.n.stop:
			return
		case <-time.After(time.Duration(float64(h.n.heartbeat(0.4)) * (0.5 + rand.Float64()))):
		}
		s := h.state()
		if s.Votes(h.acc.ID) || h.n.leaving.Load() {
			continue
		}
		for _, ip := range h.n.huts() {
			if ip == h.n.set().IpAddress {
				continue
			}
			addr := h.n.set().RopeAddr(ip)
			var got stateSay
			if h.n.call.Ask(addr, pathState, struct{}{}, &got, h.n.heartbeat(1)) != nil || len(got.State.Voters) == 0 {
				continue
			}
			if got.State.Slot > s.Slot || len(s.Voters) == 0 {
				done := make(chan error, 1)
				h.desk.ask(func() {
					if len(h.acc.State.Voters) == 0 && got.State.Slot == 0 {
						h.acc.State = got.State
						h.setOrder()
					} else {
						h.learn(got.State, "caught up")
					}
					h.put(recState, h.acc.State, func(err error) { done <- err })
				})
				if <-done != nil {
					break
				}
				logbook.Log(logbook.CaughtUp, "slot", got.State.Slot, "from", ip)
			}
			var say joinSay
			err := h.n.call.Ask(addr, pathJoin, joinAsk{h.acc.ID, h.n.set().IpAddress}, &say, signpost.Ms(h.n.set().Bounds.AcknowledgeMs, 0.4))
			logbook.Log(logbook.JoinAsked, "of", ip, "votes", say.Votes, "err", err)
			if err == nil {
				break
			}
		}
	}
}

// handleJoin gives a node a vote: in the place of the old identity at its
// address, or of a voter that left or has been silent for long. The number
// of voters stays.
func (h *hut) handleJoin(m joinAsk) joinSay {
	if m.ID == "" || m.IP == "" {
		return joinSay{}
	}
	if !h.proposing.TryLock() {
		return joinSay{Slot: h.state().Slot}
	}
	defer h.proposing.Unlock()
	var own *cairn.Value
	var s cairn.State
	h.desk.ask(func() {
		s = h.acc.State
		now := h.n.steady()
		if _, known := h.others[m.IP]; !known {
			h.others[m.IP] = hutSeen{m.ID, now, false}
		}
		if s.Votes(m.ID) || !s.Votes(h.acc.ID) {
			return
		}
		out := -1
		for i, v := range s.Voters {
			if v.IP == m.IP {
				out = i
			}
		}
		long := signpost.Sec(h.n.set().Bounds.CatchUpS, 0.5)
		for i, v := range s.Voters {
			seen, ok := h.others[v.IP]
			if out < 0 && v.ID != h.acc.ID && (h.duty.Silent(v.ID, now) > long || ok && seen.id == v.ID && seen.leaving) {
				out = i
			}
		}
		if out >= 0 {
			voters := slices.Clone(s.Voters)
			voters[out] = cairn.Voter{ID: m.ID, IP: m.IP}
			own = &cairn.Value{Voters: voters}
		}
	})
	if own != nil {
		for try := 0; try < 3 && !h.round(own); try++ {
			h.pause(try)
		}
		s = h.state()
	}
	return joinSay{Votes: s.Votes(m.ID), Slot: s.Slot}
}
