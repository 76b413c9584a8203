package consensus

import (
	"fmt"
	"slices"
	"strconv"
)

// The model: machines with disks that run the real state machines the way the
// lodge drives them, a network that keeps every message for ever, so that any
// may come late, twice or never, and operators' calls. What happens next is
// chosen from outside, step by step (model_steps_test.go); what must hold is
// checked at each step (model_checks_test.go). Nothing here knows a clock: a
// frozen machine is one that no step touches.

// modelMachines is the most machines; the first three have the first voters.
const modelMachines = 4

// fault is a planted bug: one place where the model does not do what the lodge does.
type fault string

const (
	faultNone      fault = ""
	faultLives     fault = "ballots do not name the life"
	faultEarly     fault = "replies do not wait for the disk"
	faultBlank     fault = "an empty disk votes under its old identity"
	faultRepair    fault = "a repair counts as finished once its proposer knows it"
	faultBegun     fault = "a repair counts as finished while a lost disk may become a voter"
	faultMemory    fault = "a repair counts as finished by memory alone"
	faultForgets   fault = "taken changes are forgotten at a restart"
	faultShort     fault = "one taken change is remembered"
	faultReadOne   fault = "a read asks one voter"
	faultReadBegun fault = "a read passes over what was begun"
	faultLearn     fault = "a decided slot is learned by its number"
	faultOrder     fault = "a ballot reaches the disk before the state it rests on"
	faultOldDisk   fault = "a disk comes back as it was earlier"
	faultNews      fault = "news are applied to an older state than they were made for"
	faultLow       fault = "the value of the last answer is taken, not of the highest ballot"
	faultRefused   fault = "whoever is not a voter counts"
	faultLateJoin  fault = "a late call for a vote counts after a later change of voters"
	faultBaseless  fault = "a change is settled without a look at its base"
	faultNoMemory  fault = "a resend is not looked for"
)

type modelDisk struct {
	id      string
	life    int64
	state   State
	ballots BallotState
}

// modelWrite is one batch: records of the state, or of the ballots.
type modelWrite struct {
	state   *State
	ballots *BallotState
	mark    int64
	says    []modelSay
}

type modelSay struct {
	op, round, stage int
	from             int
	say              Response
	news             *StateDelta
}

type modelMachine struct {
	up, silent    bool
	k             DurableAcceptor
	life, highest int64
	disks         int // given to this machine so far
	disk          modelDisk
	past          *modelDisk // as it was some time ago
	queue         []modelWrite
	// asked is the slot that it caught up to before it asks for a vote.
	asked int64
}

type modelRound struct {
	prop *Proposer // nil once it ended or its machine did
	node int
	base State
	ask  [2]*Request // prepare, accept
	sent [2][modelMachines]uint8
	says [2][modelMachines][]modelSay
	told *learned
}

type learned struct {
	slot   int64
	ballot Ballot
}

type modelRead struct {
	s            State
	known        int
	peeked       [modelMachines]bool
	begun, ahead bool
}

type modelOp struct {
	kind      string // put, get, admit
	node      int
	v         Value
	in        Voter // admit
	out       int   // admit: the machine whose voter goes
	asked     int64 // admit: the slot that the newcomer holds on disk
	rounds    []*modelRound
	read      *modelRead
	idle      bool // waits for retry
	tries     int
	over      bool // answered
	dead      bool // its machine ended
	code      int
	got       int64
	floor     int64
	call, ret int64
}

type model struct {
	fault fault
	// quick: an answer arrives as it leaves, or never.
	quick    bool
	machines int
	nodes    [modelMachines]modelMachine
	ops      []*modelOp
	// What really happened, known to nobody inside.
	decided               []State
	values                []Value
	acked                 []Value
	floor                 int64
	clock                 int64
	kills, wipes, silents int
	bad                   string
}

func machineName(i int) string { return string(rune('a' + i)) }

func machineOf(v Voter) int { return int(v.IP[0] - 'a') }

func newModel(machines int, f fault, quick bool) *model {
	m := &model{fault: f, quick: quick, machines: machines}
	var genesis State
	for i := range 3 {
		genesis.Voters = append(genesis.Voters, Voter{ID: machineName(i) + "1", IP: machineName(i)})
	}
	m.decided, m.values = []State{genesis}, []Value{{}}
	for i := range machines {
		n := &m.nodes[i]
		n.disk.id = machineName(i) + "1"
		if i < 3 {
			n.disk.state = genesis
		}
		n.disks = 1
		m.start(i)
	}
	return m
}

func (m *model) broken(format string, a ...any) {
	if m.bad == "" {
		m.bad = fmt.Sprintf(format, a...)
	}
}

// start is what newHut does: the life is on disk before anything else.
func (m *model) start(i int) {
	n := &m.nodes[i]
	if n.disk.id == "" {
		n.disks++
		n.disk = modelDisk{id: machineName(i) + strconv.Itoa(n.disks)}
		if m.fault == faultBlank {
			n.disk.id, n.disk.state = machineName(i)+"1", m.decided[0]
		}
	}
	n.disk.life++
	n.up, n.silent, n.life, n.asked = true, false, n.disk.life, NoSlot
	n.k = DurableAcceptor{Acceptor: Acceptor{ID: n.disk.id}}
	s := n.disk.state
	if m.fault == faultForgets {
		s.AppliedChanges = nil
	}
	n.k.Restore(s, n.disk.ballots)
	n.highest = n.k.Promised.Round
}

