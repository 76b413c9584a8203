package membership

import (
	"testing"
	"time"

	"swiftswitch/internal/consensus"
)

const s = time.Second

// A voter that was frozen has no opinion of others, neither before nor right
// after it noticed; a new voter is not silent from before its vote.
func TestOwnFreezeIsNobodysSilence(t *testing.T) {
	w := NewFailureDetector(s, 0)
	w.SetVoters([]string{"a", "b"}, 0)
	for at := s / 2; at <= 4*s; at += s / 2 {
		w.OnHeartbeat("a", at)
		if w.Tick(at) {
			t.Fatal("a freeze was seen where there was none")
		}
	}
	if w.SilentFor("a", 4*s) != 0 || w.SilentFor("b", 4*s) != 4*s {
		t.Fatalf("silence: a %v, b %v", w.SilentFor("a", 4*s), w.SilentFor("b", 4*s))
	}
	// It freezes until 20 s. A judge asks before its loop ran.
	if w.SilentFor("a", 20*s) != 0 || w.SilentFor("b", 20*s) != 0 {
		t.Fatal("a node that did not run calls others silent")
	}
	if !w.Tick(20 * s) {
		t.Fatal("the freeze went unnoticed")
	}
	w.Tick(20*s + s/2)
	if got := w.SilentFor("b", 20*s+s/2); got != s/2 {
		t.Fatalf("silence counts from the wake-up: %v", got)
	}
	w.SetVoters([]string{"a", "c"}, 20*s+s/2)
	if got := w.SilentFor("c", 21*s); got != s/2 {
		t.Fatalf("a new voter's silence: %v", got)
	}
	if w.SilentFor("b", 21*s) != 0 {
		t.Fatal("one that votes no more is called silent")
	}
}

func state(slot int64, ids ...string) consensus.State {
	st := consensus.State{Slot: slot}
	for _, id := range ids {
		st.Voters = append(st.Voters, consensus.Voter{ID: id, IP: "ip-" + id[:1]})
	}
	return st
}

func says(silent string, ids ...string) (out []Report) {
	for _, id := range ids {
		x := Report{ID: id, Slot: 7}
		if silent != "" {
			x.Silent = []string{silent}
		}
		out = append(out, x)
	}
	return out
}

func TestWhoTakesWhosePlace(t *testing.T) {
	base := state(7, "a1", "b1", "c1")
	met := &Report{ID: "n1"}
	newcomer := consensus.Voter{ID: "n1", IP: "ip-n"}
	for _, x := range []struct {
		name string
		c    Admission
		want Decision
		out  string
	}{
		{"a judge alone with its timer", Admission{VoterReports: says("c1", "a1"), NewcomerReport: met}, NoQuorum, ""},
		{"only the judge calls it silent", Admission{VoterReports: append(says("c1", "a1"), says("", "b1")...), NewcomerReport: met}, NoVacancy, ""},
		{"only the other does", Admission{VoterReports: append(says("", "a1"), says("c1", "b1")...), NewcomerReport: met}, NoVacancy, ""},
		{"a majority does", Admission{VoterReports: says("c1", "a1", "b1"), NewcomerReport: met}, ReplacesSilent, "c1"},
		{"a majority does, but it answers", Admission{VoterReports: append(says("c1", "a1", "b1"), says("", "c1")...), NewcomerReport: met}, NoVacancy, ""},
		{"strangers don't count", Admission{VoterReports: append(says("c1", "a1"), says("c1", "x1", "y1")...), NewcomerReport: met}, NoQuorum, ""},
		{"it left", Admission{VoterReports: says("", "a1", "b1"), Leaving: map[string]bool{"c1": true}, NewcomerReport: met}, ReplacesLeaving, "c1"},
		{"it left and is back", Admission{VoterReports: says("", "a1", "b1", "c1"), Leaving: map[string]bool{"c1": true}, NewcomerReport: met}, NoVacancy, ""},
		{"it says that it leaves", Admission{VoterReports: append(says("", "a1", "b1"), Report{ID: "c1", Leaving: true}), NewcomerReport: met}, ReplacesLeaving, "c1"},
		{"the judge leaves", Admission{VoterReports: append(says("", "b1"), Report{ID: "a1", Leaving: true}), Leaving: map[string]bool{"c1": true}, NewcomerReport: met}, EvaluatorIneligible, ""},
		{"the judge has no vote", Admission{Self: "z1", VoterReports: says("c1", "z1", "a1", "b1"), NewcomerReport: met}, EvaluatorIneligible, ""},
		{"the newcomer leaves", Admission{VoterReports: says("c1", "a1", "b1"), NewcomerReport: &Report{ID: "n1", Leaving: true}}, NewcomerUnverified, ""},
		{"the newcomer is gone", Admission{VoterReports: says("c1", "a1", "b1")}, NewcomerUnverified, ""},
		{"somebody knows more", Admission{VoterReports: append(says("c1", "a1"), Report{ID: "b1", Slot: 8}), NewcomerReport: met}, EvaluatorBehind, ""},
		{"a further voter", Admission{TargetVoters: 5, VoterReports: says("", "a1", "b1"), NewcomerReport: met}, AddsVoter, ""},
	} {
		if x.c.Self == "" {
			x.c.Self = "a1"
		}
		if x.c.TargetVoters == 0 {
			x.c.TargetVoters = 3
		}
		x.c.Base, x.c.Newcomer = base, newcomer
		voters, got := x.c.Evaluate()
		if got != x.want {
			t.Errorf("%s: %v, not %v", x.name, got, x.want)
		}
		next := consensus.State{Voters: voters}
		if placed := got >= Rejoins; placed != next.IsVoter("n1") || x.out != "" && next.IsVoter(x.out) {
			t.Errorf("%s: %v", x.name, voters)
		}
	}
	// Five voters, two silent: three of them must say so.
	five := Admission{Self: "a1", Base: state(7, "a1", "b1", "c1", "d1", "e1"), Newcomer: newcomer, TargetVoters: 5, NewcomerReport: met, VoterReports: append(says("e1", "a1", "b1"), says("", "c1")...)}
	if _, v := five.Evaluate(); v != NoVacancy {
		t.Errorf("two of five: %v", v)
	}
	five.VoterReports = says("e1", "a1", "b1", "c1")
	if _, v := five.Evaluate(); v != ReplacesSilent {
		t.Errorf("three of five: %v", v)
	}
}

