package warden

import "time"

// Duty is one node's view of one duty.
type Duty struct {
	Self string
	// Epoch is the highest epoch seen; Holder is who holds it.
	Epoch  int64
	Holder string

	order []string
	heard map[string]time.Duration
	down  time.Duration
	since time.Duration
	// mine: the epoch held was taken in this life. One that an earlier life
	// took is worth nothing: its reports may be newer than what this life knows.
	mine bool
	// unfit, until then, this node can't keep an epoch and leaves the duty to others.
	unfit time.Duration
}

// New makes a duty; a node not heard for down counts as not live.
func New(self string, epoch int64, down, now time.Duration) *Duty {
	return &Duty{Self: self, Epoch: epoch, down: down, since: now, heard: map[string]time.Duration{}}
}

// SetOrder gives the agreed order of the nodes that may have the duty.
func (d *Duty) SetOrder(ids []string) { d.order = ids }

// Hear notes a sign of life and the epoch that the node knows.
func (d *Duty) Hear(id string, epoch int64, holder string, now time.Duration) {
	if id != "" && id != d.Self {
		d.heard[id] = now
	}
	d.See(epoch, holder)
}

// See notes an epoch. Of two holders of one epoch the greater name counts.
func (d *Duty) See(epoch int64, holder string) {
	if epoch > d.Epoch || epoch == d.Epoch && holder > d.Holder {
		d.Epoch, d.Holder, d.mine = epoch, holder, false
	}
}

// Leave forgets a node that said it goes.
func (d *Duty) Leave(id string) { delete(d.heard, id) }

// Live tells whether a node was heard lately.
func (d *Duty) Live(id string, now time.Duration) bool {
	if id == d.Self {
		return true
	}
	t, ok := d.heard[id]
	return ok && now-t < d.down
}

// Silent is how long a node has not been heard; a node never heard counts from the start.
func (d *Duty) Silent(id string, now time.Duration) time.Duration {
	if id == d.Self {
		return 0
	}
	if t, ok := d.heard[id]; ok {
		return now - t
	}
	return now - d.since
}

// First is the first live node in the order.
func (d *Duty) First(now time.Duration) string {
	for _, id := range d.order {
		if d.Live(id, now) {
			return id
		}
	}
	return ""
}

// Unfit passes the duty on until then: the epoch could not be kept on disk.
func (d *Duty) Unfit(until time.Duration) { d.mine, d.unfit = false, until }

// Fit tells whether this node may have the duty.
func (d *Duty) Fit(now time.Duration) bool { return now >= d.unfit }

// Holds tells whether this node took the present epoch in this life.
func (d *Duty) Holds() bool { return d.mine && d.Holder == d.Self }

// Alone tells whether nobody else could have the duty.
func (d *Duty) Alone(now time.Duration) bool {
	for _, id := range d.order {
		if id != d.Self && d.Live(id, now) {
			return false
		}
	}
	return true
}

// Mine tells whether this node has the duty, taking it under the next epoch
// where it is first and did not take the present one in this life. Right
// after the start a node waits long enough to hear of those before it.
func (d *Duty) Mine(now time.Duration) (mine, taken bool) {
	if d.First(now) != d.Self || len(d.order) == 0 {
		return false, false
	}
	if d.order[0] != d.Self && now-d.since < d.down {
		return false, false
	}
	if !d.Fit(now) && !d.Alone(now) {
		return false, false
	}
	if d.Holds() {
		return true, false
	}
	d.Epoch, d.Holder, d.mine = d.Epoch+1, d.Self, true
	return true, true
}
