package control

import (
	"slices"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/peersampling"
)

// Signs of life between huts, and what is handed over on them.

// heartbeat is this node's sign of life; it runs on the desk.
func (h *Server) heartbeat() nodeapi.Heartbeat {
	b := nodeapi.Heartbeat{ID: h.acceptor.ID, IP: h.host.Settings().IpAddress, DecidedSlot: h.acceptor.State.Slot, DurableSlot: h.acceptor.DurableSlot(), Epoch: h.pollLease.ObservedEpoch, Holder: h.pollLease.ObservedHolder, Zone: h.host.Settings().Zone, Draining: h.host.Draining.Load()}
	b.Ineligible = !h.pollLease.Eligible(h.host.Now())
	b.FrontCount = h.frontCount
	b.RosterRevision = h.frontRoster().Revision
	b.ElapsedMs = h.rollouts.elapsedTerms()
	if h.tables.current != nil {
		b.Stamp = h.tables.current.Stamp
	}
	return b
}

// onHeartbeat takes another hut's sign of life; it runs on the desk.
func (h *Server) onHeartbeat(b nodeapi.Heartbeat) {
	now := h.host.Now()
	h.peers.byIP[b.IP] = peerState{b.ID, now, b.Draining, b.Zone, b.DecidedSlot}
	h.peers.detector.OnHeartbeat(b.ID, now)
	h.onFrontCount(b.FrontCount, now)
	h.pollLease.OnHeartbeat(b.ID, !b.Draining && !b.Ineligible, now)
	h.pollLease.ObserveEpoch(b.Epoch, b.Holder)
	h.rollouts.onElapsedTerms(b.ElapsedMs, now)
	if r := h.peerRosters[b.IP]; r.Revision != b.RosterRevision && !r.fetching {
		r.fetching = true
		h.peerRosters[b.IP] = r
		go h.fetchRoster(b.IP)
	}
	h.peers.handoff.OnAcknowledged(b.IP, b.DurableSlot)
	if b.DecidedSlot < h.acceptor.State.Slot && h.peers.handoff.NeedsHandoff(b.IP, h.acceptor.State.Slot) {
		h.peers.handoff.Begin(b.IP)
		go h.handOff(b.IP, b.DecidedSlot)
	}
	if t := h.tables.current; t != nil && b.Stamp.Before(t.Stamp) {
		h.tables.send(b.IP, b.Stamp)
	}
}

// handOff gives a node what it missed.
func (h *Server) handOff(ip string, slot int64) {
	held := h.sendState(ip, slot, h.host.Heartbeats(1))
	h.loop.Submit(func() { h.peers.handoff.Finish(ip, held) })
}

// peerIPs lists the other huts to beat to; it runs on the desk.
func (h *Server) peerIPs() []string {
	self := h.host.Settings().IpAddress
	var out []string
	add := func(ip string) {
		if ip != self && ip != "" && !slices.Contains(out, ip) {
			out = append(out, ip)
		}
	}
	for _, v := range h.acceptor.State.Voters {
		add(v.IP)
	}
	now := h.host.Now()
	for ip, o := range h.peers.byIP {
		if now-o.heardAt < config.Milliseconds(h.host.Settings().Bounds.InTouchMs, 1) {
			add(ip)
		} else if !slices.Contains(out, ip) {
			h.peers.forget(ip)
			delete(h.peerRosters, ip)
		}
	}
	return out
}

func (h *Server) heartbeatLoop() {
	for {
		h.loop.Call(h.detectorTick)
		h.sendHeartbeats()
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(h.host.Heartbeats(0.4)):
		}
	}
}

func (h *Server) sendHeartbeats() {
	var out []string
	var b nodeapi.Heartbeat
	var bid lease.Request
	var sent time.Duration
	known := 0
	h.loop.Call(func() {
		sent = h.host.Now()
		b = h.heartbeat()
		bid, b.Renewals = h.pollLease.renewals(sent)
		for _, ip := range h.peerIPs() {
			// A beat's answer is one as well: of two that hear each other, one
			// sends. A holder sends to all voters, as its renewals go along.
			o, ok := h.peers.byIP[ip]
			if ok && sent-o.heardAt < h.host.Heartbeats(0.6) && !b.Draining && !h.initiatesHeartbeat(b, ip, o) {
				known++
				continue
			}
			out = append(out, ip)
		}
	})
	if len(out)+known == 0 {
		out = slices.DeleteFunc(h.host.ControlIPs(), func(ip string) bool { return ip == h.host.Settings().IpAddress })
	}
	for _, ip := range out {
		go func() {
			var say nodeapi.Heartbeat
			if err := h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathHeartbeat, b, &say, h.host.Heartbeats(0.8)); err == nil {
				h.loop.Submit(func() {
					h.onHeartbeat(say)
					h.pollLease.onRenewals(bid, say, sent)
				})
				h.host.ViewLoop.Submit(func() { h.host.View.Add(peersampling.Node{Name: say.ID, IP: say.IP, IsControl: true}) })
			}
		}()
	}
}

// initiatesHeartbeat tells whether of this node and another that hear each other this one
// sends the beats; it runs on the desk.
func (h *Server) initiatesHeartbeat(b nodeapi.Heartbeat, ip string, o peerState) bool {
	switch {
	case b.Renewals != nil && h.acceptor.State.IsVoter(o.id):
		return true
	case o.id == h.pollLease.ObservedHolder && h.acceptor.State.IsVoter(h.acceptor.ID):
		return false
	}
	return b.IP <= ip
}

// lacksMajority tells whether this hut has not heard a majority of the voters lately;
// it runs on the desk.
func (h *Server) lacksMajority(now time.Duration) bool {
	heard := 0
	for _, v := range h.acceptor.State.Voters {
		if v.ID == h.acceptor.ID || h.pollLease.SilentFor(v.ID, now) < h.host.Heartbeats(2) {
			heard++
		}
	}
	return heard < len(h.acceptor.State.Voters)/2+1
}

// isolated is lone for whoever is not on the desk. Such a hut says so at once,
// and its callers go on to another.
func (h *Server) isolated() (yes bool) {
	h.loop.Call(func() { yes = h.lacksMajority(h.host.Now()) })
	return yes
}
