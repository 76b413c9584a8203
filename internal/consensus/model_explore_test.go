package consensus

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// found is what an exploration came to.
type found struct {
	states, steps, schedules int
	depth                    int
	whole                    bool // all within the bounds was seen
	bad                      string
	trace                    []modelStep
	took                     time.Duration
}

// explore goes through all that is possible within the bounds, breadth first:
// the first trace found is a shortest one. Schedules that come to the same
// are followed once. An answer arrives as it leaves or never: what comes later
// changes only its proposer, whose next messages may come late all the same. A
// prepare whose round is over is left to the random schedules.
func explore(f fault, b bounds, most int, until time.Time) (out found) {
	start := time.Now()
	defer func() { out.took = time.Since(start) }()
	type origin struct {
		from int32
		step modelStep
	}
	type open struct {
		m  *model
		at int32
	}
	var fp fingerprint
	first, prefix := b.first(f, true)
	seen := map[uint64]struct{}{first.fingerprint(&fp): {}}
	origins := []origin{{from: -1}}
	trace := func(at int32, last ...modelStep) (steps []modelStep) {
		for ; origins[at].from >= 0; at = origins[at].from {
			steps = append([]modelStep{origins[at].step}, steps...)
		}
		return slices.Concat(prefix, steps, last)
	}
	level := []open{{first, 0}}
	for ; len(level) > 0; out.depth++ {
		var next []open
		for i, o := range level {
			level[i].m = nil
			if len(seen) >= most || out.steps%256 == 0 && time.Now().After(until) {
				out.states = len(seen)
				return out
			}
			for _, s := range o.m.possible(b) {
				c := o.m.clone()
				was, acks, losses := len(c.decided), len(c.acked), c.kills+c.wipes
				c.do(s)
				out.steps++
				if c.bad != "" {
					out.bad, out.trace, out.states = c.bad, trace(o.at, s), len(seen)
					return out
				}
				print := c.fingerprint(&fp)
				if _, ok := seen[print]; ok {
					continue
				}
				seen[print] = struct{}{}
				origins = append(origins, origin{o.at, s})
				at := int32(len(origins) - 1)
				next = append(next, open{c, at})
				if len(c.decided) > was || len(c.acked) > acks || c.kills+c.wipes > losses {
					h := c.clone()
					h.heal()
					if h.bad != "" {
						out.bad, out.trace, out.states = h.bad, trace(at, modelStep{do: "heal"}), len(seen)
						return out
					}
				}
			}
		}
		level = next
	}
	out.states, out.whole = len(seen), true
	return out
}

// weights tell how likely kinds of steps are in random schedules.
var weights = []struct {
	do string
	w  int
}{{"ask", 160}, {"hear", 200}, {"hear+", 12}, {"sync", 200}, {"mute", 12}, {"peek", 160}, {"tell", 60}, {"teach", 30}, {"drop", 8}, {"retry", 100}, {"kill", 8}, {"back", 60}, {"wipe", 8}, {"silent", 4}, {"catch", 40}, {"admit", 60}, {"old", 40}}

