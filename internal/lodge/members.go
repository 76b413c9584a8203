package lodge

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/membership"
)

// Membership among the huts. Who gets which place is decided in bivouac; here
// is who asks whom, and for how long.

// longSilence is after how long a voter may lose its place.
func (h *hut) longSilence() time.Duration { return config.Seconds(h.n.set().Bounds.CatchUpS, 0.5) }

// tick notes that this node runs; it runs on the desk.
func (h *hut) tick() {
	if h.watch.Tick(h.n.steady()) {
		events.Log(events.FailureDetectorReset)
	}
}

// hearFronts remembers how many fronts another hut counts: a node that nobody
// watches, or that is young, goes by it. It runs on the desk.
func (h *hut) hearFronts(n int, now time.Duration) {
	if now < config.Seconds(h.n.set().Bounds.RetryWindowS, 1) {
		h.before = max(h.before, n)
	}
	if n > h.frontsKept {
		h.frontsKept = n
		h.record(recFronts, n, nil)
	}
}

// sayMembers is what this node tells a judge.
func (h *hut) sayMembers() (say membership.Report) {
	h.desk.ask(func() {
		now := h.n.steady()
		say = membership.Report{ID: h.acc.ID, Slot: h.acc.State.Slot, Leaving: h.n.leaving.Load()}
		for _, v := range h.acc.State.Voters {
			if v.ID != h.acc.ID && h.watch.SilentFor(v.ID, now) > h.longSilence() {
				say.Silent = append(say.Silent, v.ID)
			}
		}
	})
	return say
}

// keep tells what this node holds, once all of it is on its disk.
func (h *hut) keep() (held beat, err error) {
	done := make(chan error, 1)
	h.desk.ask(func() {
		held = h.beat()
		held.Fronts = h.frontsKept
		// The store writes in order: once this is on disk, so is all before it.
		s := h.acc.State
		h.cellar.PutAll(stateRecords(s, s.Version, s.TakenSeq), func(e error) {
			if e == nil {
				h.desk.post(func() { h.acc.StateSynced(s.Slot); h.wakeKept() })
			}
			done <- e
		})
	})
	select {
	case err = <-done:
	case <-time.After(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.3)):
		err = errors.New("the disk takes too long")
	}
	return held, err
}

// confirm sees to it that another hut has s, or something newer, on its disk.
func (h *hut) confirm(ip string, s consensus.State, until time.Time) (held beat, ok bool) {
	addr := h.n.set().InternalAddress(ip)
	for try := 0; ; try++ {
		within := min(h.n.heartbeat(0.6), time.Until(until))
		if within <= 0 {
			return held, false
		}
		err := h.n.call.CallJSON(addr, pathKeep, struct{}{}, &held, within)
		if err == nil && held.Slot >= s.Slot {
			h.desk.post(func() { h.depot.OnAcknowledged(ip, held.Slot) })
			return held, true
		}
		if err == nil {
			h.teach(ip, held.Slot, within)
		} else {
			time.Sleep(min(h.n.heartbeat(0.05), max(0, time.Until(until))))
		}
	}
}

// chaseTries bounds how often a voter is told again of one slot.
const chaseTries = 8

// chase tells a voter again that did not confirm a decided slot; what comes
// later than this is left to the beats.
func (h *hut) chase(ip string, s consensus.State) {
	for try := 0; try < chaseTries; try++ {
		select {
		case <-h.n.stop:
			return
		case <-time.After(h.n.heartbeat(0.1)):
		}
		owed := false
		h.desk.ask(func() {
			owed = h.acc.State.Slot == s.Slot && s.Votes(h.voterAt(ip)) && !h.depot.Holds(ip, s.Slot)
		})
		if !owed {
			return
		}
		if held := h.teach(ip, s.Slot-1, h.n.heartbeat(0.3)); held >= 0 {
			h.desk.post(func() { h.depot.OnAcknowledged(ip, held) })
		}
	}
}

// voterAt is the identity that votes at an address; it runs on the desk.
func (h *hut) voterAt(ip string) string {
	for _, v := range h.acc.State.Voters {
		if v.IP == ip {
			return v.ID
		}
	}
	return ""
}

