package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/pebble/v2/vfs"
)

var errCut = errors.New("store is cut off from its disk")

// disk is the file system as one life of the store sees it.
//
// A loss of power keeps or loses each unsynced name by itself, while pebble
// takes names to last in the order in which they were changed: it makes a new
// marker and removes the old one with one sync for both. So a name that was
// made lasts here before the next one in its folder is changed.
//
// After the first failed change the disk is cut: nothing is changed through it
// any more, since pebble would go on with what it can't know. Pebble is told
// that all is well then: on some errors it ends the process, on others it
// tries again without a pause or an end. Whoever commits or opens asks
// whether the disk is cut.
type disk struct {
	vfs.FS
	// trouble is told of each failed change, lock holds the store's lock.
	trouble func(error)
	lock    func(name string) (io.Closer, error)

	// why is the first thing that failed.
	why atomic.Pointer[error]
	// under is held for reading by every change that is under way.
	under sync.RWMutex
	// names is held while a name changes; made are the folders with names that may not last yet.
	names sync.Mutex
	made  map[string]bool
}

// fail cuts the disk, for the first reason given.
func (d *disk) fail(why error) { d.why.CompareAndSwap(nil, &why) }

func (d *disk) cut() bool { return d.why.Load() != nil }

// drain cuts the disk and waits for the changes that are under way.
func (d *disk) drain() {
	d.fail(errCut)
	d.under.Lock()
	defer d.under.Unlock()
}

// do runs a change, if the disk isn't cut. Only what is missing is an error.
func (d *disk) do(change func() error) error {
	d.under.RLock()
	defer d.under.RUnlock()
	if d.cut() {
		return nil
	}
	err := change()
	if err == nil || errors.Is(err, fs.ErrNotExist) {
		return err
	}
	d.fail(err)
	d.trouble(err)
	return nil
}

// rename changes a name in the folder of path; makes tells whether it makes one.
func (d *disk) rename(path string, makes bool, change func() error) error {
	dir := d.PathDir(path)
	return d.do(func() error {
		d.names.Lock()
		defer d.names.Unlock()
		if d.made[dir] {
			if err := syncDir(d.FS, dir); err != nil {
				return err
			}
			delete(d.made, dir)
		}
		if makes {
			d.made[dir] = true
		}
		return change()
	})
}

func (d *disk) open(path string, change func() (vfs.File, error)) (f vfs.File, err error) {
	err = d.rename(path, true, func() (err error) {
		g, err := change()
		if err == nil {
			f = g
		}
		return err
	})
	if err == nil && f == nil {
		// What goes there is lost, and the cut disk says so.
		f, err = vfs.NewMem().Create("cut", vfs.WriteCategoryUnspecified)
	}
	if err != nil {
		return nil, err
	}
	return &file{File: f, d: d}, nil
}

// Create makes a file.
func (d *disk) Create(name string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return d.open(name, func() (vfs.File, error) { return d.FS.Create(name, c) })
}

// ReuseForWrite makes a file of an old one.
func (d *disk) ReuseForWrite(from, to string, c vfs.DiskWriteCategory) (vfs.File, error) {
	return d.open(to, func() (vfs.File, error) { return d.FS.ReuseForWrite(from, to, c) })
}

// OpenReadWrite opens a file, or makes it.
func (d *disk) OpenReadWrite(name string, c vfs.DiskWriteCategory, o ...vfs.OpenOption) (vfs.File, error) {
	return d.open(name, func() (vfs.File, error) { return d.FS.OpenReadWrite(name, c, o...) })
}

// OpenDir opens a folder to sync it.
func (d *disk) OpenDir(name string) (vfs.File, error) {
	f, err := d.FS.OpenDir(name)
	if err != nil {
		return nil, err
	}
	return &file{File: f, d: d, dir: name}, nil
}

// Link gives a file a second name.
func (d *disk) Link(from, to string) error {
	return d.rename(to, true, func() error { return d.FS.Link(from, to) })
}

// Rename gives a file another name.
func (d *disk) Rename(from, to string) error {
	return d.rename(to, true, func() error { return d.FS.Rename(from, to) })
}

// MkdirAll makes a folder.
func (d *disk) MkdirAll(name string, p os.FileMode) error {
	return d.rename(name, true, func() error { return d.FS.MkdirAll(name, p) })
}

// Remove removes a file.
func (d *disk) Remove(name string) error {
	return d.rename(name, false, func() error { return d.FS.Remove(name) })
}

// RemoveAll removes a folder.
func (d *disk) RemoveAll(name string) error {
	return d.rename(name, false, func() error { return d.FS.RemoveAll(name) })
}

// Lock gives the lock of the store, which outlasts the disk's lives.
func (d *disk) Lock(name string) (io.Closer, error) { return d.lock(name) }

// GetDiskUsage tells how full the disk is, where it can be told.
func (d *disk) GetDiskUsage(name string) (vfs.DiskUsage, error) {
	u, err := d.FS.GetDiskUsage(name)
	if err != nil {
		err = vfs.ErrUnsupported
	}
	return u, err
}

// Unwrap gives the file system beneath.
func (d *disk) Unwrap() vfs.FS { return d.FS }

// file is a file or, with dir, a folder on the disk.
type file struct {
	vfs.File
	d   *disk
	dir string
}

func (f *file) Write(b []byte) (int, error) {
	return len(b), f.d.do(func() error { _, err := f.File.Write(b); return err })
}

func (f *file) WriteAt(b []byte, at int64) (int, error) {
	return len(b), f.d.do(func() error { _, err := f.File.WriteAt(b, at); return err })
}

func (f *file) Sync() error {
	return f.d.do(func() error {
		if f.dir == "" {
			return f.File.Sync()
		}
		f.d.names.Lock()
		defer f.d.names.Unlock()
		err := f.File.Sync()
		if err == nil {
			delete(f.d.made, f.dir)
		}
		return err
	})
}

func (f *file) SyncData() error { return f.d.do(f.File.SyncData) }

func (f *file) SyncTo(n int64) (full bool, err error) {
	err = f.d.do(func() (err error) { full, err = f.File.SyncTo(n); return err })
	return full, err
}

// syncDir makes the names in a folder last.
func syncDir(on vfs.FS, name string) error {
	f, err := on.OpenDir(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// makeDir makes a folder that lasts, with those above it. Where it is there
// already, an earlier life may have made it without a sync: it is synced again
// as far as the folder above lets itself be synced.
func makeDir(on vfs.FS, name string) error {
	above := on.PathDir(name)
	_, err := on.Stat(name)
	if err == nil {
		if above != name {
			_ = syncDir(on, above)
		}
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if above != name {
		if err := makeDir(on, above); err != nil {
			return err
		}
	}
	if err := on.MkdirAll(name, 0o755); err != nil {
		return err
	}
	if err := syncDir(on, above); err != nil {
		return fmt.Errorf("folder %s: %w", above, err)
	}
	return nil
}
