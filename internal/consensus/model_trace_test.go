package consensus

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"testing"

	"swiftswitch/internal/tracetest"
)

// replay takes steps on a fresh model; those that are not possible change nothing.
func replay(nodes int, f fault, steps []step) *model {
	m := newModel(nodes, f, false)
	for _, s := range steps {
		if m.violation != nil {
			break
		}
		m.apply(s)
	}
	return m
}

// shrink leaves out steps as long as the rest still violates the same invariant.
func shrink(nodes int, f fault, want invariant, steps []step) []step {
	for again := true; again; {
		again = false
		for size := max(1, len(steps)/2); size >= 1; size /= 2 {
			for at := 0; at+size <= len(steps); {
				rest := append(append([]step(nil), steps[:at]...), steps[at+size:]...)
				if replay(nodes, f, rest).violation.of(want) {
					steps, again = rest, true
				} else {
					at++
				}
			}
		}
	}
	return steps
}

// traceText is a schedule in the form of testdata/model.
func traceText(nodes int, steps []step) string {
	var b strings.Builder
	fmt.Fprintf(&b, "nodes %d\n", nodes)
	for _, s := range steps {
		b.WriteString(s.String() + "\n")
	}
	return b.String()
}

// tracePlayer plays one trace twice: with the planted fault, which must
// violate the named invariant, and without it, where all must hold.
type tracePlayer struct {
	fault          fault
	correct, wrong *model
}

// step plays a line. Beside the steps of the model there are
//
//	fault NAME           plants the fault
//	nodes N
//	violates INVARIANT   the end: the planted fault must have violated it
//	holds                the end of a trace without a fault
func (p *tracePlayer) step(words []string) error {
	switch words[0] {
	case "fault":
		return p.plant(fault(words[1]))
	case "nodes":
		nodes, err := strconv.Atoi(words[1])
		if err != nil {
			return err
		}
		p.correct, p.wrong = newModel(nodes, faultNone, false), newModel(nodes, p.fault, false)
		return nil
	case "violates":
		if p.fault == faultNone {
			return errors.New("no fault is planted")
		}
		if want := invariant(words[1]); want == anyInvariant || !p.wrong.violation.of(want) {
			return fmt.Errorf("the planted fault leads to %s", p.wrong.violation)
		}
		return p.finish()
	case "holds":
		if p.fault != faultNone {
			return errors.New("a fault is planted")
		}
		return p.finish()
	}
	return p.apply(words)
}

func (p *tracePlayer) plant(f fault) error {
	for _, planted := range plantedFaults {
		if planted.fault == f {
			p.fault = f
			return nil
		}
	}
	return fmt.Errorf("unknown fault %q", f)
}

func (p *tracePlayer) apply(words []string) error {
	s, err := parseStep(words)
	if err != nil {
		return err
	}
	if s.String() != strings.Join(words, " ") {
		return fmt.Errorf("this is read as %s", s)
	}
	if p.wrong.violation == nil {
		p.wrong.apply(s)
	}
	p.correct.apply(s)
	return p.correctHolds()
}

func (p *tracePlayer) finish() error {
	p.correct.heal()
	return p.correctHolds()
}

func (p *tracePlayer) correctHolds() error {
	if v := p.correct.violation; v != nil {
		return errors.New(v.String())
	}
	return nil
}

// minModelTraces guards against traces that are no longer found.
const minModelTraces = 15

// The traces are the planted faults' shortest ones, and those of faults that
// were found and repaired.
func TestModelTraces(t *testing.T) {
	tracetest.PlayDir(t, "testdata/model", minModelTraces, func() func([]string) error {
		return new(tracePlayer).step
	})
}
