package consensus

import (
	"slices"
	"time"
)

// searchResult is what a search came to.
type searchResult struct {
	states, steps, schedules int
	depth                    int
	// exhausted: all within the bounds was explored.
	exhausted bool
	violation *violation
	// trace is the schedule that led to the violation.
	trace    []step
	duration time.Duration
}

// deadlineInterval is the number of steps between two looks at the clock.
const deadlineInterval = 256

// explorer explores all that is possible within bounds, breadth first: the
// first violation found has a shortest trace. Schedules that lead to the same
// state are followed once. The network is reliable: what a late response
// changes is its proposer alone, whose next requests may come late all the
// same. A late prepare of an attempt that ended is left to the random
// schedules.
type explorer struct {
	bounds bounds
	prefix []step
	hasher hasher
	seen   map[uint64]struct{}
	// origins hold for each state found how it was reached.
	origins []origin
	result  searchResult
}

// origin is the index of the state before, -1 for the first, and the step from there.
type origin struct {
	from int32
	step step
}

// openState is a state whose steps are still to be taken.
type openState struct {
	model  *model
	origin int32
}

// explore searches until a violation, the deadline, or maxStates states.
func explore(f fault, b bounds, maxStates int, deadline time.Time) searchResult {
	start := time.Now()
	e := explorer{bounds: b, seen: map[uint64]struct{}{}, origins: []origin{{from: -1}}}
	first, prefix := b.initial(f, true)
	e.prefix = prefix
	e.seen[first.fingerprint(&e.hasher)] = struct{}{}
	e.run(openState{first, 0}, maxStates, deadline)
	e.result.states = len(e.seen)
	e.result.duration = time.Since(start)
	return e.result
}

func (e *explorer) run(first openState, maxStates int, deadline time.Time) {
	for level := []openState{first}; len(level) > 0; e.result.depth++ {
		var next []openState
		for i, o := range level {
			level[i].model = nil // lets the memory go
			if len(e.seen) >= maxStates || e.result.steps%deadlineInterval == 0 && time.Now().After(deadline) {
				return
			}
			for _, s := range o.model.enabled(e.bounds) {
				reached, isNew := e.take(o, s)
				if e.result.violation != nil {
					return
				}
				if isNew {
					next = append(next, reached)
				}
			}
		}
		level = next
	}
	e.result.exhausted = true
}

// take applies a step to a copy of a state and reports whether the result is new.
// Where something was decided, acknowledged or lost the result must heal.
func (e *explorer) take(o openState, s step) (reached openState, isNew bool) {
	m := o.model.clone()
	decided, acknowledged, losses := len(m.decided), len(m.acknowledged), m.crashes+m.wipes
	m.apply(s)
	e.result.steps++
	if m.violation != nil {
		e.report(m.violation, o.origin, s)
		return openState{}, false
	}
	fingerprint := m.fingerprint(&e.hasher)
	if _, known := e.seen[fingerprint]; known {
		return openState{}, false
	}
	e.seen[fingerprint] = struct{}{}
	e.origins = append(e.origins, origin{o.origin, s})
	reached = openState{m, int32(len(e.origins) - 1)}
	if len(m.decided) > decided || len(m.acknowledged) > acknowledged || m.crashes+m.wipes > losses {
		healed := m.clone()
		healed.heal()
		if healed.violation != nil {
			e.report(healed.violation, reached.origin, step{kind: stepHeal})
		}
	}
	return reached, true
}

// report notes a violation by the steps to a state and one more.
func (e *explorer) report(v *violation, at int32, last step) {
	steps := []step{last}
	for ; e.origins[at].from >= 0; at = e.origins[at].from {
		steps = append(steps, e.origins[at].step)
	}
	slices.Reverse(steps)
	e.result.violation, e.result.trace = v, slices.Concat(e.prefix, steps)
}