func (m *model) end(i int) {
	n := &m.nodes[i]
	n.up, n.queue, n.k = false, nil, DurableAcceptor{}
	for _, o := range m.ops {
		if o == nil || o.node != i || o.over || o.dead {
			continue
		}
		o.dead, o.read, o.idle = true, nil, false
		for _, r := range o.rounds {
			r.prop = nil
		}
	}
}

// learn is hut.learn: decided state, which is written in its turn.
func (m *model) learn(i int, s State) {
	n := &m.nodes[i]
	if m.fault == faultShort {
		s.AppliedChanges = s.AppliedChanges[max(0, len(s.AppliedChanges)-1):]
	}
	if n.k.Learn(s) {
		m.checkState(i, s)
		m.write(i, modelWrite{state: &s})
	}
}

func (m *model) write(i int, w modelWrite) {
	n := &m.nodes[i]
	n.queue = append(n.queue, w)
}

// news is hut.takeNews.
func (m *model) news(i int, n StateDelta) {
	k := &m.nodes[i].k
	if n.Slot <= k.State.Slot && len(k.State.Voters) > 0 {
		return
	}
	s, ok := k.State.ApplyDelta(n)
	if !ok && m.fault == faultNews && len(k.State.Voters) > 0 && n.FromSlot > k.State.Slot {
		n.FromSlot = k.State.Slot
		s, ok = k.State.ApplyDelta(n)
	}
	if !ok {
		return
	}
	if len(k.State.Voters) == 0 && s.Slot == 0 {
		k.State = s
		m.write(i, modelWrite{state: &s})
		return
	}
	m.learn(i, s)
}

// vote is hut.vote: the answer leaves once what it rests on is on disk.
func (m *model) vote(i, op, round, stage int) {
	n, r := &m.nodes[i], m.ops[op].rounds[round]
	ask := *r.ask[stage]
	say, needs := n.k.Handle(ask)
	n.highest = max(n.highest, ask.Ballot.Round, n.k.Promised.Round)
	out := modelSay{op: op, round: round, stage: stage, from: i, say: say}
	if say.NewerState != nil {
		news := n.k.State.DeltaSince(ask.Slot - 1)
		out.say.NewerState, out.news = nil, &news
	}
	if n.k.IsDurable(needs) {
		m.leave(out)
		return
	}
	b, mark := n.k.BallotState()
	w := modelWrite{ballots: &b, mark: mark}
	if m.fault == faultEarly {
		m.write(i, w)
		m.leave(out)
		return
	}
	w.says = []modelSay{out}
	m.write(i, w)
}

// leave lets an answer go.
func (m *model) leave(s modelSay) {
	if m.quick {
		m.hear(s)
		return
	}
	at := &m.ops[s.op].rounds[s.round].says[s.stage][s.from]
	*at = append((*at)[:len(*at):len(*at)], s)
}

// sync puts the first batch on disk; mute: its answers are lost.
func (m *model) sync(i int, mute bool) {
	n := &m.nodes[i]
	at := 0
	if m.fault == faultOrder {
		at = max(0, slices.IndexFunc(n.queue, func(w modelWrite) bool { return w.ballots != nil }))
	}
	w := n.queue[at]
	n.queue = slices.Delete(slices.Clone(n.queue), at, at+1)
	n.disk.take(w)
	if w.state != nil {
		n.k.MarkStateDurable(w.state.Slot)
	} else {
		n.k.MarkDurable(w.mark)
	}
	for _, s := range w.says {
		if !mute {
			m.leave(s)
		}
	}
}

func (d *modelDisk) take(w modelWrite) {
	if w.state != nil {
		d.state = *w.state
	} else {
		d.ballots = *w.ballots
	}
}

// hear is what round does with an answer.
func (m *model) hear(s modelSay) {
	o := m.ops[s.op]
	r := o.rounds[s.round]
	p := r.prop
	if p == nil {
		return
	}
	if s.news != nil {
		if st, ok := r.base.ApplyDelta(*s.news); ok {
			s.say.NewerState = &st
		}
	}
	switch m.fault {
	case faultLow:
		p.adoptedBallot = Ballot{}
	case faultRefused:
		if !p.Base.IsVoter(s.say.AcceptorID) {
			for _, v := range p.Base.Voters {
				if machineOf(v) == s.from {
					s.say.AcceptorID = v.ID
				}
			}
			s.say.OK = true
		}
	}
	p.OnResponse(Stage(s.stage), s.say)
	if p.Stage == StageAccepting && r.ask[1] == nil {
		ask := p.Request()
		r.ask[1] = &ask
	}
	if p.Stage >= StageChosen {
		m.ended(s.op, s.round)
	}
}

