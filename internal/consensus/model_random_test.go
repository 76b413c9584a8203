package consensus

import (
	"math/rand/v2"
	"time"
)

// maxScheduleLength bounds the steps of a random schedule.
const maxScheduleLength = 300

// scheduleStream keeps the schedules' random numbers apart from those of
// other tests with the same seed.
const scheduleStream = 11

// callWeight is the weight of a call that the bounds list; weightScale makes
// the weights below, where none are drawn, comparable to it.
const (
	callWeight  = 64 * 20
	weightScale = 16
)

// stepWeights tell how likely each kind of step is in a random schedule. It is
// a list, not a map: the schedules draw factors in its order.
var stepWeights = []struct {
	kind   stepKind
	weight int
}{
	{stepRequest, 160}, {stepResponse, 200}, {stepDuplicate, 12},
	{stepSync, 200}, {stepSyncLossy, 12},
	{stepPoll, 160}, {stepLearn, 60}, {stepTransfer, 30},
	{stepTimeout, 8}, {stepRetry, 100},
	{stepCrash, 8}, {stepRestart, 60}, {stepWipe, 8}, {stepSuspect, 4},
	{stepCatchUp, 40}, {stepAdmit, 60}, {stepRollback, 40},
}

// scheduler draws one random schedule; all of it follows from the seed. Half
// of the seeds draw their own weights, so that rare kinds of steps come
// together.
type scheduler struct {
	rand    *rand.Rand
	model   *model
	bounds  bounds
	steps   []step
	weights map[stepKind]int
	// length bounds the steps.
	length int
	// maxCalls bounds the drawn calls, calls counts them, and one in
	// callInterval steps is one.
	maxCalls, calls, callInterval int
	// slowNode is rarely scheduled; it may be none.
	slowNode int
}

// randomSchedule runs the schedule of a seed. Where bounds are given, only
// what lies within them is drawn.
func randomSchedule(seed uint64, f fault, within *bounds, length int) (*model, []step) {
	s := newScheduler(seed, f, within, length)
	for len(s.steps) < s.length && s.model.violation == nil {
		enabled := s.model.enabled(s.bounds)
		if s.drawCall(len(enabled) == 0) {
			continue
		}
		if len(enabled) == 0 {
			break
		}
		s.take(s.draw(enabled))
	}
	if s.model.violation == nil {
		s.take(step{kind: stepHeal})
	}
	return s.model, s.steps
}

// newScheduler draws the schedule's parameters. The order of the draws is part
// of what a seed means.
func newScheduler(seed uint64, f fault, within *bounds, length int) *scheduler {
	r := rand.New(rand.NewPCG(seed, scheduleStream))
	s := &scheduler{rand: r, length: length, callInterval: 12, weights: map[stepKind]int{}}
	nodes := genesisVoters + r.IntN(2)
	s.bounds = bounds{
		crashes: r.IntN(5), wipes: r.IntN(4), suspicions: r.IntN(2),
		maxDeliveries: uint8(1 + r.IntN(2)), maxRetries: 4,
		admissions: true, transfers: true, responseLoss: true, partialWrites: true,
	}
	s.bounds.nodes = nodes
	if within != nil {
		s.bounds = *within
	}
	s.model, s.steps = s.bounds.initial(f, false)
	s.maxCalls = 2 + r.IntN(9)
	s.drawWeights(seed%2 == 0 || within != nil)
	s.slowNode = r.IntN(2 * maxNodes)
	if within != nil {
		s.maxCalls = 0
		if seed%4 < 2 { // what has not come by the end never does
			s.length = len(s.steps) + 5 + r.IntN(60)
		}
	}
	return s
}