// joinLoop asks for a vote as long as this node has none, after catching up.
func (h *hut) joinLoop() {
	wait := h.n.heartbeat(0.05)
	for {
		select {
		case <-h.n.stop:
			return
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = h.n.heartbeat(0.25)
		if s := h.state(); s.Votes(h.acc.ID) || h.n.leaving.Load() {
			continue
		}
		if judges := h.catchUp(); len(judges) > 0 {
			h.askVote(judges)
		}
	}
}

// scouted is a hut that answered.
type scouted struct {
	ip  string
	say peekSay
}

// scout asks all known huts at once what they hold, and waits a little longer
// than for the first answer.
func (h *hut) scout() (out []scouted) {
	ips := slices.DeleteFunc(h.n.huts(), func(ip string) bool { return ip == h.n.set().IpAddress })
	in := make(chan *scouted, len(ips))
	for _, ip := range ips {
		go func() {
			x := scouted{ip: ip}
			if h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathPeek, struct{}{}, &x.say, h.n.heartbeat(0.8)) != nil {
				in <- nil
				return
			}
			in <- &x
		}()
	}
	var late <-chan time.Time
	for range ips {
		select {
		case x := <-in:
			if x == nil {
				continue
			}
			out = append(out, *x)
			if late == nil {
				late = time.After(h.n.heartbeat(0.15))
			}
		case <-late:
			return out
		}
	}
	return out
}

// catchUp takes the newest state that a hut in reach has, and lists the voters
// among those that answered, the ones that know most first.
func (h *hut) catchUp() (judges []string) {
	seen := h.scout()
	slices.SortStableFunc(seen, func(a, b scouted) int { return int(b.say.Slot - a.say.Slot) })
	s := h.state()
	for _, x := range seen {
		if len(s.Voters) > 0 && x.say.Slot <= s.Slot {
			break
		}
		slot, fits := int64(0), false
		for _, at := range []int64{s.Slot, consensus.Nothing} {
			var got news
			if fits || len(s.Voters) == 0 && at != consensus.Nothing {
				continue
			}
			if h.n.call.CallJSON(h.n.set().InternalAddress(x.ip), pathState, stateAsk{at}, &got, h.n.heartbeat(1)) != nil || at == consensus.Nothing && len(got.Voters) == 0 {
				break
			}
			slot = got.Slot
			h.desk.ask(func() { fits = h.takeNews(&got, "caught up") })
		}
		if !fits {
			continue
		}
		if h.kept() < slot {
			return nil
		}
		events.Log(events.CaughtUp, "slot", slot, "from", x.ip)
		s = h.state()
		break
	}
	for _, x := range seen {
		if s.Votes(x.say.ID) {
			judges = append(judges, x.ip)
		}
	}
	return judges
}

// askVote asks the judges for a vote: the next one as well when one takes long.
func (h *hut) askVote(judges []string) {
	in := make(chan bool, len(judges))
	asked, said := 0, 0
	for said < len(judges) {
		if asked < len(judges) {
			ip := judges[asked]
			asked++
			go func() {
				var say joinSay
				err := h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathJoin, joinAsk{h.acc.ID, h.n.set().IpAddress, h.kept()}, &say, config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.4))
				events.Log(events.JoinRequested, "of", ip, "votes", say.Votes, "err", err)
				in <- err == nil && say.Votes
			}()
		}
		select {
		case votes := <-in:
			said++
			if votes {
				return
			}
		case <-time.After(h.n.heartbeat(0.8)):
			if h.state().Votes(h.acc.ID) {
				return
			}
		case <-h.n.stop:
			return
		}
	}
}

// canvass asks the voters and the newcomer, and judges.
func (h *hut) canvass(m joinAsk, s consensus.State) ([]consensus.Voter, membership.Decision) {
	c := membership.Admission{Self: h.acc.ID, Base: s, Newcomer: consensus.Voter{ID: m.ID, IP: m.IP}, NewcomerSlot: m.Slot, TargetVoters: h.wanted(), Leaving: map[string]bool{}, VoterReports: []membership.Report{h.sayMembers()}}
	h.desk.ask(func() {
		for _, v := range s.Voters {
			if o, ok := h.others[v.IP]; ok && o.id == v.ID && o.leaving {
				c.Leaving[v.ID] = true
			}
		}
	})
	type answer struct {
		ip  string
		say *membership.Report
	}
	ips := []string{m.IP}
	for _, v := range s.Voters {
		if v.ID != h.acc.ID && v.IP != m.IP {
			ips = append(ips, v.IP)
		}
	}
	in := make(chan answer, len(ips))
	for _, ip := range ips {
		go func() {
			var say membership.Report
			if h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathSilent, struct{}{}, &say, h.n.heartbeat(0.4)) != nil {
				in <- answer{ip, nil}
				return
			}
			in <- answer{ip, &say}
		}()
	}
	for range ips {
		a := <-in
		switch {
		case a.say == nil:
			continue
		case a.ip == m.IP:
			c.NewcomerReport = a.say
		default:
			c.VoterReports = append(c.VoterReports, *a.say)
		}
		// What no further answer can change need not wait for those that are cut off.
		if voters, v := c.Evaluate(); v == membership.AlreadyVoter || v == membership.EvaluatorBehind || v == membership.Rejoins || v == membership.AddsVoter {
			return voters, v
		}
	}
	return c.Evaluate()
}

