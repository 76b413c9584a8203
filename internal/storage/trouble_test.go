package storage

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"path"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"swiftswitch/internal/events"
)

// A disk that refuses writes at any moment of any kind of write ends no
// process, loses nothing that was answered, and the store comes back.
func TestFullDiskAtAnyChange(t *testing.T) {
	events.SetOutput(io.Discard)
	big := strings.Repeat("x", 90_000)
	for _, c := range []struct{ op, part string }{
		{"create", ".log"}, {"reuse", ".log"}, {"write", ".log"}, {"sync", ".log"}, {"create", ".sst"}, {"write", ".sst"}, {"sync", ".sst"},
		{"write", "MANIFEST-"}, {"sync", "MANIFEST-"}, {"create", "marker."}, {"remove", ""}, {"sync", storeName}, {"", ""},
	} {
		name := c.op + " " + c.part
		s := newDisk(t)
		cel := openShaky(t, s)
		want := map[string]string{}
		try := func(i int) error {
			k, v := fmt.Sprint("k", i%5), fmt.Sprint(i, " ", big)
			err := put(t, cel, k, v)
			if err == nil {
				want[k] = v
			} else {
				delete(want, k)
			}
			return err
		}
		for i := range 7 {
			if err := try(i); err != nil {
				t.Fatal(name, err)
			}
		}
		deny := func(op, file string) bool {
			return (c.op == "" || op == c.op) && strings.Contains(path.Base(file), c.part)
		}
		s.deny.Store(&deny)
		failed := 0
		for i := range 30 {
			if try(i+7) != nil {
				failed++
			}
		}
		held := maps.Clone(want)
		s.deny.Store(nil)
		ok := false
		for end := time.Now().Add(10 * time.Second); !ok && time.Now().Before(end); {
			ok = put(t, cel, "after", "1") == nil
		}
		if !ok {
			t.Fatal(name, ": the store does not come back")
		}
		cel.Close(5 * time.Second)
		s.mu.Lock()
		after := s.lose(1, 0)
		s.mu.Unlock()
		cel = openShaky(t, after)
		if cel.Quarantined() {
			t.Errorf("%s: the store was set aside", name)
		}
		for k, v := range held {
			if got, _ := cel.Get(k); string(got) != v {
				t.Errorf("%s: %s is %.20q, answered was %.20q", name, k, got, v)
			}
		}
		cel.Close(time.Second)
		t.Logf("%s: %d of 30 writes refused", name, failed)
	}
}

// A table that can't be written shows in no commit: the store is opened anew by itself all the same.
func TestBackgroundTroubleReopensTheStore(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	defer c.Close(time.Second)
	deny := func(op, file string) bool { return strings.HasSuffix(file, ".sst") }
	s.deny.Store(&deny)
	for i := range 40 {
		if err := put(t, c, "a", strings.Repeat(fmt.Sprint(i%10), 90_000)); errors.Is(err, errNoWord) {
			t.Fatal("a write waits for a table that can't be written")
		}
	}
	s.deny.Store(nil)
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		c.mu.Lock()
		well := !c.broken && !c.disk.cut() && len(c.pending) == 0
		c.mu.Unlock()
		if well {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the store stays broken")
		}
	}
	if err := put(t, c, "b", "1"); err != nil {
		t.Fatal(err)
	}
}

