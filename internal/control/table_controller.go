package control

import (
	"swiftswitch/internal/codec"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
)

// maxPastTables is how many earlier tables are kept to compute deltas from.
const maxPastTables = 8

// tableCallHeartbeats bounds one call that sends or fetches a table, in
// heartbeat intervals.
const tableCallHeartbeats = 0.8

// tableController holds the endpoint table, merges it with the tables of other
// control nodes and distributes it to them as deltas. Of two tables the one
// with the later stamp wins; a stamp begins with the fencing epoch of the node
// that polled.
//
// Its fields and methods belong to the server's command loop.
type tableController struct {
	host  *host.Host
	store *storage.Store
	// candidate observes the epochs that received tables were made under. It is
	// set before the loops run.
	candidate *lease.Candidate
	// changed is called after another table came into force.
	changed func()

	// current is nil until the first table is known.
	current *endpoints.Table
	// past holds the last tables before current, oldest first, and deltas the
	// packed difference from one of them to current, by its stamp.
	past   []*endpoints.Table
	deltas map[endpoints.Stamp][]byte
}

// newTableController starts with the table that was on disk, or nil. The
// candidate must be set before a table is merged.
func newTableController(s *Server, table *endpoints.Table) *tableController {
	return &tableController{
		host:    s.host,
		store:   s.store,
		changed: s.notifyWatchers,
		current: table,
		deltas:  map[endpoints.Stamp][]byte{},
	}
}

// stamp is the stamp of the current table, the zero stamp where there is none.
func (t *tableController) stamp() endpoints.Stamp {
	if t.current == nil {
		return endpoints.Stamp{}
	}
	return t.current.Stamp
}

// delta returns the packed difference from the table with the stamp base to the
// current one, or the complete table where base is no longer known. It is
// packed once for all nodes with the same base. There must be a current table.
func (t *tableController) delta(base endpoints.Stamp) []byte {
	var from *endpoints.Table
	for _, past := range t.past {
		if past.Stamp == base {
			from = past
		}
	}
	if from == nil {
		base = endpoints.Stamp{}
	}
	packed, ok := t.deltas[base]
	if !ok {
		packed = codec.Gzip(codec.MustEncode("delta", endpoints.Diff(from, t.current)))
		t.deltas[base] = packed
	}
	return packed
}

// send brings another control node from the table with the stamp base to the
// current one. Where the delta did not fit, the complete table follows. The
// calls run in the background: what gets lost is sent again after a heartbeat.
func (t *tableController) send(ip string, base endpoints.Stamp) {
	stamp := t.current.Stamp
	delta := t.delta(base)
	complete := t.delta(endpoints.Stamp{})
	go func() {
		address := t.host.Settings().InternalAddress(ip)
		timeout := t.host.Heartbeats(tableCallHeartbeats)
		var response nodeapi.TableResponse
		err := t.host.Client.CallJSON(address, nodeapi.PathTable, nodeapi.TableRequest{Delta: delta}, &response, timeout)
		if err == nil && response.Stamp.Before(stamp) {
			_ = t.host.Client.CallJSON(address, nodeapi.PathTable, nodeapi.TableRequest{Delta: complete}, &response, timeout)
		}
	}()
}

// applyDelta merges what another control node sent and returns the stamp of the
// table that is current then. A delta from another table than the current one
// does not fit and changes nothing.
func (t *tableController) applyDelta(d *endpoints.Delta) endpoints.Stamp {
	if received, err := t.current.ApplyDelta(d); err == nil {
		t.merge(received)
	}
	return t.stamp()
}

// merge takes the table of another control node. A table made under a fenced
// epoch is rejected where it is older than the current one.
func (t *tableController) merge(received *endpoints.Table) {
	observed := t.candidate.ObservedEpoch
	if received.Stamp.Epoch < observed && t.current != nil && received.Stamp.Before(t.current.Stamp) {
		events.Log(events.StaleEpochRejected, "epoch", received.Stamp.Epoch, "known", observed)
		return
	}
	t.candidate.ObserveEpoch(received.Stamp.Epoch, received.Stamp.Holder)
	if merged := endpoints.Merge(t.current, received); merged != t.current {
		t.set(merged)
	}
}

// set puts a newer table into force and writes it to disk.
func (t *tableController) set(table *endpoints.Table) {
	if t.current != nil {
		t.past = append(t.past, t.current)
		t.past = t.past[max(0, len(t.past)-maxPastTables):]
	}
	t.current = table
	clear(t.deltas)
	records.TableRecord.Put(t.store, table, nil)
	t.changed()
}
