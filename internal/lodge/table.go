package lodge

import (
	"swiftswitch/internal/endpoints"
)

// The searcher table between huts.

// pastKept is how many tables back a hut can tell the difference.
const pastKept = 8

// delta is what changed in the table since the one that is held, packed once
// for all who hold that; it runs on the desk.
func (h *hut) delta(held endpoints.Stamp) []byte {
	var from *endpoints.Table
	for _, t := range h.past {
		if t.Stamp == held {
			from = t
		}
	}
	if from == nil {
		held = endpoints.Stamp{}
	}
	d, ok := h.deltas[held]
	if !ok {
		d = pack(encode("delta", endpoints.Diff(from, h.table)))
		h.deltas[held] = d
	}
	return d
}

// bring tells another hut what changed in the table; it runs on the desk.
func (h *hut) bring(ip string, held endpoints.Stamp) {
	stamp, d, whole := h.table.Stamp, h.delta(held), h.delta(endpoints.Stamp{})
	go func() {
		addr, within := h.n.set().InternalAddress(ip), h.n.heartbeat(0.8)
		var say tableSay
		if err := h.n.call.CallJSON(addr, pathTable, tableAsk{d}, &say, within); err == nil && say.Stamp.Before(stamp) {
			_ = h.n.call.CallJSON(addr, pathTable, tableAsk{whole}, &say, within)
		}
	}()
}

// takeDelta takes a change of the table from another hut and tells which table
// there is now; it runs on the desk.
func (h *hut) takeDelta(d *endpoints.Delta) endpoints.Stamp {
	from := h.table
	if d.From == (endpoints.Stamp{}) {
		from = nil
	}
	if t := from.Apply(d); t != nil {
		h.merge(t)
	}
	if h.table == nil {
		return endpoints.Stamp{}
	}
	return h.table.Stamp
}

// setTable puts a newer table in force; it runs on the desk.
func (h *hut) setTable(t *endpoints.Table) {
	if h.table != nil {
		h.past = append(h.past, h.table)
		h.past = h.past[max(0, len(h.past)-pastKept):]
	}
	h.table = t
	clear(h.deltas)
	h.record(recTable, t, nil)
	h.announce()
}
