package scatter

import (
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/ratelimit"
	"swiftswitch/internal/upstream"
)

// Guide carries parties out.
type Guide struct {
	Range  *upstream.Pool
	Ledger *ratelimit.Ledger
	Pool   *ants.Pool
	// Steady is the node's steady clock.
	Steady func() time.Duration
	// HedgeAt is the part of the target after which a straggler gets company.
	HedgeAt float64
}

// Across asks a front in a zone for several legs of a request.
type Across interface {
	// Begin picks a front in the zone, or tells that there is none.
	Begin(zone string) (call func(legs []int, wait time.Duration) (stamps []string, records []byte), ok bool)
}

// Times bound one request.
type Times struct {
	Start  time.Time
	Target time.Duration
	Soft   time.Time
	Hard   time.Time
	// Until is what searchers are told: losers run on until then.
	Until time.Time
	// Lent: another front counts this request, this one only helps.
	Lent bool
}

type heard struct {
	leg int
	out upstream.Attempt
	// group holds the legs of an answer by way of another front.
	group   []int
	stamps  []string
	records []byte
}

// Run sends the request along every leg and returns when it is over. Tries
// that lost go on to their end on their own: a searcher at work is not broken off.
func (g *Guide) Run(p *Party, r *upstream.Request, t Times, across Across) (success bool) {
	n := len(p.Legs)
	results := make(chan heard, n*p.Terms.Attempts)
	hedge := make([]time.Time, n)
	at := g.HedgeAt
	if n == 1 {
		// The slowest of many is late far sooner than one alone.
		at += aloneSlack
	}
	var far []farLeg
	for i, l := range p.Legs {
		if !t.Lent {
			g.Ledger.Ask(l.Service, g.Steady())
		}
		_, p90 := g.Range.LatencyPercentiles(l.Service)
		hedge[i] = t.Start.Add(max(p90, time.Duration(at*float64(t.Target))))
		peer, start, canary := g.first(l, t.Target)
		switch {
		case canary:
			g.send(p, i, peer, start, r, t, results)
		case peer == nil && across == nil:
			p.Launched(i, nil)
		case across != nil && (peer == nil || !peer.InLocalZone()):
			far = append(far, farLeg{i, peer, start})
		default:
			g.send(p, i, peer, start, r, t, results)
		}
	}
	for _, i := range g.cross(p, far, across, r, t, results) {
		// The front asked answers a little after its own wait; what it lacks goes out then.
		hedge[i] = t.Start.Add(time.Duration((g.HedgeAt + crossSlack) * float64(t.Target)))
	}
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	defer func() {
		if out := p.outstanding(); out > 0 {
			go drain(results, out)
		}
	}()
	for {
		now := time.Now()
		over, ok := p.Verdict(!now.Before(t.Soft), !now.Before(t.Hard))
		if over {
			return ok
		}
		next := t.Hard
		if now.Before(t.Soft) {
			next = t.Soft
		}
		if p.Terms.Safe && p.Terms.Attempts > 1 {
			for i := range p.Legs {
				if !p.MayTry(i) || p.Legs[i].Out == 0 || hedge[i].IsZero() {
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
func (g *Guide) first(l *Leg, target time.Duration) (peer *upstream.Endpoint, start time.Time, canary bool) {
	if l.Canary != nil {
		if peer, start = g.Range.Pick(*l.Canary, nil, target, false); peer != nil {
			return peer, start, true
		}
	}
	peer, start = g.choose(l, nil, target, false)
	return peer, start, false
}

// choose picks among the leg's searchers, or where none of them can be asked
// and others may be, among those.
func (g *Guide) choose(l *Leg, not []*upstream.Endpoint, target time.Duration, spare bool) (*upstream.Endpoint, time.Time) {
	peer, start := g.Range.Pick(l.Among(), not, target, spare)
	if peer == nil && l.Else != nil {
		return g.Range.Pick(*l.Else, not, target, spare)
	}
	return peer, start
}

func (p *Party) outstanding() int {
	n := 0
	for _, l := range p.Legs {
		n += l.Out
	}
	return n
}

// drain releases the answers of tries that lost.
func drain(results chan heard, n int) {
	for n > 0 {
		h := <-results
		h.out.Release()
		n -= max(1, len(h.group))
	}
}

func (g *Guide) hear(p *Party, h heard, r *upstream.Request, t Times, results chan heard) {
	if h.group != nil {
		again, _ := p.HearGroup(h.group, h.stamps, h.records)
		for _, i := range again {
			g.again(p, i, true, r, t, results)
		}
		return
	}
	step, kept := p.Hear(h.leg, h.out)
	if !kept {
		h.out.Release()
	}
	if step == Again {
		g.again(p, h.leg, h.out.Outcome == upstream.OutcomeUnprocessed, r, t, results)
	}
}

// again sends leg i to one more searcher, if there is one and the budget
// grants it. As long as nothing went out, the next try is the first. Company
// for a straggler, and a try after a full searcher, want one that is not full
// itself: under load they would only add to it.
func (g *Guide) again(p *Party, i int, spare bool, r *upstream.Request, t Times, results chan heard) {
	l := p.Legs[i]
	peer, start := g.choose(l, l.Tried, t.Target, spare)
	if peer == nil && l.Lent {
		// Perhaps it was the other front that failed, not the searcher.
		peer, start = g.choose(l, nil, t.Target, spare)
	}
	if peer == nil {
		p.GaveUp(i)
		return
	}
	if (l.Sent || l.Out > 0) && !g.Ledger.Further(l.Service, g.Steady()) {
		g.Range.CancelPick(peer, start)
		p.GaveUp(i)
		return
	}
	g.send(p, i, peer, start, r, t, results)
}

type farLeg struct {
	leg   int
	peer  *upstream.Endpoint
	start time.Time
}

// crossWait and crossSlack are parts of the target: how long the front asked
// may wait for its parts, and how much later than others its legs get company.
const (
	crossWait  = 0.45
	crossSlack = 0.15
	// aloneSlack, a part of the target, is how much later the only leg of a request gets company.
	aloneSlack = 0.15
)

// mostIn is the zone in which most of the legs have a searcher, two at least
// unless one can't be reached from here; the order of a map's walk spreads the
// load over equals.
func (g *Guide) mostIn(p *Party, far []farLeg) string {
	least := 2
	count := map[string]int{}
	for _, f := range far {
		if f.peer == nil {
			least = 1
		}
		for _, z := range g.Range.HealthyZones(p.Legs[f.leg].Among()) {
			count[z]++
		}
	}
	most, close := "", ""
	for z, n := range count {
		if n >= least && n > count[most] {
			most = z
		}
		if g.Range.Distance(z) < 2 && n >= least && n > count[close] {
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
func (g *Guide) cross(p *Party, far []farLeg, across Across, r *upstream.Request, t Times, results chan heard) []int {
	var group []int
	if most := g.mostIn(p, far); most != "" {
		if call, ok := across.Begin(most); ok {
			var rest []farLeg
			for _, f := range far {
				l := p.Legs[f.leg]
				peer := g.Range.HealthyInZone(l.Among(), most)
				if peer == nil {
					rest = append(rest, f)
					continue
				}
				if f.peer != nil {
					g.Range.CancelPick(f.peer, f.start)
				}
				p.Launched(f.leg, peer)
				l.Lent = true
				group = append(group, f.leg)
			}
			far = rest
			job := func() {
				stamps, records := call(group, time.Duration(crossWait*float64(t.Target)))
				results <- heard{group: group, stamps: stamps, records: records}
			}
			if g.Pool.Submit(job) != nil {
				go job()
			}
		}
	}
	for _, f := range far {
		if f.peer == nil {
			p.Launched(f.leg, nil)
			continue
		}
		g.send(p, f.leg, f.peer, f.start, r, t, results)
	}
	return group
}

func (g *Guide) send(p *Party, i int, peer *upstream.Endpoint, start time.Time, r *upstream.Request, t Times, results chan heard) {
	p.Launched(i, peer)
	err := g.Pool.Submit(func() {
		results <- heard{leg: i, out: g.Range.Do(peer, r, start, t.Until)}
	})
	if err != nil {
		g.Range.CancelPick(peer, start)
		results <- heard{leg: i, out: upstream.Attempt{Outcome: upstream.OutcomeUnsent, Endpoint: peer, Err: err}}
	}
}
