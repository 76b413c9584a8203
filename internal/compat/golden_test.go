package compat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/control"
	"swiftswitch/internal/front"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"testing"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/storage"
	"swiftswitch/internal/upstream"
)

// The files in testdata were written once by the program whose form they hold.
// They are changed by hand only, and only together with a change of the stored
// or the wire form that is meant.

// goldenKinds are the types whose JSON form is stored or sent, by the name of
// their golden files: name.full.json has every field filled, name.zero.json
// holds the zero value, without the optional fields.
var goldenKinds = map[string]any{
	// Records on disk.
	"record-identity":  "",
	"record-state":     consensus.State{},
	"record-body":      records.Body{},
	"record-ballot":    records.Ballot{},
	"record-leases":    map[string]lease.Record{},
	"record-table":     endpoints.Table{},
	"record-fronts":    0,
	"record-terms":     rollout.TermRecord{},
	"record-life":      int64(0),
	"record-taken":     []consensus.AppliedChange{},
	"value":            consensus.Value{},
	"ballots":          consensus.BallotState{},
	"acceptor-ask":     consensus.Request{},
	"acceptor-say":     consensus.Response{},
	"state-news":       consensus.StateDelta{},
	"table-delta":      endpoints.Delta{},
	"lease-record":     lease.Record{},
	"rollout-entry":    rollout.Entry{},
	"rollout-cell":     rollout.Cell{},
	"rollout-sum":      rollout.Sample{},
	"copy-field":       cache.Field{},
	"front":            relay.Front{},
	"view-node":        peersampling.Node{},
	"table-stamp":      endpoints.Stamp{},
	"table-entry":      endpoints.Endpoint{},
	"order-of-rollout": config.RolloutRequest{},
	"order-of-purge":   config.PurgeRequest{},
	"order-of-patch":   config.Patch{},
	"platform-page":    control.DiscoveryPage{},

	// Messages between nodes, by path.
	"cairn-ask":         nodeapi.ConsensusRequest{},
	"cairn-say":         nodeapi.ConsensusResponse{},
	"learn-ask":         nodeapi.LearnRequest{},
	"learn-say":         nodeapi.LearnResponse{},
	"state-ask":         nodeapi.StateRequest{},
	"state-say":         nodeapi.StateDelta{},
	"version-ask":       nodeapi.VersionRequest{},
	"version-say":       nodeapi.VersionResponse{},
	"beat":              nodeapi.Heartbeat{},
	"beat-renewal":      nodeapi.LeaseRenewal{},
	"table-ask":         nodeapi.TableRequest{},
	"table-say":         nodeapi.TableResponse{},
	"join-ask":          nodeapi.JoinRequest{},
	"join-say":          nodeapi.JoinResponse{},
	"silent-say":        membership.Report{},
	"keep-say":          int64(0),
	"watch-ask":         nodeapi.WatchRequest{},
	"watch-say":         nodeapi.WatchResponse{},
	"watch-say-address": nodeapi.ControlNode{},
	"shuffle":           nodeapi.ShuffleMessage{},
	"roll":              nodeapi.FrontRoster{},
	"larder-ask":        nodeapi.CacheFetchRequest{},
	"larder-say":        nodeapi.CacheFetchResponse{},
	"enlist-ask":        consensus.CacheNode{},
	"peek-say":          nodeapi.PeekResponse{},
	"saddle-ask":        relay.Request{},
	"saddle-say":        relay.Response{},
	"bid-ask":           nodeapi.LeaseRequest{},
	"bid-say":           nodeapi.LeaseResponse{},
	"fetch-ask":         nodeapi.TableFetchRequest{},
	"fetch-say":         nodeapi.TableFetchResponse{},
	"hearsay":           nodeapi.UnreachableReport{},
	"tally":             nodeapi.RolloutReport{},
	"ledger":            nodeapi.RolloutTotals{},

	// What the status calls answer.
	"status":         node.Status{},
	"status-control": control.Status{},
	"status-front":   front.Status{},
	"status-rollout": control.RolloutStatus{},
	"status-count":   upstream.Stats{},
}

