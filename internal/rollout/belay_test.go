package rollout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

// play is one rollout of a service under seeded traffic, without any network:
// a share of the requests goes to four searchers of the new version.
type play struct {
	rate float64
	// bad gives the chance that the new version fails, and by how much longer it takes.
	bad func(at time.Duration, who int, route string) (fails, slower float64)
	// world is what both versions suffer.
	world func(at time.Duration) (fails, slower float64)
	// strain is how much longer the new version takes while most requests go to it.
	strain float64
}

// run plays a term of 16 s and gives the verdict, when it came, and how many
// requests the new version got.
func (p play) run(t *testing.T, seed uint64) (phase consensus.Phase, at time.Duration, asked int) {
	t.Helper()
	rnd := rand.New(rand.NewPCG(seed, 5))
	o, e := DefaultOptions(), Exposure{Share: 0.1, Slack: 50}
	r := consensus.Rollout{OrderSlot: 1, Service: "s", FromVersion: "v1", TargetVersion: "v2", DurationMs: 16000, Phase: consensus.PhaseCanary}
	j := NewEvaluator(o, 16*time.Second, 0)
	const tick = 180 * time.Millisecond
	speeds := []float64{0.8, 1, 1.3, 1}
	since := time.Duration(0)
	for now := tick; now < 20*time.Second; now += tick {
		var seen []Entry
		for n := int(p.rate*tick.Seconds() + rnd.Float64()); n > 0; n-- {
			route, far := "a", rnd.IntN(2)
			if rnd.Float64() < 0.3 {
				route = "b"
			}
			lane := &TrafficSplit{FromVersion: "v1", TargetVersion: "v2", Phase: r.Phase, CanaryShare: o.CanaryShare(e), TrialShare: o.TrialShare, TrialUntil: since + time.Duration(r.TrialMs)*time.Millisecond}
			w := lane.Route(now, 0, time.Second, rnd.Float64())
			isNew := w.Canary == "v2" || w.Primary == "v2"
			who := rnd.IntN(4)
			fails, slower := 0.002, 1.0
			if p.world != nil {
				fails, slower = p.world(now)
			}
			if isNew {
				asked++
				if p.strain > 0 && (now < lane.TrialUntil || r.Phase == consensus.PhasePromote) {
					slower *= p.strain
				}
				if p.bad != nil {
					f, s := p.bad(now, who, route)
					fails, slower = max(fails, f), slower*s
				}
			}
			c := Entry{Cell: Cell{OrderSlot: 1, Target: isNew, Route: route, Distance: far}, Sample: Sample{Attempts: 1}}
			if isNew {
				c.Endpoint = int64(who + 1)
			}
			if rnd.Float64() < fails {
				c.Sample.Failures = 1
			} else if !isNew || now > 3*time.Second {
				x := math.Log((7.5*speeds[who]*math.Exp(0.5*rnd.NormFloat64()) + 2*float64(far) + 1) * slower)
				c.Sample.Timed, c.Sample.LogLatency, c.Sample.LogLatencySquared = 1, x, x*x
			}
			seen = append(seen, c)
		}
		j.UnderLoad = r.Phase != consensus.PhaseCanary
		j.Add(seen)
		j.Step(now)
		s := Decide(Facts{Rollout: r, Elapsed: now, PhaseAge: now - since, Finding: j.Finding(), RequestRate: j.RequestRate(now), New: j.NewAttempts, GoodAnswers: j.GoodAnswers, ReadySlots: 8, OldSlots: 8, ReportDelay: 700 * time.Millisecond, SettleTimeout: 2 * time.Second}, o, e)
		if s.Phase != "" {
			r.Phase, r.TrialMs, since = s.Phase, s.TrialDuration.Milliseconds(), now
		}
		if !r.Running() {
			return r.Phase, now, asked
		}
	}
	return r.Phase, 20 * time.Second, asked
}

