package rollout

import (
	"math/rand/v2"
	"swiftswitch/internal/consensus"
	"testing"
	"time"
)

func TestTrafficSplitRoute(t *testing.T) {
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
		if got := l.ChooseVersion(1, x.heard, 2, x.coin); got != x.want {
			t.Errorf("%+v: %+v", x, got)
		}
	}
	l := &TrafficSplit{FromVersion: "old", TargetVersion: "new", Phase: consensus.PhaseTrial, CanaryShare: 0.06, TrialShare: 0.9, TrialUntil: 5}
	if l.ChooseVersion(6, 0, 2, 0.8).Canary != "" || l.ChooseVersion(6, 0, 2, 0.05).Canary == "" {
		t.Error("a trial that is over leaves another share than the canary's")
	}
	if (*TrafficSplit)(nil).ChooseVersion(0, 0, 0, 0) != (VersionChoice{}) || (*TrafficSplit)(nil).Versions() != nil {
		t.Error("a service without a lane")
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
		trial := o.trialDuration(Facts{Rollout: r, RequestRate: rate}, e)
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
				if l.ChooseVersion(at, 0, time.Second, rnd.Float64()).Canary != "" {
					asked++
				}
			}
		}
		if bound := e.Share*float64(all) + e.Slack; float64(asked) > bound {
			t.Errorf("seed %d: %d of %d requests, %.0f allowed", seed, asked, all, bound)
		}
	}
}
