package scatter

import "time"

// hedgeSchedule spares [Query.DueHedges] most of its walks over all shards: a
// walk for each result would take quadratic time in the number of shards.
// Between two changes that may add hedges (isStale), shards only close, so no
// hedge is due before next.
type hedgeSchedule struct {
	isStale bool
	// next is when the next hedge was due at the last walk; zero means never.
	next time.Time
}

// ScheduleHedge sets when the attempt in flight of shard i is to be hedged.
func (q *Query) ScheduleHedge(i int, at time.Time) {
	q.Shards[i].hedgeAt = at
	q.hedges.isStale = true
}

// DueHedges returns the shards to hedge now, as [Retry] does for one; a shard
// is hedged once. No further hedge is due before next; zero means never. The
// shard that next stands for may have closed, then nothing is due at next.
func (q *Query) DueHedges(now time.Time) (due []int, next time.Time) {
	if !q.policy.Idempotent || q.policy.MaxAttempts < 2 {
		return nil, time.Time{}
	}
	h := &q.hedges
	if !h.isStale && (h.next.IsZero() || now.Before(h.next)) {
		return nil, h.next
	}
	for i, s := range q.Shards {
		switch {
		case s.hedgeAt.IsZero() || s.inFlight == 0 || !q.MayAttempt(i):
			continue
		case !now.Before(s.hedgeAt):
			s.hedgeAt = time.Time{}
			due = append(due, i)
		case next.IsZero() || s.hedgeAt.Before(next):
			next = s.hedgeAt
		}
	}
	h.isStale, h.next = false, next
	return due, next
}
