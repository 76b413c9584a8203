package lease

import (
	"maps"
	"time"
)

// Voter grants the leases of the singleton roles as one of the voters. The
// records of what it granted are durable; the times at which leases expire are
// in memory only, on its own monotonic clock.
//
// It is a pure state machine without locks: the caller makes one call at a
// time, writes Records to disk and reports that with MarkDurable.
type Voter struct {
	self          string
	leaseDuration time.Duration

	// votersSlot is the log slot that decided the voters that this one knows,
	// and isVoter whether it is among them. While reconfigurationPending, it has
	// accepted other voters without knowing whether they were chosen.
	votersSlot             int64
	isVoter                bool
	reconfigurationPending bool

	// startedAt is when this process started. When the leases expire that an
	// earlier one granted or renewed is not known.
	startedAt time.Duration
	// blockedUntil is the time before which it grants no new request, since
	// leases may run that it never heard of.
	blockedUntil time.Duration

	// records and expiresAt are kept by role.
	records   map[string]Record
	expiresAt map[string]time.Duration

	// lastWrite numbers the changes of the records; those up to durableWrite
	// are on disk.
	lastWrite    int64
	durableWrite int64
}

// NewVoter makes a voter that starts at now from the records on its disk and
// the newest voters that it knows.
func NewVoter(self string, leaseDuration time.Duration, records map[string]Record, votersSlot int64, isVoter bool, now time.Duration) *Voter {
	v := &Voter{
		self:          self,
		leaseDuration: leaseDuration,
		votersSlot:    votersSlot,
		isVoter:       isVoter,
		startedAt:     now,
		blockedUntil:  now,
		records:       maps.Clone(records),
		expiresAt:     map[string]time.Duration{},
	}
	if v.records == nil {
		v.records = map[string]Record{}
	}
	return v
}

// SetVoters follows a change of the voters; consecutive tells that no other
// set lay between the one known before and this one. A node that was no voter
// before, or that may have been none in between, grants nothing new for a
// whole lease duration: it does not know which leases run.
func (v *Voter) SetVoters(votersSlot int64, isVoter, consecutive bool, now time.Duration) {
	if votersSlot <= v.votersSlot {
		return
	}
	knowsLeases := v.isVoter && consecutive
	if isVoter && !knowsLeases {
		v.blockedUntil = now + v.leaseDuration
	}
	v.votersSlot, v.isVoter = votersSlot, isVoter
}

// SetReconfigurationPending tells whether this voter accepted other voters for
// the open log slot. While it does not know the outcome it grants and renews
// nothing, since the other voters may be in force already.
func (v *Voter) SetReconfigurationPending(pending bool) { v.reconfigurationPending = pending }

// Records are what must be on disk, by role, and the number of that write.
func (v *Voter) Records() (records map[string]Record, write int64) {
	return maps.Clone(v.records), v.lastWrite
}

// MarkDurable records that the write of that number is on disk.
func (v *Voter) MarkDurable(write int64) { v.durableWrite = max(v.durableWrite, write) }

// HandleRequest answers a request. Where write is above 0, the response may
// leave only once the write of that number is on disk: a voter that forgot a
// grant could grant its epoch a second time.
func (v *Voter) HandleRequest(r Request, now time.Duration) (response Response, write int64) {
	record := v.records[r.Role]
	response = Response{Voter: v.self, Record: record, VotersSlot: v.votersSlot}
	if !v.accepts(r) {
		return response, 0
	}
	if r.record() != record {
		if !v.mayGrant(r, record, now) {
			return response, 0
		}
		v.records[r.Role] = r.record()
		v.lastWrite++
	}
	v.expiresAt[r.Role] = now + v.leaseDuration
	response.Granted, response.Record = true, r.record()
	if v.durableWrite < v.lastWrite {
		write = v.lastWrite
	}
	return response, write
}

// accepts tells whether the request is for the set of voters in force, as far
// as this voter knows, and this voter is one of them.
func (v *Voter) accepts(r Request) bool {
	return v.isVoter && !v.reconfigurationPending && r.VotersSlot == v.votersSlot && votersSlotOf(r.Epoch) == r.VotersSlot
}

// mayGrant tells whether a request other than the recorded one may be granted.
func (v *Voter) mayGrant(r Request, record Record, now time.Duration) bool {
	sameHolder := r.Holder == record.Holder
	switch {
	case r.Epoch <= record.Epoch:
		return false
	case sameHolder && r.Incarnation < record.Incarnation:
		return false
	case now < v.blockedUntil:
		return false
	case !sameHolder && now < v.expiresAt[r.Role]:
		return false
	case now < v.startedAt+v.leaseDuration:
		return v.mayGrantAfterStart(record, sameHolder)
	}
	return true
}

// mayGrantAfterStart tells whether a request may be granted before a lease
// duration has passed since the start. The record names the only holder whose
// lease may rest on this voter, if this set of voters granted it. Where there
// is no record and no other set of voters before, nothing was ever granted.
func (v *Voter) mayGrantAfterStart(record Record, sameHolder bool) bool {
	if sameHolder && votersSlotOf(record.Epoch) == v.votersSlot {
		return true
	}
	return record.Epoch == 0 && v.votersSlot == 0
}

// HandleRelease ends the lease of that request before it expires. A release
// that arrives after another request was granted has no effect.
func (v *Voter) HandleRelease(r Request, now time.Duration) {
	if v.records[r.Role] == r.record() {
		v.expiresAt[r.Role] = now
	}
}
