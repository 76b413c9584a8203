package consensus

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/tracetest"
)

var modelKeep = flag.String("model.keep", "", "a directory: the planted bugs' shortest traces are written there")

// Bounds in which single bugs are looked for.
var (
	oneBase   = &bounds{machines: 3, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}, {do: "put", at: 1, v: 5, body: "y"}, {do: "put", at: 2, v: 5, body: "z"}}, dups: 1}
	twoLives  = &bounds{machines: 3, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}, {do: "put", at: 0, v: 5, body: "y"}}, kills: 1, dups: 1}
	lostDisk  = &bounds{machines: 3, kills: 1, wipes: 2, dups: 1, prefix: "wipe a\nback a\ncatch a b\nsync a\nadmit 1 a b a\nask 1.1p b\nask 1.1p c\nsync b\nsync c\nhear 1.1p b\nhear 1.1p c\nask 1.1a b\nask 1.1a c\nsync b\nsync c\nhear 1.1a b\nhear 1.1a c"}
	oldDisk   = &bounds{machines: 3, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}, {do: "put", at: 2, v: 5, body: "y"}}, kills: 2, dups: 1, prefix: "kill b 0\nback b\nput 0 a 5/0/x\nask 0.1p a\nask 0.1p b"}
	lostThree = &bounds{machines: 3, wipes: 3, dups: 1, tries: 2, admits: true, teach: true}
	lostDisks = &bounds{machines: 3, kills: 1, wipes: 2, dups: 1, admits: true, partial: true}
	begun     = &bounds{machines: 3, calls: []modelStep{{}, {do: "put", at: 1, v: 5, body: "y"}, {do: "put", at: 2, v: 5, body: "z"}}, dups: 1, prefix: "put 0 a 5/0/x\nask 0.1p a\nask 0.1p b\nsync a\nsync b\nhear 0.1p a\nhear 0.1p b\nask 0.1a a\nsync a\nput 1 b 5/0/y\nask 1.1p b\nask 1.1p c\nsync b\nsync c\nhear 1.1p b\nhear 1.1p c"}
	newVoter  = &bounds{machines: 4, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}}, silents: 1, dups: 2, tries: 1, admits: true, teach: true}
	reads     = &bounds{machines: 3, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}, {do: "get", at: 1}, {do: "get", at: 2}}, dups: 1, tries: 1}
	lostOne   = &bounds{machines: 3, calls: []modelStep{{do: "put", at: 0, v: 5, body: "x"}, {do: "put", at: 0, v: 6, base: 5, body: "y"}}, kills: 1, wipes: 1, dups: 1, prefix: "put 0 a 5/0/x\nask 0.1p a\nask 0.1p b\nsync a\nsync b\nhear 0.1p a\nhear 0.1p b\nask 0.1a a\nask 0.1a b\nsync a\nsync b\nhear 0.1a a\nhear 0.1a b\nsync a\ntell 0.1 b\nput 1 a 6/5/y\nask 1.1p b\nask 1.1p a"}
)

// planted are the planted bugs, the kind of harm that must show, and the most
// random schedules that may take.
var planted = []struct {
	name   string
	f      fault
	within *bounds
	want   string
	most   int
}{
	{"lives", faultLives, twoLives, "decided was", 20000},
	{"early", faultEarly, nil, "decided twice", 12000},
	{"blank", faultBlank, nil, "decided twice", 12000},
	{"repair", faultRepair, lostDisks, "read at", 20000},
	{"memory", faultMemory, lostDisk, "read at", 20000},
	{"begun", faultBegun, nil, "read at", 8000},
	{"forgets", faultForgets, nil, "refused", 1000},
	{"short", faultShort, nil, "refused", 1000},
	{"read_one", faultReadOne, reads, "was known", 2000},
	{"read_begun", faultReadBegun, reads, "was known", 2000},
	{"learn", faultLearn, oneBase, "decided was", 4000},
	{"order", faultOrder, lostOne, "was known", 10000},
	{"late_join", faultLateJoin, lostThree, "read at", 8000},
	{"old_disk", faultOldDisk, oldDisk, "decided twice", 20000},
	{"news", faultNews, newVoter, "decided was", 4000},
	{"low", faultLow, begun, "decided twice", 4000},
	{"refused", faultRefused, nil, "decided twice", 1000},
	{"baseless", faultBaseless, nil, "fit no order", 1000},
}

