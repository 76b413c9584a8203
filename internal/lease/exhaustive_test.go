package lease

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

// small is three voters, of which the first two bid as they like. All orders
// of these steps are played: a candidate sends its bid to all; a voter takes
// what was sent to it; a candidate takes an answer; six tenths of a lease go
// by; a voter loses power and starts anew.
type small struct {
	plant  plant
	now    time.Duration
	voters [3]*Voter
	disks  [3]map[string]Record
	duties [2]*Candidate
	bids   [2][3]*smallBid // on their way to a voter
	says   [2][3]*smallSay // on their way back
	used   map[int64]string
	path   []string
}

type smallBid struct {
	bid  Request
	sent time.Duration
}

type smallSay struct {
	smallBid
	grant Response
}

func newSmall(p plant) *small {
	m := &small{plant: p, used: map[int64]string{}, now: s}
	ids := []string{"a", "b", "c"}
	for i, id := range ids {
		m.voters[i] = NewVoter(id, s, nil, 0, true, m.now)
	}
	for i := range m.duties {
		m.duties[i] = NewCandidate("list", ids[i], s, -9*s)
		m.duties[i].SetIncarnation(1)
		m.duties[i].SetVoters(0, ids)
	}
	m.duties[1].seen = 5 // it need not be refused first
	return m
}

// take lets a voter answer a bid; the write is on disk before the answer.
func (m *small) take(i, v int, b smallBid) *smallSay {
	g, write := m.voters[v].HandleRequest(b.bid, m.now)
	if write > 0 && (m.plant != beforeSync || v != 2) {
		m.disks[v], _ = m.voters[v].Records()
		m.voters[v].MarkDurable(write)
	}
	return &smallSay{b, g}
}

func (m *small) answer(i int, say *smallSay) {
	sent := say.sent
	if m.plant == countedLate {
		sent = m.now
	}
	m.duties[i].OnResponse(say.bid, say.grant, sent, m.now)
	if m.plant == takenAlone && say.grant.Granted {
		m.duties[i].OnResponse(say.bid, Response{Voter: "c", Granted: true}, sent, m.now)
	}
}

// step plays one step, if it can be played.
func (m *small) step(k int) bool {
	switch {
	case k < 2: // a candidate bids; its own voter answers at once
		m.duties[k].OnHeartbeat("c", true, m.now)
		m.duties[k].OnHeartbeat([]string{"b", "a"}[k], false, m.now)
		b, ok := m.duties[k].NextRequest(m.now)
		if !ok {
			return false
		}
		m.answer(k, m.take(k, k, smallBid{b, m.now}))
		for v := range 3 {
			if v != k {
				m.bids[k][v] = &smallBid{b, m.now}
			}
		}
		m.path = append(m.path, fmt.Sprintf("%s bids %d", b.Holder, b.Epoch))
	case k < 8: // a voter takes a bid
		i, v := (k-2)/3, (k-2)%3
		b := m.bids[i][v]
		if b == nil {
			return false
		}
		m.bids[i][v] = nil
		m.says[i][v] = m.take(i, v, *b)
		m.path = append(m.path, fmt.Sprintf("%d takes %d of %s: %v", v, b.bid.Epoch, b.bid.Holder, m.says[i][v].grant.Granted))
	case k < 14: // a candidate takes an answer
		i, v := (k-8)/3, (k-8)%3
		say := m.says[i][v]
		if say == nil {
			return false
		}
		m.says[i][v] = nil
		m.answer(i, say)
		m.path = append(m.path, fmt.Sprintf("%s hears %d", m.duties[i].Self, v))
	case k == 14:
		m.now += 6 * s / 10
		m.path = append(m.path, "time")
	case k == 15:
		began := m.now
		if m.plant == restartGrants {
			began -= s
		}
		m.voters[2] = NewVoter("c", s, m.disks[2], 0, true, began)
		m.path = append(m.path, "c starts anew")
	}
	return true
}

// broken tells what does not hold.
func (m *small) broken() string {
	if m.duties[0].Holds(m.now) && m.duties[1].Holds(m.now) {
		return "both have the duty"
	}
	for _, d := range m.duties {
		if e, ok := d.FencingToken(m.now); ok {
			if by := m.used[e]; by != "" && by != d.Self {
				return fmt.Sprintf("epoch %d is had by two", e)
			}
			m.used[e] = d.Self
		}
	}
	return ""
}

// search plays all orders of that many steps; it gives the first that breaks something.
func search(p plant, depth int) (played int, trace string) {
	var steps []int
	var run func()
	run = func() {
		for k := range 16 {
			n := len(steps)
			// A bid or a start right after the same changes nothing; time beyond a lease neither.
			again := n > 0 && steps[n-1] == k && (k < 2 || k == 15) || n > 1 && k == 14 && steps[n-1] == k && steps[n-2] == k
			if trace != "" || again {
				continue
			}
			m := newSmall(p)
			for _, old := range steps {
				m.step(old)
				m.broken()
			}
			if !m.step(k) {
				continue
			}
			played++
			if why := m.broken(); why != "" {
				trace = fmt.Sprintf("%v: %s", m.path, why)
				return
			}
			if len(steps)+1 < depth {
				steps = append(steps, k)
				run()
				steps = steps[:len(steps)-1]
			}
		}
	}
	run()
	return played, trace
}

// MODEL_DEPTH plays more steps than the CI run does; each makes it about six
// times as long.
func TestExhaustive(t *testing.T) {
	most := 7
	if d, err := strconv.Atoi(os.Getenv("MODEL_DEPTH")); err == nil {
		most = d
	}
	played, trace := search(sound, most)
	if trace != "" {
		t.Fatal(trace)
	}
	t.Logf("%d states", played)
	for _, p := range []plant{takenAlone, beforeSync, restartGrants} {
		var found string
		for depth := 2; depth <= most && found == ""; depth++ {
			_, found = search(p, depth)
		}
		if found == "" {
			t.Errorf("fault %d is not found", p)
		}
		t.Log(found)
	}
}
