package compat

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/upstream"
)

// wireNames are the names that go over the wire, name records, or are stored or
// sent as values, against their literal text.
var wireNames = []struct{ have, want string }{
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
	{nodeapi.PathQuota, "/rope/quota"},
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
	{upstream.HeaderTenantName, "Swiftswitch-Tenant-Name"},
	{upstream.HeaderAPIKey, "X-Api-Key"},
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
	{records.KeyRolloutClock, "terms"},
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
}

func TestWireNames(t *testing.T) {
	for _, c := range wireNames {

		if c.have != c.want {
			t.Errorf("%q was %q", c.have, c.want)
		}
	}
	if records.AppliedPageSize != 64 || records.AppliedPages != 65 || codec.DeltaDictionaryID != 1 || consensus.NoSlot != -1 {
		t.Errorf("%d pages of %d applied changes, dictionary %d, no slot %d", records.AppliedPages, records.AppliedPageSize, codec.DeltaDictionaryID, consensus.NoSlot)
	}
}

// Every path and header that the source spells out stands in this file.
func TestWireNamesAreComplete(t *testing.T) {
	this, err := os.ReadFile("names_test.go")
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
				t.Errorf("%s in %s does not stand in wireNames", literal, name)
			}
		}
	}
	if found < 30 {
		t.Errorf("only %d names on the wire were found in the sources", found)
	}
}

var wireLiteral = regexp.MustCompile(`"(/rope/|/-/|Swiftswitch-)[A-Za-z-]+"`)
