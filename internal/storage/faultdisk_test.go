package storage

import (
	"errors"
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
)

// dataDir is the data directory on a disk in memory.
const dataDir = "/disk/data"

// faultDisk is a disk in memory that can refuse changes, delay them, and lose
// its power after any of them. Each name that was made, renamed or removed
// without a sync of its directory is then kept or lost by itself; the
// crashable file system beneath keeps all removed ones, so those are played
// here.
type faultDisk struct {
	vfs.FS
	mem *vfs.MemFS

	// full refuses all changes, deny those for which it returns true.
	full atomic.Bool
	deny atomic.Pointer[func(op, name string) bool]
	// delay holds each change for so many nanoseconds.
	delay atomic.Int64
	// afterChange, where set, is called after each change with mu held.
	afterChange func(op string)

	// mu is held during a change and guards removed: by directory, the names
	// removed since its last sync.
	mu      sync.Mutex
	removed map[string]map[string]bool
}

func newFaultDisk(mem *vfs.MemFS) *faultDisk {
	return &faultDisk{FS: mem, mem: mem, removed: map[string]map[string]bool{}}
}

func newEmptyDisk(t *testing.T) *faultDisk {
	t.Helper()
	return newFaultDisk(vfs.NewCrashableMem())
}

// denyWhere refuses the changes for which deny returns true.
func (d *faultDisk) denyWhere(deny func(op, name string) bool) { d.deny.Store(&deny) }

func (d *faultDisk) denyNothing() { d.deny.Store(nil) }

func (d *faultDisk) change(op, name string, f func() error) error {
	time.Sleep(time.Duration(d.delay.Load()))
	deny := d.deny.Load()
	if d.full.Load() || deny != nil && (*deny)(op, name) {
		return &fs.PathError{Op: op, Path: name, Err: syscall.ENOSPC}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	err := f()
	if d.afterChange != nil && err == nil {
		d.afterChange(op)
	}
	return err
}

func (d *faultDisk) noteRemoved(name string) {
	dir := path.Dir(name)
	if d.removed[dir] == nil {
		d.removed[dir] = map[string]bool{}
	}
	d.removed[dir][path.Base(name)] = true
}

// powerLoss returns the disk as it may be after a loss of power.
func (d *faultDisk) powerLoss(seed uint64, unsyncedPercent int) *vfs.MemFS {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.powerLossLocked(seed, unsyncedPercent)
}

// powerLossLocked is powerLoss for afterChange, with mu held.
func (d *faultDisk) powerLossLocked(seed uint64, unsyncedPercent int) *vfs.MemFS {
	rng := rand.New(rand.NewPCG(seed, uint64(unsyncedPercent)))
	left := d.mem.CrashClone(vfs.CrashCloneCfg{UnsyncedDataPercent: unsyncedPercent, RNG: rng})
	for dir, names := range d.removed {
		for base := range names {
			if rng.IntN(2) == 0 {
				continue
			}
			name := path.Join(dir, base)
			if _, err := d.mem.Stat(name); err == nil {
				continue
			}
			_ = left.RemoveAll(name)
		}
		if f, err := left.OpenDir(dir); err == nil {
			_ = f.Sync()
			_ = f.Close()
		}
	}
	return left
}

func (d *faultDisk) Create(name string, category vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = d.change("create", name, func() (err error) { f, err = d.FS.Create(name, category); return err })
	return &faultFile{File: f, disk: d, name: name}, err
}

func (d *faultDisk) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (f vfs.File, err error) {
	err = d.change("reuse", to, func() (err error) {
		d.noteRemoved(from)
		f, err = d.FS.ReuseForWrite(from, to, category)
		return err
	})
	return &faultFile{File: f, disk: d, name: to}, err
}

func (d *faultDisk) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &faultFile{File: f, disk: d, name: name, isDir: true}, nil
}

func (d *faultDisk) Rename(from, to string) error {
	return d.change("rename", to, func() error { d.noteRemoved(from); return d.FS.Rename(from, to) })
}

func (d *faultDisk) Remove(name string) error {
	return d.change("remove", name, func() error { d.noteRemoved(name); return d.FS.Remove(name) })
}

func (d *faultDisk) RemoveAll(name string) error {
	return d.change("remove", name, func() error { d.noteRemoved(name); return d.FS.RemoveAll(name) })
}

func (d *faultDisk) MkdirAll(name string, permissions os.FileMode) error {
	return d.change("mkdir", name, func() error { return d.FS.MkdirAll(name, permissions) })
}

type faultFile struct {
	vfs.File
	disk  *faultDisk
	name  string
	isDir bool
}

func (f *faultFile) Write(p []byte) (n int, err error) {
	err = f.disk.change("write", f.name, func() (err error) { n, err = f.File.Write(p); return err })
	return n, err
}

func (f *faultFile) Sync() error {
	return f.disk.change("sync", f.name, func() error {
		if f.isDir {
			delete(f.disk.removed, f.name)
		}
		return f.File.Sync()
	})
}

func (f *faultFile) SyncData() error { return f.Sync() }

// corruptFiles damages the files whose name begins or ends with part.
func corruptFiles(t *testing.T, mem *vfs.MemFS, part string) {
	t.Helper()
	dir := path.Join(dataDir, storeDirName)
	for _, name := range filesMatching(t, mem, part) {
		in, err := mem.Open(path.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		raw, err := io.ReadAll(in)
		if err != nil {
			t.Fatal(err)
		}
		_ = in.Close()
		corruptHead(raw)
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
}

// corruptHead damages the first 64 bytes of a file.
func corruptHead(raw []byte) {
	for i := range raw[:min(len(raw), 64)] {
		raw[i] ^= 0x5a
	}
}

// removeFiles removes the files whose name begins or ends with part.
func removeFiles(t *testing.T, mem *vfs.MemFS, part string) {
	t.Helper()
	for _, name := range filesMatching(t, mem, part) {
		if err := mem.Remove(path.Join(dataDir, storeDirName, name)); err != nil {
			t.Fatal(err)
		}
	}
}

// filesMatching lists the files of the store whose name begins or ends with
// part; there must be one.
func filesMatching(t *testing.T, mem *vfs.MemFS, part string) []string {
	t.Helper()
	names, err := mem.List(path.Join(dataDir, storeDirName))
	if err != nil {
		t.Fatal(err)
	}
	var found []string
	for _, name := range names {
		if strings.HasPrefix(name, part) || strings.HasSuffix(name, part) {
			found = append(found, name)
		}
	}
	if len(found) == 0 {
		t.Fatalf("no file %s in the store: %v", part, names)
	}
	return found
}

// sizeOf returns the bytes of a file, or of all files below a directory.
func sizeOf(t *testing.T, fileSystem vfs.FS, name string) int64 {
	t.Helper()
	info, err := fileSystem.Stat(name)
	if err != nil {
		return 0
	}
	if !info.IsDir() {
		return info.Size()
	}
	names, err := fileSystem.List(name)
	if err != nil {
		t.Fatal(err)
	}
	total := int64(0)
	for _, base := range names {
		total += sizeOf(t, fileSystem, path.Join(name, base))
	}
	return total
}