func TestGoldenForms(t *testing.T) {
	var want, have []string
	for name := range goldenKinds {
		want = append(want, name+".full.json", name+".zero.json")
	}
	files, err := os.ReadDir("testdata/golden")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		have = append(have, f.Name())
	}
	slices.Sort(want)
	if !slices.Equal(have, want) {
		t.Errorf("golden files %v, want %v", have, want)
	}
	for name, kind := range goldenKinds {
		for _, part := range []string{"full", "zero"} {
			t.Run(name+"-"+part, func(t *testing.T) {
				raw, err := os.ReadFile(filepath.Join("testdata/golden", name+"."+part+".json"))
				if err != nil {
					t.Fatal(err)
				}
				v := reflect.New(reflect.TypeOf(kind))
				strictly(t, raw, v.Interface())
				again, err := json.Marshal(v.Interface())
				if err != nil {
					t.Fatal(err)
				}
				if !sameJSON(t, raw, again) {
					t.Errorf("the form has changed: golden\n%s\nnow\n%s", raw, again)
				}
				if part == "full" {
					for _, path := range zeros(v.Elem(), name) {
						t.Errorf("%s is missing in the golden file, or empty", path)
					}
					return
				}
				zero, err := json.Marshal(kind)
				if err != nil {
					t.Fatal(err)
				}
				if !sameJSON(t, raw, zero) {
					t.Errorf("the form of the zero value has changed: golden\n%s\nnow\n%s", raw, zero)
				}
			})
		}
	}
}

// strictly decodes all of raw; keys that v has no field for are an error.
func strictly(t *testing.T, raw []byte, v any) {
	t.Helper()
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		t.Fatalf("%v in\n%s", err, raw)
	}
	if dec.More() {
		t.Fatalf("more follows in\n%s", raw)
	}
}

// sameJSON compares key for key; the order of keys doesn't count, their case does.
func sameJSON(t *testing.T, a, b []byte) bool {
	t.Helper()
	var of [2]any
	for i, raw := range [][]byte{a, b} {
		dec := json.NewDecoder(bytes.NewReader(raw))
		dec.UseNumber()
		if err := dec.Decode(&of[i]); err != nil {
			t.Fatalf("%v in\n%s", err, raw)
		}
	}
	return reflect.DeepEqual(of[0], of[1])
}

// zeros gives the paths of all that is zero or empty in v, at any depth.
func zeros(v reflect.Value, path string) (out []string) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			return zeros(v.Elem(), path)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			if f := v.Type().Field(i); f.IsExported() || f.Anonymous {
				out = append(out, zeros(v.Field(i), path+"."+f.Name)...)
			}
		}
		return out
	case reflect.Slice, reflect.Array:
		for i := range v.Len() {
			out = append(out, zeros(v.Index(i), fmt.Sprintf("%s[%d]", path, i))...)
		}
		if v.Len() > 0 {
			return out
		}
	case reflect.Map:
		for it := v.MapRange(); it.Next(); {
			at := fmt.Sprintf("%s[%v]", path, it.Key())
			out = append(out, zeros(it.Key(), at+" (key)")...)
			out = append(out, zeros(it.Value(), at)...)
		}
		if v.Len() > 0 {
			return out
		}
	default:
		if !v.IsZero() {
			return nil
		}
	}
	return append(out, path)
}