// handleJoin gives a node a vote, if there is a place for it: the newcomer has
// the state that the change is proposed on, on its disk, before it is proposed,
// and a majority of the new voters has the change on disk before it is told.
func (h *hut) handleJoin(m joinAsk) joinSay {
	if m.ID == "" || m.IP == "" {
		return joinSay{}
	}
	until := time.Now().Add(config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.35))
	for try := 0; time.Now().Before(until); try++ {
		s := h.state()
		voters, v := h.canvass(m, s)
		switch v {
		case membership.AlreadyVoter:
			return joinSay{Votes: h.seated(s, until), Slot: s.Slot}
		case membership.EvaluatorBehind:
			h.round(s, nil)
			continue
		}
		if voters == nil {
			return joinSay{Slot: s.Slot}
		}
		h.desk.ask(func() {
			if o, ok := h.others[m.IP]; !ok || o.id != m.ID {
				h.others[m.IP] = hutSeen{id: m.ID, at: h.n.steady()}
			}
		})
		// Most of it is handed over before orders have to wait for it.
		if held, ok := h.confirm(m.IP, s, until); !ok || held.ID != m.ID {
			return joinSay{Slot: s.Slot}
		}
		if chosen, ok := h.seat(m, s.Voters, voters, until); ok {
			on := h.seated(chosen, until)
			events.Log(events.VoterAdded, "id", m.ID, "ip", m.IP, "why", v.String(), "slot", chosen.Slot, "kept", on)
			return joinSay{Votes: on, Slot: chosen.Slot}
		}
	}
	return joinSay{Slot: h.state().Slot}
}

