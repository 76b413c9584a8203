package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"os"
	"path"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2/vfs"
	"swiftswitch/internal/events"
)

// shaky is a disk in memory that can lose its power after any change. Each
// name that was made, renamed or removed without a sync of its folder is then
// kept or lost by itself; the crashable file system beneath keeps all removed
// ones, so those are played here.
type shaky struct {
	vfs.FS
	mem *vfs.MemFS

	mu sync.Mutex
	// gone are the names removed since the last sync of their folder.
	gone map[string]map[string]bool
	// after is called after each change, full and slow refuse and hold changes.
	after func(op string)
	full  atomic.Bool
	slow  atomic.Int64
	// deny refuses what it says.
	deny atomic.Pointer[func(op, name string) bool]
}

func newShaky(mem *vfs.MemFS) *shaky {
	return &shaky{FS: mem, mem: mem, gone: map[string]map[string]bool{}}
}

func (s *shaky) change(op, name string, f func() error) error {
	time.Sleep(time.Duration(s.slow.Load()))
	deny := s.deny.Load()
	if s.full.Load() || deny != nil && (*deny)(op, name) {
		return &fs.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := f()
	if s.after != nil && err == nil {
		s.after(op)
	}
	return err
}

func (s *shaky) removed(name string) {
	dir := path.Dir(name)
	if s.gone[dir] == nil {
		s.gone[dir] = map[string]bool{}
	}
	s.gone[dir][path.Base(name)] = true
}

// lose gives the disk as it may be after a loss of power; mu is held.
func (s *shaky) lose(seed uint64, percent int) *vfs.MemFS {
	rng := rand.New(rand.NewPCG(seed, uint64(percent)))
	out := s.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: percent, RNG: rng})
	for dir, names := range s.gone {
		for n := range names {
			if rng.IntN(2) == 0 {
				continue
			}
			name := path.Join(dir, n)
			if _, err := s.mem.Stat(name); err == nil {
				continue
			}
			_ = out.RemoveAll(name)
		}
		if f, err := out.OpenDir(dir); err == nil {
			_ = f.Sync()
			_ = f.Close()
		}
	}
	return out
}

type shakyFile struct {
	vfs.File
	s    *shaky
	name string
	dir  bool
}

func (f *shakyFile) Write(b []byte) (n int, err error) {
	err = f.s.change("write", f.name, func() (err error) { n, err = f.File.Write(b); return err })
	return n, err
}

func (f *shakyFile) Sync() error {
	return f.s.change("sync", f.name, func() error {
		if f.dir {
			delete(f.s.gone, f.name)
		}
		return f.File.Sync()
	})
}

func (f *shakyFile) SyncData() error { return f.Sync() }

func (s *shaky) Create(name string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = s.change("create", name, func() (err error) { f, err = s.FS.Create(name, c); return err })
	return &shakyFile{File: f, s: s, name: name}, err
}

func (s *shaky) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = s.change("reuse", to, func() (err error) {
		s.removed(from)
		f, err = s.FS.ReuseForWrite(from, to, c)
		return err
	})
	return &shakyFile{File: f, s: s, name: to}, err
}

func (s *shaky) OpenDir(name string) (vfs.File, error) {
	f, err := s.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &shakyFile{File: f, s: s, name: name, dir: true}, nil
}

func (s *shaky) Rename(from, to string) error {
	return s.change("rename", to, func() error { s.removed(from); return s.FS.Rename(from, to) })
}

func (s *shaky) Remove(name string) error {
	return s.change("remove", name, func() error { s.removed(name); return s.FS.Remove(name) })
}

func (s *shaky) RemoveAll(name string) error {
	return s.change("remove", name, func() error { s.removed(name); return s.FS.RemoveAll(name) })
}

func (s *shaky) MkdirAll(name string, p os.FileMode) error {
	return s.change("mkdir", name, func() error { return s.FS.MkdirAll(name, p) })
}

const place = "/disk/data"

func newDisk(t *testing.T) *shaky {
	t.Helper()
	mem := vfs.NewCrashableMem()
	return newShaky(mem)
}

