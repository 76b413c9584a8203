package storage

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

// fencedFS is the file system as one opening of the store sees it. It adds two
// things to the file system beneath.
//
// Order of names. A loss of power keeps or loses each unsynced name by itself,
// while pebble takes names to become durable in the order in which they
// changed: it makes a new marker and removes the old one with one sync for
// both. So a name that was made is synced here before the next one in its
// directory changes.
//
// Fencing. After the first failed change nothing is changed any more, since
// pebble would go on from a state of the disk that it can't know. Pebble is
// told that all is well from then on: on some errors it ends the process, on
// others it retries without a pause or an end. Whoever commits or opens must
// ask whether the file system is fenced.
type fencedFS struct {
	vfs.FS
	// onFailure is called with each failed change.
	onFailure func(error)
	// acquireLock takes the lock file, which outlives this fencedFS.
	acquireLock func(name string) (io.Closer, error)

	// fenceCause is the first failure, nil while the disk is well.
	fenceCause atomic.Pointer[error]
	// inFlight is held for reading by every change under way, and for writing
	// by whoever waits for all of them.
	inFlight sync.RWMutex

	// namesMu is held while a name changes, and guards unsyncedDirs.
	namesMu sync.Mutex
	// unsyncedDirs are the directories with a made name that isn't durable yet.
	unsyncedDirs map[string]bool
}

func newFencedFS(beneath vfs.FS, onFailure func(error), acquireLock func(string) (io.Closer, error)) *fencedFS {
	return &fencedFS{FS: beneath, onFailure: onFailure, acquireLock: acquireLock, unsyncedDirs: map[string]bool{}}
}

// fence stops all changes; the first cause given is kept.
func (d *fencedFS) fence(cause error) { d.fenceCause.CompareAndSwap(nil, &cause) }

func (d *fencedFS) fenced() bool { return d.fenceCause.Load() != nil }

// cause returns why the disk is fenced, nil if it isn't.
func (d *fencedFS) cause() error {
	if cause := d.fenceCause.Load(); cause != nil {
		return *cause
	}
	return nil
}

// fenceAndWait fences the disk and waits for the changes under way.
func (d *fencedFS) fenceAndWait() {
	d.fence(errFenced)
	d.inFlight.Lock()
	defer d.inFlight.Unlock()
}

// change runs a change unless the disk is fenced. The only error that it
// returns is that of a file that doesn't exist; any other fences the disk.
func (d *fencedFS) change(f func() error) error {
	d.inFlight.RLock()
	defer d.inFlight.RUnlock()
	if d.fenced() {
		return nil
	}
	err := f()
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		return err
	}
	d.fence(err)
	d.onFailure(err)
	return nil
}

// changeName runs a change of the name path, after making the names durable
// that were made in its directory. creates says whether it makes a name.
func (d *fencedFS) changeName(path string, creates bool, f func() error) error {
	dir := d.PathDir(path)
	return d.change(func() error {
		d.namesMu.Lock()
		defer d.namesMu.Unlock()
		if d.unsyncedDirs[dir] {
			if err := syncDir(d.FS, dir); err != nil {
				return err
			}
			delete(d.unsyncedDirs, dir)
		}
		if creates {
			d.unsyncedDirs[dir] = true
		}
		return f()
	})
}

// createFile runs a change that makes a file. Of a fenced disk it returns a
// file in memory whose content is dropped.
func (d *fencedFS) createFile(path string, create func() (vfs.File, error)) (vfs.File, error) {
	var f vfs.File
	err := d.changeName(path, true, func() error {
		created, err := create()
		if err == nil {
			f = created
		}
		return err
	})
	if err == nil && f == nil {
		f, err = vfs.NewMem().Create("dropped", vfs.WriteCategoryUnspecified)
	}
	if err != nil {
		return nil, err
	}
	return &fencedFile{File: f, disk: d}, nil
}

// Create implements vfs.FS.
func (d *fencedFS) Create(name string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.createFile(name, func() (vfs.File, error) { return d.FS.Create(name, category) })
}

// ReuseForWrite implements vfs.FS.
func (d *fencedFS) ReuseForWrite(from, to string, category vfs.DiskWriteCategory) (vfs.File, error) {
	return d.createFile(to, func() (vfs.File, error) { return d.FS.ReuseForWrite(from, to, category) })
}

// OpenReadWrite implements vfs.FS.
func (d *fencedFS) OpenReadWrite(name string, category vfs.DiskWriteCategory, options ...vfs.OpenOption) (vfs.File, error) {
	return d.createFile(name, func() (vfs.File, error) { return d.FS.OpenReadWrite(name, category, options...) })
}

// OpenDir implements vfs.FS.
func (d *fencedFS) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &fencedFile{File: f, disk: d, dir: name}, nil
}

// Link implements vfs.FS.
func (d *fencedFS) Link(from, to string) error {
	return d.changeName(to, true, func() error { return d.FS.Link(from, to) })
}

// Rename implements vfs.FS.
func (d *fencedFS) Rename(from, to string) error {
	return d.changeName(to, true, func() error { return d.FS.Rename(from, to) })
}

// MkdirAll implements vfs.FS.
func (d *fencedFS) MkdirAll(name string, permissions os.FileMode) error {
	return d.changeName(name, true, func() error { return d.FS.MkdirAll(name, permissions) })
}

// Remove implements vfs.FS.
func (d *fencedFS) Remove(name string) error {
	return d.changeName(name, false, func() error { return d.FS.Remove(name) })
}

// RemoveAll implements vfs.FS.
func (d *fencedFS) RemoveAll(name string) error {
	return d.changeName(name, false, func() error { return d.FS.RemoveAll(name) })
}

// Lock implements vfs.FS.
func (d *fencedFS) Lock(name string) (io.Closer, error) { return d.acquireLock(name) }

// GetDiskUsage implements vfs.FS; pebble does without it where it is
// unsupported, but not where it fails.
func (d *fencedFS) GetDiskUsage(name string) (vfs.DiskUsage, error) {
	usage, err := d.FS.GetDiskUsage(name)
	if err != nil {
		err = vfs.ErrUnsupported
	}
	return usage, err
}

// Unwrap implements vfs.FS.
func (d *fencedFS) Unwrap() vfs.FS { return d.FS }

// fencedFile is a file on a fencedFS or, where dir is set, the directory of
// that name, opened to be synced.
type fencedFile struct {
	vfs.File
	disk *fencedFS
	dir  string
}

// Write implements vfs.File.
func (f *fencedFile) Write(p []byte) (int, error) {
	return len(p), f.disk.change(func() error { _, err := f.File.Write(p); return err })
}

// WriteAt implements vfs.File.
func (f *fencedFile) WriteAt(p []byte, offset int64) (int, error) {
	return len(p), f.disk.change(func() error { _, err := f.File.WriteAt(p, offset); return err })
}

// Sync implements vfs.File.
func (f *fencedFile) Sync() error {
	if f.dir == "" {
		return f.disk.change(f.File.Sync)
	}
	return f.disk.change(func() error {
		f.disk.namesMu.Lock()
		defer f.disk.namesMu.Unlock()
		if err := f.File.Sync(); err != nil {
			return err
		}
		delete(f.disk.unsyncedDirs, f.dir)
		return nil
	})
}

// SyncData implements vfs.File.
func (f *fencedFile) SyncData() error { return f.disk.change(f.File.SyncData) }

// SyncTo implements vfs.File.
func (f *fencedFile) SyncTo(length int64) (fullSync bool, err error) {
	err = f.disk.change(func() (err error) { fullSync, err = f.File.SyncTo(length); return err })
	return fullSync, err
}
