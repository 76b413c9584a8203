package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
)

// Names below the data directory. They are compatibility names: earlier
// versions wrote them and operators look for them, so they never change.
const (
	// storeDirName is the directory of the pebble store.
	storeDirName = "cellar"
	// quarantineDirName is what the last unreadable store was renamed to.
	quarantineDirName = "cellar-unreadable"
	// quarantineMarkName is an empty file that is made durable before a store
	// is first quarantined, and is never removed.
	quarantineMarkName = "cellar-set-aside"
	// probeFileName is a file that is overwritten before each opening.
	probeFileName = "cellar-probe"
)

// Errors of Open and of the callbacks of writes.
var (
	// ErrClosed is the result of a write that was submitted after Close.
	ErrClosed = errors.New("store is closed")
	// ErrUnavailable is the result of a write while the store is cut off from
	// its disk; the record is written again once the disk is back.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrDiskRefused says that the disk took no trial write before the store
	// was opened.
	ErrDiskRefused = errors.New("disk takes no writes")
)

// Store is a durable set of small records under names.
//
// Put, PutAll and Delete only queue what they are given. The writer goroutine
// takes everything that is queued as one batch, commits it with one sync, and
// then runs the callbacks in the order in which they came.
type Store struct {
	dir string
	// retryInterval passes before a failed store is opened anew.
	retryInterval time.Duration
	// slowThreshold is how long a commit may take before it is logged.
	slowThreshold time.Duration
	fs            vfs.FS

	// wakeup holds at most one token: there is something for the writer to do.
	wakeup chan struct{}
	// done is closed when the writer has ended.
	done chan struct{}
	// quarantined says that an unreadable store was renamed here, by this
	// process or an earlier one.
	quarantined atomic.Bool

	// db and fileLock belong to the writer; before it starts, to Open.
	// db is nil while the store can't be opened.
	db       *pebble.DB
	fileLock io.Closer

	// mu guards what follows; it is never held while the disk works.
	mu sync.Mutex
	// pending are the records of the next batch, callbacks whoever waits for it.
	pending   map[string][]byte
	callbacks []func(error)
	// closing is set by Close, closed once the writer took its last batch.
	closing, closed bool
	// failed says that a change failed since the store was opened last.
	failed bool
	// disk is the view of the file system that the open store works on.
	disk *fencedFS
	// records holds each record as it is to be on disk, nil where its removal
	// isn't durable yet.
	records map[string][]byte
}

// Open opens the store in dir and starts its writer. An unreadable store is
// quarantined and an empty one opened in its place. Commits that take longer
// than slowThreshold are logged; a failed store is opened anew each time
// retryInterval has passed.
func Open(dir string, slowThreshold, retryInterval time.Duration) (*Store, error) {
	return openOn(vfs.Default, dir, slowThreshold, retryInterval)
}

func openOn(fileSystem vfs.FS, dir string, slowThreshold, retryInterval time.Duration) (*Store, error) {
	s := &Store{
		dir:           dir,
		retryInterval: retryInterval,
		slowThreshold: slowThreshold,
		fs:            fileSystem,
		wakeup:        make(chan struct{}, 1),
		done:          make(chan struct{}),
		pending:       map[string][]byte{},
		records:       map[string][]byte{},
	}
	if err := makeDir(fileSystem, dir); err != nil {
		return nil, err
	}
	if err := s.findQuarantine(); err != nil {
		return nil, err
	}
	db, records, err := s.openOrQuarantine()
	if err != nil {
		s.releaseFileLock()
		return nil, err
	}
	s.db, s.records = db, records
	go s.runWriter()
	return s, nil
}

// Close writes what is queued and closes the store, waiting for that no longer
// than timeout. Writes that come later fail with ErrClosed.
func (s *Store) Close(timeout time.Duration) {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	s.wake()
	select {
	case <-s.done:
	case <-time.After(timeout):
	}
}

// Get returns a copy of the record, nil if there is none. It is meant for the start of the
// node: the record may be newer than what is durable.
func (s *Store) Get(name string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.records[name])
}

// Scan returns copies of the records whose names begin with prefix, on the
// terms of Get.
func (s *Store) Scan(prefix string) map[string][]byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := map[string][]byte{}
	for name, value := range s.records {
		if value != nil && strings.HasPrefix(name, prefix) {
			found[name] = slices.Clone(value)
		}
	}
	return found
}

// Put queues a record. The callback, if any, runs on the writer goroutine with
// nil once the record is durable, or with the reason why it may not be.
//
// A later Put of the same name may replace this one before it is written. A
// failed Put is no promise, but is not undone either: the record may be on disk
// already, and is written again with all others when the store is back. Readers
// after a restart must cope with either.
func (s *Store) Put(name string, value []byte, callback func(error)) {
	if value == nil {
		value = []byte{}
	}
	s.PutAll(map[string][]byte{name: value}, callback)
}

// Delete queues the removal of a record, on the terms of Put.
func (s *Store) Delete(name string, callback func(error)) {
	s.PutAll(map[string][]byte{name: nil}, callback)
}

// PutAll queues several records, and the removal of those whose value is nil,
// on the terms of Put: after a restart either all of it is there or none.
func (s *Store) PutAll(records map[string][]byte, callback func(error)) {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		if callback != nil {
			// In a goroutine, since the caller may hold a lock that it needs.
			go callback(ErrClosed)
		}
		return
	}
	maps.Copy(s.pending, records)
	if callback != nil {
		s.callbacks = append(s.callbacks, callback)
	}
	s.mu.Unlock()
	s.wake()
}

// wake lets the writer look for work.
func (s *Store) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

func (s *Store) path(name string) string { return s.fs.PathJoin(s.dir, name) }

// findQuarantine looks for what an earlier quarantine left.
func (s *Store) findQuarantine() error {
	for _, name := range []string{quarantineMarkName, quarantineDirName} {
		_, err := s.fs.Stat(s.path(name))
		switch {
		case err == nil:
			s.quarantined.Store(true)
		case !errors.Is(err, fs.ErrNotExist):
			return err
		}
	}
	return nil
}
