package lease

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"
)

// The model plays the two machines on some nodes in virtual time: calls are
// lost, doubled, late and reordered; nodes freeze, are killed with or without
// power, lose their disks and come back as others; voters are replaced; the
// network is cut; every clock starts elsewhere. Checked after every step:
//   - no two nodes believe at one true time that they have the duty;
//   - an epoch is had by one life of one holder;
//   - no node goes from a table to one whose list was read earlier;
//   - no two tables under one stamp differ.
//
// A failing run prints its seed and trace; MODEL_SEED plays one seed alone.
// MODEL_RUNS plays more schedules than the CI run does, as
//
//	MODEL_RUNS=200000 go test -run Model -timeout 60m ./internal/warden

// plant is a fault put in by the tests, to see that the model finds it.
type plant int

const (
	sound           plant = iota
	takenAlone            // an epoch is used once its own voter granted it
	beforeSync            // a grant is answered before it is on disk
	restartGrants         // a voter that started anew grants at once
	newGrants             // a new voter grants at once
	countedLate           // the lease counts from the answer's arrival
	unsettledGrants       // a voter renews while other voters may be in force
	usedLate              // a list is merged whenever it was read
)

type simTable struct {
	epoch, seq int64
	by         string
	list       int
}

func (t simTable) less(o simTable) bool {
	return t.epoch < o.epoch || t.epoch == o.epoch && (t.by < o.by || t.by == o.by && t.seq < o.seq)
}

// simSet is one agreed set of voters.
type simSet struct {
	slot   int64
	voters []string
}

type simDisk struct {
	id       string
	life     int64
	records  map[string]Record
	set      simSet
	accepted *simSet
	table    simTable
}

type simNode struct {
	disk   simDisk
	up     bool
	frozen time.Duration // until then
	skew   time.Duration
	run    int // tells lives of the node in the simulation apart
	voter  *Voter
	duty   *Candidate
	set    simSet
	table  simTable
	wrote  int64 // the last write of this life that is on disk
}

