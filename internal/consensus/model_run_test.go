package consensus

import (
	"flag"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

// The long run:
//
//	go test ./internal/cairn -run TestModelLong -model.time=10m -model.cores=3 -timeout 0 -v
var (
	modelTime   = flag.Duration("model.time", 0, "how long TestModelLong looks")
	modelCores  = flag.Int("model.cores", 1, "how many random schedules TestModelLong takes at once")
	modelSeed   = flag.Uint64("model.seed", 0, "the first seed of TestModelLong; 0: a new one")
	modelStates = flag.Int("model.states", 1_500_000, "the most states of each bound that TestModelLong explores")
)

// modelLength is the most steps of a random schedule.
const modelLength = 300

// seeds runs random schedules until one breaks something as wanted.
func seeds(from uint64, count int, f fault, within *bounds, want string, length int, until time.Time) (out found, seed uint64) {
	start := time.Now()
	for seed = from; seed < from+uint64(count); seed++ {
		m, steps := runs(seed, f, within, length)
		out.schedules++
		out.steps += len(steps)
		if m.bad != "" && strings.Contains(m.bad, want) {
			out.bad, out.trace = m.bad, steps
			break
		}
		if !until.IsZero() && time.Now().After(until) {
			break
		}
	}
	out.took = time.Since(start)
	return out, seed
}

// fail prints the shortest trace that still breaks something, for testdata/model.
func fail(t *testing.T, seed uint64, f found) {
	t.Helper()
	m, _ := runs(seed, faultNone, nil, modelLength)
	short := shrink(m.machines, faultNone, "", f.trace)
	t.Errorf("seed %d: %s\n# %s\n%sbreaks\n", seed, f.bad, play(m.machines, faultNone, short).bad, traceText(m.machines, short))
}

func TestModelRandom(t *testing.T) {
	f, seed := seeds(1, 2000, faultNone, nil, "", modelLength, time.Time{})
	if f.bad != "" {
		fail(t, seed, f)
	}
	t.Logf("%d schedules, %d steps, %v", f.schedules, f.steps, f.took.Round(time.Millisecond))
}

var (
	putX = modelStep{do: "put", at: 0, v: 5, body: "x"}
	putY = modelStep{do: "put", at: 1, v: 5, body: "y"}
	putZ = modelStep{do: "put", at: 0, v: 6, base: 5, body: "z"}
	getB = modelStep{do: "get", at: 1}
	getC = modelStep{do: "get", at: 2}
)

// small are the bounds that are explored whole, or as far as most goes.
var small = []struct {
	name string
	most int // in the ordinary run
	b    bounds
}{
	{"a change, a kill, a lost disk", 30000, bounds{machines: 3, calls: []modelStep{putX}, kills: 1, wipes: 1, dups: 1, partial: true}},
	{"a change and a read, a kill", 20000, bounds{machines: 3, calls: []modelStep{putX, getB}, kills: 1, dups: 1}},
	{"two changes on one base", 20000, bounds{machines: 3, calls: []modelStep{putX, putY}, dups: 1}},
	{"two slots and a read, a kill", 20000, bounds{machines: 3, calls: []modelStep{putX, putZ, getC}, kills: 1, dups: 1}},
	{"two changes on one base, a kill, a lost disk", 20000, bounds{machines: 3, calls: []modelStep{putX, putY}, kills: 1, wipes: 1, dups: 1, tries: 1}},
	{"a lost disk is replaced, another is lost", 30000, bounds{machines: 3, kills: 1, wipes: 2, dups: 1, prefix: "wipe a\nback a\ncatch a b\nsync a\nadmit 1 a b a"}},
	{"a change while a lost disk is replaced", 20000, bounds{machines: 3, calls: []modelStep{putY}, wipes: 2, dups: 1, prefix: "wipe a\nback a\ncatch a b\nsync a\nadmit 1 a b a"}},
}

func TestModelSmall(t *testing.T) {
	for _, c := range small {
		exploreSmall(t, c.name, c.b, c.most, time.Now().Add(time.Minute))
	}
}

func exploreSmall(t *testing.T, name string, b bounds, most int, until time.Time) {
	f := explore(faultNone, b, most, until)
	if f.bad != "" {
		t.Errorf("%s: %s\nquick\n%s", name, f.bad, traceText(b.machines, f.trace))
	}
	t.Logf("%s: %d states, %d steps, depth %d, whole %v, %v", name, f.states, f.steps, f.depth, f.whole, f.took.Round(time.Millisecond))
}

func TestModelLong(t *testing.T) {
	if *modelTime == 0 {
		t.Skip("it looks for as long as -model.time says")
	}
	start := time.Now()
	until := start.Add(*modelTime)
	seed := *modelSeed
	if seed == 0 {
		seed = rand.Uint64N(1 << 40)
	}
	t.Logf("from seed %d on", seed)
	var all found
	var mu sync.Mutex
	var wg sync.WaitGroup
	for w := range *modelCores {
		wg.Go(func() {
			from := seed + uint64(w)<<41
			if w == *modelCores-1 {
				for _, c := range small {
					exploreSmall(t, c.name, c.b, *modelStates, time.Now().Add(*modelTime/20))
				}
			}
			f, at := seeds(from, 1<<40, faultNone, nil, "", modelLength, until)
			mu.Lock()
			defer mu.Unlock()
			if f.bad != "" {
				fail(t, at, f)
			}
			all.schedules, all.steps = all.schedules+f.schedules, all.steps+f.steps
		})
	}
	wg.Wait()
	t.Logf("%d schedules, %d steps, %v on %d cores", all.schedules, all.steps, time.Since(start).Round(time.Second), *modelCores)
}
