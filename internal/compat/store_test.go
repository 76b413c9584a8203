package compat

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/records"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
)

// storedAll is what the loaders make of a store.
type storedAll struct {
	Identity string
	Life     int64
	Leases   map[string]lease.Record
	Table    *endpoints.Table
	Fronts   int
	Terms    rollout.ClockRecord
	State    consensus.State
	Ballots  consensus.BallotState
	Packed   []byte
}

func loadAll(t *testing.T, c *storage.Store) storedAll {
	t.Helper()
	stored, err := records.Load(c, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return storedAll{
		Identity: stored.Identity,
		Life:     stored.Incarnation,
		Leases:   stored.Leases,
		Table:    stored.Table,
		Fronts:   stored.FrontCount,
		Terms:    stored.RolloutClock,
		State:    stored.State,
		Ballots:  stored.Ballot,
		Packed:   stored.AcceptedBody,
	}
}

// A store that an earlier program left, of several lives, is read as it was
// meant, and what is written back is the same byte for byte.
func TestStoreOfVersion1(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/store-v1")); err != nil {
		t.Fatal(err)
	}
	c, err := storage.Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { c.Close(5 * time.Second) }()
	if c.Quarantined() {
		t.Fatal("the store can't be read")
	}
	before := c.Scan("")
	names := slices.Sorted(maps.Keys(before))
	if want := []string{"ballot", "body", "fronts", "identity", "leases", "life", "state", "table", "taken-00", "taken-01", "terms"}; !slices.Equal(names, want) {
		t.Fatalf("records %v, want %v", names, want)
	}
	all := loadAll(t, c)
	got, err := json.Marshal(all)
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/store-v1.json")
	if err != nil {
		t.Fatal(err)
	}
	decodeStrictly(t, want, &storedAll{})
	if !sameJSON(t, got, want) {
		t.Errorf("loaded\n%s\nwant\n%s", got, want)
	}

	back := records.StateRecords(all.State, -1, 0)
	bare := all.Ballots
	value := *bare.AcceptedValue
	value.Body = "" // it stands in Packed
	bare.AcceptedValue = &value
	for name, v := range map[string]any{records.KeyIdentity: all.Identity, records.KeyIncarnation: all.Life, records.KeyLeases: all.Leases, records.KeyTable: all.Table, records.KeyFrontCount: all.Fronts, records.KeyRolloutClock: all.Terms, records.KeyBallot: records.Ballot{BallotState: bare, Packed: all.Packed}} {
		back[name] = codec.MustEncode(name, v)
	}
	sameRecords(t, before, back)
	done := make(chan error, 1)
	c.PutAll(back, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	c.Close(5 * time.Second)
	if c, err = storage.Open(dir, time.Second, time.Second); err != nil {
		t.Fatal(err)
	}
	sameRecords(t, before, c.Scan(""))
	if again := loadAll(t, c); !reflect.DeepEqual(again, all) {
		t.Errorf("after it was written back: %+v, was %+v", again, all)
	}
}

func sameRecords(t *testing.T, want, have map[string][]byte) {
	t.Helper()
	for name := range maps.Keys(have) {
		if _, there := want[name]; !there {
			t.Errorf("record %s was not there", name)
		}
	}
	for name, raw := range want {
		if !bytes.Equal(raw, have[name]) {
			t.Errorf("record %s is\n%s\nwas\n%s", name, have[name], raw)
		}
	}
}

// The files beside a store that tell that one was set aside keep their names.
func TestQuarantineMarkers(t *testing.T) {
	for _, name := range []string{"cellar-set-aside", "cellar-unreadable"} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, name), nil, 0o644); err != nil {
			t.Fatal(err)
		}
		c, err := storage.Open(dir, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if !c.Quarantined() {
			t.Errorf("%s is no sign of a store that was set aside", name)
		}
		c.Close(5 * time.Second)
	}
}
