package consensus

import (
	"fmt"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// linearizabilityTimeout bounds one check; a check that takes longer counts as passed.
const linearizabilityTimeout = 5 * time.Second

// registerCall and registerResponse are a call and its answer as the register
// model sees them.
type registerCall struct {
	isRead        bool
	version, base int64
	fingerprint   string
}

type registerResponse struct {
	// code is statusNone where the answer is not known.
	code    int
	version int64
}

// register is the specification: one version, on which a change builds; a
// change counts once.
type register struct {
	version int64
	// applied lists the changes that counted, each with a space before it.
	applied string
}

var registerModel = porcupine.Model{
	Init: func() any { return register{} },
	Step: func(state, input, output any) (bool, any) {
		return state.(register).step(input.(registerCall), output.(registerResponse))
	},
	Equal: func(a, b any) bool { return a == b },
}

// step reports whether the register may answer so, and its state after it.
func (r register) step(c registerCall, answer registerResponse) (bool, register) {
	if c.isRead {
		return answer.version == r.version, r
	}
	change := fmt.Sprintf(" %d/%d/%s", c.version, c.base, c.fingerprint)
	switch {
	case strings.Contains(r.applied+" ", change+" "):
		return answer.code != http.StatusPreconditionFailed, r
	case c.base == r.version:
		return answer.code != http.StatusPreconditionFailed, register{c.version, r.applied + change}
	}
	return answer.code != http.StatusOK, r
}

// linearizable reports whether some order of the calls explains their answers. A
// call without an answer may take effect at any later time.
func (m *model) linearizable() bool {
	var history []porcupine.Operation
	for i, c := range m.calls {
		if c == nil || c.kind == callAdmit || c.kind == callGet && !c.returned {
			continue
		}
		op := porcupine.Operation{
			ClientId: i,
			Call:     c.startTime,
			Return:   c.returnTime,
			Input:    registerCall{c.kind == callGet, c.value.Version, c.value.BaseVersion, c.value.RequestFingerprint},
			Output:   registerResponse{c.code, c.readVersion},
		}
		if !c.returned {
			op.Return, op.Output = math.MaxInt64, registerResponse{}
		}
		history = append(history, op)
	}
	return porcupine.CheckOperationsTimeout(registerModel, history, linearizabilityTimeout) != porcupine.Illegal
}
