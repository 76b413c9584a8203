package lease

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// The exhaustive test plays every order of a bounded number of steps on three
// voters, of which the first two may campaign whenever they like, and checks
// mutual exclusion and the uniqueness of epochs after each step.

// stepKind is what happens in one step.
type stepKind int

const (
	// sendRequests: a candidate sends its request to all voters; its own answers at once.
	sendRequests stepKind = iota
	// deliverRequest: a voter handles the request that a candidate sent to it.
	deliverRequest
	// deliverResponse: a candidate takes a voter's response.
	deliverResponse
	// advanceClock: six tenths of a lease duration go by.
	advanceClock
	// restartVoter: the third voter loses power and starts again from its disk.
	restartVoter
)

type step struct {
	kind             stepKind
	candidate, voter int
}

// repeatsInVain tells whether a step can't change anything after these: a
// second request or restart right after the first, or time beyond a lease duration.
func (s step) repeatsInVain(before []step) bool {
	n := len(before)
	if n == 0 || before[n-1] != s {
		return false
	}
	switch s.kind {
	case sendRequests, restartVoter:
		return true
	case advanceClock:
		return n > 1 && before[n-2] == s
	}
	return false
}

// allSteps lists the steps that are tried in every state, in the order of trial.
func allSteps() []step {
	var steps []step
	for candidate := range 2 {
		steps = append(steps, step{kind: sendRequests, candidate: candidate})
	}
	for _, kind := range []stepKind{deliverRequest, deliverResponse} {
		for candidate := range 2 {
			for voter := range 3 {
				steps = append(steps, step{kind, candidate, voter})
			}
		}
	}
	return append(steps, step{kind: advanceClock}, step{kind: restartVoter})
}

// requestInFlight is a request on its way to a voter.
type requestInFlight struct {
	request Request
	sent    time.Duration
}

// responseInFlight is a voter's response on its way back.
type responseInFlight struct {
	requestInFlight
	response Response
}

// boundedState is one state of the exhaustive search. At most one request and
// one response are in flight between a candidate and a voter.
type boundedState struct {
	fault      fault
	now        time.Duration
	voters     [3]*Voter
	disks      [3]map[string]Record
	candidates [2]*Candidate
	requests   [2][3]*requestInFlight
	responses  [2][3]*responseInFlight
	usedEpochs map[int64]string
	trace      []string
}

func newBoundedState(f fault) *boundedState {
	m := &boundedState{fault: f, usedEpochs: map[int64]string{}, now: lease}
	ids := []string{"a", "b", "c"}
	for i, id := range ids {
		m.voters[i] = NewVoter(id, lease, nil, 0, true, m.now)
	}
	for i := range m.candidates {
		m.candidates[i] = NewCandidate(role, ids[i], lease, -9*lease)
		m.candidates[i].SetIncarnation(1)
		m.candidates[i].SetVoters(0, ids)
	}
	m.candidates[1].highestEpoch = 5 // so that it need not be refused first
	return m
}

// handleRequest lets a voter answer; the write is on disk before the response leaves.
func (m *boundedState) handleRequest(voter int, r requestInFlight) *responseInFlight {
	response, write := m.voters[voter].HandleRequest(r.request, m.now)
	if write > 0 && (m.fault != respondBeforeSync || voter != 2) {
		m.disks[voter], _ = m.voters[voter].Records()
		m.voters[voter].MarkDurable(write)
	}
	return &responseInFlight{r, response}
}

func (m *boundedState) handleResponse(candidate int, r *responseInFlight) {
	sent := r.sent
	if m.fault == countFromResponse {
		sent = m.now
	}
	m.candidates[candidate].OnResponse(r.request, r.response, sent, m.now)
	if m.fault == singleGrantSuffices && r.response.Granted {
		m.candidates[candidate].OnResponse(r.request, Response{Voter: "c", Granted: true}, sent, m.now)
	}
}

