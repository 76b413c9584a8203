package lodge

import (
	"errors"
	"slices"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// What huts tell each other about ballots and decided state. Bodies travel as
// what they add to one that the other holds: all who may vote on a slot hold
// the one in force before it.

// cairnAsk is an Ask; Packed holds the body of its value.
type cairnAsk struct {
	consensus.Ask
	Packed []byte `json:",omitempty"`
}

// cairnSay is a Say; Packed holds the body of its value, News stand for Ahead.
type cairnSay struct {
	consensus.Say
	Packed []byte `json:",omitempty"`
	News   *news  `json:",omitempty"`
}

// news are cairn.News whose body is packed on top of that of version Base.
type news struct {
	consensus.News
	Base   int64  `json:",omitempty"`
	Packed []byte `json:",omitempty"`
}

// bare gives a value without its body, for the wire and the disk, where that
// goes packed beside it.
func bare(v *consensus.Value, packed []byte) *consensus.Value {
	if v == nil || packed == nil {
		return v
	}
	b := *v
	b.Body = ""
	return &b
}

// vote lets the acceptor answer. What the answer rests on is on disk before
// it leaves, whoever wrote it and however often that was refused.
func (h *hut) vote(m cairnAsk) (say cairnSay, err error) {
	done := make(chan error, 1)
	h.desk.ask(func() {
		if v := m.Value; v != nil && v.Body == "" && m.Packed != nil && m.Slot == h.acc.State.Slot+1 {
			whole := *v
			if whole.Body, err = unpackOn(h.acc.State.Body, m.Packed, h.n.maxMessage()); err != nil {
				done <- err
				return
			}
			m.Value = &whole
		}
		was := h.acc.Accepted
		var needs int64
		say.Say, needs = h.acc.Vote(m.Ask)
		h.highest = max(h.highest, m.Ballot.N, h.acc.Promised.N)
		if h.acc.Accepted != was {
			h.packedValue = m.Packed
		}
		if say.Value != nil {
			say.Value, say.Packed = bare(say.Value, h.packedValue), h.packedValue
		}
		if say.Ahead != nil {
			say.Ahead, say.News = nil, h.news(m.Slot-1)
		}
		if h.acc.Kept(needs) {
			done <- nil
			return
		}
		b, mark := h.acc.Ballots()
		b.Value = bare(b.Value, h.packedValue)
		h.record(recBallot, ballotRecord{b, h.packedValue}, func(e error) {
			if e == nil {
				h.desk.post(func() { h.acc.Synced(mark) })
			}
			done <- e
		})
	})
	select {
	case err = <-done:
	case <-time.After(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.5)):
		err = errors.New("the disk takes too long")
	}
	return say, err
}

// hears opens a reply to a ballot on base: what was packed for the wire is
// whole again.
func (h *hut) hears(base consensus.State, say cairnSay) (consensus.Say, error) {
	if say.Value != nil && say.Packed != nil {
		body, err := unpackOn(base.Body, say.Packed, h.n.maxMessage())
		if err != nil {
			return say.Say, err
		}
		whole := *say.Value
		whole.Body = body
		say.Value = &whole
	}
	if say.News != nil {
		n, err := say.News.open(func(v int64) (string, bool) { return base.Body, v == base.Version }, h.n.maxMessage())
		if err != nil {
			return say.Say, err
		}
		if s, ok := base.Follow(n); ok {
			say.Ahead = &s
		}
	}
	return say.Say, nil
}

// news gives what a node at slot from lacks, packed once for all who are
// there; it runs on the desk.
func (h *hut) news(from int64) *news {
	if n, ok := h.told[from]; ok {
		return n
	}
	s := h.acc.State
	n := &news{News: s.Since(from)}
	if n.Body != "" {
		base := ""
		if v := s.VersionAt(from); v > 0 {
			for _, b := range h.bodies {
				if b.Version == v {
					base, n.Base = b.Body, v
				}
			}
		}
		packed, err := packOn(base, n.Body)
		if err != nil {
			events.Log(events.InvariantViolated, "pack", err)
			panic(err)
		}
		n.Body, n.Packed = "", packed
	}
	if len(h.told) >= toldKept {
		clear(h.told)
	}
	h.told[from] = n
	return n
}

// toldKept bounds for how many slots news are kept packed.
const toldKept = 16

// open gives the news whole; body finds that of a version.
func (n *news) open(body func(int64) (string, bool), most int) (consensus.News, error) {
	whole := n.News
	if n.Packed == nil {
		return whole, nil
	}
	base, ok := "", true
	if n.Base > 0 {
		if base, ok = body(n.Base); !ok {
			return whole, errors.New("the news rest on a version that is not held")
		}
	}
	var err error
	whole.Body, err = unpackOn(base, n.Packed, most)
	return whole, err
}

// takeNews learns from another hut and tells whether the news fitted; it runs on the desk.
func (h *hut) takeNews(n *news, how string) bool {
	if n.Slot <= h.acc.State.Slot && len(h.acc.State.Voters) > 0 {
		return true
	}
	whole, err := n.open(func(v int64) (string, bool) {
		if v == h.acc.State.Version {
			return h.acc.State.Body, true
		}
		at := slices.IndexFunc(h.bodies, func(b bodyRecord) bool { return b.Version == v })
		if at < 0 {
			return "", false
		}
		return h.bodies[at].Body, true
	}, h.n.maxMessage())
	if err != nil {
		events.Log(events.MessageRejected, "path", "news", "from", n.From, "slot", n.Slot, "err", err)
		return false
	}
	s, ok := h.acc.State.Follow(whole)
	if !ok {
		return false
	}
	if len(h.acc.State.Voters) == 0 && s.Slot == 0 {
		// The state before the first slot: nothing was decided yet.
		h.acc.State = s
		h.setOrder()
		h.keepState()
		return true
	}
	h.learn(s, how)
	return true
}

// handleLearn takes word of a decided slot. The answer names the slot up to
// which this node has it all on disk.
func (h *hut) handleLearn(c *app.RequestContext, m learnAsk) {
	h.desk.ask(func() {
		if m.News != nil {
			h.takeNews(m.News, "told")
		} else if m.Slot == h.acc.State.Slot+1 && h.acc.Value != nil && h.acc.Accepted == m.Ballot {
			h.learn(h.acc.State.Apply(*h.acc.Value), "accepted")
		}
	})
	transport.WriteJSON(c, 200, learnSay{h.kept()})
}

// teach brings another hut up to what this one knows, and gives the slot up
// to which the other has it on disk then, below 0 where it did not answer.
// held is the slot that the other is known to hold.
func (h *hut) teach(ip string, held int64, within time.Duration) int64 {
	until := time.Now().Add(within)
	for _, from := range []int64{held, consensus.Nothing} {
		var m learnAsk
		h.desk.ask(func() {
			m = learnAsk{Slot: h.acc.State.Slot}
			if from > m.Slot {
				from = m.Slot
			}
			m.News = h.news(from)
		})
		var say learnSay
		if h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathLearn, m, &say, time.Until(until)) != nil {
			return -1
		}
		if say.Slot >= m.Slot || from == consensus.Nothing || time.Now().After(until) {
			events.Log(events.HintsDelivered, "to", ip, "slot", say.Slot)
			return say.Slot
		}
	}
	return -1
}