// begin is the head of round.
func (m *model) begin(op int, base State, own *Value) {
	o := m.ops[op]
	n := &m.nodes[o.node]
	if n.k.State.Slot != base.Slot {
		m.after(op, true)
		return
	}
	n.highest++
	b := Ballot{Round: n.highest, ProposerID: n.k.ID, Incarnation: n.life}
	if m.fault == faultLives {
		b.Incarnation = 0
	}
	r := &modelRound{prop: NewProposer(base, b, own), node: o.node, base: base}
	ask := r.prop.Request()
	r.ask[0] = &ask
	o.rounds = append(o.rounds, r)
}

// ended is the tail of round.
func (m *model) ended(op, round int) {
	o := m.ops[op]
	r := o.rounds[round]
	p := r.prop
	r.prop = nil
	n := &m.nodes[r.node]
	switch p.Stage {
	case StageChosen:
		s := p.Base.Apply(p.Value)
		m.chosen(p.Value, s)
		r.told = &learned{s.Slot, p.Ballot}
		m.learn(r.node, s)
	case StageBehind:
		m.learn(r.node, *p.NewerState)
	default:
		n.highest = max(n.highest, p.HighestPromised.Round)
	}
	m.after(op, p.Stage == StageChosen || p.Stage == StageBehind)
}

func (m *model) after(op int, moved bool) {
	o := m.ops[op]
	o.read = nil
	if !moved || len(o.rounds) >= 8 {
		o.idle = true
		return
	}
	m.goOn(op)
}

// goOn is one turn of the loops of settle, read and handleJoin.
func (m *model) goOn(op int) {
	o := m.ops[op]
	o.idle = false
	n := &m.nodes[o.node]
	s := n.k.State
	switch o.kind {
	case "get":
		o.read = &modelRead{s: s}
	case "admit":
		if s.IsVoter(o.in.ID) {
			m.answer(op, 200)
			return
		}
		voters := slices.Clone(s.Voters)
		at := slices.IndexFunc(voters, func(v Voter) bool { return machineOf(v) == o.out })
		if late := s.VotersSlot > o.asked && m.fault != faultLateJoin; late || at < 0 || !m.goes(o, voters[at]) || !s.IsVoter(n.k.ID) {
			m.answer(op, 0)
			return
		}
		voters[at] = o.in
		m.begin(op, s, &Value{Voters: voters})
	default:
		v := o.v
		switch {
		case s.HasApplied(v.Version, v.BaseVersion, v.RequestFingerprint):
			m.answer(op, 200)
		case v.BaseVersion < s.Version && m.fault != faultBaseless:
			m.answer(op, 412)
		case v.BaseVersion > s.Version:
			o.read = &modelRead{s: s}
		default:
			if m.fault == faultBaseless {
				v.BaseVersion = s.Version
			}
			m.begin(op, s, &v)
		}
	}
}

// goes tells whether a voter may be replaced: by its own machine's new
// identity, or where it is silent, rightly or not.
func (m *model) goes(o *modelOp, out Voter) bool {
	n := &m.nodes[o.out]
	return o.in.IP == out.IP || !n.up || n.silent || n.disk.id != out.ID
}

// peek is one answer in read.
func (m *model) peek(op, i int) {
	o := m.ops[op]
	rd, k := o.read, &m.nodes[i].k
	rd.peeked[i] = true
	if !rd.s.IsVoter(k.ID) {
		return
	}
	rd.known++
	rd.begun = rd.begun || k.AcceptedValue != nil && k.State.Slot == rd.s.Slot
	rd.ahead = rd.ahead || k.State.Slot > rd.s.Slot
	if m.fault == faultReadBegun {
		rd.begun = false
	}
	if rd.known < len(rd.s.Voters)/2+1 && m.fault != faultReadOne {
		return
	}
	s := rd.s
	if rd.begun || rd.ahead {
		o.read = nil
		m.begin(op, s, nil)
		return
	}
	o.read = nil
	if o.kind == "get" {
		o.got = s.Version
		m.answer(op, 200)
		return
	}
	if s.Version < o.v.BaseVersion {
		m.answer(op, 412)
		return
	}
	m.goOn(op)
}

// clone copies what a step may change.
func (m *model) clone() *model {
	c := *m
	c.decided, c.values, c.acked = slices.Clone(m.decided), slices.Clone(m.values), slices.Clone(m.acked)
	for i := range c.nodes {
		c.nodes[i].queue = slices.Clone(m.nodes[i].queue)
	}
	c.ops = make([]*modelOp, len(m.ops))
	for i, o := range m.ops {
		if o == nil {
			continue
		}
		x := *o
		if o.read != nil {
			rd := *o.read
			x.read = &rd
		}
		x.rounds = make([]*modelRound, len(o.rounds))
		for j, r := range o.rounds {
			y := *r
			if r.prop != nil {
				p := *r.prop
				p.responded = make(map[string]bool, len(r.prop.responded))
				for id := range r.prop.responded {
					p.responded[id] = true
				}
				y.prop = &p
			}
			x.rounds[j] = &y
		}
		c.ops[i] = &x
	}
	return &c
}
