package control_test

import (
	"bytes"
	"errors"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/control"
	"swiftswitch/internal/host"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/records"
	"swiftswitch/internal/storage"
	"swiftswitch/internal/testcluster"
)

// openControl opens the control server of node 1, without its loops.
func openControl(t *testing.T, w *testcluster.Cluster, firstStart bool) *control.Server {
	t.Helper()
	n, err := node.Open(w.Settings(1, firstStart, 1, 2, 3), "", host.DefaultOptions())
	if err != nil {
		t.Fatal(err)
	}
	return n.Control()
}

// readFiles reads all files below a directory, by their relative paths. With
// an error it returns those read so far.
func readFiles(dir string) (files map[string][]byte, err error) {
	files = map[string][]byte{}
	root := os.DirFS(dir)
	err = fs.WalkDir(root, ".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		content, err := fs.ReadFile(root, path)
		if err == nil {
			files[path] = content
		}
		return err
	})
	return files, err
}

// snapshotStore copies the data directory of a node whose loops don't run, as
// a kill in this moment would leave it.
//
// The store's engine removes files that it needs no more, in the background,
// so a file may vanish while the directory is read; then it is read again. A
// reading that equals the next one is the state at the moment between the two.
// Nothing may be written meanwhile: a write-ahead log that grows means that the
// server was opened before its records were on disk.
func snapshotStore(t *testing.T, dir string) (snapshot string) {
	t.Helper()
	logs := map[string][]byte{}
	var previous map[string][]byte
	for deadline := time.Now().Add(10 * time.Second); ; {
		files, err := readFiles(dir)
		if err != nil && !errors.Is(err, fs.ErrNotExist) {
			t.Fatal(err)
		}
		for path, content := range files {
			if filepath.Ext(path) != ".log" {
				continue
			}
			if before, seen := logs[path]; seen && !bytes.Equal(before, content) {
				t.Errorf("%s was written after the server was opened", path)
			}
			logs[path] = content
		}
		switch {
		case err != nil:
			files = nil
		case previous != nil && maps.EqualFunc(files, previous, bytes.Equal):
			return writeFiles(t, files)
		}
		if previous = files; time.Now().After(deadline) {
			t.Fatalf("%s does not come to rest", dir)
		}
	}
}

// writeFiles writes files to a new directory.
func writeFiles(t *testing.T, files map[string][]byte) (dir string) {
	t.Helper()
	dir = t.TempDir()
	for path, content := range files {
		path = filepath.Join(dir, path)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	return dir
}

// Each start raises the incarnation by one, and the number is on disk before
// the server is open.
func TestIncarnationRisesWithEachStart(t *testing.T) {
	w := testcluster.New(t)
	for incarnation := int64(1); incarnation <= 3; incarnation++ {
		h := openControl(t, w, incarnation == 1)
		afterKill := snapshotStore(t, w.DataDir(1))
		if h.Incarnation() != incarnation || h.Acceptor().ID != consensus.GenesisID(w.IP(1)) || len(h.Acceptor().State.Voters) != 3 {
			t.Errorf("start %d: incarnation %d as %s with %d voters", incarnation, h.Incarnation(), h.Acceptor().ID, len(h.Acceptor().State.Voters))
		}
		// Totals of rollouts bear the incarnation, so that those of a later
		// one are never taken for those of an earlier one.
		var totals *nodeapi.RolloutTotals
		h.Loop().Call(func() {
			h.Acceptor().State.Rollouts = []consensus.Rollout{{OrderSlot: 1, Service: "plain", TargetVersion: "v2", Phase: consensus.PhaseCanary}}
			totals = h.RolloutTotals()
		})
		if totals == nil || totals.Incarnation != incarnation {
			t.Errorf("start %d: its totals are %+v", incarnation, totals)
		}
		h.Store().Close(time.Second)
		store, err := storage.Open(afterKill, time.Second, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if raw := store.Get(records.KeyIncarnation); string(raw) != strconv.FormatInt(incarnation, 10) {
			t.Errorf("start %d: %q is on disk", incarnation, raw)
		}
		store.Close(time.Second)
	}
}

// A node whose store was quarantined never takes its earlier identity again,
// not even at the first start of the cluster; one that was killed before it had
// an identity does.
func TestQuarantinedStoreEndsTheGenesisIdentity(t *testing.T) {
	w := testcluster.New(t)
	genesis := consensus.GenesisID(w.IP(1))
	dir := w.Settings(1, true, 1, 2, 3).DataDirectory
	store, err := storage.Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	store.Close(time.Second)
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
	// The process ends after the store was quarantined and before it has an identity.
	if store, err = storage.Open(dir, time.Second, time.Second); err != nil {
		t.Fatal(err)
	}
	store.Close(time.Second)
	h = openControl(t, w, true)
	id := h.Acceptor().ID
	if !strings.HasPrefix(id, "later-") || len(h.Acceptor().State.Voters) != 0 {
		t.Errorf("after the store was quarantined: %s with %d voters", id, len(h.Acceptor().State.Voters))
	}
	h.Store().Close(time.Second)
	h = openControl(t, w, true)
	if h.Acceptor().ID != id || h.Incarnation() != 2 {
		t.Errorf("at the next start: %s in incarnation %d, was %s", h.Acceptor().ID, h.Incarnation(), id)
	}
	h.Store().Close(time.Second)
}

// The first write is retried until its deadline, with the same records, and
// fails then.
func TestFirstWriteIsRetried(t *testing.T) {
	errDiskFull := errors.New("disk is full")
	initial := map[string][]byte{records.KeyIncarnation: []byte("1")}
	attempts := 0
	put := func(written map[string][]byte, callback func(error)) {
		if attempts++; !maps.EqualFunc(written, initial, bytes.Equal) {
			t.Errorf("attempt %d writes %v", attempts, written)
		}
		if attempts < 4 {
			callback(errDiskFull)
		} else {
			callback(nil)
		}
	}
	if err := control.WriteInitialRecords(put, initial, time.Now().Add(time.Minute), time.Millisecond); err != nil || attempts != 4 {
		t.Errorf("after %d attempts: %v", attempts, err)
	}
	attempts = -1000
	start := time.Now()
	err := control.WriteInitialRecords(put, initial, start.Add(30*time.Millisecond), 5*time.Millisecond)
	if !errors.Is(err, errDiskFull) || time.Since(start) < 30*time.Millisecond {
		t.Errorf("after %v: %v", time.Since(start), err)
	}
}
