package lease

import (
	"slices"
	"time"
)

// simulatedTable is a table that the holder made from one read of the list.
type simulatedTable struct {
	tableStamp
	listRead int
}

func (t simulatedTable) less(o simulatedTable) bool {
	if t.epoch != o.epoch {
		return t.epoch < o.epoch
	}
	return t.author < o.author || t.author == o.author && t.sequence < o.sequence
}

// simulatedDisk is what a node finds when it starts again.
type simulatedDisk struct {
	id          string
	incarnation int64
	records     map[string]Record
	voterSet    voterSet
	accepted    *voterSet
	table       simulatedTable
}

type simulatedNode struct {
	disk        simulatedDisk
	running     bool
	pausedUntil time.Duration
	clockOffset time.Duration
	// process numbers the processes of the node in the simulation; unlike the
	// incarnation it also grows when a process is killed.
	process   int
	voter     *Voter
	candidate *Candidate
	voterSet  voterSet
	table     simulatedTable
	// lastSync is the last write of this process that is on disk.
	lastSync int64
}

func (n *simulatedNode) isVoter() bool { return slices.Contains(n.voterSet.voters, n.disk.id) }

// start starts the process of a node from its disk.
func (m *simulation) start(node int) {
	n := m.nodes[node]
	n.process++
	n.running, n.pausedUntil, n.lastSync = true, 0, 0
	n.disk.incarnation++
	n.voterSet, n.table = n.disk.voterSet, n.disk.table
	m.nodeOf[n.disk.id] = node
	now := m.clock(node)
	startedAt := now
	if m.fault == grantAfterRestart {
		startedAt -= lease
	}
	n.voter = NewVoter(n.disk.id, lease, n.disk.records, n.voterSet.slot, n.isVoter(), startedAt)
	n.candidate = NewCandidate(role, n.disk.id, lease, now)
	n.candidate.SetIncarnation(n.disk.incarnation)
	n.candidate.SetVoters(n.voterSet.slot, n.voterSet.voters)
	n.candidate.ObserveEpoch(n.table.epoch, n.table.author)
	m.logf("%s starts, incarnation %d, voters of slot %d", n.disk.id, n.disk.incarnation, n.voterSet.slot)
	m.schedule(m.randomDuration(lease/5), node, func() { m.tick(node) })
}

// learnVoters tells a node of a chosen set of voters.
func (m *simulation) learnVoters(node int, set voterSet) {
	n := m.nodes[node]
	if set.slot <= n.voterSet.slot {
		return
	}
	consecutive := set.slot == n.voterSet.slot+1
	wasVoter := n.isVoter()
	if m.fault == grantAsNewVoter {
		n.voter.isVoter, consecutive = true, true
	}
	n.voterSet, n.disk.voterSet, n.disk.accepted = set, set, nil
	n.voter.SetVoters(set.slot, n.isVoter(), consecutive, m.clock(node))
	n.candidate.SetVoters(set.slot, set.voters)
	m.logf("%s learns the voters of slot %d %v (was one: %v)", n.disk.id, set.slot, set.voters, wasVoter)
}

// tick is one turn of a node's loops: heartbeats, the lease, and the holder's work.
func (m *simulation) tick(node int) {
	n := m.nodes[node]
	m.schedule(lease/5, node, func() { m.tick(node) })
	now := m.clock(node)
	m.sendHeartbeats(node, now)
	if released, ok := n.candidate.YieldToPreferred(now); ok {
		m.logf("%s releases epoch %d", n.disk.id, released.Epoch)
		for _, id := range n.voterSet.voters {
			to := m.nodeOf[id]
			m.call(node, to, func() { m.nodes[to].voter.HandleRelease(released, m.clock(to)) })
		}
	}
	if request, ok := n.candidate.NextRequest(now); ok {
		for _, id := range n.voterSet.voters {
			m.sendRequest(node, m.nodeOf[id], request)
		}
	}
	if epoch, ok := n.candidate.FencingToken(now); ok {
		m.refreshTable(node, epoch)
	}
}

func (m *simulation) sendHeartbeats(node int, now time.Duration) {
	n := m.nodes[node]
	id, eligible, set := n.disk.id, n.candidate.Eligible(now), n.voterSet
	epoch, holder := n.candidate.ObservedEpoch, n.candidate.ObservedHolder
	for to := range m.nodes {
		if to == node {
			continue
		}
		m.call(node, to, func() {
			o := m.nodes[to]
			o.candidate.OnHeartbeat(id, eligible, m.clock(to))
			o.candidate.ObserveEpoch(epoch, holder)
			m.learnVoters(to, set)
			m.learnVoters(node, o.voterSet)
		})
	}
}

