package storage

import (
	"errors"
	"fmt"
	"io/fs"

	"github.com/cockroachdb/pebble/v2/vfs"
)

const dirPermissions = 0o755

// syncDir makes the names in a directory durable.
func syncDir(fileSystem vfs.FS, name string) error {
	f, err := fileSystem.OpenDir(name)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}

// makeDir makes a durable directory, with those above it. One that is there
// already may have been made by an earlier process that ended before its sync:
// its parent is synced again, as far as permissions allow.
func makeDir(fileSystem vfs.FS, name string) error {
	parent := fileSystem.PathDir(name)
	_, err := fileSystem.Stat(name)
	if err == nil {
		if parent != name {
			_ = syncDir(fileSystem, parent)
		}
		return nil
	}
	if !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	if parent != name {
		if err := makeDir(fileSystem, parent); err != nil {
			return err
		}
	}
	if err := fileSystem.MkdirAll(name, dirPermissions); err != nil {
		return err
	}
	if err := syncDir(fileSystem, parent); err != nil {
		return fmt.Errorf("sync of directory %s: %w", parent, err)
	}
	return nil
}
