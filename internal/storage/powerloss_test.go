package storage

import (
	"fmt"
	"math/rand/v2"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// putNumbered writes a number and a large record that begins with it, as one.
func putNumbered(s *Store, number int64, payload []byte) error {
	done := make(chan error, 1)
	s.PutAll(map[string][]byte{
		"no":  fmt.Append(nil, number),
		"big": append(fmt.Append(nil, number, " "), payload...),
	}, func(err error) { done <- err })
	return <-done
}

// readNumbered opens a store and returns the number that is in it, 0 if none.
func readNumbered(disk vfs.FS) (number int64, quarantined bool, err error) {
	s, err := openOn(disk, dataDir, time.Second, time.Millisecond)
	if err != nil {
		return 0, false, err
	}
	defer s.Close(time.Second)
	raw := s.Get("no")
	big := s.Get("big")
	if raw != nil {
		var inBig int64
		if _, err := fmt.Sscan(string(raw), &number); err != nil {
			return 0, false, err
		}
		if _, err := fmt.Sscan(string(big[:min(len(big), 8)]), &inBig); err != nil || inBig != number {
			return 0, false, fmt.Errorf("half of a batch: %d and %d, %v", number, inBig, err)
		}
	}
	return number, s.Quarantined(), nil
}

// What was reported as durable is there after a loss of power at any moment.
func TestPowerLossKeepsDurableRecords(t *testing.T) {
	disk := newEmptyDisk(t)
	var acknowledged atomic.Int64
	var changes, losses, faults int
	var phase string
	disk.afterChange = func(op string) {
		changes++
		if op == "write" && changes%8 != 0 {
			return
		}
		promised := acknowledged.Load()
		for seed := range 2 {
			percent := []int{0, 30, 50, 80, 100}[(2*changes+seed)%5]
			losses++
			got, quarantined, err := readNumbered(disk.powerLossLocked(uint64(changes*8+seed), percent))
			if (err != nil || quarantined || got < promised) && faults < 5 {
				faults++
				t.Errorf("%s, change %d, %d%% of unsynced data: record %d of %d, quarantined %v, %v", phase, changes, percent, got, promised, quarantined, err)
			}
		}
	}
	var number int64
	for start := range 3 {
		phase = fmt.Sprint("start ", start)
		s := openTestStore(t, disk)
		for range 9 {
			number++
			payload := make([]byte, 100_000)
			_, _ = rand.NewChaCha8([32]byte{byte(number)}).Read(payload)
			if err := putNumbered(s, number, payload); err != nil {
				t.Fatal(err)
			}
			acknowledged.Store(number)
		}
		s.Close(time.Second)
	}
	t.Log(changes, "changes,", losses, "losses of power")
}

// Whatever a loss of power during a quarantine leaves of the store, either its
// records can be read or Quarantined reports true.
func TestPowerLossDuringQuarantine(t *testing.T) {
	for _, quarantinedBefore := range []bool{false, true} {
		mem := vfs.NewCrashableMem()
		s := openTestStore(t, mem)
		mustPut(t, s, "identity", "me")
		s.Close(time.Second)
		if quarantinedBefore {
			if err := mem.MkdirAll(path.Join(dataDir, quarantineDirName), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := syncDir(mem, dataDir); err != nil {
				t.Fatal(err)
			}
		}
		corruptFiles(t, mem, "MANIFEST-")
		disk := newFaultDisk(mem)
		changes := 0
		disk.afterChange = func(string) {
			changes++
			for seed, percent := range []int{0, 20, 50, 80, 100, 50, 50, 50} {
				checkIdentityOrQuarantined(t, disk.powerLossLocked(uint64(changes*8+seed), percent), changes, percent)
			}
		}
		s = openTestStore(t, disk)
		if !s.Quarantined() {
			t.Error("the store was not quarantined")
		}
		mustPut(t, s, "identity", "another")
		s.Close(time.Second)
		s = openTestStore(t, disk)
		if id := s.Get("identity"); string(id) != "another" || !s.Quarantined() {
			t.Errorf("identity is %q, quarantined %v", id, s.Quarantined())
		}
		s.Close(time.Second)
	}
}

func checkIdentityOrQuarantined(t *testing.T, disk vfs.FS, change, percent int) {
	t.Helper()
	s, err := openOn(disk, dataDir, time.Second, time.Millisecond)
	if err != nil {
		t.Errorf("change %d, %d%% of unsynced data: %v", change, percent, err)
		return
	}
	defer s.Close(time.Second)
	if id := s.Get("identity"); id == nil && !s.Quarantined() {
		t.Errorf("change %d, %d%% of unsynced data: the store is empty and nothing tells that it held an identity", change, percent)
	}
}

// Whatever can't be read is found at the start and quarantined then: a damaged
// table as well as files that are missing.
func TestUnreadableFilesAreQuarantined(t *testing.T) {
	for _, tc := range []struct {
		name  string
		files string
		harm  func(t *testing.T, mem *vfs.MemFS, part string)
	}{
		{"damaged table", ".sst", corruptFiles},
		{"missing table", ".sst", removeFiles},
		{"missing manifest", "MANIFEST-", removeFiles},
		{"missing manifest marker", "marker.manifest.", removeFiles},
		{"missing format marker", "marker.format-version.", removeFiles},
	} {
		t.Run(tc.name, func(t *testing.T) {
			mem := vfs.NewCrashableMem()
			s := openTestStore(t, mem)
			for i := range 12 {
				mustPut(t, s, fmt.Sprint("a", i), strings.Repeat("x", 100_000))
			}
			s.Close(time.Second)
			s = openTestStore(t, mem)
			s.Close(time.Second)
			tc.harm(t, mem, tc.files)
			s, err := openOn(mem, dataDir, time.Second, time.Millisecond)
			if err != nil {
				t.Fatal(err)
			}
			defer s.Close(time.Second)
			if !s.Quarantined() || len(s.Scan("")) != 0 {
				t.Errorf("quarantined %v, %d records", s.Quarantined(), len(s.Scan("")))
			}
			if err := put(t, s, "a", "b"); err != nil {
				t.Error(err)
			}
		})
	}
}

// A directory that an earlier process made and did not sync is durable from the
// next start on.
func TestUnsyncedDirectoryIsSyncedAtStart(t *testing.T) {
	for _, existing := range []string{"", dataDir, path.Join(dataDir, storeDirName)} {
		mem := vfs.NewCrashableMem()
		if existing != "" {
			if err := mem.MkdirAll(existing, 0o755); err != nil {
				t.Fatal(err)
			}
			_ = syncDir(mem, "/")
		}
		s := openTestStore(t, mem)
		mustPut(t, s, "a", "1")
		s.Close(time.Second)
		s = openTestStore(t, mem.CrashClone(vfs.CrashCloneCfg{}))
		if value := s.Get("a"); string(value) != "1" {
			t.Errorf("%q made before: the record is lost", existing)
		}
		s.Close(time.Second)
	}
}

// A disk that refuses changes now and then, and loses its power in between,
// has all that was reported as durable.
func TestPowerLossOnARefusingDisk(t *testing.T) {
	for seed := range uint64(4) {
		disk := newEmptyDisk(t)
		lossRand, denyRand := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		var denyMu sync.Mutex
		var acknowledged atomic.Int64
		losses, refused := 0, 0
		disk.afterChange = func(string) {
			if lossRand.IntN(8) > 0 || losses >= 60 {
				return
			}
			promised := acknowledged.Load()
			losses++
			percent := 25 * lossRand.IntN(5)
			got, quarantined, err := readNumbered(disk.powerLossLocked(lossRand.Uint64(), percent))
			if err != nil || quarantined || got < promised {
				t.Errorf("seed %d, %d%% of unsynced data: record %d of %d, quarantined %v, %v", seed, percent, got, promised, quarantined, err)
			}
		}
		s := openTestStore(t, disk)
		disk.denyWhere(func(string, string) bool {
			denyMu.Lock()
			defer denyMu.Unlock()
			return denyRand.IntN(30) == 0
		})
		for number := int64(1); number <= 40; number++ {
			if err := putNumbered(s, number, make([]byte, 60_000)); err == nil {
				acknowledged.Store(number)
			} else {
				refused++
			}
		}
		disk.denyNothing()
		s.Close(5 * time.Second)
		if refused == 0 || acknowledged.Load() == 0 {
			t.Errorf("seed %d: %d of 40 refused, the last durable one is %d", seed, refused, acknowledged.Load())
		}
		t.Logf("seed %d: %d of 40 refused, %d losses of power", seed, refused, losses)
	}
}
