package control_test

import (
	"fmt"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/endpoints"
)

// watchAsFront locates the control nodes and watches node 1 as a new front that
// holds nothing, and returns the endpoint table that it gets; nil after a failure.
func watchAsFront(t *testing.T, w *testcluster.Cluster, i int) *endpoints.Table {
	t.Helper()
	node := w.Nodes["1"]
	to := node.Settings().InternalAddress(w.IP(1))
	request := nodeapi.WatchRequest{Name: fmt.Sprint("many-", i), IP: "127.0.0.9", Slot: -1, KnownPurge: -1, Zone: []string{"z1", "z2"}[i%2], Primary: true, MaxHoldMs: 100, Locate: true}
	var response nodeapi.WatchResponse
	if err := node.Client.CallJSON(to, nodeapi.PathWatch, request, &response, 3*time.Second); err != nil || len(response.ControlNodes) != 3 || response.Delta != nil {
		t.Errorf("locate: %v, %d control nodes", err, len(response.ControlNodes))
		return nil
	}
	request.Locate = false
	if err := node.Client.CallJSON(to, nodeapi.PathWatch, request, &response, 3*time.Second); err != nil {
		t.Errorf("watch: %v", err)
		return nil
	}
	d, err := nodeapi.UnpackTableDelta(response.Delta, 1<<20)
	if err != nil {
		t.Errorf("what came can't be read: %v", err)
		return nil
	}
	table, err := (*endpoints.Table)(nil).ApplyDelta(d)
	if err != nil {
		t.Errorf("the first table: %v", err)
	}
	return table
}

// Hundreds of fronts watch one control node at the same moment, twice: each gets
// the whole table, which is packed once for all, and is counted with its zone.
func TestManyFrontsJoin(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	const fronts = 240
	server := w.Nodes["1"].Control()
	to := w.Nodes["1"].Settings().InternalAddress(w.IP(1))
	var tables []*endpoints.Table
	for round := 0; round < 2; round++ {
		var wg sync.WaitGroup
		tables = make([]*endpoints.Table, fronts)
		for i := range tables {
			wg.Add(1)
			go func() {
				defer wg.Done()
				tables[i] = watchAsFront(t, w, i)
			}()
		}
		wg.Wait()
		for i, table := range tables {
			if table == nil || len(table.Endpoints) != len(s) {
				t.Fatalf("front %d has %v", i, table)
			}
		}
	}
	// An endpoint that several of them report is announced to another at once.
	need := control.RequiredReporters(fronts/2 + 1)
	for i := range need {
		if err := w.Nodes["1"].Client.CallJSON(to, nodeapi.PathUnreachable, nodeapi.UnreachableReport{Name: fmt.Sprint("many-", 2*i), UnreachableOrdinals: []int64{tables[0].Endpoints[0].Ordinal}}, nil, time.Second); err != nil {
			t.Fatal(err)
		}
	}
	var response nodeapi.WatchResponse
	request := nodeapi.WatchRequest{Name: "many-1", Zone: "z2", Primary: true, MaxHoldMs: 900, Slot: 1 << 40, Stamp: tables[0].Stamp}
	if err := w.Nodes["1"].Client.CallJSON(to, nodeapi.PathWatch, request, &response, 2*time.Second); err != nil || len(response.UnreachableOrdinals) != 1 || response.UnreachableOrdinals[0] != tables[0].Endpoints[0].Ordinal {
		t.Errorf("announced as unreachable: %v, %v", response.UnreachableOrdinals, err)
	}
	// A count serves all calls within a tenth of a heartbeat; then it must be exact.
	time.Sleep(server.Host().Heartbeats(0.1))
	server.Loop().Call(func() {
		if n := server.TableDeltas(); n != 1 {
			t.Errorf("the table was packed in %d ways", n)
		}
		all := server.CountFronts(server.Host().Now())
		region, here := server.FrontsAround("z2")
		if all != fronts+2 || here != fronts/2+1 || region < here {
			t.Errorf("counted %d fronts, %d in the region, %d in the zone", all, region, here)
		}
	})
	if _, err := nodeapi.UnpackTableDelta([]byte("no gzip"), 1<<20); err == nil {
		t.Error("garbage was unpacked")
	}
	if _, err := nodeapi.UnpackTableDelta(codec.Gzip(make([]byte, 5000)), 4000); err == nil {
		t.Error("an oversize message was unpacked")
	}
}

// The holder of the poll lease fails just when an endpoint begins to drain: the
// next holder notices, in time.
func TestDrainWhileHolderGoes(t *testing.T) {
	w, s := testcluster.StartDefault(t)
	holder := ""
	w.Eventually("a node holds the lease", func() bool {
		for _, n := range []string{"1", "2", "3"} {
			if w.Nodes[n].Control().Status().HoldsLease {
				holder = n
			}
		}
		return holder != ""
	})
	w.Kill(holder)
	w.SetEndpointState("plain-a", "draining")
	listed := time.Now()
	bound := time.Duration(w.Settings(11, false, 1).Bounds.DrainMs) * time.Millisecond
	w.Eventually("the fronts send the endpoint no requests", func() bool {
		before := s["plain-a"].RunCount()
		for i := 0; i < 6; i++ {
			w.Request(11, "GET", "/p/x", "")
			w.Request(12, "GET", "/p/x", "")
		}
		return s["plain-a"].RunCount() == before
	})
	if took := time.Since(listed); took > bound {
		t.Errorf("it took %v, the bound is %v", took, bound)
	}
}
