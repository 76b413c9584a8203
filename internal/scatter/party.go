package scatter

import (
	"swiftswitch/internal/upstream"
)

// Policy are what a request may cost and must bring.
type Policy struct {
	MaxAttempts int
	// Idempotent requests may run more than once.
	Idempotent bool
	// MinShare is the share of the legs without which there is no success.
	MinShare float64
	// LateResponseValue is what a late answer is worth beside one in time.
	LateResponseValue float64
}

// ShardRequest is the part of a request that goes to one service.
type ShardRequest struct {
	Service string
	// Version is that of the searchers that are asked, where it is given.
	Version string
	Holders []string
	// Canary, where it is set, is asked once, in place of the first try.
	Canary *upstream.Selector
	// Fallback is asked where nobody of Version can be.
	Fallback *upstream.Selector

	attempted []*upstream.Endpoint
	// relayed: the first try went by way of another front; whom that asked is not known.
	relayed   bool
	inFlight  int
	Answered  bool
	exhausted bool
	// mayHaveArrived tells whether a try of it may have reached a searcher.
	mayHaveArrived bool
	// mayHaveRun tells whether a try may have run without a usable answer.
	mayHaveRun bool
	Answer     upstream.Attempt
	// LastFailure is the last answer that is no success.
	LastFailure upstream.Attempt
}

// Selector names the searchers that the leg's tries go to.
func (l *ShardRequest) Selector() upstream.Selector {
	return upstream.Selector{Service: l.Service, Version: l.Version, IDs: l.Holders}
}

// CanForwardFailure tells whether the last answer may be given back as it is: nothing is
// under way, and no promise that nothing ran is made where something may have.
func (l *ShardRequest) CanForwardFailure() bool {
	return l.LastFailure.Response != nil && l.inFlight == 0 && !(l.mayHaveRun && l.LastFailure.Outcome == upstream.OutcomeUnprocessed)
}

// Action is what to do next for a leg.
type Action int

// The steps.
const (
	Wait Action = iota
	// Retry: send to another searcher.
	Retry
)

// Query is the state of one request on its way: a pure state machine over
// the outcomes of tries.
type Query struct {
	policy   Policy
	Shards   []*ShardRequest
	stamps   map[string]bool
	answered int
	open     int
}

// NewQuery starts with every leg open.
func NewQuery(t Policy, legs []*ShardRequest) *Query {
	return &Query{policy: t, Shards: legs, stamps: map[string]bool{}, open: len(legs)}
}

// Answered is the number of legs whose part is in; Open of those that may still bring one.
func (p *Query) Answered() int { return p.answered }

// Open counts the legs that may still bring a part.
func (p *Query) Open() int { return p.open }

// OnSent notes that leg i went out to a searcher; nil means that there is none to be had.
func (p *Query) OnSent(i int, peer *upstream.Endpoint) {
	l := p.Shards[i]
	if peer == nil {
		p.closeIfIdle(l)
		return
	}
	l.attempted = append(l.attempted, peer)
	l.inFlight++
}

// closeIfIdle closes a leg for which nothing is under way any more.
func (p *Query) closeIfIdle(l *ShardRequest) {
	if l.inFlight == 0 && !l.Answered && !l.exhausted {
		l.exhausted = true
		p.open--
	}
}

// OnResult takes the outcome of a try and says what to do for its leg. kept
// tells whether the party holds on to the outcome; if not, the caller
// releases it.
func (p *Query) OnResult(i int, o upstream.Attempt) (next Action, kept bool) {
	l := p.Shards[i]
	l.inFlight--
	if o.Outcome != upstream.OutcomeUnsent {
		l.mayHaveArrived = true
	}
	if l.Answered || l.exhausted {
		return Wait, false
	}
	if o.Succeeded() && !p.stamps[o.Stamp] {
		p.stamps[o.Stamp] = true
		l.Answered, l.Answer = true, o
		p.answered++
		p.open--
		return Wait, true
	}
	if o.Outcome == upstream.OutcomeAnswered || o.Outcome == upstream.OutcomeUnknown {
		l.mayHaveRun = true
	}
	if o.Response != nil && p.mayForward(&o) {
		l.LastFailure.Release()
		l.LastFailure, kept = o, true
	}
	if o.Outcome == upstream.OutcomeAnswered && o.Status >= 300 && o.Status < 500 && len(p.Shards) == 1 {
		// The searcher has decided: another would say the same.
		p.closeIfIdle(l)
		return Wait, kept
	}
	if p.MayAttempt(i) {
		return Retry, kept
	}
	p.closeIfIdle(l)
	return Wait, kept
}

