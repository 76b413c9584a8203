package control

import (
	"encoding/json"
	"errors"
	"net/url"
	"swiftswitch/internal/nodeapi"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
)

// pollLoop reads the platform's list while this node has the duty.
func (h *Server) pollLoop() {
	for {
		var epoch int64
		var silence, holds bool
		h.loop.Call(func() {
			silence = h.frontsMissEndpoints()
			if !h.host.Draining.Load() {
				epoch, holds = h.pollLease.FencingToken(h.host.Now())
			}
		})
		wait := h.host.Heartbeats(0.2)
		if holds {
			// While fronts miss searchers, new ones are looked for more often.
			wait = config.Milliseconds(h.host.Settings().Bounds.DrainMs, 0.25)
			if silence {
				wait = config.Milliseconds(h.host.Settings().Bounds.DrainMs, 0.08)
			}
			if h.catchUpTable(epoch) {
				h.pollOnce(epoch)
				h.removeSilentCacheNodes()
			} else {
				wait = h.host.Heartbeats(0.05)
			}
		}
		select {
		case <-h.host.Stopping:
			return
		case <-time.After(wait):
		case <-h.leaseAcquired:
		}
	}
}

// catchUpTable brings the newest table that a voter held when it granted the
// epoch: what is reported under it must rest on that. A voter that is gone
// since is not waited for.
func (h *Server) catchUpTable(epoch int64) bool {
	var from, held endpoints.Stamp
	ip, id := "", ""
	h.loop.Call(func() {
		if h.table != nil {
			held = h.table.Stamp
		}
		from = held
		for at, t := range h.grantorTables {
			if t.epoch == epoch && from.Before(t.stamp) && h.pollLease.Alive(t.voter, h.host.Now()) {
				ip, id, from = at, t.voter, t.stamp
			}
		}
	})
	if ip == "" {
		return true
	}
	var say nodeapi.TableFetchResponse
	err := h.host.Client.CallJSON(h.host.Settings().InternalAddress(ip), nodeapi.PathTableFetch, nodeapi.TableFetchRequest{Stamp: held}, &say, h.host.Heartbeats(0.8))
	var d *endpoints.Delta
	if err == nil {
		d, err = nodeapi.UnpackTableDelta(say.Delta, h.host.MaxMessageBytes())
	}
	if err != nil {
		events.Log(events.TableSyncFailed, "voter", id, "err", err)
		return false
	}
	now := held
	h.loop.Call(func() { now = h.applyTableDelta(d) })
	return !now.Before(from)
}

// pollOnce reads the list whole and merges it under this node's epoch. A list
// whose reading began or ended outside the lease counts for nothing.
func (h *Server) pollOnce(epoch int64) {
	list, err := h.fetchInstances()
	if err != nil {
		events.Log(events.DiscoveryFailed, "err", err)
		return
	}
	h.loop.Call(func() {
		if now, ok := h.pollLease.FencingToken(h.host.Now()); !ok || now != epoch {
			events.Log(events.DiscoveryDiscarded, "epoch", epoch)
			return
		}
		stamp := endpoints.Stamp{Epoch: epoch, Holder: h.pollLease.Self, Sequence: 1}
		if h.table != nil && h.table.Stamp.Epoch == stamp.Epoch && h.table.Stamp.Holder == stamp.Holder {
			stamp.Sequence = h.table.Stamp.Sequence + 1
		}
		t, changed := endpoints.NextTable(h.table, list, stamp)
		if !changed {
			return
		}
		events.Log(events.EndpointsChanged, "searchers", len(t.Endpoints), "epoch", stamp.Epoch, "seq", stamp.Sequence)
		var held endpoints.Stamp
		if h.table != nil {
			held = h.table.Stamp
		}
		h.setTable(t)
		for _, ip := range h.peerIPs() {
			h.sendTable(ip, held)
		}
	})
}

// mergeTable takes a table of another hut; it runs on the desk.
func (h *Server) mergeTable(t *endpoints.Table) {
	if t.Stamp.Epoch < h.pollLease.ObservedEpoch && h.table != nil {
		if t.Stamp.Before(h.table.Stamp) {
			events.Log(events.StaleEpochRejected, "epoch", t.Stamp.Epoch, "known", h.pollLease.ObservedEpoch)
			return
		}
	}
	h.pollLease.ObserveEpoch(t.Stamp.Epoch, t.Stamp.Holder)
	if m := endpoints.Merge(h.table, t); m != h.table {
		h.setTable(m)
	}
}

// fetchInstances reads all pages of the platform's list.
func (h *Server) fetchInstances() ([]endpoints.Endpoint, error) {
	var out []endpoints.Endpoint
	token := ""
	seen := map[string]bool{}
	within := config.Milliseconds(h.host.Settings().Bounds.DrainMs, 0.25)
	for page := 0; page < 1000; page++ {
		path := "/instances"
		if token != "" {
			path += "?PageToken=" + url.QueryEscape(token)
		}
		rep, err := h.host.Client.Do(h.host.Settings().CloudApi.Address, "GET", path, nil, nil, within)
		if err != nil {
			return nil, err
		}
		if err := rep.Err(); err != nil {
			return nil, err
		}
		var p DiscoveryPage
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
				Draining: i.State != "ready", WarmingUp: i.ColdRemainingMs > 0,
			})
		}
		if p.NextPageToken == nil || *p.NextPageToken == "" {
			return out, nil
		}
		token = *p.NextPageToken
	}
	return nil, errors.New("the list has no end")
}

// DiscoveryPage is a page of the platform's list.
type DiscoveryPage struct {
	Instances []struct {
		InstanceID      string  `json:"InstanceId"`
		Service         string  `json:"Service"`
		Address         string  `json:"Address"`
		Zone            string  `json:"Zone"`
		Version         string  `json:"Version"`
		Slots           int     `json:"Slots"`
		State           string  `json:"State"`
		ColdRemainingMs float64 `json:"ColdRemainingMs"`
	} `json:"Instances"`
	NextPageToken *string `json:"NextPageToken"`
}
