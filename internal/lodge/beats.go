package lodge

import (
	"slices"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/peersampling"
)

// Signs of life between huts, and what is handed over on them.

type hutSeen struct {
	id      string
	at      time.Duration
	leaving bool
	zone    string
	slot    int64
}

// beat is this node's sign of life; it runs on the desk.
func (h *hut) beat() beat {
	b := beat{ID: h.acc.ID, IP: h.n.set().IpAddress, Slot: h.acc.State.Slot, Kept: h.acc.StateKept(), Epoch: h.duty.ObservedEpoch, Holder: h.duty.ObservedHolder, Zone: h.n.set().Zone, Leaving: h.n.leaving.Load()}
	b.Unfit = !h.duty.Eligible(h.n.steady())
	b.Fronts = h.counted
	b.Roll = h.roll().Roll
	b.Spent = h.course.clock.Note(h.runs, time.Now(), h.n.steady()).Spent
	if h.table != nil {
		b.Stamp = h.table.Stamp
	}
	return b
}

// hear takes another hut's sign of life; it runs on the desk.
func (h *hut) hear(b beat) {
	now := h.n.steady()
	h.others[b.IP] = hutSeen{b.ID, now, b.Leaving, b.Zone, b.Slot}
	h.watch.OnHeartbeat(b.ID, now)
	h.hearFronts(b.Fronts, now)
	h.duty.OnHeartbeat(b.ID, !b.Leaving && !b.Unfit, now)
	h.duty.ObserveEpoch(b.Epoch, b.Holder)
	for order, ms := range b.Spent {
		if h.runs(order) {
			h.course.clock.Hear(order, time.Duration(ms)*time.Millisecond, now)
		}
	}
	if r := h.rolls[b.IP]; r.Roll != b.Roll && !r.asking {
		r.asking = true
		h.rolls[b.IP] = r
		go h.askRoll(b.IP)
	}
	h.depot.OnAcknowledged(b.IP, b.Kept)
	if b.Slot < h.acc.State.Slot && h.depot.NeedsHandoff(b.IP, h.acc.State.Slot) {
		h.depot.Begin(b.IP)
		go h.handOver(b.IP, b.Slot)
	}
	if t := h.table; t != nil && b.Stamp.Before(t.Stamp) {
		h.bring(b.IP, b.Stamp)
	}
}

// handOver gives a node what it missed.
func (h *hut) handOver(ip string, slot int64) {
	held := h.teach(ip, slot, h.n.heartbeat(1))
	h.desk.post(func() { h.depot.Finish(ip, held) })
}

// peers lists the other huts to beat to; it runs on the desk.
func (h *hut) peers() []string {
	self := h.n.set().IpAddress
	var out []string
	add := func(ip string) {
		if ip != self && ip != "" && !slices.Contains(out, ip) {
			out = append(out, ip)
		}
	}
	for _, v := range h.acc.State.Voters {
		add(v.IP)
	}
	now := h.n.steady()
	for ip, o := range h.others {
		if now-o.at < config.Milliseconds(h.n.set().Bounds.InTouchMs, 1) {
			add(ip)
		} else if !slices.Contains(out, ip) {
			delete(h.others, ip)
			delete(h.rolls, ip)
			h.depot.Forget(ip)
		}
	}
	return out
}

func (h *hut) beatLoop() {
	for {
		h.desk.ask(h.tick)
		h.beatAll()
		select {
		case <-h.n.stop:
			return
		case <-time.After(h.n.heartbeat(0.4)):
		}
	}
}

func (h *hut) beatAll() {
	var out []string
	var b beat
	var bid lease.Request
	var sent time.Duration
	known := 0
	h.desk.ask(func() {
		sent = h.n.steady()
		b = h.beat()
		bid, b.Renews = h.renewals(sent)
		for _, ip := range h.peers() {
			// A beat's answer is one as well: of two that hear each other, one
			// sends. A holder sends to all voters, as its renewals go along.
			o, ok := h.others[ip]
			if ok && sent-o.at < h.n.heartbeat(0.6) && !b.Leaving && !h.sends(b, ip, o) {
				known++
				continue
			}
			out = append(out, ip)
		}
	})
	if len(out)+known == 0 {
		out = slices.DeleteFunc(h.n.huts(), func(ip string) bool { return ip == h.n.set().IpAddress })
	}
	for _, ip := range out {
		go func() {
			var say beat
			if err := h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathBeat, b, &say, h.n.heartbeat(0.8)); err == nil {
				h.desk.post(func() {
					h.hear(say)
					h.renewed(bid, say, sent)
				})
				h.n.view.post(func() { h.n.way.Add(peersampling.Node{Name: say.ID, IP: say.IP, Hut: true}) })
			}
		}()
	}
}

// sends tells whether of this node and another that hear each other this one
// sends the beats; it runs on the desk.
func (h *hut) sends(b beat, ip string, o hutSeen) bool {
	switch {
	case b.Renews != nil && h.acc.State.Votes(o.id):
		return true
	case o.id == h.duty.ObservedHolder && h.acc.State.Votes(h.acc.ID):
		return false
	}
	return b.IP <= ip
}

// lone tells whether this hut has not heard a majority of the voters lately;
// it runs on the desk.
func (h *hut) lone(now time.Duration) bool {
	heard := 0
	for _, v := range h.acc.State.Voters {
		if v.ID == h.acc.ID || h.duty.SilentFor(v.ID, now) < h.n.heartbeat(2) {
			heard++
		}
	}
	return heard < len(h.acc.State.Voters)/2+1
}

// apart is lone for whoever is not on the desk. Such a hut says so at once,
// and its callers go on to another.
func (h *hut) apart() (yes bool) {
	h.desk.ask(func() { yes = h.lone(h.n.steady()) })
	return yes
}
