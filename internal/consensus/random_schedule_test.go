package consensus

import (
	"math/rand/v2"
	"testing"
)

// inFlight is a request on its way to an acceptor.
type inFlight struct {
	proposer *Proposer
	stage    Stage
	request  Request
	to       string
}

// randomNetwork loses, duplicates, delays and reorders messages at random.
type randomNetwork struct {
	*cluster
	rand     *rand.Rand
	ids      []string
	messages []inFlight
	// decided holds the chosen value by slot.
	decided map[int64]Value
}

// send puts the proposer's present request on its way to all acceptors.
func (n *randomNetwork) send(p *Proposer) {
	for _, id := range n.ids {
		n.messages = append(n.messages, inFlight{p, p.Stage, p.Request(), id})
	}
}

// propose starts a ballot at a random node.
func (n *randomNetwork) propose() {
	node := n.acceptors[n.ids[n.rand.IntN(len(n.ids))]]
	n.lastRound++
	b := Ballot{Round: n.lastRound + int64(n.rand.IntN(3)), ProposerID: node.ID}
	n.send(NewProposer(node.State, b, &Value{Version: n.lastRound + 1000, BaseVersion: node.State.Version}))
}

// deliver takes one message: it may stay and arrive again, and it or its
// response may be lost. It returns the proposer that thereby knows its value as
// chosen, if any.
func (n *randomNetwork) deliver() *Proposer {
	i := n.rand.IntN(len(n.messages))
	m := n.messages[i]
	if n.rand.IntN(8) != 0 {
		n.messages = append(n.messages[:i], n.messages[i+1:]...)
	}
	if n.rand.IntN(6) == 0 {
		return nil
	}
	response, _ := n.acceptors[m.to].Handle(m.request)
	if n.rand.IntN(6) == 0 {
		return nil
	}
	if !m.proposer.OnResponse(m.stage, response) {
		return nil
	}
	switch m.proposer.Stage {
	case StageAccepting:
		n.send(m.proposer)
	case StageChosen:
		return m.proposer
	}
	return nil
}

// learn lets about half of the acceptors learn what a proposer chose.
func (n *randomNetwork) learn(p *Proposer) {
	for _, id := range n.ids {
		if n.rand.IntN(2) == 0 {
			n.acceptors[id].Learn(p.Base.Apply(p.Value))
		}
	}
}

// Whatever is lost, duplicated or late, one slot never decides two values.
func TestRandomSchedules(t *testing.T) {
	const seeds, steps = 400, 400
	for seed := uint64(1); seed <= seeds; seed++ {
		ids := []string{"a", "b", "c", "d", "e"}
		n := &randomNetwork{cluster: newCluster(ids...), rand: rand.New(rand.NewPCG(seed, 7)), ids: ids, decided: map[int64]Value{}}
		for range steps {
			if n.rand.IntN(12) == 0 {
				n.propose()
			}
			if len(n.messages) == 0 {
				continue
			}
			p := n.deliver()
			if p == nil {
				continue
			}
			slot := p.Base.Slot + 1
			if d, ok := n.decided[slot]; ok && !d.Equal(p.Value) {
				t.Fatalf("seed %d: slot %d decided %d and %d", seed, slot, d.Version, p.Value.Version)
			}
			n.decided[slot] = p.Value
			n.learn(p)
		}
		if len(n.decided) == 0 {
			t.Fatalf("seed %d: nothing was decided", seed)
		}
	}
}
