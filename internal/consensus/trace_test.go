package consensus

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"swiftswitch/internal/tracetest"
)

// cluster holds acceptors and proposers by name; a trace says which message
// arrives when.
type cluster struct {
	acceptors map[string]*Acceptor
	proposers map[string]*Proposer
	lastRound int64
}

// newCluster has the named voters, each at an address of the same name.
func newCluster(ids ...string) *cluster {
	c := &cluster{acceptors: map[string]*Acceptor{}, proposers: map[string]*Proposer{}}
	voters := votersNamed(ids)
	for _, id := range ids {
		c.acceptors[id] = &Acceptor{ID: id, State: State{Voters: voters}}
	}
	return c
}

func votersNamed(ids []string) (voters []Voter) {
	for _, id := range ids {
		voters = append(voters, Voter{ID: id, IP: id})
	}
	return voters
}

// exchange delivers the proposer's present request to acceptors, and their
// responses to it.
func (c *cluster) exchange(p *Proposer, ids ...string) {
	stage, request := p.Stage, p.Request()
	for _, id := range ids {
		response, _ := c.acceptors[id].Handle(request)
		p.OnResponse(stage, response)
	}
}

// traceStep is one kind of line in testdata.
type traceStep struct {
	// words is the least number of words with the first.
	words int
	play  func(c *cluster, words []string) error
}

// The lines of the traces. P is a proposer, A and B are nodes, As are nodes
// with commas between.
var traceSteps = map[string]traceStep{
	// propose P at A VERSION/BASE
	// propose P at A voters As
	// propose P at A order SERVICE FROM/TARGET/MS
	// propose P at A phase SERVICE PHASE
	// propose P at A recover: nothing of its own
	"propose": {5, (*cluster).playPropose},
	// deliver P As: the request arrives and so does the response
	"deliver": {3, (*cluster).playDeliver},
	// lose-response P A: the request arrives, the response does not
	"lose-response": {3, (*cluster).playLoseResponse},
	// learn P As: the chosen value is learned
	"learn": {3, (*cluster).playLearn},
	// transfer A B: B takes A's state
	"transfer": {3, (*cluster).playTransfer},
	// wipe A B: A's disk is lost, B is its new identity, without any state
	"wipe": {3, (*cluster).playWipe},
	// join A: a node with an empty disk, without a vote
	"join": {2, (*cluster).playJoin},
	// stage P STAGE
	"stage": {3, (*cluster).checkStage},
	// value P VERSION own|adopted
	"value": {4, (*cluster).checkValue},
	// state A SLOT VERSION
	"state": {4, (*cluster).checkState},
	// applied A VERSION/BASE
	"applied": {3, func(c *cluster, words []string) error { return c.checkApplied(words, true) }},
	// not-applied A VERSION/BASE
	"not-applied": {3, func(c *cluster, words []string) error { return c.checkApplied(words, false) }},
	// rollout A SERVICE PHASE TARGET, or none for both
	"rollout": {5, (*cluster).checkRollout},
	// earlier-order A SERVICE TARGET/MS SLOT; slot 0: it is not known as an earlier one
	"earlier-order": {5, (*cluster).checkEarlierOrder},
	// order A SERVICE TARGET/MS SLOT; slot 0: no order that is not retired equals it
	"order": {5, (*cluster).checkOrder},
}

func (c *cluster) play(words []string) error {
	s, ok := traceSteps[words[0]]
	if !ok || len(words) < s.words {
		return errMalformedStep
	}
	return s.play(c, words)
}

func (c *cluster) playPropose(words []string) error {
	name, node := words[1], words[3]
	c.lastRound++
	base := c.acceptors[node].State
	own, err := proposedValue(base, words[4:])
	if err != nil {
		return err
	}
	c.proposers[name] = NewProposer(base, Ballot{Round: c.lastRound, ProposerID: node}, own)
	return nil
}

// proposedValue reads what a propose line proposes.
func proposedValue(base State, words []string) (*Value, error) {
	switch words[0] {
	case "recover":
		return nil, nil
	case "voters":
		return &Value{Voters: votersNamed(strings.Split(words[1], ","))}, nil
	case "order":
		from, rest, _ := strings.Cut(words[2], "/")
		order, err := rolloutOrder(words[1], rest)
		order.FromVersion = from
		return &Value{Rollout: &order, RetiredOrderSlot: base.RetiredOrderSlot}, err
	case "retire":
		slot, err := strconv.ParseInt(words[1], 10, 64)
		return &Value{RetiredOrderSlot: slot}, err
	case "phase":
		r, _ := base.Rollout(words[1])
		return &Value{Rollout: &Rollout{OrderSlot: r.OrderSlot, Service: words[1], Phase: Phase(words[2])}}, nil
	}
	return configChange(words[0])
}

