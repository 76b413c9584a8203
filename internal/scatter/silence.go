package scatter

import "time"

// fewOpenShards is the number of open shards from which on the silence is
// looked at anew with each result.
const fewOpenShards = 16

// silenceSchedule spares [Query.Decide] most of its walks over all shards, as
// hedgeSchedule does for hedges.
type silenceSchedule struct {
	isStale bool
	// from is when all shards that were open at the last walk are silent; zero
	// means that one of them never is.
	from time.Time
}

// ScheduleSilence sets when shard i is silent if it has not answered by then.
func (q *Query) ScheduleSilence(i int, at time.Time) {
	q.Shards[i].silentAt = at
	q.silence.isStale = true
}

// PostponeSilence is ScheduleSilence, but never sets an earlier time.
func (q *Query) PostponeSilence(i int, at time.Time) {
	if at.After(q.Shards[i].silentAt) {
		q.ScheduleSilence(i, at)
	}
}

// SilentAt returns when a partial answer may be given because all shards that
// are open are silent; zero means never. Since then some may have closed.
func (q *Query) SilentAt() time.Time {
	s := &q.silence
	if !s.isStale && q.open > fewOpenShards {
		return s.from
	}
	s.isStale, s.from = false, time.Time{}
	for _, shard := range q.Shards {
		if shard.state != shardOpen {
			continue
		}
		if shard.silentAt.IsZero() {
			s.from = time.Time{}
			return s.from
		}
		if shard.silentAt.After(s.from) {
			s.from = shard.silentAt
		}
	}
	return s.from
}

// silentFrom reports whether all shards that are open are silent.
func (q *Query) silentFrom(now time.Time) bool {
	at := q.SilentAt()
	return !at.IsZero() && !now.Before(at)
}