// apply plays one step; it tells whether the step is possible in this state.
func (m *boundedState) apply(s step) bool {
	switch s.kind {
	case sendRequests:
		return m.sendRequests(s.candidate)
	case deliverRequest:
		return m.deliverRequest(s.candidate, s.voter)
	case deliverResponse:
		return m.deliverResponse(s.candidate, s.voter)
	case advanceClock:
		m.now += 6 * lease / 10
		m.trace = append(m.trace, "time passes")
	case restartVoter:
		startedAt := m.now
		if m.fault == grantAfterRestart {
			startedAt -= lease
		}
		m.voters[2] = NewVoter("c", lease, m.disks[2], 0, true, startedAt)
		m.trace = append(m.trace, "c restarts")
	}
	return true
}

func (m *boundedState) sendRequests(candidate int) bool {
	m.candidates[candidate].OnHeartbeat("c", true, m.now)
	m.candidates[candidate].OnHeartbeat([]string{"b", "a"}[candidate], false, m.now)
	request, ok := m.candidates[candidate].NextRequest(m.now)
	if !ok {
		return false
	}
	m.handleResponse(candidate, m.handleRequest(candidate, requestInFlight{request, m.now}))
	for voter := range 3 {
		if voter != candidate {
			m.requests[candidate][voter] = &requestInFlight{request, m.now}
		}
	}
	m.trace = append(m.trace, fmt.Sprintf("%s requests epoch %d", request.Holder, request.Epoch))
	return true
}

func (m *boundedState) deliverRequest(candidate, voter int) bool {
	r := m.requests[candidate][voter]
	if r == nil {
		return false
	}
	m.requests[candidate][voter] = nil
	m.responses[candidate][voter] = m.handleRequest(voter, *r)
	granted := m.responses[candidate][voter].response.Granted
	m.trace = append(m.trace, fmt.Sprintf("voter %d handles epoch %d of %s: granted %v", voter, r.request.Epoch, r.request.Holder, granted))
	return true
}

func (m *boundedState) deliverResponse(candidate, voter int) bool {
	r := m.responses[candidate][voter]
	if r == nil {
		return false
	}
	m.responses[candidate][voter] = nil
	m.handleResponse(candidate, r)
	m.trace = append(m.trace, fmt.Sprintf("%s takes the response of voter %d", m.candidates[candidate].Self, voter))
	return true
}

// violation tells which invariant does not hold, or "".
func (m *boundedState) violation() string {
	if m.candidates[0].Holds(m.now) && m.candidates[1].Holds(m.now) {
		return "both hold the lease"
	}
	for _, c := range m.candidates {
		epoch, ok := c.FencingToken(m.now)
		if !ok {
			continue
		}
		if by := m.usedEpochs[epoch]; by != "" && by != c.Self {
			return fmt.Sprintf("epoch %d is used by two", epoch)
		}
		m.usedEpochs[epoch] = c.Self
	}
	return ""
}

// search plays all orders of up to that many steps. It returns the number of
// states and the trace of the first violation, or "".
func search(f fault, depth int) (states int, trace string) {
	steps := allSteps()
	var path []step
	var run func()
	run = func() {
		for _, next := range steps {
			if trace != "" || next.repeatsInVain(path) {
				continue
			}
			m := newBoundedState(f)
			for _, earlier := range path {
				m.apply(earlier)
				m.violation()
			}
			if !m.apply(next) {
				continue
			}
			states++
			if why := m.violation(); why != "" {
				trace = fmt.Sprintf("%v: %s", m.trace, why)
				return
			}
			if len(path)+1 < depth {
				path = append(path, next)
				run()
				path = path[:len(path)-1]
			}
		}
	}
	run()
	return states, trace
}

// MODEL_DEPTH plays more steps than the CI run does; each step more takes
// about six times as long.
func TestExhaustive(t *testing.T) {
	depth := 7
	if d, err := strconv.Atoi(os.Getenv("MODEL_DEPTH")); err == nil {
		depth = d
	}
	states, trace := search(noFault, depth)
	if trace != "" {
		t.Fatal(trace)
	}
	t.Logf("%d states", states)
	for _, f := range []fault{singleGrantSuffices, respondBeforeSync, grantAfterRestart} {
		var found string
		for d := 2; d <= depth && found == ""; d++ {
			_, found = search(f, d)
		}
		if found == "" {
			t.Errorf("the search does not find the fault: %s", f)
		}
		t.Log(found)
	}
}
