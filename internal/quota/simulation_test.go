package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

const (
	simulationStep   = 10 * time.Millisecond
	simulationLength = 60 * time.Second
	simulatedTenant  = "t"
	// simulatedTimeout is when a front gives up a report.
	simulatedTimeout = 300 * time.Millisecond
)

// simulatedFront is a front that asks for tokens, and its report under way.
type simulatedFront struct {
	name   string
	shares *Shares
	// perStep is how many requests come in a step, on average.
	perStep float64
	// cutUntil: nothing goes from or to the front until then.
	cutUntil time.Duration
	// frozenUntil: the front does nothing until then.
	frozenUntil time.Duration
	call        *simulatedCall
	reportAt    time.Duration
	// askAt is when the holder may be asked for those that wait.
	askAt   time.Duration
	waiting int
}

// simulatedCall is a report under way, and its answer once the holder gave one.
type simulatedCall struct {
	report             Report
	sent               time.Duration
	arrivesAt, backAt  time.Duration
	handled, isDropped bool
	answer             Answer
}

// simulation plays fronts and holders in turn.
type simulation struct {
	draw   *rand.Rand
	bounds Bounds
	limit  Limit
	fronts []*simulatedFront
	// ledger is nil while nobody holds the lease.
	ledger    *Ledger
	epoch     int64
	noneUntil time.Duration
	lives     int64
	// greedy: fronts want all the stock that they can have, and what is asked for
	// changes all the time.
	greedy bool
	now    time.Duration
	// end is when run ends.
	end     time.Duration
	spent   []time.Duration
	refused int
}

func newSimulation(seed uint64) *simulation {
	draw := rand.New(rand.NewPCG(seed, 0))
	s := &simulation{
		draw:   draw,
		end:    simulationLength,
		bounds: Bounds{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20},
		limit:  Limit{RequestsPerS: 5 + 200*draw.Float64(), BurstSize: float64(draw.IntN(200))},
	}
	for i := range 2 + draw.IntN(30) {
		f := &simulatedFront{name: fmt.Sprint("f", i)}
		s.restart(f)
		s.fronts = append(s.fronts, f)
	}
	return s
}

// restart begins another run of a front's process.
func (s *simulation) restart(f *simulatedFront) {
	s.lives++
	f.shares = NewShares(f.name, s.lives, s.bounds)
	f.call, f.waiting = nil, 0
}

// limits are those of the holder's configuration.
func (s *simulation) limits(tenant string) (Limit, bool) { return s.limit, tenant == simulatedTenant }

// run plays the whole time. load is how many times the quota is asked for.
func (s *simulation) run(load float64, troubles bool) {
	s.deal(load)
	for ; s.now < s.end; s.now += simulationStep {
		if s.draw.IntN(200) == 0 {
			s.deal(load * s.phase())
		}
		if troubles && s.draw.IntN(100) == 0 {
			s.trouble()
		}
		if s.ledger == nil && s.now >= s.noneUntil {
			s.epoch++
			s.ledger = NewLedger(s.epoch, s.bounds, s.now)
		}
		for _, f := range s.fronts {
			s.step(f)
		}
	}
}

// phase draws how many times the usual is asked for: mostly the same, or with
// greedy fronts little for a while and then much more at once.
func (s *simulation) phase() float64 {
	if !s.greedy {
		return 1
	}
	return []float64{0.01, 0.01, 1, 20}[s.draw.IntN(4)]
}

// deal spreads the load over the fronts; one may have nearly all.
func (s *simulation) deal(load float64) {
	weights, sum := make([]float64, len(s.fronts)), 0.0
	for i := range weights {
		weights[i] = math.Pow(s.draw.Float64(), 4)
		sum += weights[i]
	}
	for i, f := range s.fronts {
		f.perStep = load * s.limit.RequestsPerS * simulationStep.Seconds() * weights[i] / sum
	}
}

