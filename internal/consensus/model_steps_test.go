package consensus

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// The steps of the model, which are also the lines of its traces:
//
//	put 1 a 5/0/x     call 1 comes to a: version 5 on top of 0, with body x (a resend is the same again)
//	get 2 b           call 2: a read at b
//	admit 3 d b a     d asks b for the vote of the one on machine a
//	ask 1.1p b        the prepare (p) or accept (a) of call 1's first round reaches b
//	hear 1.1p b       b's answer to it arrives; hear+ leaves it under way to come again
//	sync b            b's first waiting batch is on disk, its answers leave
//	mute b            the same, but its answers are lost
//	drop 1            call 1's round hears no more
//	retry 1           call 1 goes on after a round that was lost
//	peek 2 c          c answers the read's question
//	tell 1.1 c        word of what the round chose reaches c
//	teach a c 0       c takes what it lacks of a's state, from slot 0 on; -1: all
//	catch d b         d takes b's state and is to ask for a vote
//	kill a 1          a ends; one of its waiting batches reached the disk
//	wipe a            a ends and its disk is lost
//	back a            a starts: with its disk, or under a new identity
//	old a             a's disk is as it was when it was last killed
//	silent a          a seems silent, though it is not
//	heal              all start, are taught and asked: nothing may be missing
type modelStep struct {
	do        string
	op, round int
	stage     int
	at, by    int
	n         int64
	v, base   int64
	body      string
}

func (s modelStep) String() string {
	at, by := machineName(s.at), machineName(s.by)
	round := fmt.Sprintf("%d.%d%s", s.op, s.round+1, "pa"[s.stage:s.stage+1])
	switch s.do {
	case "put":
		return fmt.Sprintf("put %d %s %d/%d/%s", s.op, at, s.v, s.base, s.body)
	case "get", "peek":
		return fmt.Sprintf("%s %d %s", s.do, s.op, at)
	case "admit":
		return fmt.Sprintf("admit %d %s %s %s", s.op, at, by, machineName(int(s.n)))
	case "ask", "hear", "hear+":
		return fmt.Sprintf("%s %s %s", s.do, round, at)
	case "tell":
		return fmt.Sprintf("tell %d.%d %s", s.op, s.round+1, at)
	case "drop", "retry":
		return fmt.Sprintf("%s %d", s.do, s.op)
	case "teach":
		return fmt.Sprintf("teach %s %s %d", by, at, s.n)
	case "catch":
		return fmt.Sprintf("catch %s %s", at, by)
	case "kill":
		return fmt.Sprintf("kill %s %d", at, s.n)
	case "heal":
		return s.do
	}
	return s.do + " " + at
}

var errStep = errors.New("unknown step")

func parseStep(f []string) (s modelStep, err error) {
	s.do = f[0]
	want := map[string]int{"put": 4, "get": 3, "peek": 3, "admit": 5, "ask": 3, "hear": 3, "hear+": 3, "tell": 3, "drop": 2, "retry": 2, "teach": 4, "catch": 3, "kill": 3, "heal": 1, "sync": 2, "mute": 2, "wipe": 2, "back": 2, "old": 2, "silent": 2}
	if want[s.do] != len(f) {
		return s, errStep
	}
	machine := func(i int) int {
		at := int(f[i][0]) - 'a'
		if at < 0 || at >= modelMachines {
			err, at = errStep, 0
		}
		return at
	}
	num := func(x string) int64 {
		n, e := strconv.ParseInt(x, 10, 64)
		if e != nil {
			err = errStep
		}
		return n
	}
	switch s.do {
	case "put":
		s.op, s.at = int(num(f[1])), machine(2)
		x := strings.Split(f[3], "/")
		if len(x) != 3 {
			return s, errStep
		}
		s.v, s.base, s.body = num(x[0]), num(x[1]), x[2]
	case "get", "peek":
		s.op, s.at = int(num(f[1])), machine(2)
	case "admit":
		s.op, s.at, s.by, s.n = int(num(f[1])), machine(2), machine(3), int64(machine(4))
	case "ask", "hear", "hear+", "tell":
		x, y, _ := strings.Cut(f[1], ".")
		if s.do != "tell" && strings.HasSuffix(y, "a") {
			s.stage = 1
		}
		s.op, s.round, s.at = int(num(x)), int(num(strings.TrimRight(y, "pa")))-1, machine(2)
	case "drop", "retry":
		s.op = int(num(f[1]))
	case "teach":
		s.by, s.at, s.n = machine(1), machine(2), num(f[3])
	case "catch":
		s.at, s.by = machine(1), machine(2)
	case "kill":
		s.at, s.n = machine(1), num(f[2])
	case "heal":
	default:
		s.at = machine(1)
	}
	return s, err
}

