package lease

import (
	"slices"
	"time"
)

// safetyMargin is the part of the lease that its holder does not use. It
// covers the difference between the rates of two nodes' clocks.
const safetyMargin = 0.05

// maxFruitlessCampaign is for how many lease durations a candidate campaigns
// without holding the lease before it steps back.
const maxFruitlessCampaign = 3

// stepBackLeases is for how many lease durations a candidate that campaigned
// in vain leaves the role to others.
const stepBackLeases = 2

// Candidate is one node's side of the lease of one singleton role. It decides
// whether the node campaigns, builds the request for the voters, counts their
// grants, and tells whether the node holds the lease at a given moment.
//
// It is a pure state machine without locks: the caller makes one call at a
// time. All times are readings of the node's own monotonic clock.
type Candidate struct {
	// Role names the singleton role.
	Role string
	// Self is the ID of this node.
	Self string
	// ObservedEpoch is the highest epoch known to be in use, and
	// ObservedHolder the node that uses it.
	ObservedEpoch  int64
	ObservedHolder string

	leaseDuration time.Duration
	startedAt     time.Duration
	// incarnation numbers the starts of this node's process. It is 0 until the
	// number is on disk; before that no request may bear it.
	incarnation int64

	// votersSlot is the log slot that decided the voters. order lists them in
	// the order in which they are preferred as the holder.
	votersSlot int64
	order      []string

	// lastHeartbeat is when each other node was heard last, and declined
	// whether it said then that it can't have the role.
	lastHeartbeat map[string]time.Duration
	declined      map[string]bool

	// request is what the voters are asked for now; its epoch is 0 where the
	// node does not campaign. highestEpoch is the highest epoch that anybody
	// is known to have requested.
	request      Request
	highestEpoch int64
	// grantedFrom holds, by voter, when the last request that it granted was sent.
	grantedFrom map[string]time.Duration

	// lastProgress is when the lease was held last, or when the campaign
	// began; 0 outside a campaign. Before steppedBackUntil the node is not eligible.
	lastProgress     time.Duration
	steppedBackUntil time.Duration
}

// NewCandidate makes the candidate of a node that starts at now.
func NewCandidate(role, self string, leaseDuration, now time.Duration) *Candidate {
	return &Candidate{
		Role:          role,
		Self:          self,
		leaseDuration: leaseDuration,
		startedAt:     now,
		lastHeartbeat: map[string]time.Duration{},
		declined:      map[string]bool{},
		grantedFrom:   map[string]time.Duration{},
	}
}

// SetIncarnation sets the number of this start of the process, once it is on disk.
func (c *Candidate) SetIncarnation(incarnation int64) { c.incarnation = incarnation }

// SetVoters sets the agreed voters, most preferred holder first. A lease
// granted by another set of voters ends here.
func (c *Candidate) SetVoters(votersSlot int64, order []string) {
	if votersSlot != c.votersSlot {
		c.abandon()
	}
	c.votersSlot, c.order = votersSlot, order
}

// OnHeartbeat records a heartbeat of another node, which says whether that
// node may have the role.
func (c *Candidate) OnHeartbeat(id string, eligible bool, now time.Duration) {
	if id == "" || id == c.Self {
		return
	}
	c.lastHeartbeat[id] = now
	c.declined[id] = !eligible
}

// ObserveEpoch records that a holder uses an epoch. An own request for a lower
// epoch is abandoned. Of two holders of one epoch the greater ID is kept, so
// that all nodes name the same one.
func (c *Candidate) ObserveEpoch(epoch int64, holder string) {
	c.highestEpoch = max(c.highestEpoch, epoch)
	if epoch > c.ObservedEpoch || epoch == c.ObservedEpoch && holder > c.ObservedHolder {
		c.ObservedEpoch, c.ObservedHolder = epoch, holder
	}
	if holder != c.Self && epoch > c.request.Epoch {
		c.abandon()
	}
}

// abandon gives up the present request and with it the lease. Its epoch is
// not requested again.
func (c *Candidate) abandon() {
	c.highestEpoch = max(c.highestEpoch, c.request.Epoch)
	c.request = Request{}
	clear(c.grantedFrom)
}

// Alive tells whether a node was heard within the last lease duration. A node
// that was never heard is not alive.
func (c *Candidate) Alive(id string, now time.Duration) bool {
	at, heard := c.lastHeartbeat[id]
	return id == c.Self || heard && now-at < c.leaseDuration
}

// LastHeard is when another node was heard last. heard is false for a node that
// this process never heard, whatever it may have heard in an earlier run.
func (c *Candidate) LastHeard(id string) (at time.Duration, heard bool) {
	at, heard = c.lastHeartbeat[id]
	return at, heard
}

// PreferredHolder is the first voter that is alive and eligible, or "" if there is none.
func (c *Candidate) PreferredHolder(now time.Duration) string {
	for _, id := range c.order {
		eligible := c.Alive(id, now) && !c.declined[id]
		if id == c.Self {
			eligible = c.Eligible(now)
		}
		if eligible {
			return id
		}
	}
	return ""
}

