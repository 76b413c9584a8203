package consensus

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// randomValue draws a value for the i-th slot, which follows s.
func randomValue(r *rand.Rand, s State, i int) Value {
	var v Value
	switch r.IntN(6) {
	case 0:
		v.Voters = []Voter{{ID: fmt.Sprint("v", i), IP: "1.1.1.3"}}
	case 1:
		v.Purges = []Purge{{ID: fmt.Sprint(i)}, {ID: fmt.Sprint("b", i)}}
	case 2:
		v.CacheNodes = []CacheNode{{Name: fmt.Sprint(i)}}
	case 3:
		v.Rollout = &Rollout{Service: fmt.Sprint("s", r.IntN(4)), TargetVersion: fmt.Sprint("t", i), DurationMs: 5}
		if last, ok := s.Rollout(v.Rollout.Service); ok && last.Running() {
			v.Rollout = &Rollout{OrderSlot: last.OrderSlot, Service: last.Service, Phase: PhaseRolledBack}
		}
	default:
		v.Version, v.BaseVersion, v.Body = s.Version+1+int64(r.IntN(3)), s.Version-int64(r.IntN(5)/4), fmt.Sprint("body", i)
	}
	return v
}

// Whoever applies the deltas from any slot, or from a later one than they were
// made for, has the very state of the log.
func TestDeltasGiveTheState(t *testing.T) {
	const seeds, slots = 40, 60
	for seed := uint64(1); seed <= seeds; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		states := []State{Genesis([]string{"1.1.1.1", "1.1.1.2"})}
		for i := range slots {
			states = append(states, states[i].Apply(randomValue(r, states[i], i)))
		}
		last := states[slots]
		for i := range slots {
			for _, from := range []int64{int64(i), int64(r.IntN(i + 1)), NoSlot} {
				got, ok := states[i].ApplyDelta(last.DeltaSince(from))
				if !ok || !reflect.DeepEqual(got, last) {
					t.Fatalf("seed %d: from %d at %d: %v\n%+v\n%+v", seed, from, i, ok, got, last)
				}
			}
			if v := last.VersionAt(int64(i)); v != states[i].Version {
				t.Fatalf("seed %d: the version at %d was %d, not %d", seed, i, states[i].Version, v)
			}
			if _, ok := states[i].ApplyDelta(last.DeltaSince(int64(i + 1))); ok {
				t.Fatal("a delta that leaves a slot out was applied")
			}
		}
		if _, ok := last.ApplyDelta(states[9].DeltaSince(3)); ok {
			t.Fatal("an old delta was applied")
		}
	}
}

// However far behind a node is, what brings it up to date is no larger than
// the state.
func TestDeltasAreBounded(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	var earlier State
	for v := int64(1); v < 2*MaxAppliedChanges; v++ {
		s = s.Apply(Value{Version: v, BaseVersion: v - 1, Body: fmt.Sprint(v)})
		if v == 10 || v == MaxAppliedChanges+10 {
			earlier = s
			if got, _ := earlier.ApplyDelta(s.DeltaSince(NoSlot)); !reflect.DeepEqual(got, s) {
				t.Fatal("a delta from no slot is not the state")
			}
		}
	}
	if n := len(s.DeltaSince(10).AppliedChanges); n != MaxAppliedChanges {
		t.Fatalf("the delta holds %d changes, want %d", n, MaxAppliedChanges)
	}
	if got, ok := earlier.ApplyDelta(s.DeltaSince(earlier.Slot)); !ok || !reflect.DeepEqual(got, s) {
		t.Fatal("a node thousands of slots behind does not get the state")
	}
}