// do takes a step and tells whether it was possible.
func (m *model) do(s modelStep) bool {
	n, by := &m.nodes[s.at], &m.nodes[s.by]
	var o *modelOp
	var r *modelRound
	if s.op < len(m.ops) && s.op >= 0 {
		o = m.ops[s.op]
	}
	if o != nil && s.round >= 0 && s.round < len(o.rounds) {
		r = o.rounds[s.round]
	}
	m.clock++
	if s.at >= m.machines || s.by >= m.machines {
		return false
	}
	switch s.do {
	case "put", "get", "admit":
		at := s.at
		if s.do == "admit" {
			at = s.by
		}
		if o != nil || s.op < 0 || s.op > 63 || !m.nodes[at].up || len(m.nodes[at].k.State.Voters) == 0 {
			return false
		}
		o = &modelOp{kind: s.do, node: at, call: m.clock, floor: m.floor}
		switch s.do {
		case "put":
			o.v = Value{Version: s.v, BaseVersion: s.base, Body: s.body, RequestFingerprint: Fingerprint(s.body)}
		case "admit":
			if !n.up || n.asked == NoSlot || n.k.DurableSlot() < n.asked || by.k.State.IsVoter(n.k.ID) {
				return false
			}
			o.asked = n.asked
			o.in, o.out = Voter{ID: n.k.ID, IP: machineName(s.at)}, int(s.n)
			// The old voter of the newcomer's own machine goes first.
			for _, v := range by.k.State.Voters {
				if machineOf(v) == s.at && o.out != s.at {
					return false
				}
			}
		}
		for len(m.ops) <= s.op {
			m.ops = append(m.ops, nil)
		}
		m.ops[s.op] = o
		m.goOn(s.op)
	case "ask":
		if r == nil || r.ask[s.stage] == nil || !n.up || !m.voterOn(r.base, s.at) {
			return false
		}
		r.sent[s.stage][s.at]++
		m.vote(s.at, s.op, s.round, s.stage)
	case "hear", "hear+":
		if r == nil || len(r.says[s.stage][s.at]) == 0 {
			return false
		}
		say := r.says[s.stage][s.at][0]
		if s.do == "hear" {
			r.says[s.stage][s.at] = r.says[s.stage][s.at][1:]
		}
		m.hear(say)
	case "sync", "mute":
		if !n.up || len(n.queue) == 0 {
			return false
		}
		m.sync(s.at, s.do == "mute")
	case "drop":
		if o == nil {
			return false
		}
		for i, r := range o.rounds {
			if r.prop != nil {
				r.prop.Stage = StageAborted
				m.ended(s.op, i)
				return true
			}
		}
		return false
	case "retry":
		if o == nil || !o.idle || len(o.rounds) >= 8 {
			return false
		}
		o.tries++
		m.goOn(s.op)
	case "peek":
		if o == nil || o.read == nil || o.read.peeked[s.at] || !n.up || !m.voterOn(o.read.s, s.at) {
			return false
		}
		m.peek(s.op, s.at)
	case "tell":
		if r == nil || r.told == nil || !n.up {
			return false
		}
		if k := &n.k; r.told.slot == k.State.Slot+1 && k.AcceptedValue != nil && (k.AcceptedBallot == r.told.ballot || m.fault == faultLearn) {
			m.learn(s.at, k.State.Apply(*k.AcceptedValue))
		}
	case "teach", "catch":
		if !n.up || !by.up || s.at == s.by || len(by.k.State.Voters) == 0 {
			return false
		}
		from := s.n
		if s.do == "catch" {
			if by.k.State.IsVoter(n.k.ID) {
				return false
			}
			if from = n.k.State.Slot; len(n.k.State.Voters) == 0 {
				from = NoSlot
			}
		}
		m.news(s.at, by.k.State.DeltaSince(min(from, by.k.State.Slot)))
		if s.do == "catch" && len(n.k.State.Voters) > 0 {
			n.asked = by.k.State.Slot
		}
	case "kill":
		if !n.up || int(s.n) > len(n.queue) || s.n < 0 {
			return false
		}
		if n.past == nil {
			past := n.disk
			n.past = &past
		}
		m.kills++
		for _, w := range n.queue[:s.n] {
			n.disk.take(w)
		}
		m.end(s.at)
	case "wipe":
		if !m.mayLose(s.at) {
			return false
		}
		m.wipes++
		m.end(s.at)
		n.disk = modelDisk{}
	case "back":
		if n.up {
			return false
		}
		m.start(s.at)
	case "old":
		if n.up || n.past == nil || n.disk.id != n.past.id || m.fault != faultOldDisk {
			return false
		}
		life := n.disk.life
		n.disk = *n.past
		n.disk.life = life // a ballot used twice is another bug
	case "silent":
		if n.silent || !n.up {
			return false
		}
		m.silents++
		n.silent = true
	case "heal":
		m.heal()
	default:
		return false
	}
	return true
}

func (m *model) voterOn(s State, at int) bool {
	for _, v := range s.Voters {
		if machineOf(v) == at {
			return true
		}
	}
	return false
}

// bounds limit what is explored.
type bounds struct {
	machines int
	// prefix are steps that come first, one a line.
	prefix                string
	calls                 []modelStep // each comes once, at any time
	kills, wipes, silents int
	dups                  uint8 // how often a message may arrive
	tries                 int
	admits, teach, mute   bool
	partial               bool // kills may leave part of the waiting batches
}