func (s *simulation) trouble() {
	f := s.fronts[s.draw.IntN(len(s.fronts))]
	span := time.Duration(s.draw.Int64N(int64(15 * time.Second)))
	switch s.draw.IntN(5) {
	case 4:
		for _, other := range s.fronts {
			if s.draw.IntN(2) == 0 {
				other.cutUntil = s.now + span
			}
		}
	case 0:
		s.restart(f)
	case 1:
		f.cutUntil = s.now + span
	case 2:
		f.frozenUntil = s.now + span
	case 3:
		s.ledger, s.noneUntil = nil, s.now+span/4
	}
}

// step lets a front take requests, and its report come further.
func (s *simulation) step(f *simulatedFront) {
	s.carry(f)
	if s.now < f.frozenUntil {
		return
	}
	for range s.poisson(f.perStep) {
		switch outcome, _ := f.shares.Take(simulatedTenant, s.limit, s.now); outcome {
		case Taken:
			s.spent = append(s.spent, s.now)
		case Refused:
			s.refused++
		case Waiting:
			f.waiting++
		}
	}
	if f.call == nil && (f.waiting > 0 && s.now >= f.askAt || s.now >= f.reportAt) {
		s.send(f)
	}
}

func (s *simulation) send(f *simulatedFront) {
	f.reportAt = s.now + s.bounds.Interval()
	report, due := f.shares.Report(s.now)
	if !due {
		return
	}
	if s.greedy {
		for i := range report.Demands {
			report.Demands[i].Wanted = 1 + s.draw.IntN(1000)
		}
	}
	delay := func() time.Duration { return time.Duration(s.draw.Int64N(int64(40 * time.Millisecond))) }
	f.call = &simulatedCall{report: report, sent: s.now, arrivesAt: s.now + delay()}
	f.call.backAt = f.call.arrivesAt + delay()
	if s.draw.IntN(50) == 0 {
		f.call.backAt += simulatedTimeout // the answer comes too late
	}
}

// carry brings a report to the holder, and its answer to the front.
func (s *simulation) carry(f *simulatedFront) {
	call := f.call
	if call == nil {
		return
	}
	call.isDropped = call.isDropped || s.now < f.cutUntil
	if !call.handled && s.now >= call.arrivesAt && !call.isDropped && s.ledger != nil {
		call.handled = true
		call.answer, _ = s.ledger.Handle(call.report, s.limits, s.now)
	}
	switch {
	case s.now < f.frozenUntil:
	case s.now-call.sent > simulatedTimeout:
		f.shares.OnFailure()
		f.call = nil
	case call.handled && s.now >= call.backAt && !call.isDropped:
		f.call = nil
		s.onAnswer(f, call)
	}
}

func (s *simulation) onAnswer(f *simulatedFront, call *simulatedCall) {
	admissions, _ := f.shares.OnAnswer(call.report, call.answer, call.sent, s.now)
	for _, admission := range admissions {
		f.waiting -= admission.Admitted + admission.Refused
		s.refused += admission.Refused
		if admission.Refused == 0 {
			f.askAt = s.now + admission.RetryAfter
		}
		for range admission.Admitted {
			s.spent = append(s.spent, s.now)
		}
	}
}

// poisson draws a number of events.
func (s *simulation) poisson(mean float64) int {
	limit, n := math.Exp(-mean), 0
	for p := s.draw.Float64(); p > limit; p *= s.draw.Float64() {
		n++
	}
	return n
}

