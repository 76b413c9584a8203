package scatter

import (
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/upstream"
)

// Gatherer carries parties out.
type Gatherer struct {
	Upstream    *upstream.Pool
	RetryBudget *ratelimit.RetryBudget
	Workers     *ants.Pool
	// Now is the node's steady clock.
	Now func() time.Duration
	// HedgeAfter is the part of the target after which a straggler gets company.
	HedgeAfter float64
}

// Relay asks a front in a zone for several legs of a request.
type Relay interface {
	// Pick picks a front in the zone, or tells that there is none.
	Pick(zone string) (call func(legs []int, wait time.Duration) (stamps []string, records []byte), ok bool)
}

// Deadlines bound one request.
type Deadlines struct {
	Start         time.Time
	TargetLatency time.Duration
	SoftDeadline  time.Time
	HardDeadline  time.Time
	// ShardDeadline is what searchers are told: losers run on until then.
	ShardDeadline time.Time
	// Relayed: another front counts this request, this one only helps.
	Relayed bool
}

type result struct {
	leg int
	out upstream.Attempt
	// group holds the legs of an answer by way of another front.
	group   []int
	stamps  []string
	records []byte
}

// Gather sends the request along every leg and returns when it is over. Tries
// that lost go on to their end on their own: a searcher at work is not broken off.
func (g *Gatherer) Gather(p *Query, r *upstream.Request, t Deadlines, across Relay) (success bool) {
	n := len(p.Shards)
	results := make(chan result, n*p.policy.MaxAttempts)
	hedge := make([]time.Time, n)
	at := g.HedgeAfter
	if n == 1 {
		// The slowest of many is late far sooner than one alone.
		at += singleHedgeDelay
	}
	var far []remoteShard
	for i, l := range p.Shards {
		if !t.Relayed {
			g.RetryBudget.Deposit(l.Service, g.Now())
		}
		_, p90 := g.Upstream.LatencyPercentiles(l.Service)
		hedge[i] = t.Start.Add(max(p90, time.Duration(at*float64(t.TargetLatency))))
		peer, start, canary := g.first(l, t.TargetLatency)
		switch {
		case canary:
			g.send(p, i, peer, start, r, t, results)
		case peer == nil && across == nil:
			p.OnSent(i, nil)
		case across != nil && (peer == nil || !peer.InLocalZone()):
			far = append(far, remoteShard{i, peer, start})
		default:
			g.send(p, i, peer, start, r, t, results)
		}
	}
	for _, i := range g.cross(p, far, across, r, t, results) {
		// The front asked answers a little after its own wait; what it lacks goes out then.
		hedge[i] = t.Start.Add(time.Duration((g.HedgeAfter + relayHedgeDelay) * float64(t.TargetLatency)))
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer func() {
		if out := p.inFlight(); out > 0 {
			go drain(results, out)
		}
	}()
	for {
		now := time.Now()
		over, ok := p.Decide(!now.Before(t.SoftDeadline), !now.Before(t.HardDeadline))
		if over {
			return ok
		}
		next := t.HardDeadline
		if now.Before(t.SoftDeadline) {
			next = t.SoftDeadline
		}
		if p.policy.Idempotent && p.policy.MaxAttempts > 1 {
			for i := range p.Shards {
				if !p.MayAttempt(i) || p.Shards[i].inFlight == 0 || hedge[i].IsZero() {
					continue
				}
				if now.Before(hedge[i]) {
					if hedge[i].Before(next) {
						next = hedge[i]
					}
					continue
				}
				hedge[i] = time.Time{}
				g.again(p, i, true, r, t, results)
			}
		}
		timer.Reset(next.Sub(now))
		select {
		case h := <-results:
			g.hear(p, h, r, t, results)
		case <-timer.C:
		}
	}
}

// first chooses whom a leg asks first. A new version on trial is reached
// directly, however far it is: the front asked for the way across would count
// it again.
func (g *Gatherer) first(l *ShardRequest, target time.Duration) (peer *upstream.Endpoint, start time.Time, canary bool) {
	if l.Canary != nil {
		if peer, start = g.Upstream.Pick(*l.Canary, nil, target, false); peer != nil {
			return peer, start, true
		}
	}
	peer, start = g.choose(l, nil, target, false)
	return peer, start, false
}

// choose picks among the leg's searchers, or where none of them can be asked
// and others may be, among those.
func (g *Gatherer) choose(l *ShardRequest, not []*upstream.Endpoint, target time.Duration, spare bool) (*upstream.Endpoint, time.Time) {
	peer, start := g.Upstream.Pick(l.Selector(), not, target, spare)
	if peer == nil && l.Fallback != nil {
		return g.Upstream.Pick(*l.Fallback, not, target, spare)
	}
	return peer, start
}

func (p *Query) inFlight() int {
	n := 0
	for _, l := range p.Shards {
		n += l.inFlight
	}
	return n
}

// drain releases the answers of tries that lost.
func drain(results chan result, n int) {
	for n > 0 {
		h := <-results
		h.out.Release()
		n -= max(1, len(h.group))
	}
}

func (g *Gatherer) hear(p *Query, h result, r *upstream.Request, t Deadlines, results chan result) {
	if h.group != nil {
		again, _ := p.OnRelayResult(h.group, h.stamps, h.records)
		for _, i := range again {
			g.again(p, i, true, r, t, results)
		}
		return
	}
	step, kept := p.OnResult(h.leg, h.out)
	if !kept {
		h.out.Release()
	}
	if step == Retry {
		g.again(p, h.leg, h.out.Outcome == upstream.OutcomeUnprocessed, r, t, results)
	}
}

// again sends leg i to one more searcher, if there is one and the budget
// grants it. As long as nothing went out, the next try is the first. Company
// for a straggler, and a try after a full searcher, want one that is not full
// itself: under load they would only add to it.
func (g *Gatherer) again(p *Query, i int, spare bool, r *upstream.Request, t Deadlines, results chan result) {
	l := p.Shards[i]
	peer, start := g.choose(l, l.attempted, t.TargetLatency, spare)
	if peer == nil && l.relayed {
		// Perhaps it was the other front that failed, not the searcher.
		peer, start = g.choose(l, nil, t.TargetLatency, spare)
	}
	if peer == nil {
		p.GiveUp(i)
		return
	}
	if (l.mayHaveArrived || l.inFlight > 0) && !g.RetryBudget.TryWithdraw(l.Service, g.Now()) {
		g.Upstream.CancelPick(peer, start)
		p.GiveUp(i)
		return
	}
	g.send(p, i, peer, start, r, t, results)
}

type remoteShard struct {
	leg   int
	peer  *upstream.Endpoint
	start time.Time
}

// crossWait and crossSlack are parts of the target: how long the front asked
// may wait for its parts, and how much later than others its legs get company.
const (
	relayWait       = 0.45
	relayHedgeDelay = 0.15
	// singleHedgeDelay, a part of the target, is how much later the only leg of a request gets company.
	singleHedgeDelay = 0.15
)

// mostIn is the zone in which most of the legs have a searcher, two at least
// unless one can't be reached from here; the order of a map's walk spreads the
// load over equals.
func (g *Gatherer) mostIn(p *Query, far []remoteShard) string {
	least := 2
	count := map[string]int{}
	for _, f := range far {
		if f.peer == nil {
			least = 1
		}
		for _, z := range g.Upstream.HealthyZones(p.Shards[f.leg].Selector()) {
			count[z]++
		}
	}
	most, close := "", ""
	for z, n := range count {
		if n >= least && n > count[most] {
			most = z
		}
		if g.Upstream.Distance(z) < 2 && n >= least && n > count[close] {
			close = z
		}
	}
	// Bytes within the region cost less, even if some legs are left over.
	if 2*count[close] >= count[most] && close != "" {
		return close
	}
	return most
}

// cross sends the legs without a searcher in this zone: as many as possible
// by way of one front in the zone that holds most of them, the rest directly.
// It returns the legs that went with the front.
func (g *Gatherer) cross(p *Query, far []remoteShard, across Relay, r *upstream.Request, t Deadlines, results chan result) []int {
	var group []int
	if most := g.mostIn(p, far); most != "" {
		if call, ok := across.Pick(most); ok {
			var rest []remoteShard
			for _, f := range far {
				l := p.Shards[f.leg]
				peer := g.Upstream.HealthyInZone(l.Selector(), most)
				if peer == nil {
					rest = append(rest, f)
					continue
				}
				if f.peer != nil {
					g.Upstream.CancelPick(f.peer, f.start)
				}
				p.OnSent(f.leg, peer)
				l.relayed = true
				group = append(group, f.leg)
			}
			far = rest
			job := func() {
				stamps, records := call(group, time.Duration(relayWait*float64(t.TargetLatency)))
				results <- result{group: group, stamps: stamps, records: records}
			}
			if g.Workers.Submit(job) != nil {
				go job()
			}
		}
	}
	for _, f := range far {
		if f.peer == nil {
			p.OnSent(f.leg, nil)
			continue
		}
		g.send(p, f.leg, f.peer, f.start, r, t, results)
	}
	return group
}

func (g *Gatherer) send(p *Query, i int, peer *upstream.Endpoint, start time.Time, r *upstream.Request, t Deadlines, results chan result) {
	p.OnSent(i, peer)
	err := g.Workers.Submit(func() {
		results <- result{leg: i, out: g.Upstream.Do(peer, r, start, t.ShardDeadline)}
	})
	if err != nil {
		g.Upstream.CancelPick(peer, start)
		results <- result{leg: i, out: upstream.Attempt{Outcome: upstream.OutcomeUnsent, Endpoint: peer, Err: err}}
	}
}
