package consensus

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"

	"swiftswitch/internal/tracetest"
)

// world holds acceptors and proposers; a trace says which message arrives when.
type world struct {
	accs map[string]*Acceptor
	prop map[string]*Proposer
	n    int64
}

func newWorld(ids string) *world {
	w := &world{accs: map[string]*Acceptor{}, prop: map[string]*Proposer{}}
	var voters []Voter
	for _, id := range strings.Split(ids, ",") {
		voters = append(voters, Voter{ID: id, IP: id})
	}
	for _, v := range voters {
		w.accs[v.ID] = &Acceptor{ID: v.ID, State: State{Voters: voters}}
	}
	return w
}

func (w *world) play(f []string) error {
	switch f[0] {
	case "rollout": // rollout A SERVICE PHASE TARGET
		r, ok := w.accs[f[1]].State.Rollout(f[2])
		if !ok && f[3] == "none" {
			return nil
		}
		if string(r.Phase) != f[3] || r.TargetVersion != f[4] {
			return fmt.Errorf("it is %+v", r)
		}
	case "earlier": // earlier A SERVICE TARGET/MS SLOT, SLOT 0: it is not known as an earlier one
		x := strings.Split(f[3], "/")
		ms, _ := strconv.ParseInt(x[1], 10, 64)
		slot, ok := w.accs[f[1]].State.EarlierOrder(Rollout{Service: f[2], TargetVersion: x[0], DurationMs: ms})
		if fmt.Sprint(slot) != f[4] || ok != (slot > 0) {
			return fmt.Errorf("slot %d, %v", slot, ok)
		}
	case "start": // start P at A VERSION/BASE | start P at A voters A,B,C | start P at A order SERVICE FROM/TARGET/MS
		// | start P at A phase SERVICE PHASE | start P at A finish
		w.n++
		base := w.accs[f[3]].State
		var own *Value
		switch {
		case f[4] == "voters":
			own = &Value{}
			for _, id := range strings.Split(f[5], ",") {
				own.Voters = append(own.Voters, Voter{ID: id, IP: id})
			}
		case f[4] == "order":
			x := strings.Split(f[6], "/")
			ms, _ := strconv.ParseInt(x[2], 10, 64)
			own = &Value{Rollout: &Rollout{Service: f[5], FromVersion: x[0], TargetVersion: x[1], DurationMs: ms}}
		case f[4] == "phase":
			r, _ := base.Rollout(f[5])
			own = &Value{Rollout: &Rollout{OrderSlot: r.OrderSlot, Service: f[5], Phase: Phase(f[6])}}
		case f[4] != "finish":
			v, b, _ := strings.Cut(f[4], "/")
			vn, _ := strconv.ParseInt(v, 10, 64)
			bn, _ := strconv.ParseInt(b, 10, 64)
			own = &Value{Version: vn, BaseVersion: bn, Body: "body-" + v}
		}
		w.prop[f[1]] = NewProposer(base, Ballot{Round: w.n, ProposerID: f[3]}, own)
	case "to": // to P A,B: the message arrives and so does the answer
		p := w.prop[f[1]]
		st := p.Stage
		ask := p.Request()
		for _, id := range strings.Split(f[2], ",") {
			say, _ := w.accs[id].Handle(ask)
			p.OnResponse(st, say)
		}
	case "deaf": // deaf P A: the message arrives, the answer does not
		p := w.prop[f[1]]
		w.accs[f[2]].Handle(p.Request())
		p.OnFailure()
	case "lost":
		w.prop[f[1]].OnFailure()
	case "learn": // learn P A,B: the chosen value is told
		p := w.prop[f[1]]
		if p.Stage != StageChosen {
			return fmt.Errorf("%s has chosen nothing", f[1])
		}
		for _, id := range strings.Split(f[2], ",") {
			w.accs[id].Learn(p.Base.Apply(p.Value))
		}
	case "copy": // copy A B: B takes A's state
		w.accs[f[2]].Learn(w.accs[f[1]].State)
	case "wipe": // wipe A B: A's disk is lost, B is its new identity, without any state
		delete(w.accs, f[1])
		w.accs[f[2]] = &Acceptor{ID: f[2]}
	case "join": // join A: a node with an empty disk, without a vote
		w.accs[f[1]] = &Acceptor{ID: f[1]}
	case "has", "hasnot": // has A VERSION/BASE
		v, b, _ := strings.Cut(f[2], "/")
		vn, _ := strconv.ParseInt(v, 10, 64)
		bn, _ := strconv.ParseInt(b, 10, 64)
		if w.accs[f[1]].State.HasApplied(vn, bn, Fingerprint("body-"+v)) != (f[0] == "has") {
			return fmt.Errorf("%s: %s", f[0], f[2])
		}
	case "stage":
		want := map[string]Stage{"preparing": StagePreparing, "accepting": StageAccepting, "chosen": StageChosen, "behind": StageBehind, "outbid": StageAborted}[f[2]]
		if got := w.prop[f[1]].Stage; got != want {
			return fmt.Errorf("stage is %d, want %s", got, f[2])
		}
	case "value": // value P VERSION mine|other
		p := w.prop[f[1]]
		if strconv.FormatInt(p.Value.Version, 10) != f[2] || p.ValueIsOwn != (f[3] == "mine") {
			return fmt.Errorf("value is %d, mine %v", p.Value.Version, p.ValueIsOwn)
		}
	case "state": // state A SLOT VERSION
		s := w.accs[f[1]].State
		if got := fmt.Sprintf("%d %d", s.Slot, s.Version); got != f[2]+" "+f[3] {
			return fmt.Errorf("state is %s", got)
		}
	default:
		return fmt.Errorf("unknown step")
	}
	return nil
}