func openShaky(t *testing.T, s vfs.FS) *Store {
	t.Helper()
	c, err := openOn(s, place, time.Second, 2*time.Millisecond)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// What was answered as written is there after a loss of power at any moment.
func TestPowerLossKeepsWhatWasAnswered(t *testing.T) {
	events.SetOutput(io.Discard)
	s := newDisk(t)
	var acked atomic.Int64
	var n, tried, bad int
	var at string
	s.after = func(op string) {
		n++
		if op == "write" && n%8 != 0 {
			return
		}
		promised := acked.Load()
		for seed := range 2 {
			percent := []int{0, 30, 50, 80, 100}[(2*n+seed)%5]
			tried++
			got, aside, err := readBack(s.lose(uint64(n*8+seed), percent))
			if (err != nil || aside || got < promised) && bad < 5 {
				bad++
				t.Errorf("%s, change %d, %d in 100 of what was unsynced: record %d of %d, set aside %v, %v", at, n, percent, got, promised, aside, err)
			}
		}
	}
	var no int64
	for life := range 3 {
		at = fmt.Sprint("life ", life)
		c := openShaky(t, s)
		for range 9 {
			no++
			big := make([]byte, 100_000)
			_, _ = rand.NewChaCha8([32]byte{byte(no)}).Read(big) // never fails
			done := make(chan error, 1)
			c.PutAll(map[string][]byte{"no": fmt.Append(nil, no), "big": append(fmt.Append(nil, no, " "), big...)}, func(err error) { done <- err })
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			acked.Store(no)
		}
		c.Close(time.Second)
	}
	t.Log(n, "changes,", tried, "losses of power")
}

func readBack(on vfs.FS) (no int64, aside bool, err error) {
	c, err := openOn(on, place, time.Second, time.Millisecond)
	if err != nil {
		return 0, false, err
	}
	defer c.Close(time.Second)
	raw, _ := c.Get("no")
	big, _ := c.Get("big")
	if raw != nil {
		var in int64
		if _, err := fmt.Sscan(string(raw), &no); err != nil {
			return 0, false, err
		}
		if _, err := fmt.Sscan(string(big[:min(len(big), 8)]), &in); err != nil || in != no {
			return 0, false, fmt.Errorf("half of a batch: %d and %d, %v", no, in, err)
		}
	}
	return no, c.Quarantined(), nil
}

// A store that was set aside is known of from then on, whatever a loss of
// power leaves of it: either the records can be read, or it is told.
func TestPowerLossWhileSettingAside(t *testing.T) {
	events.SetOutput(io.Discard)
	for old := range 2 {
		mem := vfs.NewCrashableMem()
		c := openShaky(t, mem)
		if err := put(t, c, "identity", "me"); err != nil {
			t.Fatal(err)
		}
		c.Close(time.Second)
		if old > 0 {
			if err := mem.MkdirAll(path.Join(place, asideName), 0o755); err != nil {
				t.Fatal(err)
			}
			if err := syncDir(mem, place); err != nil {
				t.Fatal(err)
			}
		}
		garble(t, mem, "MANIFEST-")
		s := newShaky(mem)
		n := 0
		s.after = func(string) {
			n++
			for seed, percent := range []int{0, 20, 50, 80, 100, 50, 50, 50} {
				after := s.lose(uint64(n*8+seed), percent)
				c, err := openOn(after, place, time.Second, time.Millisecond)
				if err != nil {
					t.Errorf("change %d, %d in 100: %v", n, percent, err)
					continue
				}
				if id, _ := c.Get("identity"); id == nil && !c.Quarantined() {
					t.Errorf("change %d, %d in 100: the store is empty and nothing tells that it held an identity", n, percent)
				}
				c.Close(time.Second)
			}
		}
		c = openShaky(t, s)
		if !c.Quarantined() {
			t.Error("the store was not set aside")
		}
		if err := put(t, c, "identity", "another"); err != nil {
			t.Fatal(err)
		}
		c.Close(time.Second)
		c = openShaky(t, s)
		if id, _ := c.Get("identity"); string(id) != "another" || !c.Quarantined() {
			t.Errorf("identity is %q, set aside %v", id, c.Quarantined())
		}
		c.Close(time.Second)
	}
}

// garble damages the files whose name begins or ends so.
func garble(t *testing.T, mem *vfs.MemFS, part string) {
	t.Helper()
	dir, n := path.Join(place, storeName), 0
	names, err := mem.List(dir)
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if !strings.HasPrefix(name, part) && !strings.HasSuffix(name, part) {
			continue
		}
		n++
		in, err := mem.Open(path.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(in)
		if err != nil {
			t.Fatal(err)
		}
		_ = in.Close()
		for i := range raw[:min(len(raw), 64)] {
			raw[i] ^= 0x5a
		}
		out, err := mem.Create(path.Join(dir, name), vfs.WriteCategoryUnspecified)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := out.Write(raw); err != nil {
			t.Fatal(err)
		}
		if err := errors.Join(out.Sync(), out.Close(), syncDir(mem, dir)); err != nil {
			t.Fatal(err)
		}
	}
	if n == 0 {
		t.Fatal("no file to damage: ", names)
	}
}

// Whatever can't be read is found at the start and set aside then: a damaged
// table as well as files that are gone.
func TestUnreadableFilesAreSetAside(t *testing.T) {
	events.SetOutput(io.Discard)
	for _, part := range []string{"damaged .sst", "gone .sst", "gone MANIFEST-", "gone marker.manifest.", "gone marker.format-version."} {
		how, which, _ := strings.Cut(part, " ")
		mem := vfs.NewCrashableMem()
		c := openShaky(t, mem)
		for i := range 12 {
			if err := put(t, c, fmt.Sprint("a", i), strings.Repeat("x", 100_000)); err != nil {
				t.Fatal(err)
			}
		}
		c.Close(time.Second)
		c = openShaky(t, mem)
		c.Close(time.Second)
		if how == "damaged" {
			garble(t, mem, which)
		} else {
			dir := path.Join(place, storeName)
			names, _ := mem.List(dir)
			for _, n := range names {
				if strings.HasPrefix(n, which) || strings.HasSuffix(n, which) {
					if err := mem.Remove(path.Join(dir, n)); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		c, err := openOn(mem, place, time.Second, time.Millisecond)
		if err != nil {
			t.Errorf("%s: %v", part, err)
			continue
		}
		if !c.Quarantined() || len(c.Scan("")) != 0 {
			t.Errorf("%s: set aside %v, %d records", part, c.Quarantined(), len(c.Scan("")))
		}
		if err := put(t, c, "a", "b"); err != nil {
			t.Errorf("%s: %v", part, err)
		}
		c.Close(time.Second)
	}
}

// A folder that an earlier life made and did not sync lasts from the next start on.
func TestFolderOfAnEarlierLifeIsSynced(t *testing.T) {
	events.SetOutput(io.Discard)
	for _, made := range []string{"", place, path.Join(place, storeName)} {
		mem := vfs.NewCrashableMem()
		if made != "" {
			if err := mem.MkdirAll(made, 0o755); err != nil {
				t.Fatal(err)
			}
			_ = syncDir(mem, "/")
		}
		c := openShaky(t, mem)
		if err := put(t, c, "a", "1"); err != nil {
			t.Fatal(err)
		}
		c.Close(time.Second)
		c = openShaky(t, mem.CrashClone(vfs.CrashCloneCfg{}))
		if v, _ := c.Get("a"); string(v) != "1" {
			t.Errorf("%q made before: the record is lost", made)
		}
		c.Close(time.Second)
	}
}

// A disk that refuses changes now and then, and loses its power in between,
// has all that was answered as written.
func TestPowerLossOnADiskThatRefuses(t *testing.T) {
	events.SetOutput(io.Discard)
	for seed := range uint64(4) {
		s := newDisk(t)
		rng, chance := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
		var mu sync.Mutex
		deny := func(op, name string) bool {
			mu.Lock()
			defer mu.Unlock()
			return chance.IntN(30) == 0
		}
		var acked atomic.Int64
		tried, refused := 0, 0
		s.after = func(string) {
			if rng.IntN(8) > 0 || tried >= 60 {
				return
			}
			promised := acked.Load()
			tried++
			percent := 25 * rng.IntN(5)
			got, aside, err := readBack(s.lose(rng.Uint64(), percent))
			if err != nil || aside || got < promised {
				t.Errorf("seed %d, %d in 100: record %d of %d, set aside %v, %v", seed, percent, got, promised, aside, err)
			}
		}
		c := openShaky(t, s)
		s.deny.Store(&deny)
		for no := int64(1); no <= 40; no++ {
			done := make(chan error, 1)
			c.PutAll(map[string][]byte{"no": fmt.Append(nil, no), "big": append(fmt.Append(nil, no, " "), make([]byte, 60_000)...)}, func(err error) { done <- err })
			if err := <-done; err == nil {
				acked.Store(no)
			} else {
				refused++
			}
		}
		s.deny.Store(nil)
		c.Close(5 * time.Second)
		if refused == 0 || acked.Load() == 0 {
			t.Errorf("seed %d: %d of 40 refused, %d is the last answered", seed, refused, acked.Load())
		}
		t.Logf("seed %d: %d of 40 refused, %d losses of power", seed, refused, tried)
	}
}
