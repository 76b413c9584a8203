package lease

import (
	"slices"
	"time"
)

// Candidate is one node's view of one duty, and its part as candidate and holder.
type Candidate struct {
	Role string
	Self string
	// ObservedEpoch is the highest epoch known to be used; Holder is who uses it.
	ObservedEpoch  int64
	ObservedHolder string

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
	bid     Request
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

// NewCandidate makes a duty; a node not heard for a lease counts as not live.
func NewCandidate(name, self string, lease, now time.Duration) *Candidate {
	return &Candidate{Role: name, Self: self, lease: lease, since: now, heard: map[string]time.Duration{}, passed: map[string]bool{}, granted: map[string]time.Duration{}}
}

// SetIncarnation gives the number of this life, once it is on disk.
func (d *Candidate) SetIncarnation(life int64) { d.life = life }

// SetVoters gives the agreed voters, in the order in which they have the duty.
func (d *Candidate) SetVoters(votersSlot int64, ids []string) {
	if votersSlot != d.votersSlot {
		d.drop()
	}
	d.votersSlot, d.order = votersSlot, ids
}

// OnHeartbeat notes a sign of life; fit: that node may have the duty.
func (d *Candidate) OnHeartbeat(id string, fit bool, now time.Duration) {
	if id != "" && id != d.Self {
		d.heard[id] = now
		d.passed[id] = !fit
	}
}

// ObserveEpoch notes an epoch in use. Of two holders of one epoch the greater name counts.
func (d *Candidate) ObserveEpoch(epoch int64, holder string) {
	d.seen = max(d.seen, epoch)
	if epoch > d.ObservedEpoch || epoch == d.ObservedEpoch && holder > d.ObservedHolder {
		d.ObservedEpoch, d.ObservedHolder = epoch, holder
	}
	if holder != d.Self && epoch > d.bid.Epoch {
		d.drop()
	}
}

func (d *Candidate) drop() {
	d.seen = max(d.seen, d.bid.Epoch)
	d.bid = Request{}
	clear(d.granted)
}

// Alive tells whether a node was heard lately.
func (d *Candidate) Alive(id string, now time.Duration) bool {
	t, ok := d.heard[id]
	return id == d.Self || ok && now-t < d.lease
}

// SilentFor is how long a node has not been heard; a node never heard counts from the start.
func (d *Candidate) SilentFor(id string, now time.Duration) time.Duration {
	if id == d.Self {
		return 0
	}
	if t, ok := d.heard[id]; ok {
		return now - t
	}
	return now - d.since
}

// PreferredHolder is the first node in the order that is live and not passed over.
func (d *Candidate) PreferredHolder(now time.Duration) string {
	for _, id := range d.order {
		if id == d.Self && d.Eligible(now) || id != d.Self && d.Alive(id, now) && !d.passed[id] {
			return id
		}
	}
	return ""
}

// Eligible tells whether this node may have the duty: it hears a majority of the
// voters, and did not bid in vain just now.
func (d *Candidate) Eligible(now time.Duration) bool {
	n := 0
	for _, id := range d.order {
		if d.Alive(id, now) {
			n++
		}
	}
	return now >= d.unfit && n >= d.majority()
}

func (d *Candidate) majority() int { return len(d.order)/2 + 1 }

// NextRequest gives what to ask the voters for now, if this node is the one to bid.
// Right after the start it waits long enough to hear of those before it.
func (d *Candidate) NextRequest(now time.Duration) (Request, bool) {
	if d.life == 0 || d.PreferredHolder(now) != d.Self || d.order[0] != d.Self && now-d.since < d.lease {
		d.idle = 0
		return Request{}, false
	}
	if d.bid.Epoch == 0 {
		d.bid = Request{d.Role, max(d.seen+1, firstEpoch(d.votersSlot)), d.Self, d.life, d.votersSlot}
	}
	if d.Holds(now) || d.idle == 0 {
		d.idle = now
	}
	if now-d.idle > patience*d.lease {
		d.unfit, d.idle = now+2*d.lease, 0
		return Request{}, false
	}
	return d.bid, true
}

// NeedsGrantFrom tells whether that voter has not granted the present bid, or not for a lease.
func (d *Candidate) NeedsGrantFrom(id string, now time.Duration) bool {
	t, ok := d.granted[id]
	return !ok || now-t >= d.lease
}

// OnResponse takes a voter's answer to a bid that was sent then. The lease counts
// from the sending: when the voter took the bid is not known, only that it
// was no earlier.
func (d *Candidate) OnResponse(b Request, g Response, sent, now time.Duration) {
	d.seen = max(d.seen, g.Record.Epoch)
	if b != d.bid || b.Epoch == 0 || !slices.Contains(d.order, g.Voter) {
		return
	}
	switch {
	case g.Granted:
		if t, ok := d.granted[g.Voter]; !ok || sent > t {
			d.granted[g.Voter] = sent
		}
		if len(d.granted) >= d.majority() {
			d.ObserveEpoch(b.Epoch, d.Self)
		}
	case g.Record.Epoch >= b.Epoch && g.Record != b.record() && !d.Holds(now):
		// Another epoch is granted there: only a higher one can win.
		d.drop()
	}
}

// LeaseStart is when the lease counts from by this node's clock: a majority of the
// voters granted what was sent then or later.
func (d *Candidate) LeaseStart() (sent time.Duration, ok bool) {
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
func (d *Candidate) Holds(now time.Duration) bool {
	sent, ok := d.LeaseStart()
	return ok && now-sent < d.lease-time.Duration(marginShare*float64(d.lease))
}

// FencingToken is the epoch under which this node may act at this moment.
func (d *Candidate) FencingToken(now time.Duration) (epoch int64, ok bool) {
	return d.bid.Epoch, d.Holds(now)
}

// Release ends this node's bid where another is to have the duty now, or at
// once; the voters are told, so that nobody waits for the lease to run out.
func (d *Candidate) Release(atOnce bool, now time.Duration) (Request, bool) {
	first := d.PreferredHolder(now)
	if d.bid.Epoch == 0 || !atOnce && (first == d.Self || first == "") {
		return Request{}, false
	}
	b := d.bid
	d.drop()
	d.idle = 0
	return b, true
}
