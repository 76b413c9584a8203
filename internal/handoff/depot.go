package handoff

// Depot tracks, for each node, the last decided slot that it confirmed.
type Depot struct {
	held map[string]int64
	busy map[string]bool
}

// New makes an empty depot.
func New() *Depot { return &Depot{held: map[string]int64{}, busy: map[string]bool{}} }

// Confirm notes that a node holds everything up to slot.
func (d *Depot) Confirm(ip string, slot int64) { d.held[ip] = slot }

// Owed tells whether a node misses something up to slot and nothing is on its way to it.
func (d *Depot) Owed(ip string, slot int64) bool {
	h, known := d.held[ip]
	return known && h < slot && !d.busy[ip]
}

// Holds tells whether a node confirmed slot.
func (d *Depot) Holds(ip string, slot int64) bool {
	h, known := d.held[ip]
	return known && h >= slot
}

// Start and End bound one hand-over.
func (d *Depot) Start(ip string) { d.busy[ip] = true }

// End closes a hand-over; held is what the node has now, below 0 when it failed.
func (d *Depot) End(ip string, held int64) {
	delete(d.busy, ip)
	if held >= 0 {
		d.held[ip] = held
	}
}

// Forget drops a node that is no longer one of the system's.
func (d *Depot) Forget(ip string) { delete(d.held, ip); delete(d.busy, ip) }
