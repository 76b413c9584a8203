package control

import (
	"errors"
	"math/rand/v2"
	"slices"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/membership"
)

// Membership among the huts. Who gets which place is decided in bivouac; here
// is who asks whom, and for how long.

// replacementTimeout is after how long a voter may lose its place.
func (h *Server) replacementTimeout() time.Duration {
	return config.Seconds(h.host.Settings().Bounds.CatchUpS, 0.5)
}

// detectorTick notes that this node runs; it runs on the desk.
func (h *Server) detectorTick() {
	if h.peers.detector.Tick(h.host.Now()) {
		events.Log(events.FailureDetectorReset)
	}
}

// onFrontCount remembers how many fronts another hut counts: a node that nobody
// watches, or that is young, goes by it. It runs on the desk.
func (h *Server) onFrontCount(n int, now time.Duration) {
	if now < config.Seconds(h.host.Settings().Bounds.RetryWindowS, 1) {
		h.inheritedFrontCount = max(h.inheritedFrontCount, n)
	}
	if n > h.persistedFrontCount {
		h.persistedFrontCount = n
		h.writeRecord(records.KeyFrontCount, n, nil)
	}
}

// memberReport is what this node tells a judge.
func (h *Server) memberReport() (say membership.Report) {
	h.loop.Call(func() {
		now := h.host.Now()
		say = membership.Report{ID: h.acceptor.ID, Slot: h.acceptor.State.Slot, Leaving: h.host.Draining.Load()}
		for _, v := range h.acceptor.State.Voters {
			if v.ID != h.acceptor.ID && h.peers.detector.SilentFor(v.ID, now) > h.replacementTimeout() {
				say.Suspected = append(say.Suspected, v.ID)
			}
		}
	})
	return say
}

// persistAndReport tells what this node holds, once all of it is on its disk.
func (h *Server) persistAndReport() (held nodeapi.Heartbeat, err error) {
	done := make(chan error, 1)
	h.loop.Call(func() {
		held = h.heartbeat()
		held.FrontCount = h.persistedFrontCount
		// The store writes in order: once this is on disk, so is all before it.
		s := h.acceptor.State
		h.store.PutAll(records.StateRecords(s, s.Version, s.AppliedCount), func(e error) {
			if e == nil {
				h.loop.Submit(func() { h.acceptor.MarkStateDurable(s.Slot); h.wakeDurabilityWaiters() })
			}
			done <- e
		})
	})
	select {
	case err = <-done:
	case <-time.After(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.3)):
		err = errors.New("the disk takes too long")
	}
	return held, err
}

// ensureDurableAt sees to it that another hut has s, or something newer, on its disk.
func (h *Server) ensureDurableAt(ip string, s consensus.State, until time.Time) (held nodeapi.Heartbeat, ok bool) {
	addr := h.host.Settings().InternalAddress(ip)
	for try := 0; ; try++ {
		within := min(h.host.Heartbeats(0.6), time.Until(until))
		if within <= 0 {
			return held, false
		}
		err := h.host.Client.CallJSON(addr, nodeapi.PathPersist, struct{}{}, &held, within)
		if err == nil && held.DecidedSlot >= s.Slot {
			h.loop.Submit(func() { h.peers.handoff.OnAcknowledged(ip, held.DecidedSlot) })
			return held, true
		}
		if err == nil {
			h.sendState(ip, held.DecidedSlot, within)
		} else {
			time.Sleep(min(h.host.Heartbeats(0.05), max(0, time.Until(until))))
		}
	}
}

// maxResends bounds how often a voter is told again of one slot.
const maxResends = 8

// resendState tells a voter again that did not confirm a decided slot; what comes
// later than this is left to the beats.
func (h *Server) resendState(ip string, s consensus.State) {
	for try := 0; try < maxResends; try++ {
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(h.host.Heartbeats(0.1)):
		}
		owed := false
		h.loop.Call(func() {
			owed = h.acceptor.State.Slot == s.Slot && s.IsVoter(h.voterIDAt(ip)) && !h.peers.handoff.Holds(ip, s.Slot)
		})
		if !owed {
			return
		}
		if held := h.sendState(ip, s.Slot-1, h.host.Heartbeats(0.3)); held >= 0 {
			h.loop.Submit(func() { h.peers.handoff.OnAcknowledged(ip, held) })
		}
	}
}

// voterIDAt is the identity that votes at an address; it runs on the desk.
func (h *Server) voterIDAt(ip string) string {
	for _, v := range h.acceptor.State.Voters {
		if v.IP == ip {
			return v.ID
		}
	}
	return ""
}

