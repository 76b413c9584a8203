package control

import (
	"errors"
	"slices"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"time"

	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/lease"
)

// PollerRole is the duty to read the platform's list.
const PollerRole = "list"

// grantorTable is the table that a voter held when it granted an epoch.
type grantorTable struct {
	voter string
	epoch int64
	stamp endpoints.Stamp
}

// leaseLoop asks for the duty's lease where this node is the one to have it,
// and gives it back where it is not. Renewals go with the beats.
func (h *Server) leaseLoop() {
	for {
		var release, bid lease.Request
		var yields, asks, holds bool
		var to map[string]string
		h.loop.Call(func() {
			now := h.host.Now()
			if h.host.Draining.Load() {
				return
			}
			release, yields = h.pollLease.YieldToPreferred(now)
			if bid, asks = h.pollLease.NextRequest(now); asks {
				to = h.votersToAsk(now)
			}
			h.noteLease(now)
			holds = h.pollLease.Holds(now)
		})
		if yields {
			h.releaseLease(release)
		}
		for id, ip := range to {
			go h.requestLease(bid, id, ip)
		}
		wait := h.host.Heartbeats(0.2)
		if asks && !holds {
			wait = h.host.Heartbeats(0.1)
		}
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(wait):
		case <-h.leaseReleased:
		}
	}
}

// votersToAsk lists the voters to be asked by a call of their own: those that the
// beats renew nothing with. It runs on the desk.
func (h *Server) votersToAsk(now time.Duration) map[string]string {
	to := map[string]string{}
	for _, v := range h.acceptor.State.Voters {
		// A holder can do without those that are silent.
		if h.leaseRequests[v.ID] || !h.pollLease.NeedsGrantFrom(v.ID, now) || h.pollLease.Holds(now) && !h.pollLease.Alive(v.ID, now) {
			continue
		}
		h.leaseRequests[v.ID] = true
		to[v.ID] = v.IP
	}
	return to
}

// requestLease asks one voter for the lease.
func (h *Server) requestLease(b lease.Request, id, ip string) {
	var say nodeapi.LeaseResponse
	var err error
	sent := h.host.Now()
	if ip == h.host.Settings().IpAddress {
		say, err = h.handleLeaseRequest(nodeapi.LeaseRequest{Request: b})
	} else {
		err = h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathLease, nodeapi.LeaseRequest{Request: b}, &say, h.host.Heartbeats(0.8))
	}
	h.loop.Submit(func() {
		delete(h.leaseRequests, id)
		if err != nil {
			return
		}
		h.grantorTables[ip] = grantorTable{say.Grant.Voter, b.Epoch, say.Stamp}
		now := h.host.Now()
		h.pollLease.OnResponse(b, say.Grant, sent, now)
		h.noteLease(now)
	})
}

// noteLease notes where this node came to have the duty, or has it no more; it
// runs on the desk.
func (h *Server) noteLease(now time.Duration) {
	epoch, holds := h.pollLease.FencingToken(now)
	switch {
	case holds && epoch != h.actingEpoch:
		events.Log(events.LeaseAcquired, "epoch", epoch)
		h.actingEpoch = epoch
		select {
		case h.leaseAcquired <- struct{}{}:
		default:
		}
	case !holds && h.actingEpoch != 0:
		events.Log(events.LeaseEnded, "epoch", h.actingEpoch, "known", h.pollLease.ObservedEpoch, "holder", h.pollLease.ObservedHolder)
		h.actingEpoch = 0
	}
	if unfit := !h.pollLease.Eligible(now); unfit != h.ineligible {
		if h.ineligible = unfit; unfit {
			events.Log(events.LeaseCandidacySuspended)
		}
	}
}

// releaseLease gives a lease back before its time.
func (h *Server) releaseLease(b lease.Request) {
	for _, v := range h.State().Voters {
		if v.IP == h.host.Settings().IpAddress {
			_, _ = h.handleLeaseRequest(nodeapi.LeaseRequest{Request: b, Release: true})
			continue
		}
		go func() {
			var say nodeapi.LeaseResponse
			_ = h.host.Client.CallJSON(h.host.Settings().InternalAddress(v.IP), nodeapi.PathLease, nodeapi.LeaseRequest{Request: b, Release: true}, &say, h.host.Heartbeats(0.8))
		}()
	}
}

// handleLeaseRequest answers as a voter; what it granted is on disk before the answer leaves.
func (h *Server) handleLeaseRequest(m nodeapi.LeaseRequest) (say nodeapi.LeaseResponse, err error) {
	done := make(chan error, 1)
	h.loop.Call(func() {
		now := h.host.Now()
		if m.Release {
			h.voter.HandleRelease(m.Request, now)
			select {
			case h.leaseReleased <- struct{}{}:
			default:
			}
			done <- nil
			return
		}
		var write int64
		say.Grant, write = h.grantLease(m.Request, now)
		if h.table != nil {
			say.Stamp = h.table.Stamp
		}
		if write == 0 {
			done <- nil
			return
		}
		granted, write := h.voter.Records()
		h.writeRecord(records.KeyLeases, granted, func(err error) {
			if err == nil {
				h.loop.Submit(func() { h.voter.MarkDurable(write) })
			}
			done <- err
		})
	})
	select {
	case err = <-done:
	case <-time.After(h.host.Heartbeats(0.8)):
		err = errors.New("the disk takes too long")
	}
	return say, err
}

// grantLease lets the voter answer; it runs on the desk.
func (h *Server) grantLease(b lease.Request, now time.Duration) (lease.Response, int64) {
	h.voter.SetReconfigurationPending(h.acceptor.AcceptedValue != nil && len(h.acceptor.AcceptedValue.Voters) > 0)
	return h.voter.HandleRequest(b, now)
}

// leaseRenewals go with a beat of the holder; it runs on the desk.
func (h *Server) leaseRenewals(now time.Duration) (b lease.Request, out map[string]nodeapi.LeaseRenewal) {
	if h.host.Draining.Load() {
		return b, nil
	}
	b, ok := h.pollLease.NextRequest(now)
	if !ok || !h.pollLease.Holds(now) {
		return b, nil
	}
	if g, write := h.grantLease(b, now); write == 0 {
		h.pollLease.OnResponse(b, g, now, now)
	}
	return b, map[string]nodeapi.LeaseRenewal{b.Role: {Epoch: b.Epoch, Incarnation: b.Incarnation, VotersSlot: b.VotersSlot}}
}

// grantRenewals answers the renewals of a beat: those that need no write are granted,
// the others must be bid for. It runs on the desk.
func (h *Server) grantRenewals(m nodeapi.Heartbeat) (granted []string) {
	for duty, r := range m.Renewals {
		if g, write := h.grantLease(lease.Request{Role: duty, Epoch: r.Epoch, Holder: m.ID, Incarnation: r.Incarnation, VotersSlot: r.VotersSlot}, h.host.Now()); g.Granted && write == 0 {
			granted = append(granted, duty)
		}
	}
	return granted
}

// onRenewals takes the answer to renewals sent then; it runs on the desk.
func (h *Server) onRenewals(b lease.Request, say nodeapi.Heartbeat, sent time.Duration) {
	if b.Epoch > 0 && slices.Contains(say.GrantedRoles, b.Role) {
		h.pollLease.OnResponse(b, lease.Response{Voter: say.ID, Granted: true}, sent, h.host.Now())
	}
}

// resignLease gives the duty back for good: this node leaves.
func (h *Server) resignLease() {
	var b lease.Request
	yields := false
	h.loop.Call(func() { b, yields = h.pollLease.Resign() })
	if yields {
		h.releaseLease(b)
	}
}
