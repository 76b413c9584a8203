package handoff

// Tracker holds, by the node's address, the last slot that each other node
// acknowledged, and which nodes a handoff is in progress to. It is a pure state
// machine without locks: the caller makes one call at a time.
type Tracker struct {
	acknowledged map[string]int64
	inProgress   map[string]bool
}

// NewTracker makes a tracker that knows of no node.
func NewTracker() *Tracker {
	return &Tracker{acknowledged: map[string]int64{}, inProgress: map[string]bool{}}
}

// OnAcknowledged records that a node has all slots up to this one on disk. The
// latest acknowledgment counts, also where it names a lower slot: the node may
// have lost its disk.
func (t *Tracker) OnAcknowledged(ip string, slot int64) { t.acknowledged[ip] = slot }

// NeedsHandoff tells whether a node misses something up to slot and no handoff
// to it is in progress. Nothing is handed to a node that was never heard.
func (t *Tracker) NeedsHandoff(ip string, slot int64) bool {
	acknowledged, known := t.acknowledged[ip]
	return known && acknowledged < slot && !t.inProgress[ip]
}

// Holds tells whether a node acknowledged slot.
func (t *Tracker) Holds(ip string, slot int64) bool {
	acknowledged, known := t.acknowledged[ip]
	return known && acknowledged >= slot
}

// Begin marks a handoff to a node as in progress, until Finish.
func (t *Tracker) Begin(ip string) { t.inProgress[ip] = true }

// Finish ends a handoff. The slot is the last that the node has on disk now; it
// is negative where the handoff failed.
func (t *Tracker) Finish(ip string, slot int64) {
	delete(t.inProgress, ip)
	if slot >= 0 {
		t.acknowledged[ip] = slot
	}
}

// Forget removes a node that is no longer part of the system.
func (t *Tracker) Forget(ip string) {
	delete(t.acknowledged, ip)
	delete(t.inProgress, ip)
}
