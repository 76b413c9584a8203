package gather

import (
	"time"

	"github.com/panjf2000/ants/v2"
	"swiftswitch/internal/rations"
	"swiftswitch/internal/traverse"
)

// Guide carries parties out.
type Guide struct {
	Range  *traverse.Range
	Ledger *rations.Ledger
	Pool   *ants.Pool
	// Steady is the node's steady clock.
	Steady func() time.Duration
	// HedgeAt is the part of the target after which a straggler gets company.
	HedgeAt float64
}

// Times bound one request.
type Times struct {
	Start  time.Time
	Target time.Duration
	Soft   time.Time
	Hard   time.Time
	// Until is what searchers are told: losers run on until then.
	Until time.Time
}

type heard struct {
	leg int
	out traverse.Outcome
}

// Run sends the request along every leg and returns when it is over. Tries
// that lost go on to their end on their own: a searcher at work is not broken off.
func (g *Guide) Run(p *Party, r *traverse.Request, t Times) (success bool) {
	n := len(p.Legs)
	results := make(chan heard, n*p.Terms.Attempts)
	hedge := make([]time.Time, n)
	for i, l := range p.Legs {
		g.Ledger.Ask(l.Service, g.Steady())
		g.launch(p, i, r, t, results)
		_, p90 := g.Range.Latency(l.Service)
		hedge[i] = t.Start.Add(max(p90, time.Duration(g.HedgeAt*float64(t.Target))))
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
				g.again(p, i, r, t, results)
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

func (p *Party) outstanding() int {
	n := 0
	for _, l := range p.Legs {
		n += l.Out
	}
	return n
}

// drain releases the answers of tries that lost.
func drain(results chan heard, n int) {
	for ; n > 0; n-- {
		h := <-results
		h.out.Release()
	}
}

func (g *Guide) hear(p *Party, h heard, r *traverse.Request, t Times, results chan heard) {
	step, kept := p.Hear(h.leg, h.out)
	if !kept {
		h.out.Release()
	}
	if step == Again {
		g.again(p, h.leg, r, t, results)
	}
}

// again sends leg i to one more searcher, if there is one and the budget
// grants it. As long as nothing went out, the next try is the first.
func (g *Guide) again(p *Party, i int, r *traverse.Request, t Times, results chan heard) {
	l := p.Legs[i]
	peer, start := g.Range.Choose(l.Service, l.Holders, l.Tried, t.Target)
	if peer == nil {
		p.GaveUp(i)
		return
	}
	if (l.Sent || l.Out > 0) && !g.Ledger.Further(l.Service, g.Steady()) {
		g.Range.Unchoose(peer, start)
		p.GaveUp(i)
		return
	}
	g.send(p, i, peer, start, r, t, results)
}

func (g *Guide) launch(p *Party, i int, r *traverse.Request, t Times, results chan heard) {
	l := p.Legs[i]
	peer, start := g.Range.Choose(l.Service, l.Holders, nil, t.Target)
	if peer == nil {
		p.Launched(i, nil)
		return
	}
	g.send(p, i, peer, start, r, t, results)
}

func (g *Guide) send(p *Party, i int, peer *traverse.Peer, start time.Time, r *traverse.Request, t Times, results chan heard) {
	p.Launched(i, peer)
	err := g.Pool.Submit(func() {
		results <- heard{i, g.Range.Try(peer, r, start, t.Until)}
	})
	if err != nil {
		g.Range.Unchoose(peer, start)
		results <- heard{i, traverse.Outcome{Verdict: traverse.Unsent, Peer: peer, Err: err}}
	}
}
