package rollout

import (
	"time"

	"swiftswitch/internal/consensus"
)

// Exposure is what a bad version may get at most: a share of all requests and
// a number of requests beyond it.
type Exposure struct {
	Share, Slack float64
}

// Facts are what a decision rests on.
type Facts struct {
	Rollout consensus.Rollout
	// Elapsed is how much of the duration is over, PhaseAge how long this node has
	// known the present phase.
	Elapsed, PhaseAge time.Duration
	// Finding is what the charts found against the new version, if anything.
	Finding string
	// RequestRate is the requests a second for the service, GoodAnswers how
	// many attempts at the new version were no failures.
	RequestRate float64
	GoodAnswers int64
	// Evidence is what the fronts have counted since the order began.
	Evidence Evidence
	// LeaseJustAcquired: this node acquired the lease so lately that not all fronts
	// may have reported to it.
	LeaseJustAcquired bool
	// ReadySlots counts the slots of the new version's endpoints that are not
	// warming up, OldSlots those of the old version's.
	ReadySlots, OldSlots int
	// LaggingNodes counts the nodes that were heard lately and do not know the phase.
	LaggingNodes int
	// ReportDelay is how long it takes until an attempt of a front has been
	// evaluated, SettleTimeout bounds the wait for lagging nodes.
	ReportDelay, SettleTimeout time.Duration
}

// Step is the next phase to propose; an empty phase means none.
type Step struct {
	Phase consensus.Phase
	// TrialDuration bounds the trial, where Phase is that.
	TrialDuration time.Duration
	Reason        string
}

const (
	// lastStartRatio is the part of the duration after which nothing new is begun.
	lastStartRatio = 0.95
	// maxTrialRatio is the part of the duration that the trial may take at most.
	maxTrialRatio = 0.15
	// minTrialRequests is how many requests a trial must have had before a
	// lack of good answers counts against the version.
	minTrialRequests = 8
	// minRequestRate, a second, keeps the trial's duration finite without traffic.
	minRequestRate = 0.01
)

// Decide returns the next phase of a rollout:
//
//	canary -> trial -> promote -> completed
//
// and rolled back from any of them on a finding, or from the first two at the end of the
// duration.
func Decide(f Facts, o Options, e Exposure) Step {
	if !f.Rollout.Running() {
		return Step{}
	}
	if reason := rollbackReason(f, o, e); reason != "" {
		return Step{Phase: consensus.PhaseRolledBack, Reason: reason}
	}
	switch f.Rollout.Phase {
	case consensus.PhaseCanary:
		return afterCanary(f, o, e)
	case consensus.PhaseTrial:
		return afterTrial(f)
	case consensus.PhasePromote:
		return afterPromote(f)
	}
	return Step{}
}

// rollbackReason returns why the rollout is to be rolled back, empty if it is not.
func rollbackReason(f Facts, o Options, e Exposure) string {
	expires := f.Elapsed >= time.Duration(lastStartRatio*float64(f.duration()))
	switch {
	case f.Finding != "":
		return f.Finding
	case f.Evidence.MajorityAlarm() && !f.LeaseJustAcquired:
		return "the charts of most fronts"
	case !expires || f.Rollout.Phase == consensus.PhasePromote:
		return ""
	case f.Rollout.Phase == consensus.PhaseCanary && f.Evidence.Insufficient(o.CanaryShare(e)):
		return "too few good answers by its term"
	}
	return "not found good by its term"
}

// afterCanary begins the trial once its time has come, the new version has
// half of the old one's slots, and the fronts have evidence for it.
func afterCanary(f Facts, o Options, e Exposure) Step {
	early := f.Elapsed < time.Duration(o.TrialAfter*float64(f.duration()))
	if early || f.ReadySlots == 0 || 2*f.ReadySlots < f.OldSlots {
		return Step{}
	}
	if f.LeaseJustAcquired || f.Evidence.Insufficient(o.CanaryShare(e)) {
		return Step{}
	}
	return Step{Phase: consensus.PhaseTrial, TrialDuration: o.trialDuration(f, e), Reason: "nothing found against it"}
}

// afterTrial promotes the new version once all that the trial brought has been
// evaluated.
func afterTrial(f Facts) Step {
	trial := time.Duration(f.Rollout.TrialMs) * time.Millisecond
	if f.PhaseAge < trial+f.ReportDelay || f.ReadySlots == 0 || f.LeaseJustAcquired {
		return Step{}
	}
	// Where requests come, some of the new version's must have been answered.
	if requests := f.RequestRate * f.PhaseAge.Seconds(); requests >= minTrialRequests && f.GoodAnswers == 0 {
		return Step{}
	}
	return Step{Phase: consensus.PhasePromote, Reason: "nothing found against it under load"}
}

// afterPromote completes the rollout once every node knows of the promotion,
// or has had the time to.
func afterPromote(f Facts) Step {
	if f.PhaseAge >= f.ReportDelay && f.LaggingNodes == 0 || f.PhaseAge >= f.SettleTimeout {
		return Step{Phase: consensus.PhaseCompleted}
	}
	return Step{}
}

func (f Facts) duration() time.Duration {
	return time.Duration(f.Rollout.DurationMs) * time.Millisecond
}

// trialDuration is how long the trial may last: as long as what it brings and
// what the canary brings over the whole duration keep within the exposure that is used.
func (o Options) trialDuration(f Facts, e Exposure) time.Duration {
	duration := f.duration().Seconds()
	rate := max(f.RequestRate, minRequestRate)
	allowed := o.MaxExposureUse * (e.Share*rate*duration + e.Slack)
	canary := o.CanaryShare(e) * rate * duration
	seconds := (allowed - canary) / (rate * o.TrialShare)
	return time.Duration(max(0, min(seconds, maxTrialRatio*duration)) * float64(time.Second))
}

// CanaryShare is the share of the requests that goes to the new version in the
// canary phase.
func (o Options) CanaryShare(e Exposure) float64 { return o.CanaryRatio * e.Share }
