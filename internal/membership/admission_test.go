package membership

import (
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

// stateWith is an agreed state with these voters; the first letter of an ID
// gives the address.
func stateWith(slot int64, ids ...string) consensus.State {
	state := consensus.State{Slot: slot}
	for _, id := range ids {
		state.Voters = append(state.Voters, consensus.Voter{ID: id, IP: "ip-" + id[:1]})
	}
	return state
}

// reportsOf are the reports of these nodes at slot 7, which all hold one voter
// for silent, or none where silent is "".
func reportsOf(silent string, ids ...string) (reports []Report) {
	for _, id := range ids {
		r := Report{ID: id, Slot: 7}
		if silent != "" {
			r.Suspected = []string{silent}
		}
		reports = append(reports, r)
	}
	return reports
}

func TestEvaluate(t *testing.T) {
	base := stateWith(7, "a1", "b1", "c1")
	newcomer := consensus.Voter{ID: "n1", IP: "ip-n"}
	answers := &Report{ID: "n1"}
	c1Leaves := map[string]bool{"c1": true}
	for _, c := range []struct {
		name      string
		admission Admission
		want      Decision
		replaced  string
	}{
		{
			"the evaluating voter alone suspects and reaches nobody",
			Admission{VoterReports: reportsOf("c1", "a1"), NewcomerReport: answers},
			NoQuorum, "",
		},
		{
			"only the evaluating voter suspects",
			Admission{VoterReports: append(reportsOf("c1", "a1"), reportsOf("", "b1")...), NewcomerReport: answers},
			NoVacancy, "",
		},
		{
			"only the other voter suspects",
			Admission{VoterReports: append(reportsOf("", "a1"), reportsOf("c1", "b1")...), NewcomerReport: answers},
			NoVacancy, "",
		},
		{
			"a majority suspects",
			Admission{VoterReports: reportsOf("c1", "a1", "b1"), NewcomerReport: answers},
			ReplacesSilent, "c1",
		},
		{
			"a majority suspects, but the suspect answers",
			Admission{VoterReports: append(reportsOf("c1", "a1", "b1"), reportsOf("", "c1")...), NewcomerReport: answers},
			NoVacancy, "",
		},
		{
			"reports of nodes without a vote don't count",
			Admission{VoterReports: append(reportsOf("c1", "a1"), reportsOf("c1", "x1", "y1")...), NewcomerReport: answers},
			NoQuorum, "",
		},
		{
			"a voter left",
			Admission{VoterReports: reportsOf("", "a1", "b1"), Leaving: c1Leaves, NewcomerReport: answers},
			ReplacesLeaving, "c1",
		},
		{
			"a voter left and is back",
			Admission{VoterReports: reportsOf("", "a1", "b1", "c1"), Leaving: c1Leaves, NewcomerReport: answers},
			NoVacancy, "",
		},
		{
			"a voter reports that it leaves",
			Admission{VoterReports: append(reportsOf("", "a1", "b1"), Report{ID: "c1", Leaving: true}), NewcomerReport: answers},
			ReplacesLeaving, "c1",
		},
		{
			"the evaluating voter leaves",
			Admission{VoterReports: append(reportsOf("", "b1"), Report{ID: "a1", Leaving: true}), Leaving: c1Leaves, NewcomerReport: answers},
			EvaluatorIneligible, "",
		},
		{
			"the evaluating node has no vote",
			Admission{Self: "z1", VoterReports: reportsOf("c1", "z1", "a1", "b1"), NewcomerReport: answers},
			EvaluatorIneligible, "",
		},
		{
			"the newcomer leaves",
			Admission{VoterReports: reportsOf("c1", "a1", "b1"), NewcomerReport: &Report{ID: "n1", Leaving: true}},
			NewcomerUnverified, "",
		},
		{
			"the newcomer is gone",
			Admission{VoterReports: reportsOf("c1", "a1", "b1")},
			NewcomerUnverified, "",
		},
		{
			"another voter knows a later slot",
			Admission{VoterReports: append(reportsOf("c1", "a1"), Report{ID: "b1", Slot: 8}), NewcomerReport: answers},
			EvaluatorBehind, "",
		},
		{
			"a further voter is wanted",
			Admission{TargetVoters: 5, VoterReports: reportsOf("", "a1", "b1"), NewcomerReport: answers},
			AddsVoter, "",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := c.admission
			if a.Self == "" {
				a.Self = "a1"
			}
			if a.TargetVoters == 0 {
				a.TargetVoters = 3
			}
			a.Base, a.Newcomer = base, newcomer
			voters, got := a.Evaluate()
			if got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
			next := consensus.State{Voters: voters}
			if admitted := got >= Rejoins; admitted != next.IsVoter("n1") || c.replaced != "" && next.IsVoter(c.replaced) {
				t.Errorf("voters %v", voters)
			}
		})
	}
}