// A newer record is not overwritten by the older one of a batch that failed,
// and what failed is written again.
func TestFailedRecordsAreWrittenAgainInOrder(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	if err := put(t, c, "gone", "1"); err != nil {
		t.Fatal(err)
	}
	s.full.Store(true)
	for name, v := range map[string]string{"a": "old", "b": "refused"} {
		if put(t, c, name, v) == nil {
			t.Fatal("a full disk took a write")
		}
	}
	wait := make(chan error, 1)
	c.Delete("gone", func(err error) { wait <- err })
	if <-wait == nil {
		t.Fatal("a full disk took a removal")
	}
	c.Put("a", []byte("new"), nil)
	s.full.Store(false)
	for end := time.Now().Add(5 * time.Second); put(t, c, "c", "1") != nil; {
		if time.Now().After(end) {
			t.Fatal("the store does not come back")
		}
	}
	c.Close(time.Second)
	s.mu.Lock()
	after := s.lose(1, 0)
	s.mu.Unlock()
	c = openShaky(t, after)
	defer c.Close(time.Second)
	got := map[string]string{}
	for k, v := range c.Scan("") {
		got[k] = string(v)
	}
	if want := map[string]string{"a": "new", "b": "refused", "c": "1"}; !maps.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// Each callback is called once: of an empty write, of one that waits when the store is closed, of one after it.
func TestEveryCallbackIsCalledOnce(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	var mu sync.Mutex
	calls := make([]int, 200)
	var all sync.WaitGroup
	for i := range calls {
		all.Add(1)
		go func() {
			records := map[string][]byte{}
			if i%4 > 0 {
				records[fmt.Sprint(i)] = []byte("1")
			}
			time.Sleep(time.Duration(i) * 50 * time.Microsecond)
			c.PutAll(records, func(error) {
				mu.Lock()
				calls[i]++
				mu.Unlock()
				all.Done()
			})
		}()
	}
	time.Sleep(4 * time.Millisecond)
	c.Close(5 * time.Second)
	done := make(chan struct{})
	go func() { all.Wait(); close(done) }()
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
	// The caller may hold what the callback needs.
	late := make(chan error, 1)
	var held sync.Mutex
	go func() {
		held.Lock()
		defer held.Unlock()
		c.Put("late", []byte("1"), func(err error) { held.Lock(); defer held.Unlock(); late <- err })
	}()
	select {
	case err := <-late:
		if !errors.Is(err, ErrClosed) {
			t.Error("a write after Close: ", err)
		}
	case <-time.After(time.Second):
		t.Error("a write after Close is not answered")
	}
}

// A slow disk holds whoever waits for it, and loses nothing.
func TestSlowDiskAnswersLate(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	s.slow.Store(int64(100 * time.Millisecond))
	start := time.Now()
	if err := put(t, c, "a", "1"); err != nil || time.Since(start) < 100*time.Millisecond {
		t.Errorf("answered after %v, %v", time.Since(start), err)
	}
	s.slow.Store(0)
	c.Close(time.Second)
	c = openShaky(t, s)
	defer c.Close(time.Second)
	if v, _ := c.Get("a"); string(v) != "1" {
		t.Error("the record is lost")
	}
}

// Records can be removed, with others in one batch, and be listed by prefix; an empty one is none removed.
func TestDeleteAndScan(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	for _, n := range []string{"list/1", "list/2", "list/3", "other"} {
		if err := put(t, c, n, n); err != nil {
			t.Fatal(err)
		}
	}
	wait := make(chan error, 2)
	c.PutAll(map[string][]byte{"list/2": nil, "list/4": []byte("4")}, func(err error) { wait <- err })
	if err := <-wait; err != nil {
		t.Fatal(err)
	}
	c.Put("list/empty", nil, nil)
	c.Delete("list/3", func(err error) { wait <- err })
	if err := <-wait; err != nil {
		t.Fatal(err)
	}
	for life := range 3 {
		if got, want := slices.Sorted(maps.Keys(c.Scan("list/"))), []string{"list/1", "list/4", "list/empty"}; !slices.Equal(got, want) {
			t.Errorf("life %d: %v, want %v", life, got, want)
		}
		if v, _ := c.Get("list/2"); v != nil {
			t.Errorf("life %d: a removed record is %q", life, v)
		}
		if life == 1 {
			quiet{c}.Fatalf("the disk refuses writes")
			for end := time.Now().Add(5 * time.Second); put(t, c, "other", "2") != nil && time.Now().Before(end); {
			}
		}
		c.Close(time.Second)
		c = openShaky(t, s)
	}
	c.Close(time.Second)
}

// The store stays small beside the disk, however often its records are written anew.
func TestStoreStaysSmall(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	most := int64(0)
	for i := range 1000 {
		v := make([]byte, 100_000)
		for j := range v {
			v[j] = byte((i + 1) * (j*j*j + j>>3) >> 5)
		}
		if err := put(t, c, fmt.Sprint("r", i%6), string(v)); err != nil {
			t.Fatal(err)
		}
		if i%10 == 0 {
			most = max(most, size(t, s.mem, place))
		}
		if i%250 == 249 {
			c.Close(5 * time.Second)
			c = openShaky(t, s)
		}
	}
	c.Close(5 * time.Second)
	t.Logf("at most %.1f MB, %.1f MB at the end", float64(most)/1e6, float64(size(t, s.mem, place))/1e6)
	if most > 8e6 {
		t.Errorf("the store took up to %.1f MB", float64(most)/1e6)
	}
}

// Nor does it grow by openings that a full disk ends half way.
func TestFailedOpeningsLeaveNothing(t *testing.T) {
	events.SetOutput(io.Discard)
	for _, op := range []string{"write", "sync", "remove"} {
		s := newDisk(t)
		c := openShaky(t, s)
		for i := range 8 {
			if err := put(t, c, "a", strings.Repeat(fmt.Sprint(i), 90_000)); err != nil {
				t.Fatal(err)
			}
		}
		var tries atomic.Int64
		deny := func(o, file string) bool {
			if o == op {
				tries.Add(1)
			}
			return o == op
		}
		s.deny.Store(&deny)
		quiet{c}.Fatalf("the disk refuses writes")
		time.Sleep(400 * time.Millisecond)
		names, err := s.mem.List(path.Join(place, storeName))
		if err != nil {
			t.Fatal(err)
		}
		if len(names) > 24 || size(t, s.mem, place) > 8e6 {
			t.Errorf("%s: %d files, %.1f MB: %v", op, len(names), float64(size(t, s.mem, place))/1e6, names)
		}
		t.Logf("%s refused about %d times: %d files", op, tries.Load(), len(names))
		s.deny.Store(nil)
		c.Close(5 * time.Second)
	}
}

// A store that becomes unreadable while it is open is set aside, and all of it is written anew from memory.
func TestStoreDamagedWhileOpenIsWrittenAnew(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	c := openShaky(t, s)
	for i := range 9 {
		if err := put(t, c, fmt.Sprint("r", i), strings.Repeat("x", 90_000)); err != nil {
			t.Fatal(err)
		}
	}
	c.Close(time.Second)
	c = openShaky(t, s)
	garble(t, s.mem, ".sst")
	quiet{c}.Fatalf("the disk refuses writes")
	for end := time.Now().Add(5 * time.Second); put(t, c, "after", "1") != nil; {
		if time.Now().After(end) {
			t.Fatal("the store does not come back")
		}
	}
	c.Close(time.Second)
	s.mu.Lock()
	after := s.lose(1, 0)
	s.mu.Unlock()
	c = openShaky(t, after)
	defer c.Close(time.Second)
	if n := len(c.Scan("")); n != 10 || !c.Quarantined() {
		t.Errorf("%d records of 10, set aside %v", n, c.Quarantined())
	}
}

// size is what the files beneath a folder hold.
func size(t *testing.T, on vfs.FS, name string) int64 {
	t.Helper()
	info, err := on.Stat(name)
	if err != nil {
		return 0
	}
	if !info.IsDir() {
		return info.Size()
	}
	names, err := on.List(name)
	if err != nil {
		t.Fatal(err)
	}
	n := int64(0)
	for _, f := range names {
		n += size(t, on, path.Join(name, f))
	}
	return n
}
