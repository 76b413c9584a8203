package handoff

// Tracker tracks, for each node, the last decided slot that it confirmed.
type Tracker struct {
	held map[string]int64
	busy map[string]bool
}

// NewTracker makes an empty depot.
func NewTracker() *Tracker { return &Tracker{held: map[string]int64{}, busy: map[string]bool{}} }

// OnAcknowledged notes that a node holds everything up to slot.
func (d *Tracker) OnAcknowledged(ip string, slot int64) { d.held[ip] = slot }

// NeedsHandoff tells whether a node misses something up to slot and nothing is on its way to it.
func (d *Tracker) NeedsHandoff(ip string, slot int64) bool {
	h, known := d.held[ip]
	return known && h < slot && !d.busy[ip]
}

// Holds tells whether a node confirmed slot.
func (d *Tracker) Holds(ip string, slot int64) bool {
	h, known := d.held[ip]
	return known && h >= slot
}

// Begin and End bound one hand-over.
func (d *Tracker) Begin(ip string) { d.busy[ip] = true }

// Finish closes a hand-over; held is what the node has now, below 0 when it failed.
func (d *Tracker) Finish(ip string, held int64) {
	delete(d.busy, ip)
	if held >= 0 {
		d.held[ip] = held
	}
}

// Forget drops a node that is no longer one of the system's.
func (d *Tracker) Forget(ip string) { delete(d.held, ip); delete(d.busy, ip) }
