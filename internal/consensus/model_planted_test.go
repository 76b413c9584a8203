package consensus

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"
)

var faultTraceDir = flag.String("model.keep", "", "a directory: the planted faults' shortest traces are written there")

// The random search finds every planted fault within its bound.
func TestModelFindsFaults(t *testing.T) {
	for _, x := range plantedFaults {
		t.Run(string(x.fault), func(t *testing.T) {
			result, seed := searchSeeds(1, x.maxSchedules, x.fault, x.bounds, x.violates, time.Time{})
			if result.violation == nil {
				t.Fatalf("not found in %d schedules, %d steps", result.schedules, result.steps)
			}
			t.Logf("found in %d schedules, %d steps, %v (seed %d): %s", result.schedules, result.steps, result.duration.Round(time.Millisecond), seed, result.violation)
			if *faultTraceDir != "" {
				writeFaultTrace(t, x, seed, result.trace)
			}
		})
	}
}

// writeFaultTrace writes a shrunk trace of a planted fault for testdata/model.
func writeFaultTrace(t *testing.T, x plantedFault, seed uint64, steps []step) {
	t.Helper()
	m, _ := randomSchedule(seed, x.fault, x.bounds, maxScheduleLength)
	short := shrink(m.nodeCount, x.fault, x.violates, steps)
	text := fmt.Sprintf("# %s:\n# %s\nfault %s\n%sviolates %s\n",
		x.description, replay(m.nodeCount, x.fault, short).violation, x.fault, traceText(m.nodeCount, short), x.violates)
	if err := os.WriteFile(filepath.Join(*faultTraceDir, string(x.fault)+".trace"), []byte(text), 0o644); err != nil {
		t.Fatal(err)
	}
	t.Logf("%d steps:\n%s", len(short), text)
}

// maxFaultStates bounds the exploration for one planted fault.
const maxFaultStates = 400000

// Some planted faults are found by exploration, too, within small bounds: the
// first trace found is a shortest one.
func TestModelExplorationFindsFaults(t *testing.T) {
	for _, x := range []struct {
		fault    fault
		bounds   bounds
		violates invariant
	}{
		{faultReadOneVoter, bounds{nodes: 3, calls: []step{putX, getB}, maxDeliveries: 1}, readFreshness},
		{faultReadIgnoresAccepted, bounds{nodes: 3, calls: []step{putX, getB}, maxDeliveries: 1}, readFreshness},
		{faultForgottenChanges, bounds{nodes: 3, calls: []step{putX, putX}, crashes: 1, maxDeliveries: 1, partialWrites: true}, anyInvariant},
		{faultEarlyResponse, bounds{nodes: 3, calls: []step{putX, getB}, crashes: 2, maxDeliveries: 1}, anyInvariant},
		{faultBlankDisk, bounds{nodes: 3, calls: []step{putX, getB}, wipes: 1, maxDeliveries: 1}, anyInvariant},
		{faultNoIncarnation, bounds{
			nodes: 3, crashes: 1, maxDeliveries: 1,
			calls: []step{putX, {kind: stepPut, node: 0, version: 5, body: "y"}},
			prefix: `
				put 0 a 5/0/x
				request 0.1p b
				request 0.1p c
				sync b
				sync c
				request 0.1a b
				sync b
				crash a 0
				restart a`,
		}, learnedState},
		{faultLearnBySlot, bounds{
			nodes: 3, maxDeliveries: 1,
			calls: []step{putX, putY},
			prefix: `
				put 0 a 5/0/x
				request 0.1p a
				request 0.1p b
				put 1 b 5/0/y`,
		}, learnedState},
		{faultRepairUnreplicated, bounds{nodes: 3, wipes: 2, maxDeliveries: 1, prefix: replaceWipedA}, healedRead},
	} {
		t.Run(string(x.fault), func(t *testing.T) {
			result := explore(x.fault, x.bounds, maxFaultStates, time.Now().Add(exploreTimeout))
			if !result.violation.of(x.violates) {
				t.Fatalf("%s in %d states, %d steps, depth %d", result.violation, result.states, result.steps, result.depth)
			}
			t.Logf("found in %d states, %d steps, %v: %s\n%s", result.states, result.steps, result.duration.Round(time.Millisecond), result.violation, traceText(x.bounds.nodes, result.trace))
		})
	}
}