func TestGoodAndBadVersions(t *testing.T) {
	always := func(fails, slower float64) func(time.Duration, int, string) (float64, float64) {
		return func(time.Duration, int, string) (float64, float64) { return fails, slower }
	}
	half := func(rnd *rand.Rand) func(time.Duration, int, string) (float64, float64) {
		return func(time.Duration, int, string) (float64, float64) {
			if rnd.Float64() < 0.5 {
				return 0, 8
			}
			return 0, 1
		}
	}
	trouble := func(fails, slower float64) func(time.Duration) (float64, float64) {
		return func(at time.Duration) (float64, float64) {
			if at > 5*time.Second && at < 11*time.Second {
				return fails, slower
			}
			return 0.002, 1
		}
	}
	one := func(fails, slower float64) func(time.Duration, int, string) (float64, float64) {
		return func(_ time.Duration, who int, _ string) (float64, float64) {
			if who == 2 {
				return fails, slower
			}
			return 0, 1
		}
	}
	for name, x := range map[string]struct {
		p play
		// wrong is how many of the runs may end otherwise.
		want  consensus.Phase
		wrong int
	}{
		"good":                          {play{rate: 133}, consensus.PhaseCompleted, 2},
		"good, slower while it fills":   {play{rate: 133, strain: 1.9}, consensus.PhaseCompleted, 2},
		"good, little traffic":          {play{rate: 8}, consensus.PhaseCompleted, 2},
		"good, both versions slow":      {play{rate: 133, world: trouble(0.01, 6)}, consensus.PhaseCompleted, 2},
		"good, both lose answers":       {play{rate: 133, world: trouble(0.05, 1)}, consensus.PhaseCompleted, 2},
		"good, a searcher that is dark": {play{rate: 133, bad: one(1, 1)}, consensus.PhaseCompleted, 2},
		"good, a searcher that is slow": {play{rate: 133, bad: one(0, 8)}, consensus.PhaseCompleted, 4},
		"bad by errors":                 {play{rate: 133, bad: always(0.5, 1)}, consensus.PhaseRolledBack, 0},
		"bad by errors, little traffic": {play{rate: 12, bad: always(0.5, 1)}, consensus.PhaseRolledBack, 2},
		"bad by slowness":               {play{rate: 133, bad: half(rand.New(rand.NewPCG(3, 3)))}, consensus.PhaseRolledBack, 0},
		"bad by slowness under load":    {play{rate: 133, strain: 5}, consensus.PhaseRolledBack, 2},
		"bad late": {play{rate: 133, bad: func(at time.Duration, _ int, _ string) (float64, float64) {
			if at > 4*time.Second {
				return 0.5, 1
			}
			return 0, 1
		}}, consensus.PhaseRolledBack, 0},
		"bad on one route": {play{rate: 133, bad: func(_ time.Duration, _ int, route string) (float64, float64) {
			if route == "b" {
				return 0.5, 1
			}
			return 0, 1
		}}, consensus.PhaseRolledBack, 0},
		"bad under load": {play{rate: 133, bad: func(at time.Duration, _ int, _ string) (float64, float64) {
			if at > 8*time.Second {
				return 0.5, 1
			}
			return 0, 1
		}}, consensus.PhaseRolledBack, 0},
	} {
		t.Run(name, func(t *testing.T) {
			const runs = 100
			wrong, most, latest := 0, 0, time.Duration(0)
			for seed := range uint64(runs) {
				phase, at, asked := x.p.run(t, seed)
				if phase != x.want {
					wrong++
				}
				if phase == consensus.PhaseRolledBack {
					most = max(most, asked)
				}
				latest = max(latest, at)
			}
			t.Logf("%d of %d end otherwise; latest %v; most asked of one rolled back %d", wrong, runs, latest, most)
			if wrong > x.wrong {
				t.Errorf("%d of %d do not end as %s", wrong, runs, x.want)
			}
			if bound := 0.1*x.p.rate*16 + 50; x.want == consensus.PhaseRolledBack && float64(most) > bound {
				t.Errorf("%d requests went to a bad version, of %v allowed", most, bound)
			}
		})
	}
}

