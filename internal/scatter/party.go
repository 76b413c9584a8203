package scatter

import (
	"swiftswitch/internal/upstream"
)

// Terms are what a request may cost and must bring.
type Terms struct {
	Attempts int
	// Safe requests may run more than once.
	Safe bool
	// Need is the share of the legs without which there is no success.
	Need float64
	// Late is what a late answer is worth beside one in time.
	Late float64
}

// Leg is the part of a request that goes to one service.
type Leg struct {
	Service string
	// Version is that of the searchers that are asked, where it is given.
	Version string
	Holders []string
	// Canary, where it is set, is asked once, in place of the first try.
	Canary *upstream.Selector
	// Else is asked where nobody of Version can be.
	Else *upstream.Selector

	Tried []*upstream.Endpoint
	// Lent: the first try went by way of another front; whom that asked is not known.
	Lent bool
	Out  int
	Done bool
	Dead bool
	// Sent tells whether a try of it may have reached a searcher.
	Sent bool
	// MayHaveRun tells whether a try may have run without a usable answer.
	MayHaveRun bool
	Good       upstream.Attempt
	// Last is the last answer that is no success.
	Last upstream.Attempt
}

// Among names the searchers that the leg's tries go to.
func (l *Leg) Among() upstream.Selector {
	return upstream.Selector{Service: l.Service, Version: l.Version, IDs: l.Holders}
}

// Passes tells whether the last answer may be given back as it is: nothing is
// under way, and no promise that nothing ran is made where something may have.
func (l *Leg) Passes() bool {
	return l.Last.Response != nil && l.Out == 0 && !(l.MayHaveRun && l.Last.Outcome == upstream.OutcomeUnprocessed)
}

// Step is what to do next for a leg.
type Step int

// The steps.
const (
	Wait Step = iota
	// Again: send to another searcher.
	Again
)

// Party is the state of one request on its way: a pure state machine over
// the outcomes of tries.
type Party struct {
	Terms  Terms
	Legs   []*Leg
	stamps map[string]bool
	good   int
	open   int
}

// NewParty starts with every leg open.
func NewParty(t Terms, legs []*Leg) *Party {
	return &Party{Terms: t, Legs: legs, stamps: map[string]bool{}, open: len(legs)}
}

// Good is the number of legs whose part is in; Open of those that may still bring one.
func (p *Party) Good() int { return p.good }

// Open counts the legs that may still bring a part.
func (p *Party) Open() int { return p.open }

// Launched notes that leg i went out to a searcher; nil means that there is none to be had.
func (p *Party) Launched(i int, peer *upstream.Endpoint) {
	l := p.Legs[i]
	if peer == nil {
		p.settle(l)
		return
	}
	l.Tried = append(l.Tried, peer)
	l.Out++
}

// settle closes a leg for which nothing is under way any more.
func (p *Party) settle(l *Leg) {
	if l.Out == 0 && !l.Done && !l.Dead {
		l.Dead = true
		p.open--
	}
}

// Hear takes the outcome of a try and says what to do for its leg. kept
// tells whether the party holds on to the outcome; if not, the caller
// releases it.
func (p *Party) Hear(i int, o upstream.Attempt) (next Step, kept bool) {
	l := p.Legs[i]
	l.Out--
	if o.Outcome != upstream.OutcomeUnsent {
		l.Sent = true
	}
	if l.Done || l.Dead {
		return Wait, false
	}
	if o.Succeeded() && !p.stamps[o.Stamp] {
		p.stamps[o.Stamp] = true
		l.Done, l.Good = true, o
		p.good++
		p.open--
		return Wait, true
	}
	if o.Outcome == upstream.OutcomeAnswered || o.Outcome == upstream.OutcomeUnknown {
		l.MayHaveRun = true
	}
	if o.Response != nil && p.mayPass(&o) {
		l.Last.Release()
		l.Last, kept = o, true
	}
	if o.Outcome == upstream.OutcomeAnswered && o.Status >= 300 && o.Status < 500 && len(p.Legs) == 1 {
		// The searcher has decided: another would say the same.
		p.settle(l)
		return Wait, kept
	}
	if p.MayTry(i) {
		return Again, kept
	}
	p.settle(l)
	return Wait, kept
}

