package control_test

import (
	"errors"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"swiftswitch/internal/control"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/testcluster"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/host"
	"swiftswitch/internal/storage"
)

// openControl opens the hut of node 1, without its loops.
func openControl(t *testing.T, w *testcluster.Cluster, first bool) *control.Server {
	t.Helper()
	n, err := node.Open(w.Settings(1, first, 1, 2, 3), "", host.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	return n.Control()
}

// Each start counts one life more, and the count is on disk before the hut is there.
func TestLifeRisesWithEachStart(t *testing.T) {
	w := testcluster.New(t)
	for life := int64(1); life <= 3; life++ {
		h := openControl(t, w, life == 1)
		if h.Incarnation() != life || h.Acceptor().ID != consensus.GenesisID(w.IP(1)) || len(h.Acceptor().State.Voters) != 3 {
			t.Errorf("start %d: life %d as %s with %d voters", life, h.Incarnation(), h.Acceptor().ID, len(h.Acceptor().State.Voters))
		}
		// What it was told of versions under way stands under that life, so
		// that a later one's word is never taken for an earlier one's.
		var send *nodeapi.RolloutTotals
		h.Loop().Call(func() {
			h.Acceptor().State.Rollouts = []consensus.Rollout{{OrderSlot: 1, Service: "plain", TargetVersion: "v2", Phase: consensus.PhaseCanary}}
			send = h.RolloutTotals()
		})
		if send == nil || send.Incarnation != life {
			t.Errorf("start %d: its ledger is %+v", life, send)
		}
		// The files as a kill would leave them.
		after := t.TempDir()
		if err := os.CopyFS(after, os.DirFS(w.DataDir(1))); err != nil {
			t.Fatal(err)
		}
		h.Store().Close(time.Second)
		c, err := storage.Open(after, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if raw := c.Get(records.KeyIncarnation); string(raw) != strconv.FormatInt(life, 10) {
			t.Errorf("start %d: %q is on disk", life, raw)
		}
		c.Close(time.Second)
	}
}

// A node whose store was set aside is never again who it was, also at the
// first start of all; one that was killed before it had an identity is.
func TestSetAsideStoreEndsTheGenesisIdentity(t *testing.T) {
	w := testcluster.New(t)
	genesis := consensus.GenesisID(w.IP(1))
	dir := w.Settings(1, true, 1, 2, 3).DataDirectory
	c, err := storage.Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	c.Close(time.Second)
	h := openControl(t, w, true)
	if h.Acceptor().ID != genesis {
		t.Errorf("with an empty store at the first start: %s", h.Acceptor().ID)
	}
	h.Store().Close(time.Second)
	files, _ := filepath.Glob(filepath.Join(dir, "cellar", "MANIFEST-*"))
	if len(files) == 0 {
		t.Fatal("no file to damage")
	}
	for _, f := range files {
		if err := os.WriteFile(f, []byte("no manifest, but long enough to be taken for one"), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	// The process ends after the store was set aside and before it has an identity.
	if c, err = storage.Open(dir, time.Second, time.Second); err != nil {
		t.Fatal(err)
	}
	c.Close(time.Second)
	h = openControl(t, w, true)
	id := h.Acceptor().ID
	if !strings.HasPrefix(id, "later-") || len(h.Acceptor().State.Voters) != 0 {
		t.Errorf("after the store was set aside: %s with %d voters", id, len(h.Acceptor().State.Voters))
	}
	h.Store().Close(time.Second)
	h = openControl(t, w, true)
	if h.Acceptor().ID != id || h.Incarnation() != 2 {
		t.Errorf("at the next start: %s in life %d, was %s", h.Acceptor().ID, h.Incarnation(), id)
	}
	h.Store().Close(time.Second)
}

// The first write is tried again while there is time, with the same records, and fails then.
func TestFirstWriteIsTriedAgain(t *testing.T) {
	bad := errors.New("disk is full")
	records := map[string][]byte{records.KeyIncarnation: []byte("1")}
	tries := 0
	put := func(r map[string][]byte, then func(error)) {
		if tries++; !maps.EqualFunc(r, records, func(a, b []byte) bool { return string(a) == string(b) }) {
			t.Errorf("try %d writes %v", tries, r)
		}
		if tries < 4 {
			then(bad)
		} else {
			then(nil)
		}
	}
	if err := control.WriteInitialRecords(put, records, time.Now().Add(time.Minute), time.Millisecond); err != nil || tries != 4 {
		t.Errorf("after %d tries: %v", tries, err)
	}
	tries = -1000
	start := time.Now()
	if err := control.WriteInitialRecords(put, records, start.Add(30*time.Millisecond), 5*time.Millisecond); !errors.Is(err, bad) || time.Since(start) < 30*time.Millisecond {
		t.Errorf("after %v: %v", time.Since(start), err)
	}
}