// drawWeights sets the weights, drawn or as they are.
func (s *scheduler) drawWeights(drawn bool) {
	s.weights[stepPut], s.weights[stepGet] = callWeight, callWeight
	for _, w := range stepWeights {
		s.weights[w.kind] = w.weight * weightScale
	}
	if !drawn {
		return
	}
	factors := []int{1, 4, 16, 16, 64, 256}
	for _, w := range stepWeights {
		s.weights[w.kind] = w.weight * factors[s.rand.IntN(len(factors))]
	}
	s.length = min(s.length, 30+s.rand.IntN(s.length))
	s.callInterval = 4 + s.rand.IntN(20)
}

func (s *scheduler) take(next step) {
	s.model.apply(next)
	s.steps = append(s.steps, next)
}

// drawCall now and then, or where nothing else can be done, starts a call.
func (s *scheduler) drawCall(must bool) bool {
	if s.calls >= s.maxCalls || !must && s.rand.IntN(s.callInterval) != 0 {
		return false
	}
	call, ok := s.model.randomCall(s.rand)
	if !ok {
		return false
	}
	s.calls++
	s.take(call)
	return true
}

// draw picks one of the enabled steps by weight.
func (s *scheduler) draw(enabled []step) step {
	total := 0
	weights := make([]int, len(enabled))
	for i, next := range enabled {
		weights[i] = s.weight(next)
		total += weights[i]
	}
	left := s.rand.IntN(total)
	for i, next := range enabled {
		if left -= weights[i]; left < 0 {
			return next
		}
	}
	panic("weights do not add up")
}

// weight makes late messages, and most steps of the slow node, rarer.
func (s *scheduler) weight(next step) int {
	w := s.weights[next.kind]
	if next.kind == stepRequest || next.kind == stepResponse {
		if s.model.attemptOf(next).proposer == nil {
			w /= 16
		}
	}
	if next.node == s.slowNode && next.kind != stepCrash && next.kind != stepWipe {
		w = (w + 7) / 8
	}
	return w
}

// maxRandomCalls bounds the calls of a schedule before it heals.
const maxRandomCalls = 50

// randomCall draws an operator's call: a new change, a resend, or a read.
func (m *model) randomCall(r *rand.Rand) (step, bool) {
	node := r.IntN(m.nodeCount)
	if !m.nodes[node].up || !m.nodes[node].hasState() || len(m.calls) > maxRandomCalls {
		return step{}, false
	}
	s := step{kind: stepGet, call: len(m.calls), node: node}
	switch r.IntN(6) {
	case 0, 1:
		return s, true
	case 2:
		if earlier := m.calls[max(0, r.IntN(len(m.calls)+1)-1):]; len(earlier) > 0 && earlier[0] != nil && earlier[0].kind == callPut {
			v := earlier[0].value
			s.kind, s.version, s.base, s.body = stepPut, v.Version, v.BaseVersion, v.Body
			return s, true
		}
	}
	// The operator builds on what it saw last, or saw a while ago.
	base := max(m.knownVersion, m.nodes[node].acceptor.State.Version)
	if r.IntN(4) == 0 {
		base = m.nodes[r.IntN(m.nodeCount)].acceptor.State.Version
	}
	s.kind, s.base, s.version = stepPut, base, base+1+int64(r.IntN(2))
	s.body = string(rune('x' + r.IntN(3)))
	if r.IntN(2) == 0 {
		s.body = "w" + string(rune('a'+len(m.calls)%26))
	}
	return s, true
}

// searchSeeds runs random schedules from a seed on until one violates the
// wanted invariant, and gives that seed.
func searchSeeds(from uint64, count int, f fault, within *bounds, want invariant, deadline time.Time) (searchResult, uint64) {
	var result searchResult
	start := time.Now()
	seed := from
	for ; seed < from+uint64(count); seed++ {
		m, steps := randomSchedule(seed, f, within, maxScheduleLength)
		result.schedules++
		result.steps += len(steps)
		if m.violation.of(want) {
			result.violation, result.trace = m.violation, steps
			break
		}
		if !deadline.IsZero() && time.Now().After(deadline) {
			break
		}
	}
	result.duration = time.Since(start)
	return result, seed
}
