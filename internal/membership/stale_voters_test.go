package membership

import (
	"testing"

	"swiftswitch/internal/consensus"
)

// acceptorGroup runs consensus among acceptors that are reachable or not.
type acceptorGroup struct {
	acceptors map[string]*consensus.Acceptor
	// ballot numbers the rounds, each of which has a higher one than the last.
	ballot int64
}

// propose drives one round by a proposer on its own state, with the acceptors
// that it reaches.
func (g *acceptorGroup) propose(by string, own *consensus.Value, reachable ...string) *consensus.Proposer {
	g.ballot++
	p := consensus.NewProposer(g.acceptors[by].State, consensus.Ballot{Round: g.ballot, ProposerID: by}, own)
	for p.Stage <= consensus.StageAccepting {
		stage := p.Stage
		for _, id := range reachable {
			response, _ := g.acceptors[id].Handle(p.Request())
			p.OnResponse(stage, response)
			if p.Stage != stage {
				break
			}
		}
		if p.Stage == stage {
			p.Stage = consensus.StageAborted
		}
	}
	return p
}

// A voter that was replaced while it was away still takes itself for one:
// neither it nor two such voters of different ages decide anything against
// what was decided meanwhile.
func TestStaleVotersDecideNothing(t *testing.T) {
	base := stateWith(3, "a1", "b1", "c1")
	g := &acceptorGroup{acceptors: map[string]*consensus.Acceptor{}}
	for _, id := range []string{"a1", "b1", "c1", "m1", "n1"} {
		g.acceptors[id] = &consensus.Acceptor{ID: id, State: base}
	}
	votersValue := func(ids ...string) *consensus.Value {
		return &consensus.Value{Voters: stateWith(0, ids...).Voters}
	}
	firstChange := votersValue("a1", "b1", "m1")
	secondChange := votersValue("a1", "n1", "m1")
	// c1 is cut off and replaced by m1; then b1 is cut off before it learns
	// that, and replaced by n1.
	if p := g.propose("a1", firstChange, "a1", "b1"); p.Stage != consensus.StageChosen {
		t.Fatal("the first change is not chosen")
	}
	next := base.Apply(*firstChange)
	g.acceptors["a1"].Learn(next)
	g.acceptors["m1"].Learn(next)
	if p := g.propose("a1", secondChange, "a1", "m1"); p.Stage != consensus.StageChosen {
		t.Fatal("the second change is not chosen")
	}
	// Both stale voters are back, without the others.
	p := g.propose("c1", &consensus.Value{Version: 9}, "c1", "b1")
	if p.Stage == consensus.StageChosen && !p.Value.Equal(*firstChange) {
		t.Fatalf("two stale voters chose %+v", p.Value)
	}
	g.acceptors["c1"].Learn(next)
	g.acceptors["b1"].Learn(next)
	if p := g.propose("c1", &consensus.Value{Version: 9}, "c1", "b1"); p.Stage == consensus.StageChosen {
		t.Fatal("a node without a vote and a stale voter chose something")
	}
}