// A disk lost twice at one address: of the identities only the one that lives
// there gets the place, however late the other's call is judged.
func TestDiskLostTwice(t *testing.T) {
	c := Admission{Self: "a1", Base: state(7, "a1", "b1", "c1"), TargetVoters: 3, Newcomer: consensus.Voter{ID: "c2", IP: "ip-c"}, VoterReports: says("", "a1", "b1"), NewcomerReport: &Report{ID: "c3"}}
	if _, v := c.Evaluate(); v != NewcomerUnverified {
		t.Fatalf("an identity that is gone: %v", v)
	}
	c.Newcomer.ID = "c3"
	voters, v := c.Evaluate()
	if v != Rejoins {
		t.Fatalf("the one that lives there: %v", v)
	}
	c.Base = consensus.State{Slot: 8, Voters: voters}
	c.Newcomer.ID = "c2"
	if _, v := c.Evaluate(); v != NewcomerUnverified {
		t.Fatalf("the late call of the first takes the place again: %v", v)
	}
	// Nor where it met the newcomer in time, and the voters changed meanwhile.
	c.NewcomerReport, c.Base.VotersSlot, c.NewcomerSlot = &Report{ID: "c2"}, 8, 7
	if _, v := c.Evaluate(); v != NewcomerBehind {
		t.Fatalf("a call from before the last change of voters: %v", v)
	}
	c.NewcomerSlot = 8
	if _, v := c.Evaluate(); v != Rejoins {
		t.Fatalf("it caught up and asks again: %v", v)
	}
}

// Two newcomers and one place, before two judges at once; then the one that
// got it dies, and the other has the place once it has been silent for long.
func TestTwoForOnePlace(t *testing.T) {
	base := state(7, "a1", "b1", "c1")
	judge := func(self, id string, base consensus.State, silent string) ([]consensus.Voter, Decision) {
		// It has caught up with the last change of voters.
		return Admission{Self: self, Base: base, TargetVoters: 3, Newcomer: consensus.Voter{ID: id, IP: "ip-" + id}, NewcomerSlot: base.VotersSlot, NewcomerReport: &Report{ID: id}, VoterReports: says(silent, "a1", "b1")}.Evaluate()
	}
	m, _ := judge("a1", "m1", base, "c1")
	n, _ := judge("b1", "n1", base, "c1")
	if m == nil || n == nil {
		t.Fatal("no place")
	}
	// Both propose for slot 8: one is chosen there, the other judges anew on it.
	next := base.Apply(consensus.Value{Voters: m})
	next.Slot = 7 // what says() answers with
	if v, why := judge("b1", "n1", next, ""); v != nil || why != NoVacancy {
		t.Fatalf("the second got a place as well: %v", why)
	}
	w := NewFailureDetector(s, 0)
	w.SetVoters([]string{"b1", "c1"}, 0)
	for at := s / 2; at <= 9*s; at += s / 2 {
		w.Tick(at)
		w.OnHeartbeat("b1", at)
	}
	w.SetVoters([]string{"b1", "m1"}, 9*s)
	if w.SilentFor("m1", 9*s+s/2) > s {
		t.Fatal("a voter of half a second is silent for long")
	}
	w.Tick(10 * s)
	w.Tick(11 * s)
	if w.SilentFor("m1", 11*s+s/2) < 2*s {
		t.Fatal("a newcomer that died right after its vote is never missed")
	}
	if v, why := judge("b1", "n1", next, "m1"); v == nil || why != ReplacesSilent {
		t.Fatalf("the one that stood by does not follow: %v", why)
	}
}

