package lease

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"
)

// nobody is the index for events that are no node's.
const nobody = -1

// simulatedEvent is something that happens at a virtual time.
type simulatedEvent struct {
	at time.Duration
	// sequence orders events of one time by their scheduling.
	sequence int
	// node is the index of the node that runs it, and process which of its
	// processes. Events of a paused process wait, those of an earlier process
	// are dropped; neither holds for the events of nobody.
	node, process int
	run           func()
}

// eventQueue is a heap of events, earliest first.
type eventQueue []simulatedEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].sequence < q[j].sequence
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(e any) { *q = append(*q, e.(simulatedEvent)) }

func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// voterSet is one agreed set of voters.
type voterSet struct {
	slot   int64
	voters []string
}

// tableStamp names a table in the order in which tables replace each other.
type tableStamp struct {
	epoch, sequence int64
	author          string
}

// simulation is the world in which the nodes run: their processes, the
// network between them, agreement on the voters, and what the checks remember.
type simulation struct {
	rand     *rand.Rand
	fault    fault
	now      time.Duration
	sequence int
	queue    eventQueue

	nodes []*simulatedNode
	// nodeOf is the index of the node that last started under an identity.
	nodeOf map[string]int
	// partitioned are the nodes on the other side of a network partition.
	partitioned map[int]bool

	// chosen are the sets of voters decided so far, proposal the open one, and
	// acceptedBy who accepted it.
	chosen     []voterSet
	proposal   *voterSet
	acceptedBy map[string]bool

	// listReads counts the reads of the list.
	listReads  int
	usedEpochs map[int64]Record
	// tables holds, by stamp, which read of the list a table was made from.
	tables    map[tableStamp]int
	trace     []string
	violation string
}

func newSimulation(seed uint64, f fault) *simulation {
	m := &simulation{
		rand:        rand.New(rand.NewPCG(seed, 1)),
		fault:       f,
		nodeOf:      map[string]int{},
		partitioned: map[int]bool{},
		acceptedBy:  map[string]bool{},
		usedEpochs:  map[int64]Record{},
		tables:      map[tableStamp]int{},
	}
	size := 3
	if seed >= largeClusterSeeds {
		size = 5
	}
	var voters []string
	for i := range size {
		voters = append(voters, string(rune('a'+i))+"0")
	}
	m.chosen = []voterSet{{0, voters}}
	for i := range size + 1 { // one node is no voter
		n := &simulatedNode{clockOffset: m.randomDuration(20 * lease)}
		n.disk = simulatedDisk{id: string(rune('a'+i)) + "0", voterSet: m.chosen[0]}
		m.nodes = append(m.nodes, n)
		m.start(i)
	}
	return m
}

func (m *simulation) logf(format string, args ...any) {
	m.trace = append(m.trace, fmt.Sprintf("%8.3f ", m.now.Seconds())+fmt.Sprintf(format, args...))
}

// violate records the first violation of an invariant.
func (m *simulation) violate(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
		m.logf("VIOLATED: %s", m.violation)
	}
}

// clock is what a node's own monotonic clock shows.
func (m *simulation) clock(node int) time.Duration { return m.now + m.nodes[node].clockOffset }

func (m *simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(m.rand.Int64N(int64(limit)))
}

// oneIn is true with a probability of 1/n.
func (m *simulation) oneIn(n int) bool { return m.rand.IntN(n) == 0 }

// delay is how long a call or a write takes: mostly a little, at times longer than a lease.
func (m *simulation) delay() time.Duration {
	d := m.randomDuration(lease / 10)
	if m.oneIn(12) {
		d += m.randomDuration(2 * lease)
	}
	return d
}

// schedule queues what the present process of a node, or nobody, does after d.
func (m *simulation) schedule(d time.Duration, node int, run func()) {
	e := simulatedEvent{at: m.now + d, sequence: m.sequence, node: node, run: run}
	if node != nobody {
		e.process = m.nodes[node].process
	}
	m.sequence++
	heap.Push(&m.queue, e)
}