// joinLoop asks for a vote as long as this node has none, after catching up.
func (h *Server) joinLoop() {
	wait := h.host.Heartbeats(0.05)
	for {
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(time.Duration(float64(wait) * (0.5 + rand.Float64()))):
		}
		wait = h.host.Heartbeats(0.25)
		if s := h.State(); s.IsVoter(h.acceptor.ID) || h.host.Draining.Load() {
			continue
		}
		if judges := h.catchUp(); len(judges) > 0 {
			h.requestVote(judges)
		}
	}
}

// peekedPeer is a hut that answered.
type peekedPeer struct {
	ip  string
	say nodeapi.PeekResponse
}

// peekPeers asks all known huts at once what they hold, and waits a little longer
// than for the first answer.
func (h *Server) peekPeers() (out []peekedPeer) {
	ips := slices.DeleteFunc(h.host.ControlIPs(), func(ip string) bool { return ip == h.host.Settings().IpAddress })
	in := make(chan *peekedPeer, len(ips))
	for _, ip := range ips {
		go func() {
			x := peekedPeer{ip: ip}
			if h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathPeek, struct{}{}, &x.say, h.host.Heartbeats(0.8)) != nil {
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
				late = time.After(h.host.Heartbeats(0.15))
			}
		case <-late:
			return out
		}
	}
	return out
}

// catchUp takes the newest state that a hut in reach has, and lists the voters
// among those that answered, the ones that know most first.
func (h *Server) catchUp() (judges []string) {
	seen := h.peekPeers()
	slices.SortStableFunc(seen, func(a, b peekedPeer) int { return int(b.say.DecidedSlot - a.say.DecidedSlot) })
	s := h.State()
	for _, x := range seen {
		if len(s.Voters) > 0 && x.say.DecidedSlot <= s.Slot {
			break
		}
		slot, fits := int64(0), false
		for _, at := range []int64{s.Slot, consensus.NoSlot} {
			var got nodeapi.StateDelta
			if fits || len(s.Voters) == 0 && at != consensus.NoSlot {
				continue
			}
			if h.host.Client.CallJSON(h.host.Settings().InternalAddress(x.ip), nodeapi.PathState, nodeapi.StateRequest{Slot: at}, &got, h.host.Heartbeats(1)) != nil || at == consensus.NoSlot && len(got.Voters) == 0 {
				break
			}
			slot = got.Slot
			h.loop.Call(func() { fits = h.applyStateDelta(&got, "caught up") })
		}
		if !fits {
			continue
		}
		if h.waitDurable() < slot {
			return nil
		}
		events.Log(events.CaughtUp, "slot", slot, "from", x.ip)
		s = h.State()
		break
	}
	for _, x := range seen {
		if s.IsVoter(x.say.AcceptorID) {
			judges = append(judges, x.ip)
		}
	}
	return judges
}

// requestVote asks the judges for a vote: the next one as well when one takes long.
func (h *Server) requestVote(judges []string) {
	in := make(chan bool, len(judges))
	asked, said := 0, 0
	for said < len(judges) {
		if asked < len(judges) {
			ip := judges[asked]
			asked++
			go func() {
				var say nodeapi.JoinResponse
				err := h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathJoin, nodeapi.JoinRequest{ID: h.acceptor.ID, IP: h.host.Settings().IpAddress, DurableSlot: h.waitDurable()}, &say, config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.4))
				events.Log(events.JoinRequested, "of", ip, "votes", say.IsVoter, "err", err)
				in <- err == nil && say.IsVoter
			}()
		}
		select {
		case votes := <-in:
			said++
			if votes {
				return
			}
		case <-time.After(h.host.Heartbeats(0.8)):
			if h.State().IsVoter(h.acceptor.ID) {
				return
			}
		case <-h.host.Stopping:
			return
		}
	}
}