type simEvent struct {
	at   time.Duration
	n    int
	node int // whose clock stands still while it is frozen; -1: nobody's
	run  int
	what string
	do   func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(e any)   { *q = append(*q, e.(simEvent)) }
func (q *simQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

type sim struct {
	r     *rand.Rand
	plant plant
	now   time.Duration
	n     int
	queue simQueue
	nodes []*simNode
	ids   map[string]int
	sets  []simSet // those decided
	open  *simSet
	took  map[string]bool // who accepted the open one
	cut   map[int]bool
	list  int
	used  map[int64]Record
	made  map[string]int
	trace []string
	fail  string
	held  int
}

const simLease = time.Second

// largeFrom: seeds from here on play five voters, those below three.
const largeFrom = 1 << 32

func (m *sim) logf(format string, a ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.3f ", m.now.Seconds())+fmt.Sprintf(format, a...))
}

func (m *sim) broken(format string, a ...any) {
	if m.fail == "" {
		m.fail = fmt.Sprintf(format, a...)
		m.logf("BROKEN: %s", m.fail)
	}
}

func (m *sim) clock(i int) time.Duration { return m.now + m.nodes[i].skew }

// after queues what a life of a node does later, or the world, where node is below 0.
func (m *sim) after(d time.Duration, node int, what string, do func()) {
	e := simEvent{at: m.now + d, n: m.n, node: node, what: what, do: do}
	if node >= 0 {
		e.run = m.nodes[node].run
	}
	m.n++
	heap.Push(&m.queue, e)
}

func (m *sim) delay() time.Duration {
	d := time.Duration(m.r.Int64N(int64(simLease / 10)))
	if m.r.IntN(12) == 0 {
		d += time.Duration(m.r.Int64N(int64(2 * simLease)))
	}
	return d
}

// send brings a call or an answer to a node: late, twice, or not at all. A
// call reaches whoever runs there then; an answer only the life that asked.
func (m *sim) send(from, to int, answer bool, what string, do func()) {
	run := m.nodes[to].run
	for range 1 + m.r.IntN(12)/11 {
		if m.r.IntN(12) == 0 {
			continue
		}
		d := m.delay()
		m.after(d, -1, what, func() {
			n := m.nodes[to]
			if !n.up || m.cut[from] != m.cut[to] || answer && n.run != run {
				return
			}
			// A frozen node finds it when it wakes.
			if m.now < n.frozen {
				m.after(n.frozen-m.now, to, what, do)
				return
			}
			do()
		})
	}
}

func newSim(seed uint64, p plant) *sim {
	m := &sim{r: rand.New(rand.NewPCG(seed, 1)), plant: p, ids: map[string]int{}, took: map[string]bool{}, cut: map[int]bool{}, used: map[int64]Record{}, made: map[string]int{}}
	var voters []string
	size := 3
	if seed >= largeFrom {
		size = 5
	}
	for i := range size {
		voters = append(voters, string(rune('a'+i))+"0")
	}
	m.sets = []simSet{{0, voters}}
	for i := range size + 1 {
		n := &simNode{skew: time.Duration(m.r.Int64N(int64(20 * simLease)))}
		n.disk = simDisk{id: string(rune('a'+i)) + "0", set: m.sets[0]}
		m.nodes = append(m.nodes, n)
		m.start(i)
	}
	return m
}

// start begins a life of a node from its disk.
func (m *sim) start(i int) {
	n := m.nodes[i]
	n.run++
	n.up, n.frozen, n.wrote = true, 0, 0
	n.disk.life++
	n.set, n.table = n.disk.set, n.disk.table
	m.ids[n.disk.id] = i
	now := m.clock(i)
	began := now
	if m.plant == restartGrants {
		began -= simLease
	}
	n.voter = NewVoter(n.disk.id, simLease, n.disk.records, n.set.slot, slices.Contains(n.set.voters, n.disk.id), began)
	n.duty = NewCandidate("list", n.disk.id, simLease, now)
	n.duty.SetIncarnation(n.disk.life)
	n.duty.SetVoters(n.set.slot, n.set.voters)
	n.duty.ObserveEpoch(n.table.epoch, n.table.by)
	m.logf("%s starts, life %d, set %d", n.disk.id, n.disk.life, n.set.slot)
	m.after(time.Duration(m.r.Int64N(int64(simLease/5))), i, "tick", func() { m.tick(i) })
}

func (m *sim) learn(i int, s simSet) {
	n := m.nodes[i]
	if s.slot <= n.set.slot {
		return
	}
	next := s.slot == n.set.slot+1
	was := slices.Contains(n.set.voters, n.disk.id)
	if m.plant == newGrants {
		n.voter.votes, next = true, true
	}
	n.set, n.disk.set, n.disk.accepted = s, s, nil
	n.voter.SetVoters(s.slot, slices.Contains(s.voters, n.disk.id), next, m.clock(i))
	n.duty.SetVoters(s.slot, s.voters)
	m.logf("%s learns set %d %v (voted: %v)", n.disk.id, s.slot, s.voters, was)
}

// tick is a turn of a node's loops.
func (m *sim) tick(i int) {
	n := m.nodes[i]
	m.after(simLease/5, i, "tick", func() { m.tick(i) })
	id, now := n.disk.id, m.clock(i)
	for j := range m.nodes {
		if j != i {
			fit, epoch, holder, set := n.duty.Eligible(now), n.duty.ObservedEpoch, n.duty.ObservedHolder, n.set
			m.send(i, j, false, "beat", func() {
				o := m.nodes[j]
				o.duty.OnHeartbeat(id, fit, m.clock(j))
				o.duty.ObserveEpoch(epoch, holder)
				m.learn(j, set)
				m.learn(i, o.set)
			})
		}
	}
	if b, ok := n.duty.Release(false, now); ok {
		m.logf("%s gives back %d", id, b.Epoch)
		for _, v := range n.set.voters {
			j := m.ids[v]
			m.send(i, j, false, "release", func() { m.nodes[j].voter.HandleRelease(b, m.clock(j)) })
		}
	}
	if b, ok := n.duty.NextRequest(now); ok {
		for _, v := range n.set.voters {
			m.bid(i, m.ids[v], b)
		}
	}
	if epoch, ok := n.duty.FencingToken(now); ok {
		m.poll(i, epoch)
	}
}

func (m *sim) bid(i, j int, b Request) {
	sent, run := m.clock(i), m.nodes[i].run
	m.send(i, j, false, "bid", func() {
		v := m.nodes[j]
		v.voter.SetReconfigurationPending(v.disk.accepted != nil && m.plant != unsettledGrants)
		g, write := v.voter.HandleRequest(b, m.clock(j))
		if m.plant == takenAlone && i == j && g.Granted {
			for _, id := range m.nodes[i].set.voters {
				m.nodes[i].duty.OnResponse(b, Response{Voter: id, Granted: true}, sent, m.clock(i))
			}
		}
		answer := func() {
			if m.nodes[i].run != run {
				return
			}
			m.send(j, i, true, "grant", func() {
				at := sent
				if m.plant == countedLate {
					at = m.clock(i)
				}
				m.nodes[i].duty.OnResponse(b, g, at, m.clock(i))
				if e, ok := m.nodes[i].duty.FencingToken(m.clock(i)); ok {
					m.use(i, e)
				}
			})
		}
		if write == 0 {
			answer()
			return
		}
		if m.plant == beforeSync {
			answer()
		}
		records, write := v.voter.Records()
		m.logf("%s writes %+v", v.disk.id, records["list"])
		m.after(m.delay(), j, "sync", func() {
			if m.r.IntN(10) == 0 {
				return // the disk refuses
			}
			if write > v.wrote { // writes reach the disk in their order
				v.wrote, v.disk.records = write, records
			}
			v.voter.MarkDurable(write)
			if m.plant != beforeSync {
				answer()
			}
		})
	})
}

// use notes that a node acts under an epoch.
func (m *sim) use(i int, epoch int64) {
	n := m.nodes[i]
	r := Record{epoch, n.disk.id, n.disk.life}
	if old, ok := m.used[epoch]; !ok {
		m.used[epoch] = r
		m.held++
		m.logf("%s has epoch %d", n.disk.id, epoch)
	} else if old != r {
		m.broken("epoch %d is had by %v and %v", epoch, old, r)
	}
}

// poll reads the list and merges it; both ends must be inside the lease.
func (m *sim) poll(i int, epoch int64) {
	n := m.nodes[i]
	m.use(i, epoch)
	m.after(m.delay()/4, i, "list", func() {
		m.list++
		read := m.list
		m.after(m.delay(), i, "merge", func() {
			if e, ok := n.duty.FencingToken(m.clock(i)); m.plant != usedLate && (!ok || e != epoch) {
				return
			}
			t := simTable{epoch, 1, n.disk.id, read}
			if n.table.epoch == epoch && n.table.by == t.by {
				t.seq = n.table.seq + 1
			}
			if n.table.list > read && n.table.epoch == epoch {
				return // its own reads that cross each other; the node makes one at a time
			}
			key := fmt.Sprint(t.epoch, t.by, t.seq)
			if old, ok := m.made[key]; ok && old != read {
				m.broken("two tables under %s", key)
			}
			m.made[key] = read
			m.take(i, t)
			for j := range m.nodes {
				if j != i {
					m.send(i, j, false, "table", func() { m.take(j, t) })
				}
			}
		})
	})
}

func (m *sim) take(i int, t simTable) {
	n := m.nodes[i]
	n.duty.ObserveEpoch(t.epoch, t.by)
	if !n.table.less(t) {
		return
	}
	if t.list < n.table.list {
		m.broken("%s goes from list %d back to %d (epoch %d to %d)", n.disk.id, n.table.list, t.list, n.table.epoch, t.epoch)
	}
	n.table, n.disk.table = t, t
}

func (m *sim) kill(i int, empty bool) {
	n := m.nodes[i]
	n.up = false
	n.run++
	m.logf("%s is killed, disk lost: %v", n.disk.id, empty)
	if empty {
		old := n.disk.id
		k, _ := strconv.Atoi(old[1:])
		n.disk = simDisk{id: old[:1] + strconv.Itoa(k+1), set: simSet{slot: -1}}
	}
	m.after(m.delay(), -1, "start", func() {
		if !n.up {
			m.start(i)
		}
	})
}

// propose begins a change of the voters, or drives the open one on.
func (m *sim) propose() {
	last := m.sets[len(m.sets)-1]
	if m.open == nil {
		var out, in []int
		for k, id := range last.voters {
			if i := m.ids[id]; m.nodes[i].disk.id != id {
				out = append([]int{k}, out...)
			} else if len(out) == 0 {
				out = append(out, k)
			}
		}
		for i, n := range m.nodes {
			if n.up && !slices.Contains(last.voters, n.disk.id) {
				in = append(in, i)
			}
		}
		if len(in) == 0 {
			return
		}
		voters := slices.Clone(last.voters)
		k := out[0]
		if id := voters[k]; m.nodes[m.ids[id]].disk.id == id {
			k = m.r.IntN(len(voters))
		}
		voters[k] = m.nodes[in[m.r.IntN(len(in))]].disk.id
		slices.Sort(voters)
		m.open = &simSet{last.slot + 1, voters}
		clear(m.took)
		m.logf("set %d %v is proposed", m.open.slot, voters)
	}
	open := m.open
	for _, id := range last.voters {
		j := m.ids[id]
		m.after(m.delay(), -1, "accept", func() {
			n := m.nodes[j]
			if m.open != open || !n.up || m.now < n.frozen || n.disk.id != id || n.set.slot != last.slot || m.cut[j] {
				return
			}
			n.disk.accepted = open
			m.took[id] = true
			m.logf("%s accepts set %d", id, open.slot)
			if len(m.took) > len(last.voters)/2 {
				m.sets, m.open = append(m.sets, *open), nil
				m.logf("set %d is chosen", open.slot)
				m.learn(j, *open)
			}
		})
	}
}

// trouble strikes now and then.
func (m *sim) trouble() {
	i := m.r.IntN(len(m.nodes))
	n := m.nodes[i]
	switch k := m.r.IntN(20); {
	case k < 4:
		n.frozen = max(n.frozen, m.now+time.Duration(m.r.Int64N(int64(3*simLease))))
		m.logf("%s freezes until %.3f", n.disk.id, n.frozen.Seconds())
	case k < 8 && n.up:
		m.kill(i, false)
	case k < 9:
		for j := range m.nodes {
			if m.nodes[j].up {
				m.kill(j, false)
			}
		}
	case k < 10 && n.up && m.open == nil:
		m.kill(i, true)
	case k < 15:
		m.propose()
	default:
		if len(m.cut) > 0 {
			clear(m.cut)
			m.logf("the cut heals")
		} else {
			m.cut[i] = true
			if m.r.IntN(3) == 0 {
				m.cut[m.r.IntN(len(m.nodes))] = true
			}
			m.logf("cut off: %v", slices.Collect(maps.Keys(m.cut)))
		}
	}
	m.after(time.Duration(m.r.Int64N(int64(simLease))), -1, "trouble", m.trouble)
}

// step runs the next event; nothing of a frozen node runs, and nothing of an earlier life.
func (m *sim) step() {
	e := heap.Pop(&m.queue).(simEvent)
	m.now = max(m.now, e.at)
	if e.node >= 0 {
		n := m.nodes[e.node]
		if n.run != e.run {
			return
		}
		if m.now < n.frozen {
			e.at = n.frozen
			heap.Push(&m.queue, e)
			return
		}
	}
	e.do()
	m.check()
}

func (m *sim) check() {
	var who []string
	for i, n := range m.nodes {
		if n.up && n.duty.Holds(m.clock(i)) {
			e, _ := n.duty.FencingToken(m.clock(i))
			m.use(i, e)
			who = append(who, fmt.Sprintf("%s(%d)", n.disk.id, e))
		}
	}
	if len(who) > 1 {
		m.broken("%v have the duty at once", who)
	}
}

// play runs a schedule; it gives what was broken and how many epochs were had.
func play(seed uint64, p plant) *sim {
	m := newSim(seed, p)
	m.after(simLease, -1, "trouble", m.trouble)
	for m.now < 12*simLease && m.fail == "" {
		m.step()
	}
	return m
}

func (m *sim) String() string {
	return fmt.Sprintf("%s\n%s", m.fail, strings.Join(m.trace[max(0, len(m.trace)-60):], "\n"))
}

func TestModel(t *testing.T) {
	from, runs := uint64(0), uint64(2000)
	if s := os.Getenv("MODEL_RUNS"); s != "" {
		runs, _ = strconv.ParseUint(s, 10, 64)
	}
	if s := os.Getenv("MODEL_SEED"); s != "" {
		from, _ = strconv.ParseUint(s, 10, 64)
		runs = 1
	}
	held, sets := 0, 0
	for k := range runs {
		seed := from + k
		if k%3 == 2 && runs > 1 {
			seed += largeFrom
		}
		m := play(seed, sound)
		if m.fail != "" {
			t.Fatalf("MODEL_SEED=%d: %v", seed, m)
		}
		held += m.held
		sets += len(m.sets) - 1
	}
	t.Logf("%d schedules, %d epochs had, %d changes of voters", runs, held, sets)
	if runs > 100 && (held < int(runs) || sets < int(runs)/2) {
		t.Errorf("the schedules show little: %d epochs, %d changes of voters", held, sets)
	}
}

// The model finds each fault that is put in. The search begins near a seed
// that showed it when the model was written, to be short; it goes on from there.
func TestModelFindsFaults(t *testing.T) {
	for _, c := range []struct {
		plant plant
		name  string
		from  uint64
	}{
		{takenAlone, "an epoch taken alone", 0},
		{beforeSync, "a grant answered before the sync", 1000},
		{restartGrants, "a voter that grants at once after its start", 5690},
		{newGrants, "a new voter that grants at once", 1900},
		{countedLate, "a lease counted from the answer", 0},
		{unsettledGrants, "a renewal beside a change of voters", 1510},
		{usedLate, "a list merged after the lease", 0},
	} {
		found := false
		for seed := c.from; seed < c.from+6000 && !found; seed++ {
			if m := play(seed, c.plant); m.fail != "" {
				found = true
				t.Logf("%s: seed %d: %s", c.name, seed, m.fail)
			}
		}
		if !found {
			t.Errorf("the model does not find %s", c.name)
		}
	}
}