// runs takes one random schedule; all of it follows from the seed. Half of
// the seeds draw their own likelihoods, so that rare kinds of steps come
// together. Where bounds are given only what lies within them is drawn.
func runs(seed uint64, f fault, within *bounds, length int) (m *model, steps []modelStep) {
	r := rand.New(rand.NewPCG(seed, 11))
	machines := 3 + r.IntN(2)
	b := bounds{kills: r.IntN(5), wipes: r.IntN(4), silents: r.IntN(2), dups: uint8(1 + r.IntN(2)), tries: 4, admits: true, teach: true, mute: true, partial: true}
	if within != nil {
		b, machines = *within, within.machines
	}
	b.machines = machines
	m, steps = b.first(f, false)
	calls, most, often := 0, 2+r.IntN(9), 12
	likely := map[string]int{"put": 64 * 20, "get": 64 * 20}
	for _, x := range weights {
		likely[x.do] = x.w * 16
	}
	if seed%2 == 0 || within != nil {
		for _, x := range weights {
			likely[x.do] = x.w * []int{1, 4, 16, 16, 64, 256}[r.IntN(6)]
		}
		length, often = min(length, 30+r.IntN(length)), 4+r.IntN(20)
	}
	slow := r.IntN(2 * modelMachines) // a machine that is rarely scheduled, if there is one
	if within != nil {
		most = 0
		if seed%4 < 2 { // what has not come by the end never does
			length = len(steps) + 5 + r.IntN(60)
		}
	}
	for len(steps) < length && m.bad == "" {
		all := m.possible(b)
		if calls < most && (len(all) == 0 || r.IntN(often) == 0) {
			if s, ok := m.call(r); ok {
				calls++
				m.do(s)
				steps = append(steps, s)
				continue
			}
		}
		if len(all) == 0 {
			break
		}
		total := 0
		w := make([]int, len(all))
		for i, s := range all {
			w[i] = likely[s.do]
			if (s.do == "ask" || s.do == "hear") && m.ops[s.op].rounds[s.round].prop == nil {
				w[i] /= 16 // late
			}
			if s.at == slow && s.do != "kill" && s.do != "wipe" {
				w[i] = (w[i] + 7) / 8
			}
			total += w[i]
		}
		at := r.IntN(total)
		for i, s := range all {
			if at -= w[i]; at < 0 {
				m.do(s)
				steps = append(steps, s)
				break
			}
		}
	}
	if m.bad == "" {
		s := modelStep{do: "heal"}
		m.do(s)
		steps = append(steps, s)
	}
	return m, steps
}

// call draws an operator's call: a new change, an earlier one again, or a read.
func (m *model) call(r *rand.Rand) (modelStep, bool) {
	at := r.IntN(m.machines)
	if !m.nodes[at].up || len(m.nodes[at].k.State.Voters) == 0 || len(m.ops) > 50 {
		return modelStep{}, false
	}
	s := modelStep{do: "get", op: len(m.ops), at: at}
	switch r.IntN(6) {
	case 0, 1:
		return s, true
	case 2:
		if o := m.ops[max(0, r.IntN(len(m.ops)+1)-1):]; len(o) > 0 && o[0] != nil && o[0].kind == "put" {
			v := o[0].v
			s.do, s.v, s.base, s.body = "put", v.Version, v.BaseVersion, v.Body
			return s, true
		}
	}
	// The operator builds on what it saw last, or saw a while ago.
	base := max(m.floor, m.nodes[at].k.State.Version)
	if r.IntN(4) == 0 {
		base = m.nodes[r.IntN(m.machines)].k.State.Version
	}
	s.do, s.base, s.v = "put", base, base+1+int64(r.IntN(2))
	s.body = string(rune('x' + r.IntN(3)))
	if r.IntN(2) == 0 {
		s.body = "w" + string(rune('a'+len(m.ops)%26))
	}
	return s, true
}

// play takes steps on a fresh model; those that are not possible are passed over.
func play(machines int, f fault, steps []modelStep) *model {
	m := newModel(machines, f, false)
	for _, s := range steps {
		if m.bad != "" {
			break
		}
		m.do(s)
	}
	return m
}

// shrink leaves out steps as long as what is left still breaks the same.
func shrink(machines int, f fault, want string, steps []modelStep) []modelStep {
	bad := func(s []modelStep) bool {
		got := play(machines, f, s).bad
		return got != "" && strings.Contains(got, want)
	}
	for again := true; again; {
		again = false
		for size := max(1, len(steps)/2); size >= 1; size /= 2 {
			for at := 0; at+size <= len(steps); {
				less := append(append([]modelStep(nil), steps[:at]...), steps[at+size:]...)
				if bad(less) {
					steps, again = less, true
				} else {
					at++
				}
			}
		}
	}
	return steps
}

func traceText(machines int, steps []modelStep) string {
	var b strings.Builder
	b.WriteString("machines " + string(rune('0'+machines)) + "\n")
	for _, s := range steps {
		b.WriteString(s.String() + "\n")
	}
	return b.String()
}
