package lease

import (
	"maps"
	"time"
)

// epochsPerSet is how many epochs one set of voters can grant. The set's slot
// is the epoch's upper part, so that whatever an earlier set granted is lower,
// also where the voters that knew it are gone.
const epochsPerSet = 1 << 24

func firstEpoch(votersSlot int64) int64 { return votersSlot*epochsPerSet + 1 }

func setOf(epoch int64) int64 { return epoch / epochsPerSet }

// Record is what a voter keeps on disk of a duty: the highest epoch that it
// granted, and to which life of which holder.
type Record struct {
	Epoch       int64
	Holder      string
	Incarnation int64
}

// Request asks a voter for a duty's lease under an epoch; the same bid again
// renews it.
type Request struct {
	Role   string
	Epoch  int64
	Holder string
	// Incarnation numbers the lives of the holder's process; it is on its disk.
	Incarnation int64
	// VotersSlot is the slot that decided the voters that are asked.
	VotersSlot int64
}

func (b Request) record() Record { return Record{b.Epoch, b.Holder, b.Incarnation} }

// Response is a voter's answer.
type Response struct {
	Voter   string
	Granted bool
	// Record is what the voter has granted. It is not a promise unless OK.
	Record Record
	// VotersSlot is the slot that decided the voters that this one knows.
	VotersSlot int64
}

// Voter is one voter's part: what it granted of each duty. A lease runs by
// its own steady clock and is in memory only.
type Voter struct {
	self       string
	lease      time.Duration
	votersSlot int64
	votes      bool
	unsettled  bool
	// began is the start of this life: what an earlier one renewed is forgotten.
	began time.Duration
	// mute, until then, it grants nothing new: leases may run that it never heard of.
	mute    time.Duration
	records map[string]Record
	until   map[string]time.Duration
	// written and kept number the writes of the records.
	written, kept int64
}

// NewVoter makes a voter from what is on its disk.
func NewVoter(self string, lease time.Duration, records map[string]Record, votersSlot int64, votes bool, now time.Duration) *Voter {
	v := &Voter{self: self, lease: lease, votersSlot: votersSlot, votes: votes, began: now, mute: now, records: maps.Clone(records), until: map[string]time.Duration{}}
	if v.records == nil {
		v.records = map[string]Record{}
	}
	return v
}

// SetVoters follows the agreed voters. next: no other set lay between the one
// known before and this one. A voter that is new among them, or may have been
// out in between, is mute for a whole lease.
func (v *Voter) SetVoters(votersSlot int64, votes, next bool, now time.Duration) {
	if votersSlot <= v.votersSlot {
		return
	}
	if votes && !(v.votes && next) {
		v.mute = now + v.lease
	}
	v.votersSlot, v.votes = votersSlot, votes
}

// SetReconfigurationPending notes whether this voter accepted other voters for the open slot.
// Until it knows the outcome it grants and renews nothing: the others may be
// in force already.
func (v *Voter) SetReconfigurationPending(on bool) { v.unsettled = on }

// Records are what must be on disk, and the number of that write.
func (v *Voter) Records() (map[string]Record, int64) { return maps.Clone(v.records), v.written }

// MarkDurable notes that the write of that number is on disk.
func (v *Voter) MarkDurable(write int64) { v.kept = max(v.kept, write) }

// HandleRequest answers a bid. Where write is above 0, the answer leaves only once the
// records are on disk.
func (v *Voter) HandleRequest(b Request, now time.Duration) (g Response, write int64) {
	rec := v.records[b.Role]
	g = Response{Voter: v.self, Record: rec, VotersSlot: v.votersSlot}
	if !v.votes || v.unsettled || b.VotersSlot != v.votersSlot || setOf(b.Epoch) != b.VotersSlot {
		return g, 0
	}
	if b.record() != rec {
		if !v.free(b, rec, now) {
			return g, 0
		}
		v.records[b.Role] = b.record()
		v.written++
	}
	v.until[b.Role] = now + v.lease
	g.Granted, g.Record = true, b.record()
	if v.kept < v.written {
		write = v.written
	}
	return g, write
}

// free tells whether a new epoch may be granted.
func (v *Voter) free(b Request, rec Record, now time.Duration) bool {
	same := b.Holder == rec.Holder
	switch {
	case b.Epoch <= rec.Epoch, same && b.Incarnation < rec.Incarnation, now < v.mute:
		return false
	case !same && now < v.until[b.Role]:
		return false
	case now < v.began+v.lease:
		// The record names the only holder whose lease may rest on this voter,
		// if it was granted by this set. Without any since the first set,
		// nothing was ever granted.
		return same && setOf(rec.Epoch) == v.votersSlot || rec.Epoch == 0 && v.votersSlot == 0
	}
	return true
}

// HandleRelease ends the lease of that bid before its time.
func (v *Voter) HandleRelease(b Request, now time.Duration) {
	if v.records[b.Role] == b.record() {
		v.until[b.Role] = now
	}
}