// However fronts restart and whatever they know of each other, their shares
// add up to no more than the share of the exposure.
func TestSharesSumBelowTheBound(t *testing.T) {
	o := DefaultOptions()
	for seed := range uint64(50) {
		rnd := rand.New(rand.NewPCG(seed, 9))
		e := Exposure{Share: 0.1, Slack: 50}
		rate, term := 5+500*rnd.Float64(), time.Duration(8+20*rnd.Float64())*time.Second
		r := consensus.Rollout{DurationMs: term.Milliseconds()}
		trial := o.trialFor(Facts{Rollout: r, RequestRate: rate}, term, e)
		begins := term * 6 / 10
		asked, all := 0, 0
		// 300 fronts: with many, each has a request in a second or two.
		for range 300 {
			learns := begins + time.Duration(rnd.Float64()*float64(400*time.Millisecond))
			for at := time.Duration(0); at < term; at += time.Duration(rnd.ExpFloat64() * 300 / rate * float64(time.Second)) {
				l := &TrafficSplit{FromVersion: "a", TargetVersion: "b", Phase: consensus.PhaseCanary, CanaryShare: o.CanaryShare(e), TrialShare: o.TrialShare, TrialUntil: learns + trial}
				if at > learns {
					l.Phase = consensus.PhaseTrial
				}
				all++
				if l.Route(at, 0, time.Second, rnd.Float64()).Canary != "" {
					asked++
				}
			}
		}
		if bound := e.Share*float64(all) + e.Slack; float64(asked) > bound {
			t.Errorf("seed %d: %d of %d requests, %.0f allowed", seed, asked, all, bound)
		}
	}
}

func TestWays(t *testing.T) {
	for _, x := range []struct {
		phase  consensus.Phase
		heard  time.Duration
		halted bool
		coin   float64
		want   VersionChoice
	}{
		{"", 0, false, 0, VersionChoice{Primary: "old"}},
		{consensus.PhaseCanary, 0, false, 0.05, VersionChoice{Canary: "new", Primary: "old"}},
		{consensus.PhaseCanary, 0, false, 0.07, VersionChoice{Primary: "old"}},
		{consensus.PhaseCanary, 3, false, 0, VersionChoice{Primary: "old"}}, // hears of no majority
		{consensus.PhaseCanary, 0, true, 0, VersionChoice{Primary: "old"}},
		{consensus.PhaseTrial, 0, false, 0.8, VersionChoice{Canary: "new", Primary: "old"}},
		{consensus.PhaseTrial, 3, false, 0.8, VersionChoice{Primary: "old"}},
		{consensus.PhasePromote, 0, true, 0, VersionChoice{Primary: "new", Fallback: "old"}},
		{consensus.PhasePromote, 9, false, 0, VersionChoice{Primary: "old", Fallback: "new"}},
		{consensus.PhaseCompleted, 9, false, 0, VersionChoice{Primary: "new"}},
		{consensus.PhaseRolledBack, 0, false, 0, VersionChoice{Primary: "old"}},
	} {
		l := &TrafficSplit{FromVersion: "old", TargetVersion: "new", Phase: x.phase, CanaryShare: 0.06, TrialShare: 0.9, TrialUntil: 5, Halted: x.halted}
		if got := l.Route(1, x.heard, 2, x.coin); got != x.want {
			t.Errorf("%+v: %+v", x, got)
		}
	}
	l := &TrafficSplit{FromVersion: "old", TargetVersion: "new", Phase: consensus.PhaseTrial, CanaryShare: 0.06, TrialShare: 0.9, TrialUntil: 5}
	if l.Route(6, 0, 2, 0.8).Canary != "" || l.Route(6, 0, 2, 0.05).Canary == "" {
		t.Error("a trial that is over leaves another share than the canary's")
	}
	if (*TrafficSplit)(nil).Route(0, 0, 0, 0) != (VersionChoice{}) || (*TrafficSplit)(nil).Versions() != nil {
		t.Error("a service without a lane")
	}
}