func TestTraces(t *testing.T) {
	tracetest.Play(t, 13, func() func([]string) error { return newWorld("a,b,c").play })
}

// Whatever is lost, doubled or late, one slot never decides two values.
func TestRandomSchedules(t *testing.T) {
	for seed := uint64(1); seed <= 400; seed++ {
		r := rand.New(rand.NewPCG(seed, 7))
		w := newWorld("a,b,c,d,e")
		ids := []string{"a", "b", "c", "d", "e"}
		decided := map[int64]Value{}
		type flight struct {
			p   *Proposer
			st  Stage
			ask Request
			to  string
		}
		var air []flight
		var props []*Proposer
		send := func(p *Proposer) {
			for _, id := range ids {
				air = append(air, flight{p, p.Stage, p.Request(), id})
			}
		}
		for step := 0; step < 400; step++ {
			if r.IntN(12) == 0 {
				at := w.accs[ids[r.IntN(5)]]
				w.n++
				p := NewProposer(at.State, Ballot{Round: w.n + int64(r.IntN(3)), ProposerID: at.ID}, &Value{Version: w.n + 1000, BaseVersion: at.State.Version})
				props = append(props, p)
				send(p)
			}
			if len(air) == 0 {
				continue
			}
			i := r.IntN(len(air))
			m := air[i]
			if r.IntN(8) != 0 { // now and then a message stays and arrives again
				air = append(air[:i], air[i+1:]...)
			}
			if r.IntN(6) == 0 {
				continue
			}
			say, _ := w.accs[m.to].Handle(m.ask)
			if r.IntN(6) == 0 {
				continue
			}
			was := m.p.Stage
			m.p.OnResponse(m.st, say)
			if m.p.Stage == StageAccepting && was != StageAccepting {
				send(m.p)
			}
			if m.p.Stage == StageChosen && was != StageChosen {
				slot := m.p.Base.Slot + 1
				if d, ok := decided[slot]; ok && !d.Equal(m.p.Value) {
					t.Fatalf("seed %d: slot %d decided %d and %d", seed, slot, d.Version, m.p.Value.Version)
				}
				decided[slot] = m.p.Value
				for _, id := range ids {
					if r.IntN(2) == 0 {
						w.accs[id].Learn(m.p.Base.Apply(m.p.Value))
					}
				}
			}
		}
		if len(decided) == 0 {
			t.Fatalf("seed %d: nothing was decided", seed)
		}
	}
}

func TestResendIsKnown(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	for v := int64(1); v < 2*MaxAppliedChanges; v++ {
		s = s.Apply(Value{Version: v, BaseVersion: v - 1, Body: fmt.Sprint(v)})
	}
	last := int64(2*MaxAppliedChanges - 1)
	if !s.HasApplied(last, last-1, Fingerprint(fmt.Sprint(last))) || !s.HasApplied(last-5, last-6, Fingerprint(fmt.Sprint(last-5))) {
		t.Fatal("a configuration taken lately is not known")
	}
	if s.HasApplied(last, last-1, Fingerprint("other")) || s.HasApplied(last, last-2, Fingerprint(fmt.Sprint(last))) {
		t.Fatal("another configuration is taken for the one taken")
	}
	if len(s.AppliedChanges) != MaxAppliedChanges {
		t.Fatalf("%d are remembered", len(s.AppliedChanges))
	}
}

// What is remembered of orders is bounded for each service and in all, and the
// oldest goes first.
func TestEarlierOrdersAreBounded(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	order := func(service string, n int) Rollout {
		return Rollout{Service: service, TargetVersion: fmt.Sprint("v", n), DurationMs: 9000}
	}
	run := func(service string, n int) {
		o := order(service, n)
		s = s.Apply(Value{Rollout: &o})
		r, _ := s.Rollout(service)
		r.Phase = PhaseRolledBack
		s = s.Apply(Value{Rollout: &r})
	}
	for n := range 2 * maxPastOrdersPerService {
		run("a", n)
	}
	for n := range 2 * maxPastOrdersPerService {
		_, ok := s.EarlierOrder(order("a", n))
		// The last one is not an earlier one.
		if want := n >= maxPastOrdersPerService && n < 2*maxPastOrdersPerService-1; ok != want {
			t.Errorf("order %d of one service: known %v", n, ok)
		}
	}
	for n := range 2 * maxPastOrders {
		run(fmt.Sprint("s", n), 1)
		run(fmt.Sprint("s", n), 2)
	}
	if len(s.PastOrders) != maxPastOrders {
		t.Errorf("%d orders are remembered", len(s.PastOrders))
	}
	if _, ok := s.EarlierOrder(order(fmt.Sprint("s", 2*maxPastOrders-1), 1)); !ok {
		t.Error("an order decided lately is forgotten")
	}
}
