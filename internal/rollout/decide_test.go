package rollout

import (
	"swiftswitch/internal/consensus"
	"testing"
	"time"
)

func TestDecide(t *testing.T) {
	good := Facts{Rollout: consensus.Rollout{OrderSlot: 1, DurationMs: 16000}, RequestRate: 100, GoodAnswers: 50, ReadySlots: 8, OldSlots: 8, ReportDelay: time.Second, SettleTimeout: 2 * time.Second, PhaseAge: 3 * time.Second}
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
			f.Rollout.Phase, f.Elapsed, f.RequestRate, f.GoodAnswers = consensus.PhaseCanary, 10*time.Second, 0, 0
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
		"a successor has not heard all": {func(f *Facts) {
			f.Rollout.Phase, f.Elapsed, f.LeaseJustAcquired = consensus.PhaseCanary, 10*time.Second, true
		}, ""},
		"those that spoke first are not most": {func(f *Facts) {
			f.Rollout.Phase, f.LeaseJustAcquired, f.Evidence = consensus.PhaseCanary, true, Evidence{Fronts: 1, Alarms: 1, New: 4, Old: 50}
		}, ""},
		"nor in the trial": {func(f *Facts) { f.Rollout.Phase, f.LeaseJustAcquired = consensus.PhaseTrial, true }, ""},
		"settled":          {func(f *Facts) { f.Rollout.Phase, f.Finding = consensus.PhaseCompleted, "x" }, ""},
	} {
		f := good
		x.change(&f)
		if got := Decide(f, DefaultOptions(), Exposure{0.1, 50}); got.Phase != x.want {
			t.Errorf("%s: %q", name, got.Phase)
		}
	}
}
