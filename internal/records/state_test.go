package records

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/storage"
)

const maxBodyBytes = 1 << 20

func openStore(t *testing.T) *storage.Store {
	t.Helper()
	store, err := storage.Open(t.TempDir(), time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close(time.Second) })
	return store
}

// put writes records and waits until they are durable.
func put(t *testing.T, store *storage.Store, changed map[string][]byte) {
	t.Helper()
	done := make(chan error, 1)
	store.PutAll(changed, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}

func TestNewDiskHoldsNothing(t *testing.T) {
	stored, err := Load(openStore(t), maxBodyBytes)
	if err != nil {
		t.Fatal(err)
	}
	if stored.Identity != "" || stored.Incarnation != 0 || len(stored.State.Voters) != 0 || stored.Table != nil || len(stored.Leases) != 0 {
		t.Errorf("a new disk holds %+v", stored)
	}
}

// However many changes lie between two writes, also once pages are overwritten,
// the state that was written last is read back.
func TestStateIsReadBack(t *testing.T) {
	store := openStore(t)
	state := consensus.Genesis([]string{"10.0.0.1"})
	put(t, store, StateRecords(state, -1, 0))
	version, written := state.Version, state.AppliedCount
	for batch := 1; state.AppliedCount < consensus.MaxAppliedChanges+4*AppliedPageSize; batch = batch*3%1021 + 1 {
		for range batch {
			next := state.Version + 1
			state = state.Apply(consensus.Value{Version: next, BaseVersion: state.Version, Body: fmt.Sprint("body ", next)})
		}
		put(t, store, StateRecords(state, version, written))
		version, written = state.Version, state.AppliedCount
		stored, err := Load(store, maxBodyBytes)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(stored.State, state) {
			t.Fatalf("after %d changes another state is read back", state.AppliedCount)
		}
	}
}

// A body of another version than the state's is no state to vote with.
func TestBodyOfAnotherVersionIsAnError(t *testing.T) {
	store := openStore(t)
	state := consensus.Genesis([]string{"10.0.0.1"}).Apply(consensus.Value{Version: 1, Body: "one"})
	changed := StateRecords(state, -1, 0)
	changed[BodyRecord.Key()] = BodyRecord.Encode(Body{Version: 2, Body: "two"})
	put(t, store, changed)
	if _, err := Load(store, maxBodyBytes); err == nil {
		t.Error("the records were taken for a state")
	}
}
