package consensus

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// stepKind is the first word of a step.
type stepKind string

// The steps of the model, which are also the lines of its traces:
//
//	put 1 a 5/0/x       call 1 arrives at a: version 5 on base 0 with body x (a resend is the same again)
//	get 2 b             call 2 arrives at b: a read
//	admit 3 d b a       d asks b, in call 3, for the seat of the voter at a
//	request 1.1p b      the prepare (p) or accept (a) request of call 1's first attempt reaches b
//	response 1.1p b     b's response to it arrives
//	duplicate 1.1p b    the same, and a copy of the response stays in flight
//	sync b              b's first pending write is on disk, its responses are sent
//	sync-lossy b        the same, but its responses are lost
//	timeout 1           call 1's attempt gives up
//	retry 1             call 1 goes on after an attempt that led to nothing
//	poll 2 c            c answers the quorum read of call 2
//	learn 1.1 c         c is notified which ballot that attempt saw chosen
//	transfer a c 0      c gets what changed in a's state after slot 0; -1: the whole state
//	catchup d b         d takes b's state and may ask to be admitted
//	crash a 1           a ends; one of its pending writes reached the disk
//	wipe a              a ends and its disk is lost
//	restart a           a starts from its disk, or under a new identity
//	rollback a          a's disk is again as it was at its first crash
//	suspect a           the others hold a for unreachable, though it is up
//	heal                all faults end; then nothing may be missing
const (
	stepPut       stepKind = "put"
	stepGet       stepKind = "get"
	stepAdmit     stepKind = "admit"
	stepRequest   stepKind = "request"
	stepResponse  stepKind = "response"
	stepDuplicate stepKind = "duplicate"
	stepSync      stepKind = "sync"
	stepSyncLossy stepKind = "sync-lossy"
	stepTimeout   stepKind = "timeout"
	stepRetry     stepKind = "retry"
	stepPoll      stepKind = "poll"
	stepLearn     stepKind = "learn"
	stepTransfer  stepKind = "transfer"
	stepCatchUp   stepKind = "catchup"
	stepCrash     stepKind = "crash"
	stepWipe      stepKind = "wipe"
	stepRestart   stepKind = "restart"
	stepRollback  stepKind = "rollback"
	stepSuspect   stepKind = "suspect"
	stepHeal      stepKind = "heal"
)

// stepWords is the number of words of each kind of step.
var stepWords = map[stepKind]int{
	stepPut: 4, stepGet: 3, stepAdmit: 5,
	stepRequest: 3, stepResponse: 3, stepDuplicate: 3,
	stepSync: 2, stepSyncLossy: 2,
	stepTimeout: 2, stepRetry: 2, stepPoll: 3,
	stepLearn: 3, stepTransfer: 4, stepCatchUp: 3,
	stepCrash: 3, stepWipe: 2, stepRestart: 2, stepRollback: 2,
	stepSuspect: 2, stepHeal: 1,
}

// step is one event; which fields count depends on its kind.
type step struct {
	kind stepKind
	// call and attempt count from 0; a trace counts attempts from 1.
	call, attempt int
	// phase is phasePrepare or phaseAccept.
	phase int
	// node is where it happens, peer the other node.
	node, peer int
	// n is the node to be replaced (admit), the slot (transfer), or how many
	// pending writes reach the disk (crash).
	n int64
	// version, base and body are those of a put.
	version, base int64
	body          string
}

func (s step) String() string {
	node, peer := nodeName(s.node), nodeName(s.peer)
	switch s.kind {
	case stepPut:
		return fmt.Sprintf("%s %d %s %d/%d/%s", s.kind, s.call, node, s.version, s.base, s.body)
	case stepGet, stepPoll:
		return fmt.Sprintf("%s %d %s", s.kind, s.call, node)
	case stepAdmit:
		return fmt.Sprintf("%s %d %s %s %s", s.kind, s.call, node, peer, nodeName(int(s.n)))
	case stepRequest, stepResponse, stepDuplicate:
		return fmt.Sprintf("%s %d.%d%c %s", s.kind, s.call, s.attempt+1, "pa"[s.phase], node)
	case stepLearn:
		return fmt.Sprintf("%s %d.%d %s", s.kind, s.call, s.attempt+1, node)
	case stepTimeout, stepRetry:
		return fmt.Sprintf("%s %d", s.kind, s.call)
	case stepTransfer:
		return fmt.Sprintf("%s %s %s %d", s.kind, peer, node, s.n)
	case stepCatchUp:
		return fmt.Sprintf("%s %s %s", s.kind, node, peer)
	case stepCrash:
		return fmt.Sprintf("%s %s %d", s.kind, node, s.n)
	case stepHeal:
		return string(s.kind)
	}
	return string(s.kind) + " " + node
}

var errMalformedStep = errors.New("malformed step")

// parseStep reads a line of a trace.
func parseStep(words []string) (step, error) {
	kind := stepKind(words[0])
	if count, known := stepWords[kind]; !known || count != len(words) {
		return step{}, errMalformedStep
	}
	p := stepParser{words: words}
	s := p.parse(kind)
	return s, p.err
}

// stepParser reads the words of a step; err is the first error.
type stepParser struct {
	words []string
	err   error
}

func (p *stepParser) parse(kind stepKind) step {
	s := step{kind: kind}
	switch kind {
	case stepPut:
		s.call, s.node = p.call(1), p.node(2)
		s.version, s.base, s.body = p.change(3)
	case stepGet, stepPoll:
		s.call, s.node = p.call(1), p.node(2)
	case stepAdmit:
		s.call, s.node, s.peer, s.n = p.call(1), p.node(2), p.node(3), int64(p.node(4))
	case stepRequest, stepResponse, stepDuplicate, stepLearn:
		s.call, s.attempt, s.phase = p.attempt(1)
		s.node = p.node(2)
	case stepTimeout, stepRetry:
		s.call = p.call(1)
	case stepTransfer:
		s.peer, s.node, s.n = p.node(1), p.node(2), p.number(p.words[3])
	case stepCatchUp:
		s.node, s.peer = p.node(1), p.node(2)
	case stepCrash:
		s.node, s.n = p.node(1), p.number(p.words[2])
	case stepHeal:
	default:
		s.node = p.node(1)
	}
	return s
}

func (p *stepParser) fail() { p.err = errMalformedStep }

// node reads the i-th word as a node's name.
func (p *stepParser) node(i int) int {
	node := int(p.words[i][0]) - 'a'
	if node < 0 || node >= maxNodes {
		p.fail()
		return 0
	}
	return node
}

func (p *stepParser) call(i int) int { return int(p.number(p.words[i])) }

func (p *stepParser) number(word string) int64 {
	n, err := strconv.ParseInt(word, 10, 64)
	if err != nil {
		p.fail()
	}
	return n
}

// change reads VERSION/BASE/BODY.
func (p *stepParser) change(i int) (version, base int64, body string) {
	parts := strings.Split(p.words[i], "/")
	if len(parts) != 3 {
		p.fail()
		return 0, 0, ""
	}
	return p.number(parts[0]), p.number(parts[1]), parts[2]
}

// attempt reads CALL.ATTEMPT with p or a for the phase, if there is one.
func (p *stepParser) attempt(i int) (call, attempt, phase int) {
	first, second, _ := strings.Cut(p.words[i], ".")
	if strings.HasSuffix(second, "a") {
		phase = phaseAccept
	}
	return int(p.number(first)), int(p.number(strings.TrimRight(second, "pa"))) - 1, phase
}