// call delivers a message to whichever process of a node runs when it arrives.
func (m *simulation) call(from, to int, deliver func()) { m.send(from, to, false, deliver) }

// respond delivers a response to the process of a node that runs now, and to no later one.
func (m *simulation) respond(from, to int, deliver func()) { m.send(from, to, true, deliver) }

// send delivers a message late, twice, or not at all.
func (m *simulation) send(from, to int, sameProcess bool, deliver func()) {
	process := m.nodes[to].process
	for range 1 + m.rand.IntN(12)/11 {
		if m.oneIn(12) {
			continue
		}
		m.schedule(m.delay(), nobody, func() {
			n := m.nodes[to]
			if !n.running || m.partitioned[from] != m.partitioned[to] || sameProcess && n.process != process {
				return
			}
			if m.now < n.pausedUntil { // the process finds it when it resumes
				m.schedule(n.pausedUntil-m.now, to, deliver)
				return
			}
			deliver()
		})
	}
}

// runNextEvent runs the next event that is due and checks the invariants.
func (m *simulation) runNextEvent() {
	e := heap.Pop(&m.queue).(simulatedEvent)
	m.now = max(m.now, e.at)
	if e.node != nobody {
		n := m.nodes[e.node]
		if n.process != e.process {
			return
		}
		if m.now < n.pausedUntil {
			e.at = n.pausedUntil
			heap.Push(&m.queue, e)
			return
		}
	}
	e.run()
	m.checkMutualExclusion()
}

func (m *simulation) checkMutualExclusion() {
	var holders []string
	for i, n := range m.nodes {
		if !n.running || !n.candidate.Holds(m.clock(i)) {
			continue
		}
		epoch, _ := n.candidate.FencingToken(m.clock(i))
		m.useEpoch(i, epoch)
		holders = append(holders, fmt.Sprintf("%s(%d)", n.disk.id, epoch))
	}
	if len(holders) > 1 {
		m.violate("%v hold the lease at once", holders)
	}
}

// injectTrouble lets something go wrong, and plans the next time.
func (m *simulation) injectTrouble() {
	i := m.rand.IntN(len(m.nodes))
	n := m.nodes[i]
	switch k := m.rand.IntN(20); {
	case k < 4:
		n.pausedUntil = max(n.pausedUntil, m.now+m.randomDuration(3*lease))
		m.logf("%s is paused until %.3f", n.disk.id, n.pausedUntil.Seconds())
	case k < 8 && n.running:
		m.kill(i, false)
	case k < 9:
		for j := range m.nodes {
			if m.nodes[j].running {
				m.kill(j, false)
			}
		}
	case k < 10 && n.running && m.proposal == nil:
		m.kill(i, true)
	case k < 15:
		m.changeVoters()
	default:
		m.togglePartition(i)
	}
	m.schedule(m.randomDuration(lease), nobody, m.injectTrouble)
}

// togglePartition heals a partition, or cuts this node, and perhaps another one with it, off.
func (m *simulation) togglePartition(node int) {
	if len(m.partitioned) > 0 {
		clear(m.partitioned)
		m.logf("the partition heals")
		return
	}
	m.partitioned[node] = true
	if m.oneIn(3) {
		m.partitioned[m.rand.IntN(len(m.nodes))] = true
	}
	m.logf("partitioned: %v", slices.Collect(maps.Keys(m.partitioned)))
}

// kill ends a process; it starts again later, under another identity if its disk is lost.
func (m *simulation) kill(node int, diskLost bool) {
	n := m.nodes[node]
	n.running = false
	n.process++
	m.logf("%s is killed, disk lost: %v", n.disk.id, diskLost)
	if diskLost {
		old := n.disk.id
		generation, _ := strconv.Atoi(old[1:])
		n.disk = simulatedDisk{id: old[:1] + strconv.Itoa(generation+1), voterSet: voterSet{slot: -1}}
	}
	m.schedule(m.delay(), nobody, func() {
		if !n.running {
			m.start(node)
		}
	})
}