// Names that go over the wire or name records, against their literal text.
func TestFormNames(t *testing.T) {
	for _, c := range []struct{ have, want string }{
		{nodeapi.PathConsensus, "/rope/cairn"},
		{nodeapi.PathLearn, "/rope/learn"},
		{nodeapi.PathState, "/rope/state"},
		{nodeapi.PathVersion, "/rope/version"},
		{nodeapi.PathHeartbeat, "/rope/beat"},
		{nodeapi.PathTable, "/rope/table"},
		{nodeapi.PathJoin, "/rope/join"},
		{nodeapi.PathSilentVoters, "/rope/silent"},
		{nodeapi.PathPersist, "/rope/keep"},
		{nodeapi.PathWatch, "/rope/watch"},
		{nodeapi.PathShuffle, "/rope/shuffle"},
		{nodeapi.PathFrontRoster, "/rope/roll"},
		{nodeapi.PathCacheFetch, "/rope/larder"},
		{nodeapi.PathCacheJoin, "/rope/enlist"},
		{nodeapi.PathPeek, "/rope/peek"},
		{nodeapi.PathRelay, "/rope/saddle"},
		{nodeapi.PathLease, "/rope/bid"},
		{nodeapi.PathTableFetch, "/rope/fetch"},
		{nodeapi.PathUnreachable, "/rope/hearsay"},
		{nodeapi.PathRolloutReport, "/rope/tally"},
		{nodeapi.PathRolloutTotals, "/rope/ledger"},
		{nodeapi.PathStatus, "/rope/status"},
		{nodeapi.PathConfiguration, "/-/configuration"},
		{nodeapi.PathPurge, "/-/purge"},
		{nodeapi.PathRollouts, "/-/rollouts"},

		{nodeapi.HeaderVersion, "Swiftswitch-Version"},
		{nodeapi.HeaderTimeLeft, "Swiftswitch-Patience-Milliseconds"},
		{nodeapi.HeaderForwardedBy, "Swiftswitch-Passed-On"},
		{nodeapi.HeaderCacheFetch, "Swiftswitch-Larder"},
		{cache.HeaderTags, "Swiftswitch-Object-Tags"},
		{upstream.HeaderRequestID, "Swiftswitch-Request-Id"},
		{upstream.HeaderDeadline, "Swiftswitch-Deadline-Milliseconds"},
		{upstream.HeaderServerStamp, "Swiftswitch-Server-Stamp"},
		{upstream.HeaderExpectedInstance, "Swiftswitch-Expected-Instance"},
		{upstream.HeaderServerLoad, "Swiftswitch-Server-Load"},
		{upstream.HeaderNotRun, "Swiftswitch-Not-Run"},
		{upstream.HeaderInstanceID, "Swiftswitch-Instance-Id"},
		{upstream.HeaderPartStamps, "Swiftswitch-Part-Stamps"},
		{upstream.HeaderMissingParts, "Swiftswitch-Missing-Parts"},

		{records.KeyIdentity, "identity"},
		{records.KeyState, "state"},
		{records.KeyBody, "body"},
		{records.KeyBallot, "ballot"},
		{records.KeyLeases, "leases"},
		{records.KeyTable, "table"},
		{records.KeyFrontCount, "fronts"},
		{records.KeyTerms, "terms"},
		{records.KeyIncarnation, "life"},
		{records.KeyAppliedPage, "taken-%02d"},

		// Values that are stored and sent.
		{control.PollerRole, "list"},
		{string(consensus.PhaseCanary), "canary"},
		{string(consensus.PhaseTrial), "trial"},
		{string(consensus.PhasePromote), "promote"},
		{string(consensus.PhaseCompleted), "completed"},
		{string(consensus.PhaseRolledBack), "rolled_back"},
		{consensus.GenesisID("10.0.0.1"), "first-10.0.0.1"},
		{consensus.Fingerprint("body"), "230d8358dc8e8890b4c58deeb62912ee"},
	} {
		if c.have != c.want {
			t.Errorf("%q was %q", c.have, c.want)
		}
	}
	if records.AppliedPageSize != 64 || records.AppliedPages != 65 || codec.DeltaDictionaryID != 1 || consensus.NoSlot != -1 {
		t.Errorf("pages of taken changes %d of %d, dictionary %d, no slot %d", records.AppliedPages, records.AppliedPageSize, codec.DeltaDictionaryID, consensus.NoSlot)
	}
}