// configChange reads VERSION/BASE.
func configChange(word string) (*Value, error) {
	version, base, _ := strings.Cut(word, "/")
	v := &Value{Body: "body-" + version}
	var err error
	if v.Version, err = strconv.ParseInt(version, 10, 64); err != nil {
		return nil, err
	}
	v.BaseVersion, err = strconv.ParseInt(base, 10, 64)
	return v, err
}

// rolloutOrder reads TARGET/MS.
func rolloutOrder(service, word string) (Rollout, error) {
	target, duration, _ := strings.Cut(word, "/")
	ms, err := strconv.ParseInt(duration, 10, 64)
	return Rollout{Service: service, TargetVersion: target, DurationMs: ms}, err
}

func (c *cluster) playDeliver(words []string) error {
	c.exchange(c.proposers[words[1]], strings.Split(words[2], ",")...)
	return nil
}

func (c *cluster) playLoseResponse(words []string) error {
	p := c.proposers[words[1]]
	c.acceptors[words[2]].Handle(p.Request())
	p.OnFailure()
	return nil
}

func (c *cluster) playLearn(words []string) error {
	p := c.proposers[words[1]]
	if p.Stage != StageChosen {
		return fmt.Errorf("%s has chosen nothing", words[1])
	}
	for _, id := range strings.Split(words[2], ",") {
		c.acceptors[id].Learn(p.Base.Apply(p.Value))
	}
	return nil
}

func (c *cluster) playTransfer(words []string) error {
	c.acceptors[words[2]].Learn(c.acceptors[words[1]].State)
	return nil
}

func (c *cluster) playWipe(words []string) error {
	delete(c.acceptors, words[1])
	c.acceptors[words[2]] = &Acceptor{ID: words[2]}
	return nil
}

func (c *cluster) playJoin(words []string) error {
	c.acceptors[words[1]] = &Acceptor{ID: words[1]}
	return nil
}

var stageNames = map[string]Stage{
	"preparing": StagePreparing,
	"accepting": StageAccepting,
	"chosen":    StageChosen,
	"behind":    StageBehind,
	"aborted":   StageAborted,
}

func (c *cluster) checkStage(words []string) error {
	want, ok := stageNames[words[2]]
	if got := c.proposers[words[1]].Stage; !ok || got != want {
		return fmt.Errorf("stage is %d, want %s", got, words[2])
	}
	return nil
}

func (c *cluster) checkValue(words []string) error {
	p := c.proposers[words[1]]
	source := "adopted"
	if p.ValueIsOwn {
		source = "own"
	}
	if got := fmt.Sprint(p.Value.Version); got != words[2] || source != words[3] {
		return fmt.Errorf("value is %s, %s", got, source)
	}
	return nil
}

func (c *cluster) checkState(words []string) error {
	s := c.acceptors[words[1]].State
	if slot, version := fmt.Sprint(s.Slot), fmt.Sprint(s.Version); slot != words[2] || version != words[3] {
		return fmt.Errorf("state is %s %s", slot, version)
	}
	return nil
}

func (c *cluster) checkApplied(words []string, want bool) error {
	v, err := configChange(words[2])
	if err != nil {
		return err
	}
	if got := c.acceptors[words[1]].State.HasApplied(v.Version, v.BaseVersion, Fingerprint(v.Body)); got != want {
		return fmt.Errorf("%s applied: %v", words[2], got)
	}
	return nil
}

func (c *cluster) checkRollout(words []string) error {
	r, ok := c.acceptors[words[1]].State.Rollout(words[2])
	if !ok && words[3] == "none" {
		return nil
	}
	if string(r.Phase) != words[3] || r.TargetVersion != words[4] {
		return fmt.Errorf("it is %+v", r)
	}
	return nil
}

func (c *cluster) checkEarlierOrder(words []string) error {
	order, err := rolloutOrder(words[2], words[3])
	if err != nil {
		return err
	}
	state := c.acceptors[words[1]].State
	last, _ := state.Rollout(order.Service)
	slot := int64(0)
	for _, p := range state.PastOrders {
		if p.Slot != last.OrderSlot && p.sameOrder(order) {
			slot = p.Slot
		}
	}
	if fmt.Sprint(slot) != words[4] {
		return fmt.Errorf("slot %d", slot)
	}
	return nil
}

// checkOrder checks which unretired order equals another.
func (c *cluster) checkOrder(words []string) error {
	order, err := rolloutOrder(words[2], words[3])
	if err != nil {
		return err
	}
	past, ok := c.acceptors[words[1]].State.FindOrder(order)
	if fmt.Sprint(past.Slot) != words[4] || ok != (past.Slot > 0) {
		return fmt.Errorf("slot %d, %v", past.Slot, ok)
	}
	return nil
}

// minTraces guards against traces that are no longer found.
const minTraces = 13

func TestTraces(t *testing.T) {
	tracetest.Play(t, minTraces, func() func([]string) error { return newCluster("a", "b", "c").play })
}
