package storage

import (
	"errors"
	"io/fs"
	"strings"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"

	"swiftswitch/internal/events"
)

var errNoManifest = errors.New("store has files and nothing that names them")

// Quarantined reports whether an unreadable store was ever quarantined here:
// what was promised under its identity may be forgotten.
func (s *Store) Quarantined() bool { return s.quarantined.Load() }

// checkManifest finds a store that has lost its manifest marker. Pebble would
// take it for a new one and empty it.
func (s *Store) checkManifest() error {
	names, err := s.fs.List(s.path(storeDirName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	hasData := false
	for _, name := range names {
		if strings.HasPrefix(name, "marker.manifest.") {
			return nil
		}
		if strings.HasSuffix(name, ".log") || strings.HasSuffix(name, ".sst") {
			hasData = true
		}
	}
	if hasData {
		return errNoManifest
	}
	return nil
}

// isUnreadable tells an error that stays, of a store whose files are damaged or
// missing, from one of a disk that may come back.
func isUnreadable(err error) bool {
	return pebble.IsCorruptionError(err) ||
		errors.Is(err, fs.ErrNotExist) ||
		errors.Is(err, pebble.ErrDBNotPristine) ||
		errors.Is(err, errNoManifest)
}

// quarantine renames an unreadable store and replaces the one that was
// quarantined before. The mark is durable before the store's name changes:
// whatever a loss of power leaves then, an empty directory too, is known to
// have held a store.
func (s *Store) quarantine(reason error) error {
	events.Log(events.StoreQuarantined, "err", reason)
	mark, err := s.fs.Create(s.path(quarantineMarkName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	if err := errors.Join(mark.Sync(), mark.Close(), syncDir(s.fs, s.dir)); err != nil {
		return err
	}
	s.quarantined.Store(true)
	s.releaseFileLock()
	if err := s.fs.RemoveAll(s.path(quarantineDirName)); err != nil {
		return err
	}
	if err := syncDir(s.fs, s.dir); err != nil {
		return err
	}
	if err := s.fs.Rename(s.path(storeDirName), s.path(quarantineDirName)); err != nil {
		return err
	}
	return syncDir(s.fs, s.dir)
}