func TestDecide(t *testing.T) {
	good := Facts{Rollout: consensus.Rollout{OrderSlot: 1, DurationMs: 16000}, RequestRate: 100, New: 50, GoodAnswers: 50, ReadySlots: 8, OldSlots: 8, ReportDelay: time.Second, SettleTimeout: 2 * time.Second, PhaseAge: 3 * time.Second}
	for name, x := range map[string]struct {
		change func(f *Facts)
		want   consensus.Phase
	}{
		"too early":              {func(f *Facts) { f.Rollout.Phase, f.Elapsed = consensus.PhaseCanary, 7*time.Second }, ""},
		"trial":                  {func(f *Facts) { f.Rollout.Phase, f.Elapsed = consensus.PhaseCanary, 10*time.Second }, consensus.PhaseTrial},
		"no searchers yet":       {func(f *Facts) { f.Rollout.Phase, f.Elapsed, f.ReadySlots = consensus.PhaseCanary, 10*time.Second, 3 }, ""},
		"an alarm":               {func(f *Facts) { f.Rollout.Phase, f.Finding = consensus.PhaseCanary, "x" }, consensus.PhaseRolledBack},
		"an alarm while moving":  {func(f *Facts) { f.Rollout.Phase, f.Finding = consensus.PhasePromote, "x" }, consensus.PhaseRolledBack},
		"the term is over":       {func(f *Facts) { f.Rollout.Phase, f.Elapsed = consensus.PhaseTrial, 16*time.Second }, consensus.PhaseRolledBack},
		"it moves at the term":   {func(f *Facts) { f.Rollout.Phase, f.Elapsed = consensus.PhasePromote, 16*time.Second }, consensus.PhaseCompleted},
		"reports are on the way": {func(f *Facts) { f.Rollout.Phase, f.PhaseAge = consensus.PhaseTrial, 500*time.Millisecond }, ""},
		"none was answered":      {func(f *Facts) { f.Rollout.Phase, f.GoodAnswers = consensus.PhaseTrial, 0 }, ""},
		"promote":                {func(f *Facts) { f.Rollout.Phase = consensus.PhaseTrial }, consensus.PhasePromote},
		"fronts lag behind": {func(f *Facts) {
			f.Rollout.Phase, f.PhaseAge, f.LaggingNodes = consensus.PhasePromote, 1500*time.Millisecond, 1
		}, ""},
		"lagging fronts give up": {func(f *Facts) { f.Rollout.Phase, f.PhaseAge, f.LaggingNodes = consensus.PhasePromote, 2*time.Second, 1 }, consensus.PhaseCompleted},
		"most fronts' alarms": {func(f *Facts) {
			f.Rollout.Phase, f.Evidence = consensus.PhaseCanary, Evidence{Fronts: 2, Alarms: 2, New: 8, Old: 300}
		}, consensus.PhaseRolledBack},
		"half of the fronts' alarms": {func(f *Facts) {
			f.Rollout.Phase, f.Evidence = consensus.PhaseCanary, Evidence{Fronts: 2, Alarms: 1, New: 8, Old: 300}
		}, ""},
		"no traffic": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.RequestRate, f.New, f.GoodAnswers = consensus.PhaseCanary, 10*time.Second, 0, 0, 0
		}, consensus.PhaseTrial},
		"little traffic": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.Evidence = consensus.PhaseCanary, 10*time.Second, Evidence{Fronts: 2, Old: 100}
		}, consensus.PhaseTrial},
		"requests and no answers": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.Evidence = consensus.PhaseCanary, 10*time.Second, Evidence{Fronts: 2, New: 3, Old: 1500}
		}, ""},
		"few answers at its term": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.Evidence = consensus.PhaseCanary, 15500*time.Millisecond, Evidence{Fronts: 2, New: 3, Old: 1500}
		}, consensus.PhaseRolledBack},
		"requests and answers": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.Evidence = consensus.PhaseCanary, 10*time.Second, Evidence{Fronts: 2, New: 30, Good: 29, Old: 1500}
		}, consensus.PhaseTrial},
		"a successor has not heard all": {func(f *Facts) { f.Rollout.Phase, f.Elapsed, f.Successor = consensus.PhaseCanary, 10*time.Second, true }, ""},
		"those that spoke first are not most": {func(f *Facts) {
			f.Rollout.Phase, f.Successor, f.Evidence = consensus.PhaseCanary, true, Evidence{Fronts: 1, Alarms: 1, New: 4, Old: 50}
		}, ""},
		"nor in the trial": {func(f *Facts) { f.Rollout.Phase, f.Successor = consensus.PhaseTrial, true }, ""},
		"settled":          {func(f *Facts) { f.Rollout.Phase, f.Finding = consensus.PhaseCompleted, "x" }, ""},
	} {
		f := good
		x.change(&f)
		if got := Decide(f, DefaultOptions(), Exposure{0.1, 50}); got.Phase != x.want {
			t.Errorf("%s: %q", name, got.Phase)
		}
	}
}