// Of five voters three must suspect one.
func TestMajorityOfFiveSuspects(t *testing.T) {
	a := Admission{
		Self:           "a1",
		Base:           stateWith(7, "a1", "b1", "c1", "d1", "e1"),
		Newcomer:       consensus.Voter{ID: "n1", IP: "ip-n"},
		TargetVoters:   5,
		NewcomerReport: &Report{ID: "n1"},
		VoterReports:   append(reportsOf("e1", "a1", "b1"), reportsOf("", "c1")...),
	}
	if _, got := a.Evaluate(); got != NoVacancy {
		t.Errorf("two of five suspect: %v, want %v", got, NoVacancy)
	}
	a.VoterReports = reportsOf("e1", "a1", "b1", "c1")
	if _, got := a.Evaluate(); got != ReplacesSilent {
		t.Errorf("three of five suspect: %v, want %v", got, ReplacesSilent)
	}
}

// A disk is lost twice at one address: of the identities only the one that
// lives there gets the place, however late the other's request is evaluated.
func TestDiskLostTwice(t *testing.T) {
	a := Admission{
		Self:           "a1",
		Base:           stateWith(7, "a1", "b1", "c1"),
		TargetVoters:   3,
		Newcomer:       consensus.Voter{ID: "c2", IP: "ip-c"},
		VoterReports:   reportsOf("", "a1", "b1"),
		NewcomerReport: &Report{ID: "c3"},
	}
	if _, got := a.Evaluate(); got != NewcomerUnverified {
		t.Fatalf("an identity that is gone: %v, want %v", got, NewcomerUnverified)
	}
	a.Newcomer.ID = "c3"
	voters, got := a.Evaluate()
	if got != Rejoins {
		t.Fatalf("the identity that lives there: %v, want %v", got, Rejoins)
	}
	a.Base = consensus.State{Slot: 8, Voters: voters}
	a.Newcomer.ID = "c2"
	if _, got := a.Evaluate(); got != NewcomerUnverified {
		t.Fatalf("the late request of the first identity: %v, want %v", got, NewcomerUnverified)
	}
	// Nor where the newcomer answered in time, and the voters changed meanwhile.
	a.NewcomerReport, a.Base.VotersSlot, a.NewcomerSlot = &Report{ID: "c2"}, 8, 7
	if _, got := a.Evaluate(); got != NewcomerBehind {
		t.Fatalf("a request from before the last change of voters: %v, want %v", got, NewcomerBehind)
	}
	a.NewcomerSlot = 8
	if _, got := a.Evaluate(); got != Rejoins {
		t.Fatalf("it caught up and asks again: %v, want %v", got, Rejoins)
	}
}

// Two newcomers ask two voters for one place at once. Then the one that got it
// dies, and the other has the place once the first has been silent for long.
func TestTwoNewcomersForOnePlace(t *testing.T) {
	base := stateWith(7, "a1", "b1", "c1")
	evaluate := func(self, id string, base consensus.State, silent string) ([]consensus.Voter, Decision) {
		return Admission{
			Self:           self,
			Base:           base,
			TargetVoters:   3,
			Newcomer:       consensus.Voter{ID: id, IP: "ip-" + id},
			NewcomerSlot:   base.VotersSlot, // it has caught up with the last change of voters
			NewcomerReport: &Report{ID: id},
			VoterReports:   reportsOf(silent, "a1", "b1"),
		}.Evaluate()
	}
	withM, _ := evaluate("a1", "m1", base, "c1")
	withN, _ := evaluate("b1", "n1", base, "c1")
	if withM == nil || withN == nil {
		t.Fatal("a newcomer is not admitted")
	}
	// Both are proposed for slot 8: one is chosen, the other is evaluated anew on it.
	next := base.Apply(consensus.Value{Voters: withM})
	next.Slot = 7 // which the reports name
	if voters, got := evaluate("b1", "n1", next, ""); voters != nil || got != NoVacancy {
		t.Fatalf("the second newcomer is admitted as well: %v", got)
	}
	wantSilentOnceDead(t)
	if voters, got := evaluate("b1", "n1", next, "m1"); voters == nil || got != ReplacesSilent {
		t.Fatalf("the standby node is not admitted: %v, want %v", got, ReplacesSilent)
	}
}

// wantSilentOnceDead checks that the failure detector of another voter does
// not suspect the new voter m1 at once, but does so after it died right after
// its admission.
func wantSilentOnceDead(t *testing.T) {
	t.Helper()
	const second = time.Second
	d := NewFailureDetector(tickGap, 0)
	d.SetVoters([]string{"b1", "c1"}, 0)
	for at := second / 2; at <= 9*second; at += second / 2 {
		d.Tick(at)
		d.OnHeartbeat("b1", at)
	}
	d.SetVoters([]string{"b1", "m1"}, 9*second)
	if d.SilentFor("m1", 9*second+second/2) > second {
		t.Fatal("a voter of half a second is silent for long")
	}
	d.Tick(10 * second)
	d.Tick(11 * second)
	if d.SilentFor("m1", 11*second+second/2) < 2*second {
		t.Fatal("a newcomer that died right after its admission is never missed")
	}
}
