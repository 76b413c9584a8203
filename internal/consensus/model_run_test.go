package consensus

import (
	"flag"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// The long run:
//
//	go test ./internal/consensus -run TestModelLong -model.time=10m -model.cores=3 -timeout 0 -v
var (
	modelTime   = flag.Duration("model.time", 0, "how long TestModelLong searches")
	modelCores  = flag.Int("model.cores", 1, "how many random schedules TestModelLong runs at once")
	modelSeed   = flag.Uint64("model.seed", 0, "the first seed of TestModelLong; 0: a new one")
	modelStates = flag.Int("model.states", 1_500_000, "the most states that TestModelLong explores within each of its bounds")
)

const (
	// randomSchedules is the number of seeds in the ordinary run.
	randomSchedules = 2000
	// exploreTimeout bounds one exploration in the ordinary run.
	exploreTimeout = time.Minute
	// seedStride keeps the seeds of concurrent searches apart.
	seedStride = 1 << 41
)

func TestModelRandom(t *testing.T) {
	result, seed := searchSeeds(1, randomSchedules, faultNone, nil, anyInvariant, time.Time{})
	if result.violation != nil {
		reportSeed(t, seed, result)
	}
	t.Logf("%d schedules, %d steps, %v", result.schedules, result.steps, result.duration.Round(time.Millisecond))
}

// reportSeed fails with the shortest trace that still violates something, in
// the form of testdata/model.
func reportSeed(t *testing.T, seed uint64, result searchResult) {
	t.Helper()
	m, _ := randomSchedule(seed, faultNone, nil, maxScheduleLength)
	short := shrink(m.nodeCount, faultNone, anyInvariant, result.trace)
	t.Errorf("seed %d: %s\n# %s\n%sholds\n", seed, result.violation, replay(m.nodeCount, faultNone, short).violation, traceText(m.nodeCount, short))
}

// explorations are explored as far as maxStates goes in the ordinary run.
var explorations = []struct {
	name      string
	maxStates int
	bounds    bounds
}{
	{"a change, a crash, a lost disk", 30000, bounds{nodes: 3, calls: []step{putX}, crashes: 1, wipes: 1, maxDeliveries: 1, partialWrites: true}},
	{"a change and a read, a crash", 20000, bounds{nodes: 3, calls: []step{putX, getB}, crashes: 1, maxDeliveries: 1}},
	{"two changes on one base", 20000, bounds{nodes: 3, calls: []step{putX, putY}, maxDeliveries: 1}},
	{"two slots and a read, a crash", 20000, bounds{nodes: 3, calls: []step{putX, putZ, getC}, crashes: 1, maxDeliveries: 1}},
	{"two changes on one base, a crash, a lost disk", 20000, bounds{nodes: 3, calls: []step{putX, putY}, crashes: 1, wipes: 1, maxDeliveries: 1, maxRetries: 1}},
	{"a lost disk is replaced, another is lost", 30000, bounds{nodes: 3, crashes: 1, wipes: 2, maxDeliveries: 1, prefix: replaceWipedA}},
	{"a change while a lost disk is replaced", 20000, bounds{nodes: 3, calls: []step{putY}, wipes: 2, maxDeliveries: 1, prefix: replaceWipedA}},
}

func TestModelExploration(t *testing.T) {
	for _, x := range explorations {
		checkExploration(t, x.name, x.bounds, x.maxStates, time.Now().Add(exploreTimeout))
	}
}

// checkExploration fails where an exploration finds a violation.
func checkExploration(t *testing.T, name string, b bounds, maxStates int, deadline time.Time) {
	t.Helper()
	result := explore(faultNone, b, maxStates, deadline)
	if result.violation != nil {
		t.Errorf("%s: %s\nreliable network\n%s", name, result.violation, traceText(b.nodes, result.trace))
	}
	t.Logf("%s: %d states, %d steps, depth %d, exhausted %v, %v", name, result.states, result.steps, result.depth, result.exhausted, result.duration.Round(time.Millisecond))
}

func TestModelLong(t *testing.T) {
	if *modelTime == 0 {
		t.Skip("it searches for as long as -model.time says")
	}
	start := time.Now()
	deadline := start.Add(*modelTime)
	seed := *modelSeed
	if seed == 0 {
		seed = rand.Uint64N(1 << 40)
	}
	t.Logf("from seed %d on", seed)
	var total searchResult
	var mu sync.Mutex
	var wg sync.WaitGroup
	for core := range *modelCores {
		wg.Go(func() {
			if core == *modelCores-1 {
				for _, x := range explorations {
					checkExploration(t, x.name, x.bounds, *modelStates, time.Now().Add(*modelTime/20))
				}
			}
			result, found := searchSeeds(seed+uint64(core)*seedStride, seedStride/2, faultNone, nil, anyInvariant, deadline)
			mu.Lock()
			defer mu.Unlock()
			if result.violation != nil {
				reportSeed(t, found, result)
			}
			total.schedules, total.steps = total.schedules+result.schedules, total.steps+result.steps
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d steps, %v on %d cores", total.schedules, total.steps, time.Since(start).Round(time.Second), *modelCores)
}