// evaluateJoin asks the voters and the newcomer, and judges.
func (h *Server) evaluateJoin(m nodeapi.JoinRequest, s consensus.State) ([]consensus.Voter, membership.Decision) {
	c := membership.Admission{Self: h.acceptor.ID, Base: s, Newcomer: consensus.Voter{ID: m.ID, IP: m.IP}, NewcomerSlot: m.DurableSlot, TargetVoters: h.targetVoters(), Leaving: map[string]bool{}, VoterReports: []membership.Report{h.memberReport()}}
	h.loop.Call(func() {
		for _, v := range s.Voters {
			if o, ok := h.peers.byIP[v.IP]; ok && o.id == v.ID && o.leaving {
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
		if v.ID != h.acceptor.ID && v.IP != m.IP {
			ips = append(ips, v.IP)
		}
	}
	in := make(chan answer, len(ips))
	for _, ip := range ips {
		go func() {
			var say membership.Report
			if h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathSilentVoters, struct{}{}, &say, h.host.Heartbeats(0.4)) != nil {
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
func (h *Server) handleJoin(m nodeapi.JoinRequest) nodeapi.JoinResponse {
	if m.ID == "" || m.IP == "" {
		return nodeapi.JoinResponse{}
	}
	until := time.Now().Add(config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.35))
	for try := 0; time.Now().Before(until); try++ {
		s := h.State()
		voters, v := h.evaluateJoin(m, s)
		switch v {
		case membership.AlreadyVoter:
			return nodeapi.JoinResponse{IsVoter: h.majorityDurable(s, until), DecidedSlot: s.Slot}
		case membership.EvaluatorBehind:
			h.propose(s, nil)
			continue
		}
		if voters == nil {
			return nodeapi.JoinResponse{DecidedSlot: s.Slot}
		}
		h.loop.Call(func() {
			if o, ok := h.peers.byIP[m.IP]; !ok || o.id != m.ID {
				h.peers.byIP[m.IP] = peerState{id: m.ID, heardAt: h.host.Now()}
			}
		})
		// Most of it is handed over before orders have to wait for it.
		if held, ok := h.ensureDurableAt(m.IP, s, until); !ok || held.ID != m.ID {
			return nodeapi.JoinResponse{DecidedSlot: s.Slot}
		}
		if chosen, ok := h.changeVoters(m, s.Voters, voters, until); ok {
			on := h.majorityDurable(chosen, until)
			events.Log(events.VoterAdded, "id", m.ID, "ip", m.IP, "why", v.String(), "slot", chosen.Slot, "kept", on)
			return nodeapi.JoinResponse{IsVoter: on, DecidedSlot: chosen.Slot}
		}
	}
	return nodeapi.JoinResponse{DecidedSlot: h.State().Slot}
}

// changeVoters has the voters changed from those that the case was judged by.
func (h *Server) changeVoters(m nodeapi.JoinRequest, from, to []consensus.Voter, until time.Time) (consensus.State, bool) {
	if !h.proposalLock.LockUrgent(time.Until(until)) {
		return consensus.State{}, false
	}
	defer h.proposalLock.Unlock()
	for try := 0; time.Now().Before(until); try++ {
		s := h.State()
		if s.IsVoter(m.ID) {
			return s, true
		}
		if !slices.Equal(s.Voters, from) {
			return s, false
		}
		// On the very base: whoever votes next must have it on disk.
		if held, ok := h.ensureDurableAt(m.IP, s, earlier(until, time.Now().Add(h.host.Heartbeats(0.6)))); !ok || held.ID != m.ID || held.Draining {
			return s, false
		}
		if !h.propose(s, &consensus.Value{Voters: to}) {
			h.backOff(min(try, 2))
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

// majorityDurable waits until a majority of the voters has their set on disk.
func (h *Server) majorityDurable(s consensus.State, until time.Time) bool {
	in := make(chan bool, len(s.Voters))
	for _, v := range s.Voters {
		go func() {
			if v.ID == h.acceptor.ID {
				held, err := h.persistAndReport()
				in <- err == nil && held.DecidedSlot >= s.Slot
				return
			}
			held, ok := h.ensureDurableAt(v.IP, s, until)
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

// toleratedLosses is how many machines may be lost at once.
func (h *Server) toleratedLosses() int {
	return int(h.host.Settings().ToleratedLosses.GetMachines())
}

// targetVoters is how many voters bear the losses that the settings name.
func (h *Server) targetVoters() int { return 2*h.toleratedLosses() + 1 }

// stayingPeers lists the other huts that were heard lately and don't leave; it runs on the desk.
func (h *Server) stayingPeers() []string {
	var out []string
	now := h.host.Now()
	for ip, o := range h.peers.byIP {
		if !o.leaving && now-o.heardAt < h.host.Heartbeats(2) {
			out = append(out, ip)
		}
	}
	return out
}

// standbyCount counts those that stay and have no vote; it runs on the desk.
func (h *Server) standbyCount() (n int) {
	for _, ip := range h.stayingPeers() {
		if !h.acceptor.State.IsVoter(h.peers.byIP[ip].id) {
			n++
		}
	}
	return n
}

// waitReplicated waits until what was decided bears the losses to be borne: there are
// as many voters as that takes, as far as there are nodes to vote, and enough
// of those that hold it stay. A node that has been up for long without seeing
// the others come settles for those that are there.
func (h *Server) waitReplicated(until time.Time) bool {
	slot := h.State().Slot
	for {
		enough := false
		h.loop.Call(func() {
			s := h.acceptor.State
			leaving, held := 0, 0
			for _, v := range s.Voters {
				o := h.peers.byIP[v.IP]
				switch {
				case v.ID == h.acceptor.ID && h.host.Draining.Load(), v.ID != h.acceptor.ID && o.id == v.ID && o.leaving:
					leaving++
				case v.ID == h.acceptor.ID, o.id == v.ID && h.peers.handoff.Holds(v.IP, slot):
					held++
				}
			}
			young := h.host.Now() <= config.Milliseconds(h.host.Settings().Bounds.AcknowledgeMs, 0.75)
			enough = membership.Redundancy{
				Voters:            len(s.Voters),
				LeavingVoters:     leaving,
				StandbyNodes:      h.standbyCount(),
				DurableReplicas:   held,
				ToleratedFailures: h.toleratedLosses(),
				JustStarted:       young,
			}.Sufficient()
		})
		if enough {
			return true
		}
		if time.Now().After(until) {
			return false
		}
		time.Sleep(h.host.Heartbeats(0.05))
	}
}

// Drain hands over what this node holds, and goes on answering meanwhile. In
// its last part it takes no more orders, so that none is acknowledged here
// that nobody else has.
func (h *Server) Drain(start time.Time, grace time.Duration) {
	at := func(ratio float64) time.Time { return start.Add(time.Duration(float64(grace) * ratio)) }
	h.loop.Call(h.notifyWatchers)
	h.finishAccepted(at(0.15))
	h.pollLease.resign()
	h.handOffAll(at(0.5))
	h.closing.Store(true)
	for h.ordersInFlight.Load() > 0 && time.Now().Before(at(0.58)) {
		time.Sleep(h.host.Heartbeats(0.01))
	}
	p := h.handOffAll(at(0.66))
	events.Log(events.DrainHandoff, "done", p.Complete(), "state", p.StateReplicas, "table", p.TableReplicas, "stay", p.StayingNodes, "votes", p.IsVoter, "begun", p.ProposalPending)
	time.Sleep(time.Until(at(1.0 / 3)))
	h.store.Close(grace / 4)
}

// finishAccepted has the open slot decided where this node accepted a value for
// it: before others hear that it leaves and have its place changed by that slot.
func (h *Server) finishAccepted(until time.Time) {
	for try := 0; time.Now().Before(until); try++ {
		var s consensus.State
		begun := false
		h.loop.Call(func() { s, begun = h.acceptor.State, h.acceptor.AcceptedValue != nil })
		if !begun || h.isolated() {
			return
		}
		if !h.propose(s, nil) {
			h.backOff(try)
		}
	}
}

// handOffAll brings to the others what this node holds, until all of it is on
// enough disks.
func (h *Server) handOffAll(until time.Time) (p membership.DrainProgress) {
	finish := make(chan struct{}, 1)
	for {
		var s consensus.State
		var to []string
		var mine nodeapi.Heartbeat
		h.loop.Call(func() {
			s, to, mine = h.acceptor.State, h.stayingPeers(), h.heartbeat()
			p = membership.DrainProgress{ProposalPending: h.acceptor.AcceptedValue != nil, IsVoter: s.IsVoter(h.acceptor.ID), StandbyAvailable: h.standbyCount() > 0, StayingNodes: len(to), ToleratedFailures: h.toleratedLosses()}
		})
		if p.ProposalPending {
			select {
			case finish <- struct{}{}:
				go func() { h.propose(s, nil); <-finish }()
			default:
			}
		}
		h.sendHeartbeats()
		in := make(chan *nodeapi.Heartbeat, len(to))
		by := earlier(until, time.Now().Add(h.host.Heartbeats(0.5)))
		for _, ip := range to {
			go func() {
				held, ok := h.ensureDurableAt(ip, s, by)
				if !ok {
					in <- nil
					return
				}
				in <- &held
			}()
		}
		for range to {
			held := <-in
			if held == nil || held.Draining {
				continue
			}
			p.StateReplicas++
			if !held.Stamp.Before(mine.Stamp) && held.FrontCount >= mine.FrontCount {
				p.TableReplicas++
			}
			if p.Replicated() {
				break
			}
		}
		if p.Complete() || !time.Now().Before(until) {
			return p
		}
		time.Sleep(min(h.host.Heartbeats(0.05), max(0, time.Until(until))))
	}
}
