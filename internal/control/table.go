package control

import (
	"swiftswitch/internal/codec"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
)

// The searcher table between huts.

// maxPastTables is how many tables back a hut can tell the difference.
const maxPastTables = 8

// tableDelta is what changed in the table since the one that is held, packed once
// for all who hold that; it runs on the desk.
func (h *Server) tableDelta(held endpoints.Stamp) []byte {
	var from *endpoints.Table
	for _, t := range h.pastTables {
		if t.Stamp == held {
			from = t
		}
	}
	if from == nil {
		held = endpoints.Stamp{}
	}
	d, ok := h.tableDeltas[held]
	if !ok {
		d = codec.Gzip(codec.MustEncode("delta", endpoints.Diff(from, h.table)))
		h.tableDeltas[held] = d
	}
	return d
}

// sendTable tells another hut what changed in the table; it runs on the desk.
func (h *Server) sendTable(ip string, held endpoints.Stamp) {
	stamp, d, whole := h.table.Stamp, h.tableDelta(held), h.tableDelta(endpoints.Stamp{})
	go func() {
		addr, within := h.host.Settings().InternalAddress(ip), h.host.Heartbeats(0.8)
		var say nodeapi.TableResponse
		if err := h.host.Client.CallJSON(addr, nodeapi.PathTable, nodeapi.TableRequest{Delta: d}, &say, within); err == nil && say.Stamp.Before(stamp) {
			_ = h.host.Client.CallJSON(addr, nodeapi.PathTable, nodeapi.TableRequest{Delta: whole}, &say, within)
		}
	}()
}

// applyTableDelta takes a change of the table from another hut and tells which table
// there is now; it runs on the desk.
func (h *Server) applyTableDelta(d *endpoints.Delta) endpoints.Stamp {
	from := h.table
	if d.From == (endpoints.Stamp{}) {
		from = nil
	}
	if t := from.ApplyDelta(d); t != nil {
		h.mergeTable(t)
	}
	if h.table == nil {
		return endpoints.Stamp{}
	}
	return h.table.Stamp
}

// setTable puts a newer table in force; it runs on the desk.
func (h *Server) setTable(t *endpoints.Table) {
	if h.table != nil {
		h.pastTables = append(h.pastTables, h.table)
		h.pastTables = h.pastTables[max(0, len(h.pastTables)-maxPastTables):]
	}
	h.table = t
	clear(h.tableDeltas)
	h.writeRecord(records.KeyTable, t, nil)
	h.notifyWatchers()
}
