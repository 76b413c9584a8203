package rollout

import (
	"math"
	"math/rand/v2"
	"swiftswitch/internal/consensus"
	"testing"
	"time"
)

// simulation is one rollout of a service under seeded traffic, without any network:
// a share of the requests goes to four searchers of the new version.
type simulation struct {
	rate float64
	// bad gives the chance that the new version fails, and by how much longer it takes.
	bad fault
	// world is what both versions suffer.
	world func(at time.Duration) (fails, slower float64)
	// strain is how much longer the new version takes while most requests go to it.
	strain float64
}

// run plays a term of 16 s and gives the verdict, when it came, and how many
// requests the new version got.
func (p simulation) run(t *testing.T, seed uint64) (phase consensus.Phase, at time.Duration, asked int) {
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
			w := lane.ChooseVersion(now, 0, time.Second, rnd.Float64())
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
		s := Decide(Facts{Rollout: r, Elapsed: now, PhaseAge: now - since, Finding: j.Finding(), RequestRate: j.RequestRate(now), GoodAnswers: j.GoodAnswers, ReadySlots: 8, OldSlots: 8, ReportDelay: 700 * time.Millisecond, SettleTimeout: 2 * time.Second}, o, e)
		if s.Phase != "" {
			r.Phase, r.TrialMs, since = s.Phase, s.TrialDuration.Milliseconds(), now
		}
		if !r.Running() {
			return r.Phase, now, asked
		}
	}
	return r.Phase, 20 * time.Second, asked
}

// fault gives the chance that the new version fails, and by how much longer it takes.
type fault = func(at time.Duration, endpoint int, route string) (fails, slower float64)

// always is a fault of every endpoint at all times.
func always(fails, slower float64) fault {
	return func(time.Duration, int, string) (float64, float64) { return fails, slower }
}

// half is a new version that takes eight times as long for every other request.
func half(rnd *rand.Rand) fault {
	return func(time.Duration, int, string) (float64, float64) {
		if rnd.Float64() < 0.5 {
			return 0, 8
		}
		return 0, 1
	}
}

// one is a fault of one endpoint of the new version.
func one(fails, slower float64) fault {
	return func(_ time.Duration, endpoint int, _ string) (float64, float64) {
		if endpoint == 2 {
			return fails, slower
		}
		return 0, 1
	}
}

// trouble hits both versions for some seconds.
func trouble(fails, slower float64) func(time.Duration) (float64, float64) {
	return func(at time.Duration) (float64, float64) {
		if at > 5*time.Second && at < 11*time.Second {
			return fails, slower
		}
		return 0.002, 1
	}
}

func TestGoodAndBadVersions(t *testing.T) {
	for name, x := range map[string]struct {
		p simulation
		// wrong is how many of the runs may end otherwise.
		want  consensus.Phase
		wrong int
	}{
		"good":                          {simulation{rate: 133}, consensus.PhaseCompleted, 2},
		"good, slower while it fills":   {simulation{rate: 133, strain: 1.9}, consensus.PhaseCompleted, 2},
		"good, little traffic":          {simulation{rate: 8}, consensus.PhaseCompleted, 2},
		"good, both versions slow":      {simulation{rate: 133, world: trouble(0.01, 6)}, consensus.PhaseCompleted, 2},
		"good, both lose answers":       {simulation{rate: 133, world: trouble(0.05, 1)}, consensus.PhaseCompleted, 2},
		"good, a searcher that is dark": {simulation{rate: 133, bad: one(1, 1)}, consensus.PhaseCompleted, 2},
		"good, a searcher that is slow": {simulation{rate: 133, bad: one(0, 8)}, consensus.PhaseCompleted, 4},
		"bad by errors":                 {simulation{rate: 133, bad: always(0.5, 1)}, consensus.PhaseRolledBack, 0},
		"bad by errors, little traffic": {simulation{rate: 12, bad: always(0.5, 1)}, consensus.PhaseRolledBack, 2},
		"bad by slowness":               {simulation{rate: 133, bad: half(rand.New(rand.NewPCG(3, 3)))}, consensus.PhaseRolledBack, 0},
		"bad by slowness under load":    {simulation{rate: 133, strain: 5}, consensus.PhaseRolledBack, 2},
		"bad late": {simulation{rate: 133, bad: func(at time.Duration, _ int, _ string) (float64, float64) {
			if at > 4*time.Second {
				return 0.5, 1
			}
			return 0, 1
		}}, consensus.PhaseRolledBack, 0},
		"bad on one route": {simulation{rate: 133, bad: func(_ time.Duration, _ int, route string) (float64, float64) {
			if route == "b" {
				return 0.5, 1
			}
			return 0, 1
		}}, consensus.PhaseRolledBack, 0},
		"bad under load": {simulation{rate: 133, bad: func(at time.Duration, _ int, _ string) (float64, float64) {
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