// seat has the voters changed from those that the case was judged by.
func (h *hut) seat(m joinAsk, from, to []consensus.Voter, until time.Time) (consensus.State, bool) {
	if !h.proposing.LockFirst(time.Until(until)) {
		return consensus.State{}, false
	}
	defer h.proposing.Unlock()
	for try := 0; time.Now().Before(until); try++ {
		s := h.state()
		if s.Votes(m.ID) {
			return s, true
		}
		if !slices.Equal(s.Voters, from) {
			return s, false
		}
		// On the very base: whoever votes next must have it on disk.
		if held, ok := h.confirm(m.IP, s, earlier(until, time.Now().Add(h.n.heartbeat(0.6)))); !ok || held.ID != m.ID || held.Leaving {
			return s, false
		}
		if !h.round(s, &consensus.Value{Voters: to}) {
			h.pause(min(try, 2))
		}
	}
	return consensus.State{}, false
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// seated waits until a majority of the voters has their set on disk.
func (h *hut) seated(s consensus.State, until time.Time) bool {
	in := make(chan bool, len(s.Voters))
	for _, v := range s.Voters {
		go func() {
			if v.ID == h.acc.ID {
				held, err := h.keep()
				in <- err == nil && held.Slot >= s.Slot
				return
			}
			held, ok := h.confirm(v.IP, s, until)
			in <- ok && held.ID == v.ID
		}()
	}
	n := 0
	for range s.Voters {
		if <-in {
			n++
		}
		if n > len(s.Voters)/2 {
			return true
		}
	}
	return false
}

// losses is how many machines may be lost at once.
func (h *hut) losses() int { return int(h.n.set().ToleratedLosses.GetMachines()) }

// wanted is how many voters bear the losses that the settings name.
func (h *hut) wanted() int { return 2*h.losses() + 1 }

// staying lists the other huts that were heard lately and don't leave; it runs on the desk.
func (h *hut) staying() []string {
	var out []string
	now := h.n.steady()
	for ip, o := range h.others {
		if !o.leaving && now-o.at < h.n.heartbeat(2) {
			out = append(out, ip)
		}
	}
	return out
}

// standbys counts those that stay and have no vote; it runs on the desk.
func (h *hut) standbys() (n int) {
	for _, ip := range h.staying() {
		if !h.acc.State.Votes(h.others[ip].id) {
			n++
		}
	}
	return n
}

// grown waits until what was decided bears the losses to be borne: there are
// as many voters as that takes, as far as there are nodes to vote, and enough
// of those that hold it stay. A node that has been up for long without seeing
// the others come settles for those that are there.
func (h *hut) grown(until time.Time) bool {
	slot := h.state().Slot
	for {
		enough := false
		h.desk.ask(func() {
			s := h.acc.State
			leaving, held := 0, 0
			for _, v := range s.Voters {
				o := h.others[v.IP]
				switch {
				case v.ID == h.acc.ID && h.n.leaving.Load(), v.ID != h.acc.ID && o.id == v.ID && o.leaving:
					leaving++
				case v.ID == h.acc.ID, o.id == v.ID && h.depot.Holds(v.IP, slot):
					held++
				}
			}
			young := h.n.steady() <= config.Milliseconds(h.n.set().Bounds.AcknowledgeMs, 0.75)
			enough = membership.EnoughVoters(len(s.Voters), leaving, h.standbys(), held, h.losses(), young)
		})
		if enough {
			return true
		}
		if time.Now().After(until) {
			return false
		}
		time.Sleep(h.n.heartbeat(0.05))
	}
}

// leave hands over what this node holds, and goes on answering meanwhile. In
// its last part it takes no more orders, so that none is acknowledged here
// that nobody else has.
func (h *hut) leave(start time.Time, grace time.Duration) {
	at := func(ratio float64) time.Time { return start.Add(time.Duration(float64(grace) * ratio)) }
	h.desk.ask(h.announce)
	h.finishBegun(at(0.15))
	h.yield()
	h.handOff(at(0.5))
	h.closing.Store(true)
	for h.orders.Load() > 0 && time.Now().Before(at(0.58)) {
		time.Sleep(h.n.heartbeat(0.01))
	}
	p := h.handOff(at(0.66))
	events.Log(events.DrainHandoff, "done", p.Complete(), "state", p.StateReplicas, "table", p.TableReplicas, "stay", p.StayingNodes, "votes", p.IsVoter, "begun", p.ProposalPending)
	time.Sleep(time.Until(at(1.0 / 3)))
	h.cellar.Close(grace / 4)
}

// finishBegun has the open slot decided where this node accepted a value for
// it: before others hear that it leaves and have its place changed by that slot.
func (h *hut) finishBegun(until time.Time) {
	for try := 0; time.Now().Before(until); try++ {
		var s consensus.State
		begun := false
		h.desk.ask(func() { s, begun = h.acc.State, h.acc.Value != nil })
		if !begun || h.apart() {
			return
		}
		if !h.round(s, nil) {
			h.pause(try)
		}
	}
}

// handOff brings to the others what this node holds, until all of it is on
// enough disks.
func (h *hut) handOff(until time.Time) (p membership.HandoffProgress) {
	finish := make(chan struct{}, 1)
	for {
		var s consensus.State
		var to []string
		var mine beat
		h.desk.ask(func() {
			s, to, mine = h.acc.State, h.staying(), h.beat()
			p = membership.HandoffProgress{ProposalPending: h.acc.Value != nil, IsVoter: s.Votes(h.acc.ID), StandbyAvailable: h.standbys() > 0, StayingNodes: len(to), ToleratedFailures: h.losses()}
		})
		if p.ProposalPending {
			select {
			case finish <- struct{}{}:
				go func() { h.round(s, nil); <-finish }()
			default:
			}
		}
		h.beatAll()
		in := make(chan *beat, len(to))
		by := earlier(until, time.Now().Add(h.n.heartbeat(0.5)))
		for _, ip := range to {
			go func() {
				held, ok := h.confirm(ip, s, by)
				if !ok {
					in <- nil
					return
				}
				in <- &held
			}()
		}
		for range to {
			held := <-in
			if held == nil || held.Leaving {
				continue
			}
			p.StateReplicas++
			if !held.Stamp.Before(mine.Stamp) && held.Fronts >= mine.Fronts {
				p.TableReplicas++
			}
			if need := min(p.ToleratedFailures+1, p.StayingNodes); p.StateReplicas >= need && p.TableReplicas >= need {
				break
			}
		}
		if p.Complete() || !time.Now().Before(until) {
			return p
		}
		time.Sleep(min(h.n.heartbeat(0.05), max(0, time.Until(until))))
	}
}
