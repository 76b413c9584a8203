package consensus

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// Whoever follows the news from any slot, or from a later one than they were
// made for, has the very state of the log.
func TestNewsGiveTheState(t *testing.T) {
	for seed := uint64(1); seed <= 40; seed++ {
		r := rand.New(rand.NewPCG(seed, 3))
		states := []State{Genesis([]string{"1.1.1.1", "1.1.1.2"})}
		for i := 0; i < 60; i++ {
			s := states[i]
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
				if old, ok := s.Rollout(v.Rollout.Service); ok && old.Running() {
					v.Rollout = &Rollout{OrderSlot: old.OrderSlot, Service: old.Service, Phase: PhaseRolledBack}
				}
			default:
				v.Version, v.BaseVersion, v.Body = s.Version+1+int64(r.IntN(3)), s.Version-int64(r.IntN(5)/4), fmt.Sprint("body", i)
			}
			states = append(states, s.Apply(v))
		}
		last := states[60]
		for i := 0; i < 60; i++ {
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
				t.Fatal("news that leave a slot out were taken")
			}
		}
		if _, ok := last.ApplyDelta(states[9].DeltaSince(3)); ok {
			t.Fatal("old news were taken")
		}
	}
}

// However far behind a node is, what brings it up is no larger than the state.
func TestNewsAreBounded(t *testing.T) {
	s := Genesis([]string{"1.1.1.1"})
	var mid State
	for v := int64(1); v < 2*MaxAppliedChanges; v++ {
		s = s.Apply(Value{Version: v, BaseVersion: v - 1, Body: fmt.Sprint(v)})
		if v == 10 || v == MaxAppliedChanges+10 {
			mid = s
			if got, _ := mid.ApplyDelta(s.DeltaSince(NoSlot)); !reflect.DeepEqual(got, s) {
				t.Fatal("whole news are not the state")
			}
		}
	}
	if n := s.DeltaSince(10); len(n.AppliedChanges) != MaxAppliedChanges {
		t.Fatalf("%d are told", len(n.AppliedChanges))
	}
	if got, ok := mid.ApplyDelta(s.DeltaSince(mid.Slot)); !ok || !reflect.DeepEqual(got, s) {
		t.Fatal("a node thousands of slots behind does not get the state")
	}
}