// mayPass tells whether an answer that brought no part may be given to the
// client. A success without its stamp is no answer of a searcher's. 408, 421,
// 429 and 503 tell the client that nothing ran: where that must be true, they
// pass only from a searcher that said so itself.
func (p *Party) mayPass(o *upstream.Attempt) bool {
	if o.Status < 300 {
		return false
	}
	switch o.Status {
	case 408, 421, 429, 503:
		return p.Terms.Safe || o.Outcome == upstream.OutcomeUnprocessed
	}
	return true
}

// MayTry tells whether leg i may go to one more searcher.
func (p *Party) MayTry(i int) bool {
	l := p.Legs[i]
	return !l.Done && !l.Dead && len(l.Tried) < p.Terms.Attempts && (p.Terms.Safe || !l.MayHaveRun && l.Out == 0)
}

// HearGroup takes what another front gathered for several legs at once:
// their stamps (empty where a part is not in) and the greatest records of
// the parts that are. A part that came by itself in the meantime makes room,
// for the group's records hold its shard's as well. It returns the legs that
// may go to one more searcher; ok is false where the answer can't be used.
func (p *Party) HearGroup(legs []int, stamps []string, records []byte) (again []int, ok bool) {
	ok = len(legs) == len(stamps)
	own := map[string]bool{}
	for k, i := range legs {
		if ok && stamps[k] != "" {
			l := p.Legs[i]
			ok = !own[stamps[k]] && (!p.stamps[stamps[k]] || l.Done && l.Good.Stamp == stamps[k])
			own[stamps[k]] = true
		}
	}
	first := true
	for k, i := range legs {
		l := p.Legs[i]
		l.Out--
		l.Sent = true
		if ok && stamps[k] != "" {
			if l.Done {
				delete(p.stamps, l.Good.Stamp)
				l.Good.Release()
			} else {
				l.Done = true
				p.good++
				p.open--
			}
			p.stamps[stamps[k]] = true
			l.Good = upstream.Attempt{Status: 200, Stamp: stamps[k]}
			if first {
				l.Good.RelayedBody, first = records, false
			}
			continue
		}
		if l.Done {
			continue
		}
		l.MayHaveRun = true
		if p.MayTry(i) {
			again = append(again, i)
		} else {
			p.settle(l)
		}
	}
	return again, ok
}

// GaveUp notes that the next try of leg i was not to be had.
func (p *Party) GaveUp(i int) { p.settle(p.Legs[i]) }

// Share is the part of the legs that is in.
func (p *Party) Share() float64 { return float64(p.good) / float64(len(p.Legs)) }

// enough compares without the noise of fractions.
func (p *Party) enough(n int) bool {
	return n > 0 && float64(n) >= p.Terms.Need*float64(len(p.Legs))-1e-9
}

// Verdict tells whether the request is over, and if so, whether it is a
// success. soft: the time in which an answer has its full worth is over.
// hard: there is no time left.
func (p *Party) Verdict(soft, hard bool) (over, success bool) {
	switch {
	case p.open == 0 || hard:
		return true, p.enough(p.good)
	case !p.enough(p.good + p.open):
		return true, false
	case soft && p.enough(p.good):
		s := p.Share()
		return s*s >= p.Terms.Late, true
	}
	return false, false
}

// Ran tells whether any try may have reached a searcher and run.
func (p *Party) Ran() bool {
	for _, l := range p.Legs {
		if l.MayHaveRun || l.Out > 0 {
			return true
		}
	}
	return false
}

// Release gives back what the party holds.
func (p *Party) Release() {
	for _, l := range p.Legs {
		l.Good.Release()
		l.Last.Release()
	}
}
