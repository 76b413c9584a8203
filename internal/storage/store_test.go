package storage

import (
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
)

var errNoCallback = errors.New("the callback was not called")

// openTestStore opens a store that is opened anew within milliseconds.
func openTestStore(t *testing.T, disk vfs.FS) *Store {
	t.Helper()
	s, err := openOn(disk, dataDir, time.Second, 2*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// openDir opens a store on the real file system.
func openDir(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, time.Second, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// put writes a record and returns what its callback is given.
func put(t *testing.T, s *Store, name, value string) error {
	t.Helper()
	done := make(chan error, 1)
	s.Put(name, []byte(value), func(err error) { done <- err })
	select {
	case err := <-done:
		return err
	case <-time.After(5 * time.Second):
		return errNoCallback
	}
}

func mustPut(t *testing.T, s *Store, name, value string) {
	t.Helper()
	if err := put(t, s, name, value); err != nil {
		t.Fatal(err)
	}
}

// putUntilAccepted writes a record until a write of it succeeds.
func putUntilAccepted(t *testing.T, s *Store, name, value string, timeout time.Duration) {
	t.Helper()
	for deadline := time.Now().Add(timeout); ; {
		err := put(t, s, name, value)
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the store does not come back: ", err)
		}
	}
}

func recordsOf(s *Store) map[string]string {
	records := map[string]string{}
	for name, value := range s.Scan("") {
		records[name] = string(value)
	}
	return records
}

// failEngine makes the store fail as pebble does when it can't go on.
func failEngine(s *Store) { engineLogger{s}.Fatalf("the disk refuses writes") }

// A store that pebble gave up on refuses writes, is opened anew by itself, and
// has lost no record.
func TestFailedStoreIsReopened(t *testing.T) {
	dir := t.TempDir()
	s, err := Open(dir, time.Second, 20*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	mustPut(t, s, "a", "1")
	failEngine(s)
	if err := put(t, s, "b", "2"); err == nil {
		t.Fatal("a write to a failed store succeeded")
	}
	putUntilAccepted(t, s, "c", "3", 5*time.Second)
	s.Close(time.Second)
	s = openDir(t, dir)
	defer s.Close(time.Second)
	for name, want := range map[string]string{"a": "1", "b": "2", "c": "3", "d": ""} {
		if got := s.Get(name); string(got) != want {
			t.Errorf("%s is %q", name, got)
		}
	}
}

// An unreadable store is kept under another name, and an empty one opened.
func TestDamagedStoreIsQuarantined(t *testing.T) {
	dir := t.TempDir()
	s := openDir(t, dir)
	mustPut(t, s, "a", "1")
	s.Close(time.Second)
	files, _ := filepath.Glob(filepath.Join(dir, "cellar", "MANIFEST-*"))
	if len(files) == 0 {
		t.Fatal("no file to damage")
	}
	for _, file := range files {
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		corruptHead(raw)
		if err := os.WriteFile(file, raw, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	s = openDir(t, dir)
	defer s.Close(time.Second)
	if value := s.Get("a"); value != nil {
		t.Fatalf("read %q", value)
	}
	if _, err := os.Stat(filepath.Join(dir, "cellar-unreadable")); err != nil {
		t.Fatal("the damaged store is gone")
	}
}

// What a loss of power leaves after the end of the log doesn't hide the
// records that were durable before it.
func TestTornLogTail(t *testing.T) {
	for _, tail := range []string{"", "torn", string(make([]byte, 40_000))} {
		dir, crashed := t.TempDir(), t.TempDir()
		s := openDir(t, dir)
		for _, value := range []string{"1", "2", "3"} {
			mustPut(t, s, "a", value)
		}
		// The files as they are at this moment, before an orderly Close.
		if err := os.CopyFS(crashed, os.DirFS(dir)); err != nil {
			t.Fatal(err)
		}
		s.Close(time.Second)
		logs, _ := filepath.Glob(filepath.Join(crashed, "cellar", "*.log"))
		if len(logs) == 0 {
			t.Fatal("no log")
		}
		for _, log := range logs {
			appendToFile(t, log, tail)
		}
		s = openDir(t, crashed)
		if value := s.Get("a"); string(value) != "3" {
			t.Fatalf("read %q", value)
		}
		s.Close(time.Second)
	}
}

func appendToFile(t *testing.T, name, tail string) {
	t.Helper()
	f, err := os.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, writeErr := f.WriteString(tail)
	if err := errors.Join(writeErr, f.Close()); err != nil {
		t.Fatal(err)
	}
}

// Each callback is called once: that of an empty write, of one that is queued
// when the store is closed, of one that comes after it.
func TestEveryCallbackIsCalledOnce(t *testing.T) {
	s := openTestStore(t, newEmptyDisk(t))
	var mu sync.Mutex
	calls := make([]int, 200)
	var pending sync.WaitGroup
	for i := range calls {
		pending.Add(1)
		go func() {
			records := map[string][]byte{}
			if i%4 > 0 {
				records[fmt.Sprint(i)] = []byte("1")
			}
			time.Sleep(time.Duration(i) * 50 * time.Microsecond)
			s.PutAll(records, func(error) {
				mu.Lock()
				calls[i]++
				mu.Unlock()
				pending.Done()
			})
		}()
	}
	time.Sleep(4 * time.Millisecond)
	s.Close(5 * time.Second)
	done := make(chan struct{})
	go func() { pending.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
	}
	mu.Lock()
	defer mu.Unlock()
	for i, n := range calls {
		if n != 1 {
			t.Errorf("callback %d was called %d times", i, n)
		}
	}
}

// The callback of a write after Close doesn't run on the caller's goroutine,
// which may hold a lock that the callback needs.
func TestWriteAfterCloseFails(t *testing.T) {
	s := openTestStore(t, newEmptyDisk(t))
	s.Close(5 * time.Second)
	result := make(chan error, 1)
	var callerLock sync.Mutex
	go func() {
		callerLock.Lock()
		defer callerLock.Unlock()
		s.Put("late", []byte("1"), func(err error) {
			callerLock.Lock()
			defer callerLock.Unlock()
			result <- err
		})
	}()
	select {
	case err := <-result:
		if !errors.Is(err, ErrClosed) {
			t.Error("a write after Close: ", err)
		}
	case <-time.After(time.Second):
		t.Error("the callback of a write after Close was not called")
	}
}

// Records can be removed, with others in one batch, and listed by prefix; an
// empty record is not a removed one. The store is opened anew and restarted in
// between.
func TestDeleteAndScan(t *testing.T) {
	disk := newEmptyDisk(t)
	s := openTestStore(t, disk)
	for _, name := range []string{"list/1", "list/2", "list/3", "other"} {
		mustPut(t, s, name, name)
	}
	done := make(chan error, 2)
	s.PutAll(map[string][]byte{"list/2": nil, "list/4": []byte("4")}, func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	s.Put("list/empty", nil, nil)
	s.Delete("list/3", func(err error) { done <- err })
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	want := []string{"list/1", "list/4", "list/empty"}
	for start := range 3 {
		if got := slices.Sorted(maps.Keys(s.Scan("list/"))); !slices.Equal(got, want) {
			t.Errorf("start %d: %v, want %v", start, got, want)
		}
		if value := s.Get("list/2"); value != nil {
			t.Errorf("start %d: a removed record is %q", start, value)
		}
		if start == 1 {
			failEngine(s)
			putUntilAccepted(t, s, "other", "2", 5*time.Second)
		}
		s.Close(time.Second)
		s = openTestStore(t, disk)
	}
	s.Close(time.Second)
}