// first gives the model after the prefix, and its steps.
func (b bounds) first(f fault, quick bool) (m *model, steps []modelStep) {
	m = newModel(b.machines, f, quick)
	for _, line := range strings.Split(b.prefix, "\n") {
		if x := strings.Fields(line); len(x) > 0 {
			s, err := parseStep(x)
			if err != nil || !m.do(s) {
				panic("prefix: " + line)
			}
			steps = append(steps, s)
		}
	}
	return m, steps
}

// possible lists the steps that may come next.
func (m *model) possible(b bounds) (out []modelStep) {
	add := func(s modelStep) { out = append(out, s) }
	free := len(b.calls)
	for i, o := range m.ops {
		if o == nil {
			continue
		}
		free = max(free, i+1)
		for j, r := range o.rounds {
			for st := range 2 {
				if r.ask[st] == nil || m.quick && r.prop == nil && st == 0 {
					continue
				}
				for at := range m.machines {
					if m.nodes[at].up && r.sent[st][at] < b.dups && m.voterOn(r.base, at) {
						add(modelStep{do: "ask", op: i, round: j, stage: st, at: at})
					}
					if len(r.says[st][at]) > 0 {
						add(modelStep{do: "hear", op: i, round: j, stage: st, at: at})
						if r.prop != nil && b.dups > 1 {
							add(modelStep{do: "hear+", op: i, round: j, stage: st, at: at})
						}
					}
				}
			}
			if r.prop != nil && b.tries > 0 {
				add(modelStep{do: "drop", op: i})
			}
			if r.told != nil {
				for at := range m.machines {
					if k := &m.nodes[at].k; m.nodes[at].up && k.State.Slot+1 == r.told.slot && k.AcceptedValue != nil {
						add(modelStep{do: "tell", op: i, round: j, at: at})
					}
				}
			}
		}
		if o.idle && o.tries < b.tries {
			add(modelStep{do: "retry", op: i})
		}
		if o.read != nil {
			for at := range m.machines {
				if m.nodes[at].up && !o.read.peeked[at] && m.voterOn(o.read.s, at) {
					add(modelStep{do: "peek", op: i, at: at})
				}
			}
		}
	}
	for i, c := range b.calls {
		if c.op = i; i >= len(m.ops) || m.ops[i] == nil {
			if m.nodes[c.at].up && len(m.nodes[c.at].k.State.Voters) > 0 {
				add(c)
			}
		}
	}
	for at := range m.machines {
		n := &m.nodes[at]
		if !n.up {
			add(modelStep{do: "back", at: at})
			if m.fault == faultOldDisk && n.past != nil && n.past.id == n.disk.id && n.past.state.Slot+n.past.ballots.Slot != n.disk.state.Slot+n.disk.ballots.Slot {
				add(modelStep{do: "old", at: at})
			}
		} else {
			if len(n.queue) > 0 {
				add(modelStep{do: "sync", at: at})
				if b.mute && len(n.queue[0].says) > 0 {
					add(modelStep{do: "mute", at: at})
				}
			}
			if m.kills < b.kills {
				for k := range len(n.queue) + 1 {
					if k == 0 || b.partial {
						add(modelStep{do: "kill", at: at, n: int64(k)})
					}
				}
			}
			if m.silents < b.silents && !n.silent {
				add(modelStep{do: "silent", at: at})
			}
		}
		if m.wipes < b.wipes && m.mayLose(at) {
			add(modelStep{do: "wipe", at: at})
		}
		for by := range m.machines {
			if !n.up || !m.nodes[by].up || at == by {
				continue
			}
			s := m.nodes[by].k.State
			if len(s.Voters) == 0 {
				continue
			}
			votes := s.IsVoter(n.k.ID)
			if b.teach && (s.Slot > n.k.State.Slot) && (votes || len(n.k.State.Voters) > 0) {
				add(modelStep{do: "teach", at: at, by: by, n: n.k.DurableSlot()})
				if b.dups > 1 {
					add(modelStep{do: "teach", at: at, by: by, n: NoSlot})
					if m.fault == faultNews && s.Slot > n.k.State.Slot+1 {
						add(modelStep{do: "teach", at: at, by: by, n: n.k.State.Slot + 1})
					}
				}
			}
			if !b.admits || votes {
				continue
			}
			if n.asked < s.Slot {
				add(modelStep{do: "catch", at: at, by: by})
			}
			if n.asked != NoSlot && n.k.DurableSlot() >= n.asked && s.IsVoter(m.nodes[by].k.ID) && free < 60 && m.asking(n.k.ID) < 2 {
				for _, v := range s.Voters {
					o := &modelOp{in: Voter{ID: n.k.ID, IP: machineName(at)}, out: machineOf(v)}
					if m.goes(o, v) {
						add(modelStep{do: "admit", op: free, at: at, by: by, n: int64(o.out)})
					}
				}
			}
		}
	}
	return out
}

// asking counts the calls for a vote that are under way.
func (m *model) asking(id string) (n int) {
	for _, o := range m.ops {
		if o != nil && o.kind == "admit" && o.in.ID == id && !o.over && !o.dead {
			n++
		}
	}
	return n
}
