package scatter

import (
	"context"
	"time"
)

// Relay asks fronts in other zones to gather several shards in one call, so
// that their records cross between zones once, merged.
type Relay interface {
	// Pick picks a front in a zone; ok is false if there is none. longest is
	// what nearly all calls to the zone stay within, 0 where none was made.
	Pick(zone string) (call RelayCall, longest time.Duration, ok bool)
}

// RelayCall has a front gather some shards of the request, given by their
// index, until a time, unless ctx is canceled before. It returns one stamp a
// shard, empty where the shard did not answer, and the merged records of those
// that did.
type RelayCall = func(ctx context.Context, shards []int, until time.Time) (stamps []string, records []byte)

// relayResult is what a RelayCall for some shards returned.
type relayResult struct {
	shards  []int
	stamps  []string
	records []byte
}

// remoteShard is a shard without an endpoint in this zone. Its pick is one
// elsewhere, or none.
type remoteShard struct {
	shard int
	pick  picked
}

// sendRemote sends as many of the remote shards as possible by way of one
// front in the zone that holds most of them, and the rest directly.
func (r *run) sendRemote(q *Query, remote []remoteShard) {
	if zone := r.relayZone(q, remote); zone != "" {
		if call, longest, ok := r.relay.Pick(zone); ok {
			remote = r.sendRelayed(q, remote, zone, call, longest)
		}
	}
	for _, f := range remote {
		r.sendOrGiveUp(q, f.shard, f.pick, attemptFirst)
	}
}

// relayZone returns the zone where most of the shards have a reachable endpoint:
// two at least, or one if some shard can't be reached from here. Among equals
// the order of the map's walk spreads the load.
func (r *run) relayZone(q *Query, remote []remoteShard) string {
	least := 2
	count := map[string]int{}
	for _, f := range remote {
		if f.pick.endpoint == nil {
			least = 1
		}
		for _, zone := range r.Upstream.ReachableZones(q.Shards[f.shard].Selector()) {
			count[zone]++
		}
	}
	most, nearby := "", ""
	for zone, n := range count {
		if n < least {
			continue
		}
		if n > count[most] {
			most = zone
		}
		if n > count[nearby] && r.Upstream.Distance(zone) < 2 {
			nearby = zone
		}
	}
	// Bytes within the region cost less, even if some shards are left over.
	if nearby != "" && 2*count[nearby] >= count[most] {
		return nearby
	}
	return most
}

// sendRelayed calls a front for all shards that have a reachable endpoint in its
// zone, and returns the others. The front has half of the client's time: what
// it lacks then is retried directly in the rest. What takes longer than nearly
// all calls is hedged before.
func (r *run) sendRelayed(q *Query, remote []remoteShard, zone string, call RelayCall, longest time.Duration) (rest []remoteShard) {
	now, half := time.Now(), r.deadlines.half()
	hedgeAt, silentAt := half, silenceTime(longest, now)
	if longest > 0 {
		hedgeAt = earlier(now.Add(longest), half)
	}
	var group []int
	for _, f := range remote {
		s := q.Shards[f.shard]
		endpoint := r.Upstream.ReachableInZone(s.Selector(), zone)
		if endpoint == nil {
			rest = append(rest, f)
			continue
		}
		if f.pick.endpoint != nil {
			r.Upstream.CancelPick(f.pick.endpoint, f.pick.start)
		}
		q.OnSent(f.shard, endpoint)
		r.Metrics.countAttempt(attemptRelayed)
		q.ScheduleHedge(f.shard, hedgeAt)
		q.ScheduleSilence(f.shard, silentAt)
		s.relayed = true
		group = append(group, f.shard)
	}
	ctx, results := r.ctx, r.results
	job := func() {
		stamps, records := call(ctx, group, half)
		results <- result{relayed: &relayResult{group, stamps, records}}
	}
	if r.Workers.Submit(job) != nil {
		go job()
	}
	return rest
}
