package storage

import (
	"errors"
	"fmt"
	"maps"
	"path"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// A disk that refuses changes of any one kind ends no process, loses nothing
// that was reported as durable, and the store is opened anew afterwards.
func TestRefusedChangesLoseNothingDurable(t *testing.T) {
	for _, tc := range []struct{ op, file string }{
		{"create", ".log"},
		{"reuse", ".log"},
		{"write", ".log"},
		{"sync", ".log"},
		{"create", ".sst"},
		{"write", ".sst"},
		{"sync", ".sst"},
		{"write", "MANIFEST-"},
		{"sync", "MANIFEST-"},
		{"create", "marker."},
		{"remove", ""},
		{"sync", storeDirName},
		{"", ""},
	} {
		t.Run(tc.op+" "+tc.file, func(t *testing.T) {
			testRefusedChanges(t, func(op, file string) bool {
				return (tc.op == "" || op == tc.op) && strings.Contains(path.Base(file), tc.file)
			})
		})
	}
}

func testRefusedChanges(t *testing.T, deny func(op, file string) bool) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	large := strings.Repeat("x", 90_000)
	// durable are the records whose last write was reported as durable.
	durable := map[string]string{}
	write := func(i int) error {
		name, value := fmt.Sprint("k", i%5), fmt.Sprint(i, " ", large)
		err := put(t, s, name, value)
		if err == nil {
			durable[name] = value
		} else {
			delete(durable, name)
		}
		return err
	}
	for i := range 7 {
		if err := write(i); err != nil {
			t.Fatal(err)
		}
	}
	disk.denyWhere(deny)
	refused := 0
	for i := range 30 {
		if write(i+7) != nil {
			refused++
		}
	}
	disk.denyNothing()
	putUntilAccepted(t, s, "after", "1", 10*time.Second)
	s.Close(5 * time.Second)
	s = openTestStore(t, disk.powerLoss(1, 0))
	defer s.Close(time.Second)
	if s.Quarantined() {
		t.Error("the store was quarantined")
	}
	for name, value := range durable {
		if got := s.Get(name); string(got) != value {
			t.Errorf("%s is %.20q, durable was %.20q", name, got, value)
		}
	}
	t.Logf("%d of 30 writes refused", refused)
}

// A table that can't be written shows in no commit: the store is opened anew by
// itself all the same.
func TestBackgroundFailureReopensTheStore(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	defer s.Close(time.Second)
	disk.denyWhere(func(_, file string) bool { return strings.HasSuffix(file, ".sst") })
	for i := range 40 {
		if err := put(t, s, "a", strings.Repeat(fmt.Sprint(i%10), 90_000)); errors.Is(err, errNoCallback) {
			t.Fatal("a write waits for a table that can't be written")
		}
	}
	disk.denyNothing()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		s.mu.Lock()
		healthy := !s.failed && !s.disk.fenced() && len(s.pending) == 0
		s.mu.Unlock()
		if healthy {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the store is not opened anew")
		}
	}
	mustPut(t, s, "b", "1")
}

