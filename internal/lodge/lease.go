package lodge

import (
	"errors"
	"slices"
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/lease"
)

// dutyList is the duty to read the platform's list.
const dutyList = "list"

// tableAt is the table that a voter held when it granted an epoch.
type tableAt struct {
	voter string
	epoch int64
	stamp endpoints.Stamp
}

// leaseLoop asks for the duty's lease where this node is the one to have it,
// and gives it back where it is not. Renewals go with the beats.
func (h *hut) leaseLoop() {
	for {
		var release, bid lease.Request
		var yields, asks, holds bool
		var to map[string]string
		h.desk.ask(func() {
			now := h.n.steady()
			if h.n.leaving.Load() {
				return
			}
			release, yields = h.duty.Release(false, now)
			if bid, asks = h.duty.NextRequest(now); asks {
				to = h.missing(now)
			}
			h.noteDuty(now)
			holds = h.duty.Holds(now)
		})
		if yields {
			h.release(release)
		}
		for id, ip := range to {
			go h.bid(bid, id, ip)
		}
		wait := h.n.heartbeat(0.2)
		if asks && !holds {
			wait = h.n.heartbeat(0.1)
		}
		select {
		case <-h.n.stop:
			return
		case <-time.After(wait):
		case <-h.released:
		}
	}
}

// missing lists the voters to be asked by a call of their own: those that the
// beats renew nothing with. It runs on the desk.
func (h *hut) missing(now time.Duration) map[string]string {
	to := map[string]string{}
	for _, v := range h.acc.State.Voters {
		// A holder can do without those that are silent.
		if h.asked[v.ID] || !h.duty.NeedsGrantFrom(v.ID, now) || h.duty.Holds(now) && !h.duty.Alive(v.ID, now) {
			continue
		}
		h.asked[v.ID] = true
		to[v.ID] = v.IP
	}
	return to
}

// bid asks one voter for the lease.
func (h *hut) bid(b lease.Request, id, ip string) {
	var say bidSay
	var err error
	sent := h.n.steady()
	if ip == h.n.set().IpAddress {
		say, err = h.handleBid(bidAsk{Bid: b})
	} else {
		err = h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathBid, bidAsk{Bid: b}, &say, h.n.heartbeat(0.8))
	}
	h.desk.post(func() {
		delete(h.asked, id)
		if err != nil {
			return
		}
		h.tables[ip] = tableAt{say.Grant.Voter, b.Epoch, say.Stamp}
		now := h.n.steady()
		h.duty.OnResponse(b, say.Grant, sent, now)
		h.noteDuty(now)
	})
}

// noteDuty notes where this node came to have the duty, or has it no more; it
// runs on the desk.
func (h *hut) noteDuty(now time.Duration) {
	epoch, holds := h.duty.FencingToken(now)
	switch {
	case holds && epoch != h.acting:
		events.Log(events.LeaseAcquired, "epoch", epoch)
		h.acting = epoch
		select {
		case h.taken <- struct{}{}:
		default:
		}
	case !holds && h.acting != 0:
		events.Log(events.LeaseEnded, "epoch", h.acting, "known", h.duty.ObservedEpoch, "holder", h.duty.ObservedHolder)
		h.acting = 0
	}
	if unfit := !h.duty.Eligible(now); unfit != h.unfit {
		if h.unfit = unfit; unfit {
			events.Log(events.LeaseCandidacySuspended)
		}
	}
}

// release gives a lease back before its time.
func (h *hut) release(b lease.Request) {
	for _, v := range h.state().Voters {
		if v.IP == h.n.set().IpAddress {
			_, _ = h.handleBid(bidAsk{Bid: b, Release: true})
			continue
		}
		go func() {
			var say bidSay
			_ = h.n.call.CallJSON(h.n.set().InternalAddress(v.IP), pathBid, bidAsk{Bid: b, Release: true}, &say, h.n.heartbeat(0.8))
		}()
	}
}

// handleBid answers as a voter; what it granted is on disk before the answer leaves.
func (h *hut) handleBid(m bidAsk) (say bidSay, err error) {
	done := make(chan error, 1)
	h.desk.ask(func() {
		now := h.n.steady()
		if m.Release {
			h.voter.HandleRelease(m.Bid, now)
			select {
			case h.released <- struct{}{}:
			default:
			}
			done <- nil
			return
		}
		var write int64
		say.Grant, write = h.grant(m.Bid, now)
		if h.table != nil {
			say.Stamp = h.table.Stamp
		}
		if write == 0 {
			done <- nil
			return
		}
		records, write := h.voter.Records()
		h.record(recLeases, records, func(err error) {
			if err == nil {
				h.desk.post(func() { h.voter.MarkDurable(write) })
			}
			done <- err
		})
	})
	select {
	case err = <-done:
	case <-time.After(h.n.heartbeat(0.8)):
		err = errors.New("the disk takes too long")
	}
	return say, err
}

// grant lets the voter answer; it runs on the desk.
func (h *hut) grant(b lease.Request, now time.Duration) (lease.Response, int64) {
	h.voter.SetReconfigurationPending(h.acc.Value != nil && len(h.acc.Value.Voters) > 0)
	return h.voter.HandleRequest(b, now)
}

// renewals go with a beat of the holder; it runs on the desk.
func (h *hut) renewals(now time.Duration) (b lease.Request, out map[string]renewal) {
	if h.n.leaving.Load() {
		return b, nil
	}
	b, ok := h.duty.NextRequest(now)
	if !ok || !h.duty.Holds(now) {
		return b, nil
	}
	if g, write := h.grant(b, now); write == 0 {
		h.duty.OnResponse(b, g, now, now)
	}
	return b, map[string]renewal{b.Duty: {b.Epoch, b.Life, b.VotersSlot}}
}

// renew answers the renewals of a beat: those that need no write are granted,
// the others must be bid for. It runs on the desk.
func (h *hut) renew(m beat) (granted []string) {
	for duty, r := range m.Renews {
		if g, write := h.grant(lease.Request{Duty: duty, Epoch: r.Epoch, Holder: m.ID, Life: r.Life, VotersSlot: r.VotersSlot}, h.n.steady()); g.OK && write == 0 {
			granted = append(granted, duty)
		}
	}
	return granted
}

// renewed takes the answer to renewals sent then; it runs on the desk.
func (h *hut) renewed(b lease.Request, say beat, sent time.Duration) {
	if b.Epoch > 0 && slices.Contains(say.Granted, b.Duty) {
		h.duty.OnResponse(b, lease.Response{Voter: say.ID, OK: true}, sent, h.n.steady())
	}
}

// yield gives the duty back for good: this node leaves.
func (h *hut) yield() {
	var b lease.Request
	yields := false
	h.desk.ask(func() { b, yields = h.duty.Release(true, h.n.steady()) })
	if yields {
		h.release(b)
	}
}
