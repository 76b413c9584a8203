package lease

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
)

// The model runs voters and candidates on some nodes in virtual time: calls
// are lost, duplicated, delayed and reordered; processes are paused, killed
// with or without loss of their disk, and come back under another identity;
// voters are replaced; the network is partitioned; every clock starts
// elsewhere. Checked after every event:
//   - no two nodes hold the lease at one true time;
//   - an epoch is used by one incarnation of one holder;
//   - no node goes from a table to one made from an earlier read of the list;
//   - no two tables under one stamp differ.
//
// A failing run prints its seed and trace; MODEL_SEED plays one seed alone.
// MODEL_RUNS plays more schedules than the CI run does, as
//
//	MODEL_RUNS=200000 go test -run Model -timeout 60m ./internal/lease

// fault is a defect put in by the tests, to see that the model finds it.
type fault int

const (
	noFault fault = iota
	singleGrantSuffices
	respondBeforeSync
	grantAfterRestart
	grantAsNewVoter
	countFromResponse
	renewWhileReconfiguring
	mergeAfterExpiry
)

func (f fault) String() string {
	return [...]string{
		noFault:                 "none",
		singleGrantSuffices:     "an epoch is used once the node's own voter granted it",
		respondBeforeSync:       "a grant is answered before it is on disk",
		grantAfterRestart:       "a restarted voter grants at once",
		grantAsNewVoter:         "a new voter grants at once",
		countFromResponse:       "the lease counts from the arrival of the response",
		renewWhileReconfiguring: "a voter renews while other voters may be in force",
		mergeAfterExpiry:        "a list is merged after the lease has expired",
	}[f]
}

// largeClusterSeeds: seeds from here on play five voters, those below three.
const largeClusterSeeds = 1 << 32

// modelDuration is how much virtual time one schedule takes.
const modelDuration = 12 * lease

// play runs the schedule of a seed until its end or the first violation.
func play(seed uint64, f fault) *simulation {
	m := newSimulation(seed, f)
	m.schedule(lease, nobody, m.injectTrouble)
	for m.now < modelDuration && m.violation == "" {
		m.runNextEvent()
	}
	return m
}

// String gives the violation and the end of the trace.
func (m *simulation) String() string {
	return fmt.Sprintf("%s\n%s", m.violation, strings.Join(m.trace[max(0, len(m.trace)-60):], "\n"))
}

func TestModel(t *testing.T) {
	firstSeed, runs := uint64(0), uint64(2000)
	if s := os.Getenv("MODEL_RUNS"); s != "" {
		runs, _ = strconv.ParseUint(s, 10, 64)
	}
	if s := os.Getenv("MODEL_SEED"); s != "" {
		firstSeed, _ = strconv.ParseUint(s, 10, 64)
		runs = 1
	}
	epochs, changes := 0, 0
	for k := range runs {
		seed := firstSeed + k
		if k%3 == 2 && runs > 1 {
			seed += largeClusterSeeds
		}
		m := play(seed, noFault)
		if m.violation != "" {
			t.Fatalf("MODEL_SEED=%d: %v", seed, m)
		}
		epochs += len(m.usedEpochs)
		changes += len(m.chosen) - 1
	}
	t.Logf("%d schedules, %d epochs used, %d changes of voters", runs, epochs, changes)
	if runs > 100 && (epochs < int(runs) || changes < int(runs)/2) {
		t.Errorf("the schedules show little: %d epochs, %d changes of voters", epochs, changes)
	}
}

// The model finds each fault that is put in. The search begins near a seed
// that showed the fault when the model was written, to be short, and goes on
// from there.
func TestModelFindsFaults(t *testing.T) {
	const maxSeeds = 6000
	for _, c := range []struct {
		fault     fault
		firstSeed uint64
	}{
		{singleGrantSuffices, 0},
		{respondBeforeSync, 1000},
		{grantAfterRestart, 5690},
		{grantAsNewVoter, 1900},
		{countFromResponse, 0},
		{renewWhileReconfiguring, 1510},
		{mergeAfterExpiry, 0},
	} {
		found := false
		for seed := c.firstSeed; seed < c.firstSeed+maxSeeds && !found; seed++ {
			if m := play(seed, c.fault); m.violation != "" {
				found = true
				t.Logf("%s: seed %d: %s", c.fault, seed, m.violation)
			}
		}
		if !found {
			t.Errorf("the model does not find: %s", c.fault)
		}
	}
}
