package consensus

import (
	"encoding/binary"
	"fmt"
	"hash/maphash"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// chosen notes what a proposer saw chosen: one value a slot.
func (m *model) chosen(v Value, s State) {
	at := int(s.Slot)
	switch {
	case at < len(m.decided):
		if !m.values[at].Equal(v) {
			m.broken("slot %d decided twice: %s and %s", at, valueText(m.values[at]), valueText(v))
		}
		return
	case at > len(m.decided):
		m.broken("slot %d decided before the one it follows", at)
		return
	}
	was := m.decided[at-1]
	if got := was.Apply(v); m.fault != faultForgets && m.fault != faultShort && stateText(got) != stateText(s) {
		m.broken("slot %d decided on a state that is not so: %s, not %s", at, stateText(s), stateText(got))
	}
	// Whatever memory a fault took from the proposer, this one forgets nothing.
	s = was.Apply(v)
	m.decided, m.values = append(m.decided, s), append(m.values, v)
	bases := map[int64]bool{}
	calls := map[AppliedChange]bool{}
	for _, t := range s.AppliedChanges {
		if bases[t.BaseVersion] {
			m.broken("two changes on base %d are in force: %s", t.BaseVersion, stateText(s))
		}
		bases[t.BaseVersion] = true
		if t.Slot = 0; calls[t] {
			m.broken("a change is in force twice: %s", stateText(s))
		}
		calls[t] = true
	}
}

// checkState: whatever anybody learns was decided, whole.
func (m *model) checkState(i int, s State) {
	if int(s.Slot) >= len(m.decided) {
		m.broken("%s learned slot %d, which is not decided", machineName(i), s.Slot)
		return
	}
	want := m.decided[s.Slot]
	if m.fault == faultForgets || m.fault == faultShort {
		// Only resends are to show it.
		s.AppliedChanges, s.AppliedCount, want.AppliedChanges, want.AppliedCount = nil, 0, nil, 0
	}
	if stateText(s) != stateText(want) {
		m.broken("%s learned %s, decided was %s", machineName(i), stateText(s), stateText(want))
	}
}

// answer ends a call.
func (m *model) answer(op, code int) {
	o := m.ops[op]
	m.clock++
	o.over, o.code, o.ret, o.idle = true, code, m.clock, false
	top := m.decided[len(m.decided)-1]
	switch {
	case o.kind == "get":
		if o.got < o.floor {
			m.broken("call %d read version %d after %d was known", op, o.got, o.floor)
		}
		m.floor = max(m.floor, o.got)
	case o.kind == "put" && code == 200:
		if !top.HasApplied(o.v.Version, o.v.BaseVersion, o.v.RequestFingerprint) {
			m.broken("call %d was acknowledged, but is not in force: %s", op, valueText(o.v))
		}
		if !m.wasAcked(o.v) {
			m.acked = append(m.acked, o.v)
		}
		m.floor = max(m.floor, o.v.Version)
	case o.kind == "put" && code == 412 && m.wasAcked(o.v):
		m.broken("call %d, a resend of the acknowledged %s, was refused", op, valueText(o.v))
	}
}

func (m *model) wasAcked(v Value) bool {
	return slices.ContainsFunc(m.acked, func(a Value) bool { return a.Equal(v) })
}

// mayLose tells whether a machine may lose its disk: the repair of the loss
// before is finished. That is so once a majority of the newest voters has, on
// disk, the state that made them voters, and each of them its disk: by fewer
// the next loss can take the only word of who votes now. And nothing that may
// still be chosen for the open slot makes a lost disk a voter: no call for its
// vote is under way any more, and what was begun for it is overtaken, to which
// any change or read that decides the open slot or a later one sees.
func (m *model) mayLose(at int) bool {
	if m.nodes[at].disk.id == "" {
		return false
	}
	top := m.decided[len(m.decided)-1]
	hold := 0
	for _, v := range top.Voters {
		n := &m.nodes[machineOf(v)]
		if n.disk.id != v.ID {
			return false
		}
		slot := n.disk.state.Slot
		if m.fault == faultMemory {
			slot = max(slot, n.k.State.Slot)
		}
		if m.fault == faultRepair || len(n.disk.state.Voters) > 0 && slot >= top.VotersSlot || m.fault == faultMemory && n.k.State.Slot >= top.VotersSlot {
			hold++
		}
	}
	return hold > len(top.Voters)/2 && (m.fault == faultBegun || !m.namesLost())
}

// namesLost tells whether a proposal for the open slot, or a call that may
// lead to one, names a lost disk.
func (m *model) namesLost() bool {
	top := m.decided[len(m.decided)-1]
	slot := top.Slot + 1
	lost := func(v *Value) bool {
		return v != nil && slices.ContainsFunc(v.Voters, func(x Voter) bool { return m.nodes[machineOf(x)].disk.id != x.ID })
	}
	for _, o := range m.ops {
		if o == nil {
			continue
		}
		if o.kind == "admit" && !o.over && !o.dead && o.asked >= top.VotersSlot && lost(&Value{Voters: []Voter{o.in}}) {
			return true
		}
		for _, r := range o.rounds {
			if r.base.Slot+1 == slot && (r.prop != nil && lost(r.prop.ownValue) || r.ask[1] != nil && lost(r.ask[1].Value)) {
				return true
			}
		}
	}
	return false
}

// heal starts all that is down, lets all learn from each other and asks
// everybody: all must be there, and a further change possible.
func (m *model) heal() {
	m.quick = true
	settle := func() {
		for i := range m.machines {
			for len(m.nodes[i].queue) > 0 && m.nodes[i].up {
				m.sync(i, false)
			}
		}
	}
	for i := range m.machines {
		if !m.nodes[i].up {
			m.start(i)
		}
		m.nodes[i].silent = false
	}
	teach := func() {
		settle()
		for range 2 {
			for i := range m.machines {
				for j := range m.machines {
					k, from := &m.nodes[i].k, m.nodes[j].k.DurableSlot()
					if len(m.nodes[j].k.State.Voters) == 0 {
						from = NoSlot
					}
					if i != j && len(k.State.Voters) > 0 {
						m.news(j, k.State.DeltaSince(min(from, k.State.Slot)))
					}
				}
			}
			settle()
		}
	}
	teach()
	call := func(o *modelOp) *modelOp {
		m.clock++
		o.call, o.floor = m.clock, m.floor
		m.ops = append(m.ops, o)
		op := len(m.ops) - 1
		m.goOn(op)
		for try := 0; try < 20 && !o.over && m.bad == ""; try++ {
			if o.read != nil {
				for i := range m.machines {
					if o.read != nil && !o.read.peeked[i] && m.voterOn(o.read.s, i) {
						m.peek(op, i)
					}
				}
				if rd := o.read; rd != nil && rd.known <= len(rd.s.Voters)/2 {
					m.goOn(op)
				}
			}
			for j := range o.rounds {
				for i := range m.machines {
					if r := o.rounds[j]; r.prop != nil && m.voterOn(r.base, i) {
						m.vote(i, op, j, int(r.prop.Stage))
						settle()
					}
				}
				if r := o.rounds[j]; r.prop != nil && r.prop.Stage == StagePreparing {
					r.prop.Stage = StageAborted
					m.ended(op, j)
				}
			}
			if o.idle && len(o.rounds) < 8 {
				teach()
				m.goOn(op)
			}
		}
		settle()
		return o
	}
	for i := range m.machines {
		if len(m.nodes[i].k.State.Voters) == 0 {
			continue
		}
		if o := call(&modelOp{kind: "get", node: i}); !o.over {
			m.broken("all are up, but a read at %s ends without an answer", machineName(i))
		}
	}
	for _, v := range m.acked {
		for i := range m.machines {
			if len(m.nodes[i].k.State.Voters) == 0 || m.bad != "" {
				continue
			}
			if o := call(&modelOp{kind: "put", node: i, v: v}); !o.over || o.code != 200 {
				m.broken("all are up, but a resend of the acknowledged %s to %s is answered %d", valueText(v), machineName(i), o.code)
			}
		}
	}
	for i := range m.machines {
		if m.bad != "" || len(m.nodes[i].k.State.Voters) == 0 {
			continue
		}
		// A change that was begun before may come first, and another one.
		code := 0
		for try := 0; try < 4 && code != 200; try++ {
			base, body := m.decided[len(m.decided)-1].Version, fmt.Sprintf("last-%s%d", machineName(i), try)
			code = call(&modelOp{kind: "put", node: i, v: Value{Version: base + 1, BaseVersion: base, Body: body, RequestFingerprint: Fingerprint(body)}}).code
		}
		if code != 200 {
			m.broken("all are up, but a change at %s is answered %d", machineName(i), code)
		}
	}
	if m.bad == "" && !m.linearizable() {
		m.broken("the calls' answers fit no order of them")
	}
}

// The operator's register: a change counts once, on the version it builds on.
type registerCall struct {
	get     bool
	v, base int64
	sum     string
}

type registerSay struct {
	code int // 0: unknown
	v    int64
}

type register struct {
	v     int64
	taken string
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		r, c, say := state.(register), input.(registerCall), output.(registerSay)
		if c.get {
			return say.v == r.v, r
		}
		name := fmt.Sprintf(" %d/%d/%s", c.v, c.base, c.sum)
		next := register{c.v, r.taken + name}
		switch {
		case strings.Contains(r.taken+" ", name+" "):
			return say.code != 412, r
		case c.base == r.v:
			return say.code != 412, next
		}
		return say.code != 200, r
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable puts the calls and answers in order as the one register would
// give them. A call without an answer may have counted at any later time.
func (m *model) linearizable() bool {
	var all []porcupine.Operation
	for i, o := range m.ops {
		if o == nil || o.kind == "admit" || o.kind == "get" && !o.over {
			continue
		}
		p := porcupine.Operation{ClientId: i, Call: o.call, Return: o.ret, Input: registerCall{o.kind == "get", o.v.Version, o.v.BaseVersion, o.v.RequestFingerprint}, Output: registerSay{o.code, o.got}}
		if !o.over {
			p.Return, p.Output = math.MaxInt64, registerSay{}
		}
		all = append(all, p)
	}
	return porcupine.CheckOperationsTimeout(registerModel, all, 5*time.Second) != porcupine.Illegal
}

func valueText(v Value) string {
	if len(v.Voters) > 0 {
		var ids []string
		for _, x := range v.Voters {
			ids = append(ids, x.ID)
		}
		return "voters " + strings.Join(ids, ",")
	}
	return fmt.Sprintf("%d/%d/%s", v.Version, v.BaseVersion, v.Body)
}

func stateText(s State) string {
	var b strings.Builder
	fmt.Fprintf(&b, "slot %d %s since %d version %d %s taken %d:", s.Slot, valueText(Value{Voters: s.Voters}), s.VotersSlot, s.Version, s.Body, s.AppliedCount)
	for _, t := range s.AppliedChanges {
		fmt.Fprintf(&b, " %d/%d@%d", t.Version, t.BaseVersion, t.Slot)
	}
	return b.String()
}

// The fingerprint of a model: two with one fingerprint go on alike.
type fingerprint struct{ b []byte }

func (f *fingerprint) num(ns ...int64) {
	for _, n := range ns {
		f.b = binary.AppendVarint(f.b, n)
	}
}

func (f *fingerprint) yes(ns ...bool) {
	for _, n := range ns {
		if n {
			f.b = append(f.b, 1)
		} else {
			f.b = append(f.b, 0)
		}
	}
}

func (f *fingerprint) text(s string) { f.b = append(append(f.b, s...), 0) }

func (f *fingerprint) ballot(b Ballot) { f.num(b.Round, b.Incarnation); f.text(b.ProposerID) }

func (f *fingerprint) value(v *Value) {
	f.yes(v != nil)
	if v == nil {
		return
	}
	f.num(v.Version, v.BaseVersion, int64(len(v.Voters)))
	f.text(v.Body)
	for _, x := range v.Voters {
		f.text(x.ID)
	}
}

func (f *fingerprint) state(s State) {
	f.num(s.Slot, s.Version, int64(len(s.AppliedChanges)), int64(len(s.Voters)))
}

func (f *fingerprint) say(s modelSay) {
	f.num(int64(s.op), int64(s.round), int64(s.stage), s.say.DecidedSlot)
	f.text(s.say.AcceptorID)
	f.yes(s.say.OK)
	f.ballot(s.say.Promised)
	f.ballot(s.say.AcceptedBallot)
	f.value(s.say.AcceptedValue)
	if s.news != nil {
		f.num(s.news.FromSlot, s.news.Slot)
	}
}

var fingerprintSeed = maphash.MakeSeed()

func (m *model) fingerprint(f *fingerprint) uint64 {
	f.b = f.b[:0]
	f.num(int64(m.kills), int64(m.wipes), int64(m.silents), m.floor, int64(len(m.acked)))
	for i := range m.values {
		f.value(&m.values[i])
	}
	for i := range m.machines {
		n := &m.nodes[i]
		f.yes(n.up, n.silent)
		f.num(n.life, n.highest, int64(n.disks), n.asked, n.disk.life, n.disk.ballots.Slot, n.k.DurableSlot())
		f.text(n.disk.id)
		f.state(n.disk.state)
		f.ballot(n.disk.ballots.Promised)
		f.ballot(n.disk.ballots.AcceptedBallot)
		f.value(n.disk.ballots.AcceptedValue)
		f.state(n.k.State)
		f.ballot(n.k.Promised)
		f.ballot(n.k.AcceptedBallot)
		f.value(n.k.AcceptedValue)
		f.num(n.k.writeSeq-n.k.durableSeq, int64(len(n.queue)))
		for _, w := range n.queue {
			if w.state != nil {
				f.state(*w.state)
				continue
			}
			f.num(-2, w.mark-n.k.durableSeq, w.ballots.Slot, int64(len(w.says)))
			f.ballot(w.ballots.Promised)
			f.ballot(w.ballots.AcceptedBallot)
			f.value(w.ballots.AcceptedValue)
			for _, s := range w.says {
				f.say(s)
			}
		}
	}
	for _, v := range m.acked {
		f.value(&v)
	}
	for i, o := range m.ops {
		if o == nil {
			continue
		}
		f.num(int64(i), int64(o.node), int64(o.tries), int64(o.code), o.floor, int64(o.out), int64(len(o.rounds)))
		f.text(o.in.ID)
		f.yes(o.idle, o.over, o.dead, o.read != nil)
		if o.read != nil {
			f.state(o.read.s)
			f.yes(o.read.peeked[:]...)
			f.yes(o.read.begun, o.read.ahead)
		}
		for _, r := range o.rounds {
			f.yes(r.prop != nil, r.told != nil, r.ask[1] != nil)
			f.state(r.base)
			f.ballot(r.ask[0].Ballot)
			if r.ask[1] != nil {
				f.value(r.ask[1].Value)
			}
			for st := range 2 {
				f.b = append(f.b, r.sent[st][:]...)
				for at := range r.says[st] {
					f.num(int64(len(r.says[st][at])))
					for _, s := range r.says[st][at] {
						f.say(s)
					}
				}
			}
			if p := r.prop; p != nil {
				f.num(int64(p.Stage), int64(p.granted), int64(p.failures))
				f.ballot(p.HighestPromised)
				f.ballot(p.adoptedBallot)
				f.value(p.adoptedValue)
				for _, v := range p.Base.Voters {
					f.yes(p.responded[v.ID])
				}
			}
		}
	}
	return maphash.Bytes(fingerprintSeed, f.b)
}
