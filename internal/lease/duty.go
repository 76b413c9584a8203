package lease

import (
	"slices"
	"time"
)

// Duty is one node's view of one duty, and its part as candidate and holder.
type Duty struct {
	Name string
	Self string
	// Epoch is the highest epoch known to be used; Holder is who uses it.
	Epoch  int64
	Holder string

	order      []string
	votersSlot int64
	lease      time.Duration
	heard      map[string]time.Duration
	passed     map[string]bool
	since      time.Duration
	// life is this node's; 0: it is not on disk yet, and can't be named in a bid.
	life int64
	// seen is the highest epoch that anybody bid.
	seen int64
	// bid is what was asked last; granted holds by voter when the asking was
	// sent that it granted last.
	bid     Bid
	granted map[string]time.Duration
	// idle is when the lease last ran, or the bidding began; unfit, until
	// then, this node leaves the duty to others.
	idle  time.Duration
	unfit time.Duration
}

// marginShare of a lease is not used by the holder.
const marginShare = 0.05

// patience is how many leases a candidate bids in vain before it lets others try.
const patience = 3

// New makes a duty; a node not heard for a lease counts as not live.
func New(name, self string, lease, now time.Duration) *Duty {
	return &Duty{Name: name, Self: self, lease: lease, since: now, heard: map[string]time.Duration{}, passed: map[string]bool{}, granted: map[string]time.Duration{}}
}

// SetLife gives the number of this life, once it is on disk.
func (d *Duty) SetLife(life int64) { d.life = life }

// SetVoters gives the agreed voters, in the order in which they have the duty.
func (d *Duty) SetVoters(votersSlot int64, ids []string) {
	if votersSlot != d.votersSlot {
		d.drop()
	}
	d.votersSlot, d.order = votersSlot, ids
}

// Hear notes a sign of life; fit: that node may have the duty.
func (d *Duty) Hear(id string, fit bool, now time.Duration) {
	if id != "" && id != d.Self {
		d.heard[id] = now
		d.passed[id] = !fit
	}
}

// See notes an epoch in use. Of two holders of one epoch the greater name counts.
func (d *Duty) See(epoch int64, holder string) {
	d.seen = max(d.seen, epoch)
	if epoch > d.Epoch || epoch == d.Epoch && holder > d.Holder {
		d.Epoch, d.Holder = epoch, holder
	}
	if holder != d.Self && epoch > d.bid.Epoch {
		d.drop()
	}
}

func (d *Duty) drop() {
	d.seen = max(d.seen, d.bid.Epoch)
	d.bid = Bid{}
	clear(d.granted)
}

// Live tells whether a node was heard lately.
func (d *Duty) Live(id string, now time.Duration) bool {
	t, ok := d.heard[id]
	return id == d.Self || ok && now-t < d.lease
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

// First is the first node in the order that is live and not passed over.
func (d *Duty) First(now time.Duration) string {
	for _, id := range d.order {
		if id == d.Self && d.Fit(now) || id != d.Self && d.Live(id, now) && !d.passed[id] {
			return id
		}
	}
	return ""
}

// Fit tells whether this node may have the duty: it hears a majority of the
// voters, and did not bid in vain just now.
func (d *Duty) Fit(now time.Duration) bool {
	n := 0
	for _, id := range d.order {
		if d.Live(id, now) {
			n++
		}
	}
	return now >= d.unfit && n >= d.majority()
}

func (d *Duty) majority() int { return len(d.order)/2 + 1 }

// Ask gives what to ask the voters for now, if this node is the one to bid.
// Right after the start it waits long enough to hear of those before it.
func (d *Duty) Ask(now time.Duration) (Bid, bool) {
	if d.life == 0 || d.First(now) != d.Self || d.order[0] != d.Self && now-d.since < d.lease {
		d.idle = 0
		return Bid{}, false
	}
	if d.bid.Epoch == 0 {
		d.bid = Bid{d.Name, max(d.seen+1, firstEpoch(d.votersSlot)), d.Self, d.life, d.votersSlot}
	}
	if d.Holds(now) || d.idle == 0 {
		d.idle = now
	}
	if now-d.idle > patience*d.lease {
		d.unfit, d.idle = now+2*d.lease, 0
		return Bid{}, false
	}
	return d.bid, true
}

// Missing tells whether that voter has not granted the present bid, or not for a lease.
func (d *Duty) Missing(id string, now time.Duration) bool {
	t, ok := d.granted[id]
	return !ok || now-t >= d.lease
}

// Answer takes a voter's answer to a bid that was sent then. The lease counts
// from the sending: when the voter took the bid is not known, only that it
// was no earlier.
func (d *Duty) Answer(b Bid, g Grant, sent, now time.Duration) {
	d.seen = max(d.seen, g.Record.Epoch)
	if b != d.bid || b.Epoch == 0 || !slices.Contains(d.order, g.Voter) {
		return
	}
	switch {
	case g.OK:
		if t, ok := d.granted[g.Voter]; !ok || sent > t {
			d.granted[g.Voter] = sent
		}
		if len(d.granted) >= d.majority() {
			d.See(b.Epoch, d.Self)
		}
	case g.Record.Epoch >= b.Epoch && g.Record != b.record() && !d.Holds(now):
		// Another epoch is granted there: only a higher one can win.
		d.drop()
	}
}

// Since is when the lease counts from by this node's clock: a majority of the
// voters granted what was sent then or later.
func (d *Duty) Since() (sent time.Duration, ok bool) {
	if d.bid.Epoch == 0 || len(d.granted) < d.majority() {
		return 0, false
	}
	var all []time.Duration
	for _, t := range d.granted {
		all = append(all, t)
	}
	slices.Sort(all)
	return all[len(all)-d.majority()], true
}

// Holds tells whether this node has the duty at this moment.
func (d *Duty) Holds(now time.Duration) bool {
	sent, ok := d.Since()
	return ok && now-sent < d.lease-time.Duration(marginShare*float64(d.lease))
}

// Token is the epoch under which this node may act at this moment.
func (d *Duty) Token(now time.Duration) (epoch int64, ok bool) {
	return d.bid.Epoch, d.Holds(now)
}

// Yield ends this node's bid where another is to have the duty now, or at
// once; the voters are told, so that nobody waits for the lease to run out.
func (d *Duty) Yield(atOnce bool, now time.Duration) (Bid, bool) {
	first := d.First(now)
	if d.bid.Epoch == 0 || !atOnce && (first == d.Self || first == "") {
		return Bid{}, false
	}
	b := d.bid
	d.drop()
	d.idle = 0
	return b, true
}
