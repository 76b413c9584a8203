package scatter

import "swiftswitch/internal/upstream"

// OnRelayResult takes what another front gathered for several shards at once:
// their stamps (empty where a shard did not answer) and the merged records of
// those that did. valid is false where nothing of the result can be used: a
// stamp occurs twice, or is that of another shard's answer.
//
// The records do not say which shard they are of. So where a hedge of one of
// them has answered in the meantime, its answer is dropped for the relayed one:
// both would count the shard's records twice.
//
// It returns the shards to retry, as [Retry] does for one.
func (q *Query) OnRelayResult(shards []int, stamps []string, records []byte) (retry []int, valid bool) {
	valid = q.areStampsValid(shards, stamps)
	first := true
	for k, i := range shards {
		s := q.Shards[i]
		s.inFlight--
		s.reached = true
		if valid && stamps[k] != "" {
			var body []byte
			if first {
				// One of the shards carries the records of all.
				body, first = records, false
			}
			q.replaceAnswer(s, stamps[k], body)
			continue
		}
		if s.state == shardAnswered {
			continue
		}
		s.mayHaveRun = true
		if q.MayAttempt(i) {
			retry = append(retry, i)
		} else {
			q.closeIfIdle(s)
		}
	}
	return retry, valid
}

// areStampsValid reports whether each stamp is new, or that of its own shard's answer.
func (q *Query) areStampsValid(shards []int, stamps []string) bool {
	if len(shards) != len(stamps) {
		return false
	}
	seen := map[string]bool{}
	for k, i := range shards {
		stamp := stamps[k]
		if stamp == "" {
			continue
		}
		s := q.Shards[i]
		isOwn := s.state == shardAnswered && s.Answer.Stamp == stamp
		if seen[stamp] || q.stamps[stamp] && !isOwn {
			return false
		}
		seen[stamp] = true
	}
	return true
}

// replaceAnswer makes a relayed answer that of a shard.
func (q *Query) replaceAnswer(s *ShardRequest, stamp string, records []byte) {
	if s.state == shardAnswered {
		delete(q.stamps, s.Answer.Stamp)
		s.Answer.Release()
	} else {
		q.markAnswered(s)
	}
	q.stamps[stamp] = true
	s.Answer = upstream.Attempt{Status: 200, Stamp: stamp, RelayedBody: records}
}