// mayForward tells whether an answer that brought no part may be given to the
// client. A success without its stamp is no answer of a searcher's. 408, 421,
// 429 and 503 tell the client that nothing ran: where that must be true, they
// pass only from a searcher that said so itself.
func (p *Query) mayForward(o *upstream.Attempt) bool {
	if o.Status < 300 {
		return false
	}
	switch o.Status {
	case 408, 421, 429, 503:
		return p.policy.Idempotent || o.Outcome == upstream.OutcomeUnprocessed
	}
	return true
}

// MayAttempt tells whether leg i may go to one more searcher.
func (p *Query) MayAttempt(i int) bool {
	l := p.Shards[i]
	return !l.Answered && !l.exhausted && len(l.attempted) < p.policy.MaxAttempts && (p.policy.Idempotent || !l.mayHaveRun && l.inFlight == 0)
}

// OnRelayResult takes what another front gathered for several legs at once:
// their stamps (empty where a part is not in) and the greatest records of
// the parts that are. A part that came by itself in the meantime makes room,
// for the group's records hold its shard's as well. It returns the legs that
// may go to one more searcher; ok is false where the answer can't be used.
func (p *Query) OnRelayResult(legs []int, stamps []string, records []byte) (again []int, ok bool) {
	ok = len(legs) == len(stamps)
	own := map[string]bool{}
	for k, i := range legs {
		if ok && stamps[k] != "" {
			l := p.Shards[i]
			ok = !own[stamps[k]] && (!p.stamps[stamps[k]] || l.Answered && l.Answer.Stamp == stamps[k])
			own[stamps[k]] = true
		}
	}
	first := true
	for k, i := range legs {
		l := p.Shards[i]
		l.inFlight--
		l.mayHaveArrived = true
		if ok && stamps[k] != "" {
			if l.Answered {
				delete(p.stamps, l.Answer.Stamp)
				l.Answer.Release()
			} else {
				l.Answered = true
				p.answered++
				p.open--
			}
			p.stamps[stamps[k]] = true
			l.Answer = upstream.Attempt{Status: 200, Stamp: stamps[k]}
			if first {
				l.Answer.RelayedBody, first = records, false
			}
			continue
		}
		if l.Answered {
			continue
		}
		l.mayHaveRun = true
		if p.MayAttempt(i) {
			again = append(again, i)
		} else {
			p.closeIfIdle(l)
		}
	}
	return again, ok
}

// GiveUp notes that the next try of leg i was not to be had.
func (p *Query) GiveUp(i int) { p.closeIfIdle(p.Shards[i]) }

// Share is the part of the legs that is in.
func (p *Query) Share() float64 { return float64(p.answered) / float64(len(p.Shards)) }

// enough compares without the noise of fractions.
func (p *Query) enough(n int) bool {
	return n > 0 && float64(n) >= p.policy.MinShare*float64(len(p.Shards))-1e-9
}

// Decide tells whether the request is over, and if so, whether it is a
// success. soft: the time in which an answer has its full worth is over.
// hard: there is no time left.
func (p *Query) Decide(soft, hard bool) (over, success bool) {
	switch {
	case p.open == 0 || hard:
		return true, p.enough(p.answered)
	case !p.enough(p.answered + p.open):
		return true, false
	case soft && p.enough(p.answered):
		s := p.Share()
		return s*s >= p.policy.LateResponseValue, true
	}
	return false, false
}

// MayHaveRun tells whether any try may have reached a searcher and run.
func (p *Query) MayHaveRun() bool {
	for _, l := range p.Shards {
		if l.mayHaveRun || l.inFlight > 0 {
			return true
		}
	}
	return false
}

// Release gives back what the party holds.
func (p *Query) Release() {
	for _, l := range p.Shards {
		l.Answer.Release()
		l.LastFailure.Release()
	}
}
