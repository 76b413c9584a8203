package storage

import (
	"errors"
	"fmt"
	"io"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Sizes of the pebble store, small beside the memory of a node: all records
// together are a few megabytes, and they are read at the start only.
const (
	blockCacheBytes = 256 << 10
	memTableBytes   = 512 << 10
	memTablesMax    = 2
	openFilesMax    = 32
	// level0FilesMax is out of reach: on a fenced disk tables count as written
	// but can't be merged, and no commit may wait for that.
	level0FilesMax = 256
	probeBytes     = 4096
)

var (
	errNotOpen = fmt.Errorf("%w: not open", ErrUnavailable)
	errFenced  = fmt.Errorf("%w: fenced off from its disk", ErrUnavailable)
)

// engineLogger takes what pebble logs. Its Fatalf, which pebble calls when it
// can't go on, fails the store instead of the process: it is opened anew.
type engineLogger struct{ s *Store }

func (engineLogger) Infof(string, ...any)  {}
func (engineLogger) Errorf(string, ...any) {}
func (l engineLogger) Fatalf(format string, args ...any) {
	l.s.onFailure(fmt.Errorf(format, args...))
}

// openOrQuarantine opens the store; one that is unreadable is as good as lost
// and an empty one is opened in its place.
func (s *Store) openOrQuarantine() (*pebble.DB, map[string][]byte, error) {
	db, records, err := s.openDB()
	if err == nil || !isUnreadable(err) {
		return db, records, err
	}
	if err := s.quarantine(err); err != nil {
		return nil, nil, err
	}
	return s.openDB()
}

// openDB opens the pebble store on a fresh fencedFS and reads all records.
func (s *Store) openDB() (db *pebble.DB, records map[string][]byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("store: %v", r)
		}
	}()
	disk := newFencedFS(s.fs, s.onFailure, s.acquireFileLock)
	s.mu.Lock()
	s.failed, s.disk = false, disk
	s.mu.Unlock()
	if err = s.probeDisk(); err != nil {
		return nil, nil, err
	}
	if err = s.checkManifest(); err != nil {
		return nil, nil, err
	}
	cache := pebble.NewCache(blockCacheBytes)
	defer cache.Unref()
	if db, err = pebble.Open(s.path(storeDirName), s.engineOptions(disk, cache)); err == nil {
		records, err = readAll(db)
	}
	if cause := disk.cause(); cause != nil {
		// What was dropped when it was written can't be read either: the
		// first failure is the reason, not what follows from it.
		err = cause
	}
	if err != nil {
		disk.fenceAndWait()
		if db != nil {
			closeQuietly(db)
		}
		return nil, nil, err
	}
	return db, records, nil
}

func (s *Store) engineOptions(disk vfs.FS, cache *pebble.Cache) *pebble.Options {
	return &pebble.Options{
		FS:                          disk,
		Cache:                       cache,
		MemTableSize:                memTableBytes,
		MemTableStopWritesThreshold: memTablesMax,
		L0StopWritesThreshold:       level0FilesMax,
		MaxOpenFiles:                openFilesMax,
		FormatMajorVersion:          pebble.FormatNewest,
		Logger:                      engineLogger{s},
		CompactionConcurrencyRange:  func() (lower, upper int) { return 1, 1 },
		EventListener: &pebble.EventListener{
			// Pebble retries what fails in the background without a pause:
			// the store is opened anew instead.
			BackgroundError: s.onFailure,
			DataCorruption:  func(pebble.DataCorruptionInfo) {},
		},
	}
}

// probeDisk overwrites a file: without it, each opening that a full disk ends
// half way would leave one more file behind.
//
// The cause is not wrapped, so that a missing directory doesn't pass for a
// missing file of the store (see isUnreadable).
func (s *Store) probeDisk() error {
	f, err := s.fs.Create(s.path(probeFileName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return fmt.Errorf("%w: %v", ErrDiskRefused, err)
	}
	_, err = f.Write(make([]byte, probeBytes))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("%w: %v", ErrDiskRefused, err)
	}
	return nil
}

// readAll returns all records; blocks that can't be read show here.
func readAll(db *pebble.DB) (records map[string][]byte, err error) {
	it, err := db.NewIter(nil)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := it.Close(); err == nil {
			err = closeErr
		}
	}()
	records = map[string][]byte{}
	for ok := it.First(); ok; ok = it.Next() {
		value, err := it.ValueAndErr()
		if err != nil {
			return nil, err
		}
		records[string(it.Key())] = append([]byte{}, value...)
	}
	return records, it.Error()
}

// closeQuietly closes a store that may be broken: pebble panics on some.
func closeQuietly(db *pebble.DB) {
	defer func() { _ = recover() }()
	_ = db.Close()
}

// acquireFileLock takes the lock file once. It is kept while the store is
// closed and opened anew, so that no other process gets in between.
func (s *Store) acquireFileLock(name string) (io.Closer, error) {
	if s.fileLock == nil {
		lock, err := s.fs.Lock(name)
		if err != nil {
			return nil, err
		}
		s.fileLock = lock
	}
	return io.NopCloser(nil), nil
}

func (s *Store) releaseFileLock() {
	if s.fileLock != nil {
		_ = s.fileLock.Close()
		s.fileLock = nil
	}
}
