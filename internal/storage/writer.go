package storage

import (
	"fmt"
	"maps"
	"time"

	"github.com/cockroachdb/pebble/v2"

	"swiftswitch/internal/events"
)

// batch is what the writer commits with one sync.
type batch struct {
	// records are the new values, nil for a removal.
	records   map[string][]byte
	callbacks []func(error)
	// last says that the store closes after this batch.
	last bool
	// reopen says that the store failed since it was opened.
	reopen bool
}

// runWriter commits batches until the store is closed.
func (s *Store) runWriter() {
	defer close(s.done)
	for range s.wakeup {
		b := s.nextBatch()
		err := s.commitAndTime(b.records)
		for _, callback := range b.callbacks {
			callback(err)
		}
		if b.last {
			s.closeDB()
			s.releaseFileLock()
			return
		}
		if err != nil || b.reopen {
			s.reopen()
		}
	}
}

// nextBatch takes all that is queued.
func (s *Store) nextBatch() batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := batch{records: s.pending, callbacks: s.callbacks, last: s.closing, reopen: s.failed}
	s.pending, s.callbacks = map[string][]byte{}, nil
	s.closed = s.closing
	maps.Copy(s.records, b.records)
	return b
}

// commitAndTime commits records, if there are any, and logs a slow disk.
func (s *Store) commitAndTime(records map[string][]byte) error {
	if len(records) == 0 {
		return nil
	}
	start := time.Now()
	err := s.commit(records)
	if took := time.Since(start); took > s.slowThreshold && err == nil {
		events.Log(events.DiskDegraded, "waited", took)
	}
	return err
}

// commit makes records durable. A panic of pebble is an error like any other.
func (s *Store) commit(records map[string][]byte) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("store: %v", r)
		}
	}()
	if s.db == nil {
		return errNotOpen
	}
	if s.disk.fenced() {
		return errFenced
	}
	b := s.db.NewBatch()
	for name, value := range records {
		if value == nil {
			err = b.Delete([]byte(name), nil)
		} else {
			err = b.Set([]byte(name), value, nil)
		}
		if err != nil {
			return err
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	// A fenced disk takes every change without an error and drops it.
	if s.failed || s.disk.fenced() {
		return errFenced
	}
	for name, value := range records {
		if value == nil {
			delete(s.records, name)
		}
	}
	return nil
}

// onFailure fences the store off from its disk. The writer opens it anew with
// the next write, or by itself after retryInterval.
func (s *Store) onFailure(err error) {
	s.mu.Lock()
	first := !s.failed
	s.failed = true
	if s.disk != nil {
		s.disk.fence(err)
	}
	s.mu.Unlock()
	if first {
		events.Log(events.DiskDegraded, "err", err)
		time.AfterFunc(s.retryInterval, s.wake)
	}
}

// reopen closes the store, opens it anew and queues every record as it is now:
// a refused write is promised to nobody, but isn't forgotten either. A store
// that became unreadable is quarantined, since all of it is in memory.
func (s *Store) reopen() {
	if s.db != nil {
		s.disk.fenceAndWait()
		s.closeDB()
	}
	time.Sleep(s.retryInterval)
	db, _, err := s.openOrQuarantine()
	if err != nil {
		events.Log(events.DiskDegraded, "err", err)
	} else {
		s.db = db
	}
	s.mu.Lock()
	for name, value := range s.records {
		if _, newer := s.pending[name]; !newer {
			s.pending[name] = value
		}
	}
	s.mu.Unlock()
	if err == nil {
		events.Log(events.DiskRecovered)
	}
	s.wake()
}

func (s *Store) closeDB() {
	if s.db != nil {
		closeQuietly(s.db)
		s.db = nil
	}
}