// fullest returns the greatest part of what a window allows that was spent in one.
func (s *simulation) fullest() float64 {
	most, first := 0, 0
	for i, at := range s.spent {
		for at-s.spent[first] > s.bounds.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / s.bounds.Allowed(s.limit)
}

// A limit that is lowered binds after a window, whatever was in stock before.
func TestLowerLimitBinds(t *testing.T) {
	for seed := range uint64(60) {
		s := newSimulation(seed)
		s.limit = Limit{RequestsPerS: 300, BurstSize: 300}
		s.greedy = true
		s.run(0.05, false)
		s.limit = Limit{RequestsPerS: 20, BurstSize: 10}
		s.end += simulationLength
		binds := s.now + s.bounds.Window
		s.run(5, false)
		s.spent = slices.DeleteFunc(s.spent, func(at time.Duration) bool { return at < binds })
		if part := s.fullest(); part > 1 {
			t.Errorf("seed %d: a window holds %.2f of what it may", seed, part)
		}
	}
}

// Whatever fronts and holders suffer, no window holds more than the quota allows.
func TestRunsStayWithinTheQuota(t *testing.T) {
	fullest := 0.0
	for seed := range uint64(150) {
		s := newSimulation(seed)
		s.greedy = seed%3 > 0
		s.run(0.5+3*s.draw.Float64(), true)
		if part := s.fullest(); part > 1 {
			t.Errorf("seed %d: a window holds %.2f of what it may", seed, part)
		} else {
			fullest = max(fullest, part)
		}
	}
	t.Logf("fullest window %.2f", fullest)
	if fullest < 0.7 {
		t.Error("the quota is never used: the test shows nothing")
	}
}

// Without troubles, what stays well below the quota is not refused, and of what
// lies beyond it as much is let through as the quota allows.
func TestQuotaIsUsed(t *testing.T) {
	for seed := range uint64(30) {
		below := newSimulation(seed)
		below.run(0.6, false)
		if share := float64(below.refused) / float64(below.refused+len(below.spent)); share > 0.01 {
			t.Errorf("seed %d: %.3f of what is below the quota is refused", seed, share)
		}
		beyond := newSimulation(seed)
		beyond.run(3, false)
		if want := beyond.limit.RequestsPerS * simulationLength.Seconds(); float64(len(beyond.spent)) < 0.9*want {
			t.Errorf("seed %d: %d let through, the quota is %.0f", seed, len(beyond.spent), want)
		}
	}
}

// A front that hears nothing of the holder for longer than the validity has no
// stock any more.
func TestUnconfirmedStockIsVoid(t *testing.T) {
	s := newSimulation(1)
	s.greedy = true
	s.run(0.5, false)
	f := s.fronts[0]
	limit := Limit{RequestsPerS: 10, BurstSize: 10}
	f.shares.OnAnswer(Report{}, Answer{Epoch: s.epoch}, s.now, s.now)
	f.shares.shares["other"] = &share{limit: limit, stock: 2}
	if !f.shares.TryTake("other", limit, s.now+s.bounds.Validity()) {
		t.Error("stock is void too early")
	}
	if f.shares.TryTake("other", limit, s.now+s.bounds.Validity()+1) {
		t.Error("stock that was not confirmed is spent")
	}
}

// Stock that a front has of a tenant counts also where the tenant was removed and came
// back since.
func TestStockOfATenantThatCameBackCounts(t *testing.T) {
	bounds := Bounds{Window: time.Second, Overshoot: 0.1, Slack: 20}
	limit, known := Limit{RequestsPerS: 10, BurstSize: 10}, true
	limits := func(string) (Limit, bool) { return limit, known }
	l := NewLedger(1, bounds, 0)
	now := 10 * time.Second
	report := Report{Front: "f", Incarnation: 1, Seq: 1, Epoch: 1, Full: true, Demands: []Demand{{Tenant: "t", Wanted: 5}}}
	l.Handle(report, limits, now)
	if _, _, stocked := l.Size(); stocked != 5 {
		t.Fatalf("%d in stock", stocked)
	}
	known = false
	l.Handle(Report{Front: "other", Incarnation: 2, Seq: 1, Full: true}, limits, now+l.validity)
	known = true
	l.Handle(Report{Front: "other", Incarnation: 2, Seq: 2, Answered: 1, Epoch: 1, Demands: []Demand{{Tenant: "t", Wanted: 1}}}, limits, now+l.validity)
	if _, _, stocked := l.Size(); stocked != 6 {
		t.Errorf("%d in stock, want the 5 of before and 1", stocked)
	}
}