// A member that was replaced while it was away holds an old vote: neither it
// nor two such members of different ages decide anything against what went on.
func TestOldVotesDecideNothing(t *testing.T) {
	acc := map[string]*consensus.Acceptor{}
	base := state(3, "a1", "b1", "c1")
	for _, id := range []string{"a1", "b1", "c1", "m1", "n1"} {
		acc[id] = &consensus.Acceptor{ID: id, State: base}
	}
	ballots := int64(0)
	run := func(by string, own *consensus.Value, up ...string) *consensus.Proposer {
		ballots++
		p := consensus.NewProposer(acc[by].State, consensus.Ballot{N: ballots, By: by}, own)
		for p.Stage <= consensus.StageAccepting {
			st := p.Stage
			for _, id := range up {
				say, _ := acc[id].Handle(p.Request())
				p.OnResponse(st, say)
				if p.Stage != st {
					break
				}
			}
			if p.Stage == st {
				p.Stage = consensus.StageAborted
			}
		}
		return p
	}
	set := func(ids ...string) *consensus.Value { return &consensus.Value{Voters: state(0, ids...).Voters} }
	// c1 is cut off and replaced by m1; then b1 is cut off before it learns that, and replaced by n1.
	if p := run("a1", set("a1", "b1", "m1"), "a1", "b1"); p.Stage != consensus.StageChosen {
		t.Fatal("the first change")
	}
	next := base.Apply(*set("a1", "b1", "m1"))
	acc["a1"].Learn(next)
	acc["m1"].Learn(next)
	if p := run("a1", set("a1", "n1", "m1"), "a1", "m1"); p.Stage != consensus.StageChosen {
		t.Fatal("the second change")
	}
	// Both old ones are back, without the others.
	p := run("c1", &consensus.Value{Version: 9}, "c1", "b1")
	if p.Stage == consensus.StageChosen && !p.Value.Equal(*set("a1", "b1", "m1")) {
		t.Fatalf("two old votes chose %+v", p.Value)
	}
	acc["c1"].Learn(next)
	acc["b1"].Learn(next)
	if p := run("c1", &consensus.Value{Version: 9}, "c1", "b1"); p.Stage == consensus.StageChosen {
		t.Fatal("one without a vote and an old one chose something")
	}
}

func TestEnough(t *testing.T) {
	for _, x := range []struct {
		name                                   string
		voters, leaving, standby, held, losses int
		young, want                            bool
	}{
		{"all there", 3, 0, 0, 0, 1, false, true},
		{"young, others may come", 1, 0, 0, 1, 1, true, false},
		{"old and alone", 1, 0, 0, 1, 1, false, true},
		{"a node is to vote first", 3, 0, 1, 3, 2, false, false},
		{"five, standbys don't matter", 5, 0, 2, 0, 2, false, true},
		{"its quorum may be with one that leaves", 3, 1, 0, 1, 1, false, false},
		{"both that stay have it", 3, 1, 0, 2, 1, false, true},
		{"one of five leaves", 5, 1, 0, 2, 2, false, false},
		{"one of five leaves, three have it", 5, 1, 0, 3, 2, false, true},
		{"all leave", 3, 3, 0, 0, 1, false, true},
	} {
		if got := EnoughVoters(x.voters, x.leaving, x.standby, x.held, x.losses, x.young); got != x.want {
			t.Errorf("%s: %v", x.name, got)
		}
	}
}

func TestHanded(t *testing.T) {
	for _, x := range []struct {
		name string
		p    DrainProgress
		want bool
	}{
		{"nobody stays", DrainProgress{ToleratedFailures: 1, IsVoter: true}, true},
		{"on one of two disks", DrainProgress{ToleratedFailures: 1, StayingNodes: 2, StateReplicas: 1, TableReplicas: 2}, false},
		{"the table is missing", DrainProgress{ToleratedFailures: 1, StayingNodes: 2, StateReplicas: 2, TableReplicas: 1}, false},
		{"an outcome is open", DrainProgress{ToleratedFailures: 1, StayingNodes: 2, StateReplicas: 2, TableReplicas: 2, ProposalPending: true}, false},
		{"a successor could vote", DrainProgress{ToleratedFailures: 1, StayingNodes: 3, StateReplicas: 2, TableReplicas: 2, IsVoter: true, StandbyAvailable: true}, false},
		{"it votes no more", DrainProgress{ToleratedFailures: 1, StayingNodes: 3, StateReplicas: 2, TableReplicas: 2, StandbyAvailable: true}, true},
		{"nobody could follow", DrainProgress{ToleratedFailures: 1, StayingNodes: 2, StateReplicas: 2, TableReplicas: 2, IsVoter: true}, true},
	} {
		if x.p.Complete() != x.want {
			t.Errorf("%s: %v", x.name, !x.want)
		}
	}
}