func TestClockNeverGivesTime(t *testing.T) {
	wall := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	c := NewTermClock(TermRecord{}, wall, 0)
	c.AtLeast(7, 0, 0)
	c.AtLeast(7, 2*time.Second, 5*time.Second) // another node that knows less
	if got := c.Elapsed(7, 6*time.Second); got != 6*time.Second {
		t.Fatalf("spent %v", got)
	}
	c.AtLeast(7, 8*time.Second, 6*time.Second) // and one that knows more
	n := c.Record(func(int64) bool { return true }, wall, 6*time.Second)
	for at, want := range map[time.Duration]time.Duration{3 * time.Second: 11 * time.Second, -time.Hour: 8 * time.Second, time.Hour: time.Hour + 8*time.Second} {
		if got := NewTermClock(n, wall.Add(at), 0).Elapsed(7, 0); got != want {
			t.Errorf("back after %v by the time of day: %v of the term are over, want %v", at, got, want)
		}
	}
	if n := c.Record(func(int64) bool { return false }, wall, 0); len(n.ElapsedMs) != 0 {
		t.Error("a settled order is kept")
	}
}

func TestLedgerMerges(t *testing.T) {
	l := NewAggregator()
	e := func(n, bad int64) []Entry {
		return []Entry{{Cell{OrderSlot: 1, Route: "a"}, Sample{Attempts: n, Failures: bad}}}
	}
	sum := func(l []Entry) string {
		s := Sample{}
		for _, x := range l {
			s = s.Plus(x.Sample)
		}
		return fmt.Sprintf("%d / %d", s.Attempts, s.Failures)
	}
	for i, x := range []struct {
		life, seq int64
		entries   []Entry
		want      string
	}{
		{1, 1, e(10, 1), "10 / 1"}, {1, 1, e(10, 1), "0 / 0"}, {1, 3, e(15, 1), "5 / 0"}, {1, 2, e(12, 1), "0 / 0"},
		{2, 1, e(4, 4), "4 / 4"}, {1, 9, e(99, 9), "0 / 0"},
	} {
		if got := sum(l.Merge("hut", x.life, x.seq, x.entries)); got != x.want {
			t.Errorf("step %d brings %s, want %s", i, got, x.want)
		}
	}
	l.Add(e(3, 0))
	l.Add(e(4, 1))
	if sum(l.OwnTotals()) != "7 / 1" {
		t.Errorf("own: %s", sum(l.OwnTotals()))
	}
	l.Retain(func(int64) bool { return false })
	if len(l.OwnTotals()) != 0 {
		t.Error("what belongs to a settled order is kept")
	}
}

// A front that was restarted is heard whatever its clock says, and what its
// earlier lives sent late is not.
func TestTellersLives(t *testing.T) {
	var l ReportFilter
	for i, x := range []struct {
		life, seq int64
		want      bool
	}{{900, 1, true}, {900, 2, true}, {900, 2, false}, {900, 1, false}, {300, 1, true}, {900, 3, false}, {300, 1, false}, {300, 2, true}, {-5, 1, true}, {300, 3, false}, {900, 4, false}} {
		if got := l.Accept(x.life, x.seq); got != x.want {
			t.Fatalf("word %d (life %d, %d): %v", i, x.life, x.seq, got)
		}
	}
}