// What the operator's orders are read from.
func TestFormOrders(t *testing.T) {
	for raw, want := range map[string]config.PurgeRequest{
		`{"HostName":"h","Path":"/p"}`: {HostName: "h", Path: "/p"},
		`{"Tag":"t"}`:                  {Tag: "t"},
	} {
		if got, err := config.ParsePurgeRequest([]byte(raw)); err != nil || got != want {
			t.Errorf("%s: %+v %v", raw, got, err)
		}
	}
	if got, err := config.ParseRolloutRequest([]byte(`{"Service":"s","TargetVersion":"v","DurationS":1.5}`)); err != nil || got != (config.RolloutRequest{Service: "s", TargetVersion: "v", DurationS: 1.5}) {
		t.Errorf("%+v %v", got, err)
	}
	if _, err := config.ParsePatch([]byte(`{"Version":2,"SetItems":{"Routes":[{"Name":"r"}]},"RemoveNames":{"Services":["s"]}}`)); err != nil {
		t.Error(err)
	}
}

// storedAll is what the loaders make of a store.
type storedAll struct {
	Identity string
	Life     int64
	Leases   map[string]lease.Record
	Table    *endpoints.Table
	Fronts   int
	Terms    rollout.TermRecord
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
	strictly(t, want, &storedAll{})
	if !sameJSON(t, got, want) {
		t.Errorf("loaded\n%s\nwant\n%s", got, want)
	}

	back := records.StateRecords(all.State, -1, 0)
	bare := all.Ballots
	value := *bare.AcceptedValue
	value.Body = "" // it stands in Packed
	bare.AcceptedValue = &value
	for name, v := range map[string]any{records.KeyIdentity: all.Identity, records.KeyIncarnation: all.Life, records.KeyLeases: all.Leases, records.KeyTable: all.Table, records.KeyFrontCount: all.Fronts, records.KeyTerms: all.Terms, records.KeyBallot: records.Ballot{BallotState: bare, Packed: all.Packed}} {
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

// Every path and record of the source stands in TestFormNames.
func TestFormNamesAreAll(t *testing.T) {
	this, err := os.ReadFile("golden_test.go")
	if err != nil {
		t.Fatal(err)
	}
	source, _ := filepath.Glob("../*/*.go")
	found := 0
	for _, name := range source {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		raw, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, literal := range wireLiteral.FindAllString(string(raw), -1) {
			found++
			if !bytes.Contains(this, []byte(literal)) {
				t.Errorf("%s in %s stands in no test of the form", literal, name)
			}
		}
	}
	if found < 30 {
		t.Errorf("only %d names on the wire were found in the sources", found)
	}
}

var wireLiteral = regexp.MustCompile(`"(/rope/|/-/|Swiftswitch-)[A-Za-z-]+"`)

// The files beside a store that tell that one was set aside keep their names.
func TestStoreMarks(t *testing.T) {
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

// Every field that is stored or sent names its key, so that the name of a Go
// field never makes it. Embedded structs have none: their keys stand in the
// outer object.
func TestFormTags(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var look func(reflect.Type)
	look = func(at reflect.Type) {
		if seen[at] {
			return
		}
		seen[at] = true
		switch at.Kind() {
		case reflect.Map:
			look(at.Key())
			look(at.Elem())
		case reflect.Pointer, reflect.Slice, reflect.Array:
			look(at.Elem())
		case reflect.Struct:
			for i := range at.NumField() {
				f := at.Field(i)
				key, _, _ := strings.Cut(f.Tag.Get("json"), ",")
				switch {
				case f.Anonymous && f.Tag != "":
					t.Errorf("%v embeds %s under a key", at, f.Name)
				case !f.Anonymous && key == "":
					t.Errorf("%v.%s names no key", at, f.Name)
				}
				look(f.Type)
			}
		}
	}
	for _, kind := range goldenKinds {
		look(reflect.TypeOf(kind))
	}
}