// sendRequest sends a request to a voter; the response leaves once the grant is on disk.
func (m *simulation) sendRequest(from, to int, request Request) {
	sent, process := m.clock(from), m.nodes[from].process
	m.call(from, to, func() {
		v := m.nodes[to]
		v.voter.SetReconfigurationPending(v.disk.accepted != nil && m.fault != renewWhileReconfiguring)
		response, write := v.voter.HandleRequest(request, m.clock(to))
		if m.fault == singleGrantSuffices && from == to && response.Granted {
			for _, id := range m.nodes[from].voterSet.voters {
				m.nodes[from].candidate.OnResponse(request, Response{Voter: id, Granted: true}, sent, m.clock(from))
			}
		}
		respond := func() {
			if m.nodes[from].process == process {
				m.respond(to, from, func() { m.handleResponse(from, request, response, sent) })
			}
		}
		if write == 0 {
			respond()
			return
		}
		if m.fault == respondBeforeSync {
			respond()
			respond = func() {}
		}
		m.syncRecords(to, respond)
	})
}

func (m *simulation) handleResponse(node int, request Request, response Response, sent time.Duration) {
	c := m.nodes[node].candidate
	if m.fault == countFromResponse {
		sent = m.clock(node)
	}
	c.OnResponse(request, response, sent, m.clock(node))
	if epoch, ok := c.FencingToken(m.clock(node)); ok {
		m.useEpoch(node, epoch)
	}
}

// syncRecords writes a voter's records; now and then the disk fails.
func (m *simulation) syncRecords(node int, done func()) {
	v := m.nodes[node]
	records, write := v.voter.Records()
	m.logf("%s writes %+v", v.disk.id, records[role])
	m.schedule(m.delay(), node, func() {
		if m.oneIn(10) {
			return
		}
		if write > v.lastSync { // writes reach the disk in their order
			v.lastSync, v.disk.records = write, records
		}
		v.voter.MarkDurable(write)
		done()
	})
}

// useEpoch checks that an epoch is used by one incarnation of one holder.
func (m *simulation) useEpoch(node int, epoch int64) {
	n := m.nodes[node]
	user := Record{epoch, n.disk.id, n.disk.incarnation}
	if old, used := m.usedEpochs[epoch]; !used {
		m.usedEpochs[epoch] = user
		m.logf("%s uses epoch %d", n.disk.id, epoch)
	} else if old != user {
		m.violate("epoch %d is used by %v and %v", epoch, old, user)
	}
}

// refreshTable reads the list and merges it into the table. The token must be
// held at both ends.
func (m *simulation) refreshTable(node int, epoch int64) {
	m.useEpoch(node, epoch)
	m.schedule(m.delay()/4, node, func() {
		m.listReads++
		read := m.listReads
		m.schedule(m.delay(), node, func() { m.mergeList(node, epoch, read) })
	})
}

func (m *simulation) mergeList(node int, epoch int64, read int) {
	n := m.nodes[node]
	if now, ok := n.candidate.FencingToken(m.clock(node)); m.fault != mergeAfterExpiry && (!ok || now != epoch) {
		return
	}
	table := simulatedTable{tableStamp{epoch, 1, n.disk.id}, read}
	if n.table.epoch == epoch && n.table.author == table.author {
		table.sequence = n.table.sequence + 1
	}
	if n.table.listRead > read && n.table.epoch == epoch {
		return // its own reads overtook each other; a node makes one at a time
	}
	if old, made := m.tables[table.tableStamp]; made && old != read {
		m.violate("two tables under stamp %v", table.tableStamp)
	}
	m.tables[table.tableStamp] = read
	m.installTable(node, table)
	for to := range m.nodes {
		if to != node {
			m.call(node, to, func() { m.installTable(to, table) })
		}
	}
}

// installTable takes a table that is newer than the node's own, and checks
// that it does not come from an earlier read of the list.
func (m *simulation) installTable(node int, table simulatedTable) {
	n := m.nodes[node]
	n.candidate.ObserveEpoch(table.epoch, table.author)
	if !n.table.less(table) {
		return
	}
	if table.listRead < n.table.listRead {
		m.violate("%s goes from list read %d back to %d (epoch %d to %d)", n.disk.id, n.table.listRead, table.listRead, n.table.epoch, table.epoch)
	}
	n.table, n.disk.table = table, table
}
