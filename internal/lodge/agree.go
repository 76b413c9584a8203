package lodge

import (
	"math/rand/v2"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

// pause backs off for a random part of the time for an acknowledgement.
func (h *hut) pause(try int) {
	most := 0.008 * float64(min(try+1, 6))
	time.Sleep(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.002+most*rand.Float64()))
}

// round runs one ballot on the slot after base, the state that own was made
// for: had this node moved on in the meantime, own would rest on something
// that is no longer so. It returns true when the node's state is a later one
// in the end, whoever's value it was.
func (h *hut) round(base consensus.State, own *consensus.Value) bool {
	return h.roundBy(base, own, time.Time{})
}

// roundBy is a round that proposes nothing of its own once until is past,
// whatever this node was held up by since it asked for promises.
func (h *hut) roundBy(base consensus.State, own *consensus.Value, until time.Time) bool {
	var b consensus.Ballot
	moved := false
	h.desk.ask(func() {
		moved = h.acc.State.Slot != base.Slot
		h.highest++
		b = consensus.Ballot{N: h.highest, By: h.acc.ID, Life: h.life}
	})
	if moved {
		return true
	}
	p := consensus.NewProposer(base, b, own)
	for p.Stage <= consensus.Accepting {
		if p.Stage == consensus.Accepting && p.Mine && !until.IsZero() && time.Now().After(until) {
			p.Stage = consensus.Outbid
			break
		}
		stage, m := p.Stage, cairnAsk{Ask: p.Ask()}
		if v := m.Value; v != nil && v.Body != "" {
			packed, err := packOn(base.Body, v.Body)
			if err != nil {
				events.Log(events.InvariantViolated, "pack", err)
				panic(err)
			}
			m.Value, m.Packed = bare(v, packed), packed
		}
		type heard struct {
			say consensus.Say
			err error
		}
		in := make(chan heard, len(base.Voters))
		for _, v := range base.Voters {
			go func() {
				var x heard
				var say cairnSay
				if v.IP == h.n.set().IpAddress {
					say, x.err = h.vote(m)
				} else {
					x.err = h.n.call.CallJSON(h.n.set().InternalAddress(v.IP), pathCairn, m, &say, config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.3))
				}
				if x.err == nil {
					x.say, x.err = h.hears(base, say)
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
			p.Stage = consensus.Outbid
		}
	}
	switch p.Stage {
	case consensus.Chosen:
		s := base.Apply(p.Value)
		h.desk.ask(func() { h.learn(s, "proposed") })
		h.tell(b, s)
		return true
	case consensus.Behind:
		h.desk.ask(func() { h.learn(*p.Newer, "told") })
		return true
	}
	h.desk.ask(func() { h.highest = max(h.highest, p.Higher.N) })
	events.Log(events.ProposalPreempted, "slot", base.Slot+1, "ballot", b.N)
	return false
}

// finishLoop brings to an end what this voter accepted and hears no more of:
// its proposer may be gone, and until the slot is decided a change of voters
// may be in force that nobody knows, or still come into force late.
func (h *hut) finishLoop() {
	var seen consensus.Ballot
	for {
		select {
		case <-h.n.stop:
			return
		case <-time.After(time.Duration(float64(h.n.heartbeat(0.4)) * (0.75 + rand.Float64()/2))):
		}
		var s consensus.State
		var now consensus.Ballot
		h.desk.ask(func() { s, now = h.acc.State, h.acc.Accepted })
		if now != (consensus.Ballot{}) && now == seen && !h.apart() && h.proposing.TryLock() {
			done := h.round(s, nil)
			h.proposing.Unlock()
			events.Log(events.SlotRecovered, "slot", s.Slot+1, "done", done)
		}
		seen = now
	}
}

// tell spreads a decided slot to the other huts.
func (h *hut) tell(b consensus.Ballot, s consensus.State) {
	var to []string
	h.desk.ask(func() { to = h.peers() })
	for _, ip := range to {
		go func() {
			var say learnSay
			addr := h.n.set().InternalAddress(ip)
			err := h.n.call.CallJSON(addr, pathLearn, learnAsk{Slot: s.Slot, Ballot: b}, &say, h.n.heartbeat(1))
			if err == nil && say.Slot < s.Slot {
				say.Slot = h.teach(ip, say.Slot, h.n.heartbeat(1))
			}
			if err == nil && say.Slot >= 0 {
				h.desk.post(func() { h.depot.OnAcknowledged(ip, say.Slot) })
			}
			if err != nil || say.Slot < s.Slot {
				h.chase(ip, s)
			}
		}()
	}
}

// readAge, a part of AcknowledgeMs, bounds how long ago the majority that a
// read rests on was asked.
const readAge = 0.25

// read gives the newest decided state: a majority of the voters knows of no
// later slot and has begun none. What was begun is finished first.
func (h *hut) read(within time.Duration) (consensus.State, bool) {
	until := time.Now().Add(within)
	for try := 0; ; try++ {
		began := h.n.steady()
		s := h.state()
		if h.apart() {
			return s, false
		}
		in := make(chan *peekSay, len(s.Voters))
		for _, v := range s.Voters {
			go func() {
				var say peekSay
				if v.IP == h.n.set().IpAddress {
					h.desk.ask(func() { say = peekSay{h.acc.ID, h.acc.State.Slot, h.acc.Value != nil} })
				} else if h.n.call.CallJSON(h.n.set().InternalAddress(v.IP), pathPeek, struct{}{}, &say, config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.2)) != nil {
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
			// Whatever froze this node since it asked, the answer rests on a
			// majority's word that is no older than this.
			if !begun && !ahead && h.n.steady()-began < config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, readAge) {
				return s, true
			}
			h.round(s, nil)
		}
		if time.Now().After(until) {
			return s, false
		}
		h.pause(try)
	}
}