// Eligible tells whether this node may have the role: it hears a majority of
// the voters and did not campaign in vain just now.
func (c *Candidate) Eligible(now time.Duration) bool {
	alive := 0
	for _, id := range c.order {
		if c.Alive(id, now) {
			alive++
		}
	}
	return now >= c.steppedBackUntil && alive >= c.majority()
}

func (c *Candidate) majority() int { return len(c.order)/2 + 1 }

// NextRequest is the request to send to the voters now; ok is false where this
// node does not campaign. While the lease is held, the same request renews it.
func (c *Candidate) NextRequest(now time.Duration) (r Request, ok bool) {
	if !c.mayCampaign(now) {
		c.lastProgress = 0
		return Request{}, false
	}
	if c.request.Epoch == 0 {
		c.request = Request{
			Role:        c.Role,
			Epoch:       max(c.highestEpoch+1, firstEpoch(c.votersSlot)),
			Holder:      c.Self,
			Incarnation: c.incarnation,
			VotersSlot:  c.votersSlot,
		}
	}
	if c.Holds(now) || c.lastProgress == 0 {
		c.lastProgress = now
	}
	if now-c.lastProgress > maxFruitlessCampaign*c.leaseDuration {
		c.steppedBackUntil, c.lastProgress = now+stepBackLeases*c.leaseDuration, 0
		return Request{}, false
	}
	return c.request, true
}

// mayCampaign tells whether this node is the one to ask for the lease. All but
// the most preferred voter wait for a lease duration after their start, so
// that they have heard of those preferred to them.
func (c *Candidate) mayCampaign(now time.Duration) bool {
	if c.incarnation == 0 || c.PreferredHolder(now) != c.Self {
		return false
	}
	return c.order[0] == c.Self || now-c.startedAt >= c.leaseDuration
}

// NeedsGrantFrom tells whether a voter did not grant the present request
// within the last lease duration.
func (c *Candidate) NeedsGrantFrom(voter string, now time.Duration) bool {
	sent, granted := c.grantedFrom[voter]
	return !granted || now-sent >= c.leaseDuration
}

// OnResponse takes a voter's response to a request sent at that time. The
// grant counts from the sending: when the voter handled the request is not
// known, only that it was no earlier.
func (c *Candidate) OnResponse(request Request, response Response, sent, now time.Duration) {
	c.highestEpoch = max(c.highestEpoch, response.Record.Epoch)
	if request != c.request || request.Epoch == 0 || !slices.Contains(c.order, response.Voter) {
		return
	}
	if response.Granted {
		c.onGrant(response.Voter, sent)
		return
	}
	superseded := response.Record.Epoch >= request.Epoch && response.Record != request.record()
	if superseded && !c.Holds(now) {
		// The voter granted another request; only a higher epoch can win.
		c.abandon()
	}
}

// onGrant counts a grant. Responses may arrive out of order; the latest sending counts.
func (c *Candidate) onGrant(voter string, sent time.Duration) {
	if last, granted := c.grantedFrom[voter]; !granted || sent > last {
		c.grantedFrom[voter] = sent
	}
	if len(c.grantedFrom) >= c.majority() {
		c.ObserveEpoch(c.request.Epoch, c.Self)
	}
}

// LeaseStart is the latest time from which on a majority of the voters granted
// what was sent; the lease counts from it. ok is false where no majority has
// granted the present request.
func (c *Candidate) LeaseStart() (start time.Duration, ok bool) {
	if c.request.Epoch == 0 || len(c.grantedFrom) < c.majority() {
		return 0, false
	}
	var sent []time.Duration
	for _, at := range c.grantedFrom {
		sent = append(sent, at)
	}
	slices.Sort(sent)
	return sent[len(sent)-c.majority()], true
}

// Holds tells whether this node holds the lease at now.
func (c *Candidate) Holds(now time.Duration) bool {
	start, ok := c.LeaseStart()
	return ok && now-start < c.leaseDuration-time.Duration(safetyMargin*float64(c.leaseDuration))
}

// FencingToken is the epoch under which this node may act at now; ok is false
// where it does not hold the lease. What began under a token may take effect
// only while the same token is still held.
func (c *Candidate) FencingToken(now time.Duration) (epoch int64, ok bool) {
	return c.request.Epoch, c.Holds(now)
}

// YieldToPreferred resigns where another voter is preferred as the holder now.
func (c *Candidate) YieldToPreferred(now time.Duration) (released Request, ok bool) {
	if preferred := c.PreferredHolder(now); preferred == c.Self || preferred == "" {
		return Request{}, false
	}
	return c.Resign()
}

// Resign gives up the lease, or the campaign for it. The voters should be sent
// the released request, so that nobody waits for the lease to expire; ok is
// false where there is none.
func (c *Candidate) Resign() (released Request, ok bool) {
	if c.request.Epoch == 0 {
		return Request{}, false
	}
	released = c.request
	c.abandon()
	c.lastProgress = 0
	return released, true
}
