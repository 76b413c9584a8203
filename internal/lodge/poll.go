package lodge

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/url"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
)

// pollLoop reads the platform's list while this node has the duty.
func (h *hut) pollLoop() {
	for {
		var epoch int64
		var silence, holds bool
		h.desk.ask(func() {
			silence = h.silence()
			if !h.n.leaving.Load() {
				epoch, holds = h.duty.FencingToken(h.n.steady())
			}
		})
		wait := h.n.heartbeat(0.2)
		if holds {
			// While fronts miss searchers, new ones are looked for more often.
			wait = config.Milliseconds(h.n.set().Bounds.DrainMs, 0.25)
			if silence {
				wait = config.Milliseconds(h.n.set().Bounds.DrainMs, 0.08)
			}
			if h.caughtUp(epoch) {
				h.poll(epoch)
				h.strike()
			} else {
				wait = h.n.heartbeat(0.05)
			}
		}
		select {
		case <-h.n.stop:
			return
		case <-time.After(wait):
		case <-h.taken:
		}
	}
}

// caughtUp brings the newest table that a voter held when it granted the
// epoch: what is reported under it must rest on that. A voter that is gone
// since is not waited for.
func (h *hut) caughtUp(epoch int64) bool {
	var from, held endpoints.Stamp
	ip, id := "", ""
	h.desk.ask(func() {
		if h.table != nil {
			held = h.table.Stamp
		}
		from = held
		for at, t := range h.tables {
			if t.epoch == epoch && from.Before(t.stamp) && h.duty.Alive(t.voter, h.n.steady()) {
				ip, id, from = at, t.voter, t.stamp
			}
		}
	})
	if ip == "" {
		return true
	}
	var say fetchSay
	err := h.n.call.CallJSON(h.n.set().InternalAddress(ip), pathFetch, fetchAsk{held}, &say, h.n.heartbeat(0.8))
	var d *endpoints.Delta
	if err == nil {
		d, err = unpackDelta(say.Delta, h.n.maxMessage())
	}
	if err != nil {
		events.Log(events.TableSyncFailed, "voter", id, "err", err)
		return false
	}
	now := held
	h.desk.ask(func() { now = h.takeDelta(d) })
	return !now.Before(from)
}

// poll reads the list whole and merges it under this node's epoch. A list
// whose reading began or ended outside the lease counts for nothing.
func (h *hut) poll(epoch int64) {
	list, err := h.list()
	if err != nil {
		events.Log(events.DiscoveryFailed, "err", err)
		return
	}
	h.desk.ask(func() {
		if now, ok := h.duty.FencingToken(h.n.steady()); !ok || now != epoch {
			events.Log(events.DiscoveryDiscarded, "epoch", epoch)
			return
		}
		stamp := endpoints.Stamp{Epoch: epoch, By: h.duty.Self, Seq: 1}
		if h.table != nil && h.table.Stamp.Epoch == stamp.Epoch && h.table.Stamp.By == stamp.By {
			stamp.Seq = h.table.Stamp.Seq + 1
		}
		t, changed := endpoints.NextTable(h.table, list, stamp)
		if !changed {
			return
		}
		events.Log(events.EndpointsChanged, "searchers", len(t.Searchers), "epoch", stamp.Epoch, "seq", stamp.Seq)
		var held endpoints.Stamp
		if h.table != nil {
			held = h.table.Stamp
		}
		h.setTable(t)
		for _, ip := range h.peers() {
			h.bring(ip, held)
		}
	})
}

// merge takes a table of another hut; it runs on the desk.
func (h *hut) merge(t *endpoints.Table) {
	if t.Stamp.Epoch < h.duty.ObservedEpoch && h.table != nil {
		if t.Stamp.Before(h.table.Stamp) {
			events.Log(events.StaleEpochRejected, "epoch", t.Stamp.Epoch, "known", h.duty.ObservedEpoch)
			return
		}
	}
	h.duty.ObserveEpoch(t.Stamp.Epoch, t.Stamp.By)
	if m := endpoints.Merge(h.table, t); m != h.table {
		h.setTable(m)
	}
}

// list reads all pages of the platform's list.
func (h *hut) list() ([]endpoints.Endpoint, error) {
	var out []endpoints.Endpoint
	token := ""
	seen := map[string]bool{}
	within := config.Milliseconds(h.n.set().Bounds.DrainMs, 0.25)
	for page := 0; page < 1000; page++ {
		path := "/instances"
		if token != "" {
			path += "?PageToken=" + url.QueryEscape(token)
		}
		rep, err := h.n.call.Do(h.n.set().CloudApi.Address, "GET", path, nil, nil, within)
		if err != nil {
			return nil, err
		}
		if rep.Status != 200 {
			return nil, fmt.Errorf("status %d", rep.Status)
		}
		var p instancePage
		if err := json.Unmarshal(rep.Body, &p); err != nil {
			return nil, err
		}
		for _, i := range p.Instances {
			if i.InstanceID == "" || seen[i.InstanceID] {
				continue
			}
			seen[i.InstanceID] = true
			out = append(out, endpoints.Endpoint{
				ID: i.InstanceID, Service: i.Service, Addr: i.Address, Zone: i.Zone, Version: i.Version, Slots: i.Slots,
				Drains: i.State != "ready", Cold: i.ColdRemainingMs > 0,
			})
		}
		if p.NextPageToken == nil || *p.NextPageToken == "" {
			return out, nil
		}
		token = *p.NextPageToken
	}
	return nil, errors.New("the list has no end")
}