// The checker finds every planted bug within its bound.
func TestModelFindsFaults(t *testing.T) {
	for _, x := range planted {
		t.Run(x.name, func(t *testing.T) {
			found, seed := seeds(1, x.most, x.f, x.within, x.want, modelLength, time.Time{})
			if found.bad == "" {
				t.Fatalf("not found in %d schedules, %d steps", found.schedules, found.steps)
			}
			t.Logf("found in %d schedules, %d steps, %v (seed %d): %s", found.schedules, found.steps, found.took.Round(time.Millisecond), seed, found.bad)
			if *modelKeep == "" {
				return
			}
			m, _ := runs(seed, x.f, x.within, modelLength)
			short := shrink(m.machines, x.f, x.want, found.trace)
			text := "# " + string(x.f) + ":\n# " + play(m.machines, x.f, short).bad + "\nfault " + x.name + "\n" + traceText(m.machines, short) + "breaks " + x.want + "\n"
			if err := os.WriteFile(filepath.Join(*modelKeep, x.name+".trace"), []byte(text), 0o644); err != nil {
				t.Fatal(err)
			}
			t.Logf("%d steps:\n%s", len(short), text)
		})
	}
}

// The planted bugs' shortest traces, and those of faults that were mended:
// played with the bug they break, played as it is they hold. Beside the steps:
//
//	fault NAME      the bug that is planted
//	machines N
//	breaks WORDS    the end: what the planted bug must have broken, if there is one
func TestModelTraces(t *testing.T) {
	tracetest.PlayIn(t, "testdata/model", 15, func() func([]string) error {
		var real, bad *model
		plant := faultNone
		return func(f []string) error {
			switch f[0] {
			case "fault":
				for _, x := range planted {
					if x.name == f[1] {
						plant = x.f
					}
				}
				if plant == faultNone {
					return errStep
				}
				return nil
			case "machines":
				real, bad = newModel(int(f[1][0]-'0'), faultNone, false), newModel(int(f[1][0]-'0'), plant, false)
				return nil
			case "breaks":
				if plant != faultNone && (bad.bad == "" || !strings.Contains(bad.bad, strings.Join(f[1:], " "))) {
					return fmt.Errorf("the planted bug broke %q", bad.bad)
				}
				real.heal()
				if real.bad != "" {
					return errors.New(real.bad)
				}
				return nil
			}
			s, err := parseStep(f)
			if err != nil {
				return err
			}
			if s.String() != strings.Join(f, " ") {
				return fmt.Errorf("this is read as %s", s)
			}
			if bad.bad == "" {
				bad.do(s)
			}
			real.do(s)
			if real.bad != "" {
				return errors.New(real.bad)
			}
			return nil
		}
	})
}

// Some of the planted bugs are found in small bounds that are gone through in
// order, too: what is found first is a shortest trace.
func TestModelSmallFindsFaults(t *testing.T) {
	for _, x := range []struct {
		name string
		f    fault
		b    bounds
		want string
	}{
		{"read_one", faultReadOne, bounds{machines: 3, calls: []modelStep{putX, getB}, dups: 1}, "was known"},
		{"read_begun", faultReadBegun, bounds{machines: 3, calls: []modelStep{putX, getB}, dups: 1}, "was known"},
		{"forgets", faultForgets, bounds{machines: 3, calls: []modelStep{putX, putX}, kills: 1, dups: 1, partial: true}, ""},
		{"early", faultEarly, bounds{machines: 3, calls: []modelStep{putX, getB}, kills: 2, dups: 1}, ""},
		{"blank", faultBlank, bounds{machines: 3, calls: []modelStep{putX, getB}, wipes: 1, dups: 1}, ""},
		{"lives", faultLives, bounds{machines: 3, calls: []modelStep{putX, {do: "put", at: 0, v: 5, body: "y"}}, kills: 1, dups: 1, prefix: "put 0 a 5/0/x\nask 0.1p b\nask 0.1p c\nsync b\nsync c\nask 0.1a b\nsync b\nkill a 0\nback a"}, "decided was"},
		{"learn", faultLearn, bounds{machines: 3, calls: []modelStep{putX, putY}, dups: 1, prefix: "put 0 a 5/0/x\nask 0.1p a\nask 0.1p b\nput 1 b 5/0/y"}, "decided was"},
		{"repair", faultRepair, bounds{machines: 3, wipes: 2, dups: 1, prefix: "wipe a\nback a\ncatch a b\nsync a\nadmit 1 a b a"}, "read at"},
	} {
		t.Run(x.name, func(t *testing.T) {
			f := explore(x.f, x.b, 400000, time.Now().Add(time.Minute))
			if f.bad == "" || !strings.Contains(f.bad, x.want) {
				t.Fatalf("%q in %d states, %d steps, depth %d", f.bad, f.states, f.steps, f.depth)
			}
			t.Logf("found in %d states, %d steps, %v: %s\n%s", f.states, f.steps, f.took.Round(time.Millisecond), f.bad, traceText(x.b.machines, f.trace))
		})
	}
}
