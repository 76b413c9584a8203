package front

import (
	"sync/atomic"

	"swiftswitch/internal/endpoints"
)

// progress is how far a node has followed the cluster's state, as it reports
// to the control nodes that it watches. It is never changed once published.
type progress struct {
	// slot is the last decided slot whose configuration the node holds.
	slot int64
	// version is the version of the newest configuration held.
	version int64
	// knownPurge is the number of the last purge known, below 0 if none is.
	knownPurge int64
	// rolloutSlot is the slot up to which all rollouts are known, below 0 if
	// none are.
	rolloutSlot int64
	// table orders the endpoint table held.
	table endpoints.Stamp
}

// progressTracker publishes a node's progress. Any goroutine may load it; only
// the server's loop updates it.
type progressTracker struct {
	current atomic.Pointer[progress]
}

func newProgressTracker() *progressTracker {
	t := &progressTracker{}
	t.current.Store(&progress{slot: -1, knownPurge: -1, rolloutSlot: -1})
	return t
}

func (t *progressTracker) load() *progress { return t.current.Load() }

// update replaces the progress by a changed copy. It runs on the loop.
func (t *progressTracker) update(change func(p *progress)) {
	p := *t.current.Load()
	change(&p)
	t.current.Store(&p)
}