// Records of a failed batch are written again, but not over newer ones.
func TestFailedRecordsAreWrittenAgainInOrder(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	mustPut(t, s, "gone", "1")
	disk.full.Store(true)
	for name, value := range map[string]string{"a": "old", "b": "refused"} {
		if put(t, s, name, value) == nil {
			t.Fatal("a full disk took a write")
		}
	}
	done := make(chan error, 1)
	s.Delete("gone", func(err error) { done <- err })
	if <-done == nil {
		t.Fatal("a full disk took a removal")
	}
	s.Put("a", []byte("new"), nil)
	disk.full.Store(false)
	putUntilAccepted(t, s, "c", "1", 5*time.Second)
	s.Close(time.Second)
	s = openTestStore(t, disk.powerLoss(1, 0))
	defer s.Close(time.Second)
	got := recordsOf(s)
	if want := map[string]string{"a": "new", "b": "refused", "c": "1"}; !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// The result of a refused write tells that the store is cut off from its disk.
func TestRefusedWriteIsUnavailable(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	defer s.Close(time.Second)
	disk.full.Store(true)
	if err := put(t, s, "a", "1"); !errors.Is(err, ErrUnavailable) {
		t.Errorf("a write on a full disk: %v", err)
	}
	if _, err := openOn(disk, dataDir, time.Second, time.Millisecond); !errors.Is(err, ErrDiskRefused) {
		t.Errorf("opening on a full disk: %v", err)
	}
	disk.full.Store(false)
}

// A slow disk delays whoever waits for it, and loses nothing.
func TestSlowDiskDelaysCallbacks(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	disk.delay.Store(int64(100 * time.Millisecond))
	start := time.Now()
	if err := put(t, s, "a", "1"); err != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("reported after %v, %v", time.Since(start), err)
	}
	disk.delay.Store(0)
	s.Close(time.Second)
	s = openTestStore(t, disk)
	defer s.Close(time.Second)
	if value := s.Get("a"); string(value) != "1" {
		t.Error("the record is lost")
	}
}

// The store stays small, however often its records are overwritten.
func TestStoreStaysSmall(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	largest := int64(0)
	for i := range 1000 {
		value := make([]byte, 100_000)
		for j := range value {
			value[j] = byte((i + 1) * (j*j*j + j>>3) >> 5)
		}
		mustPut(t, s, fmt.Sprint("r", i%6), string(value))
		if i%10 == 0 {
			largest = max(largest, sizeOf(t, disk.mem, dataDir))
		}
		if i%250 == 249 {
			s.Close(5 * time.Second)
			s = openTestStore(t, disk)
		}
	}
	s.Close(5 * time.Second)
	t.Logf("at most %.1f MB, %.1f MB at the end", float64(largest)/1e6, float64(sizeOf(t, disk.mem, dataDir))/1e6)
	if largest > 8e6 {
		t.Errorf("the store took up to %.1f MB", float64(largest)/1e6)
	}
}

// Nor does it grow by openings that a full disk ends half way.
func TestFailedOpeningsLeaveNoFiles(t *testing.T) {
	for _, op := range []string{"write", "sync", "remove"} {
		disk := newEmptyDisk(t)
		s := openTestStore(t, disk)
		for i := range 8 {
			mustPut(t, s, "a", strings.Repeat(fmt.Sprint(i), 90_000))
		}
		var refused atomic.Int64
		disk.denyWhere(func(denied, _ string) bool {
			if denied == op {
				refused.Add(1)
			}
			return denied == op
		})
		failEngine(s)
		time.Sleep(400 * time.Millisecond)
		names, err := disk.mem.List(path.Join(dataDir, storeDirName))
		if err != nil {
			t.Fatal(err)
		}
		if size := sizeOf(t, disk.mem, dataDir); len(names) > 24 || size > 8e6 {
			t.Errorf("%s: %d files, %.1f MB: %v", op, len(names), float64(size)/1e6, names)
		}
		t.Logf("%s refused about %d times: %d files", op, refused.Load(), len(names))
		disk.denyNothing()
		s.Close(5 * time.Second)
	}
}

// A store that becomes unreadable while it is open is quarantined, and all of
// it is written anew from memory.
func TestStoreDamagedWhileOpenIsRewritten(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	for i := range 9 {
		mustPut(t, s, fmt.Sprint("r", i), strings.Repeat("x", 90_000))
	}
	s.Close(time.Second)
	s = openTestStore(t, disk)
	corruptFiles(t, disk.mem, ".sst")
	failEngine(s)
	putUntilAccepted(t, s, "after", "1", 5*time.Second)
	s.Close(time.Second)
	s = openTestStore(t, disk.powerLoss(1, 0))
	defer s.Close(time.Second)
	if n := len(s.Scan("")); n != 10 || !s.Quarantined() {
		t.Errorf("%d records of 10, quarantined %v", n, s.Quarantined())
	}
}
