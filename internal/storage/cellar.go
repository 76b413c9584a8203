package storage

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"github.com/cockroachdb/pebble/v2/vfs"
	"swiftswitch/internal/events"
)

const (
	storeName = "cellar"
	// asideName is where a store that can't be read is kept, once.
	asideName = "cellar-unreadable"
	// markName lasts from before a store is set aside, and for good.
	markName = "cellar-set-aside"
	// probeName is a file that is written before the store is opened.
	probeName = "cellar-probe"
)

// ErrClosed answers a write that came after Close.
var ErrClosed = errors.New("store is closed")

// Store is a store of small records under names, all held in memory too.
type Store struct {
	dir   string
	again time.Duration
	slow  time.Duration
	fs    vfs.FS

	mu      sync.Mutex
	kick    chan struct{}
	pending map[string][]byte
	waiting []func(error)
	closed  bool
	ended   bool
	done    chan struct{}
	db      *pebble.DB
	broken  bool
	// disk is what the store of now works on; held is its lock.
	disk *disk
	held io.Closer
	// last holds each record as it is to be on disk; nil is one to be removed.
	last map[string][]byte
	// aside: a store was set aside here, in this life or an earlier one.
	aside bool
}

type quiet struct{ c *Store }

func (quiet) Infof(string, ...any)    {}
func (q quiet) Errorf(string, ...any) {}

// Fatalf is what pebble calls when it can't go on. The process can: the store is opened anew.
func (q quiet) Fatalf(format string, a ...any) { q.c.trouble(fmt.Errorf(format, a...)) }

// trouble ends what the store does on disk; it is opened anew, by the next
// write or by itself.
func (c *Store) trouble(err error) {
	c.mu.Lock()
	first := !c.broken
	c.broken = true
	if c.disk != nil {
		c.disk.fail(err)
	}
	c.mu.Unlock()
	if first {
		events.Log(events.DiskDegraded, "err", err)
		time.AfterFunc(c.again, c.wake)
	}
}

func (c *Store) wake() {
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// lock takes the lock once: it is kept while the store is closed and opened anew.
func (c *Store) lock(name string) (io.Closer, error) {
	if c.held == nil {
		held, err := c.fs.Lock(name)
		if err != nil {
			return nil, err
		}
		c.held = held
	}
	return io.NopCloser(nil), nil
}

func (c *Store) unlock() {
	if c.held != nil {
		_ = c.held.Close()
		c.held = nil
	}
}

func (c *Store) path(name string) string { return c.fs.PathJoin(c.dir, name) }

// open opens the store and reads all of it.
func (c *Store) open() (db *pebble.DB, all map[string][]byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			db, err = nil, fmt.Errorf("store: %v", r)
		}
	}()
	d := &disk{FS: c.fs, trouble: c.trouble, lock: c.lock, made: map[string]bool{}}
	c.mu.Lock()
	c.broken, c.disk = false, d
	c.mu.Unlock()
	cache := pebble.NewCache(256 << 10)
	defer cache.Unref()
	o := &pebble.Options{
		FS: d, Cache: cache, MemTableSize: 512 << 10, MemTableStopWritesThreshold: 2, Logger: quiet{c},
		// On a cut disk tables count as written, but can't be merged: no commit may wait for that.
		L0StopWritesThreshold: 256,
		MaxOpenFiles:          32, DisableAutomaticCompactions: false, FormatMajorVersion: pebble.FormatNewest,
		// What fails in the background fails again, without a pause: the store is opened anew instead.
		EventListener: &pebble.EventListener{BackgroundError: c.trouble, DataCorruption: func(pebble.DataCorruptionInfo) {}},
	}
	o.CompactionConcurrencyRange = func() (int, int) { return 1, 1 }
	if err = c.probe(); err != nil {
		return nil, nil, err
	}
	if err = c.whole(); err != nil {
		return nil, nil, err
	}
	if db, err = pebble.Open(c.path(storeName), o); err == nil {
		all, err = read(db)
	}
	if why := d.why.Load(); why != nil {
		// What couldn't be written can't be read either: the first reason counts.
		err = *why
	}
	if err != nil {
		d.drain()
		if db != nil {
			shut(db)
		}
		return nil, nil, err
	}
	return db, all, nil
}

// probe writes a file: each opening that a full disk ends half way would leave
// one more there.
func (c *Store) probe() error {
	f, err := c.fs.Create(c.path(probeName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return fmt.Errorf("disk takes no writes: %v", err)
	}
	_, err = f.Write(make([]byte, 4096))
	if err = errors.Join(err, f.Sync(), f.Close()); err != nil {
		return fmt.Errorf("disk takes no writes: %v", err)
	}
	return nil
}

var errNoManifest = errors.New("store has files and nothing that names them")

// whole finds a store that pebble would take for a new one and make empty.
func (c *Store) whole() error {
	names, err := c.fs.List(c.path(storeName))
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	filled := false
	for _, n := range names {
		if strings.HasPrefix(n, "marker.manifest.") {
			return nil
		}
		filled = filled || strings.HasSuffix(n, ".log") || strings.HasSuffix(n, ".sst")
	}
	if filled {
		return errNoManifest
	}
	return nil
}

// unreadable tells an error that stays, of a store whose files are damaged or
// gone, from one of a disk that may come back.
func unreadable(err error) bool {
	return pebble.IsCorruptionError(err) || errors.Is(err, fs.ErrNotExist) || errors.Is(err, pebble.ErrDBNotPristine) || errors.Is(err, errNoManifest)
}

// read gives all records; blocks that can't be read show here.
func read(db *pebble.DB) (map[string][]byte, error) {
	it, err := db.NewIter(nil)
	if err != nil {
		return nil, err
	}
	all := map[string][]byte{}
	for ok := it.First(); ok; ok = it.Next() {
		v, err := it.ValueAndErr()
		if err != nil {
			_ = it.Close()
			return nil, err
		}
		all[string(it.Key())] = append([]byte{}, v...)
	}
	if err := it.Error(); err != nil {
		_ = it.Close()
		return nil, err
	}
	return all, it.Close()
}

func shut(db *pebble.DB) {
	defer func() { _ = recover() }()
	_ = db.Close()
}

// Open opens the store in dir. Waits that are longer than slow are logged,
// and a broken store is opened again each time again has passed.
func Open(dir string, slow, again time.Duration) (*Store, error) {
	return openOn(vfs.Default, dir, slow, again)
}

func openOn(on vfs.FS, dir string, slow, again time.Duration) (*Store, error) {
	c := &Store{dir: dir, again: again, slow: slow, fs: on, kick: make(chan struct{}, 1), pending: map[string][]byte{}, done: make(chan struct{}), last: map[string][]byte{}}
	if err := makeDir(on, dir); err != nil {
		return nil, err
	}
	for _, name := range []string{markName, asideName} {
		if _, err := on.Stat(c.path(name)); err == nil {
			c.aside = true
		} else if !errors.Is(err, fs.ErrNotExist) {
			return nil, err
		}
	}
	db, all, err := c.open()
	if err != nil && unreadable(err) {
		// What can't be read is as good as lost: the node starts as one whose
		// disk is empty, under a new identity.
		if err = c.setAside(err); err == nil {
			db, all, err = c.open()
		}
	}
	if err != nil {
		c.unlock()
		return nil, err
	}
	c.db, c.last = db, all
	go c.run()
	return c, nil
}

// setAside keeps a store that can't be read aside, once. The mark lasts before
// the store's name changes: whatever a loss of power then leaves, an empty
// folder too, is known to have held a store.
func (c *Store) setAside(why error) error {
	events.Log(events.StoreQuarantined, "err", why)
	f, err := c.fs.Create(c.path(markName), vfs.WriteCategoryUnspecified)
	if err != nil {
		return err
	}
	if err := errors.Join(f.Sync(), f.Close(), syncDir(c.fs, c.dir)); err != nil {
		return err
	}
	c.aside = true
	c.unlock()
	if err := c.fs.RemoveAll(c.path(asideName)); err != nil {
		return err
	}
	if err := syncDir(c.fs, c.dir); err != nil {
		return err
	}
	if err := c.fs.Rename(c.path(storeName), c.path(asideName)); err != nil {
		return err
	}
	return syncDir(c.fs, c.dir)
}

// Quarantined tells whether a store was ever set aside here as unreadable: what
// was promised under its identity may be forgotten. It is asked at the start.
func (c *Store) Quarantined() bool { return c.aside }

// Get reads a record; it is used at the start only.
func (c *Store) Get(name string) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.last[name]), nil
}

// Scan gives the records whose names begin with prefix; it is used at the start only.
func (c *Store) Scan(prefix string) map[string][]byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string][]byte{}
	for k, v := range c.last {
		if v != nil && strings.HasPrefix(k, prefix) {
			out[k] = slices.Clone(v)
		}
	}
	return out
}

// Put writes a record; then is called once it is on disk, or can't be put
// there. A later Put of the same name may take its place on the way. One that
// failed is no promise, and may still be on disk now or later: the record is
// written again as it is then, with all others. Whoever reads it after a start
// must be able to live with either.
func (c *Store) Put(name string, value []byte, then func(error)) {
	if value == nil {
		value = []byte{}
	}
	c.PutAll(map[string][]byte{name: value}, then)
}

// Delete removes a record, on the terms of Put.
func (c *Store) Delete(name string, then func(error)) {
	c.PutAll(map[string][]byte{name: nil}, then)
}

// PutAll writes several records, and removes those whose value is nil: all of
// it is on disk, or nothing.
func (c *Store) PutAll(records map[string][]byte, then func(error)) {
	c.mu.Lock()
	if c.ended {
		c.mu.Unlock()
		if then != nil {
			go then(ErrClosed) // the caller may hold what it needs
		}
		return
	}
	maps.Copy(c.pending, records)
	if then != nil {
		c.waiting = append(c.waiting, then)
	}
	c.mu.Unlock()
	c.wake()
}

func (c *Store) run() {
	defer close(c.done)
	for range c.kick {
		c.mu.Lock()
		batch, waiting, closed, broken := c.pending, c.waiting, c.closed, c.broken
		c.pending, c.waiting = map[string][]byte{}, nil
		c.ended = closed
		maps.Copy(c.last, batch)
		c.mu.Unlock()
		var err error
		if len(batch) > 0 {
			start := time.Now()
			err = c.write(batch)
			if took := time.Since(start); took > c.slow && err == nil {
				events.Log(events.DiskDegraded, "waited", took)
			}
		}
		for _, f := range waiting {
			f(err)
		}
		if closed {
			if c.db != nil {
				shut(c.db)
			}
			c.unlock()
			return
		}
		if err != nil || broken {
			c.reopen()
		}
	}
}

func (c *Store) write(batch map[string][]byte) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("store: %v", r)
		}
	}()
	if c.db == nil {
		return errors.New("store is not open")
	}
	if c.disk.cut() {
		return errCut
	}
	b := c.db.NewBatch()
	for k, v := range batch {
		if v == nil {
			err = b.Delete([]byte(k), nil)
		} else {
			err = b.Set([]byte(k), v, nil)
		}
		if err != nil {
			return err
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken || c.disk.cut() {
		return errCut
	}
	for k, v := range batch {
		if v == nil {
			delete(c.last, k)
		}
	}
	return nil
}

// reopen closes the store, opens it anew and writes every record as it is
// now: what was refused is promised to nobody, but never forgotten either. A
// store that can't be read any more is set aside: all of it is in memory.
func (c *Store) reopen() {
	if c.db != nil {
		c.disk.drain()
		shut(c.db)
		c.db = nil
	}
	time.Sleep(c.again)
	db, _, err := c.open()
	if err != nil && unreadable(err) {
		if err = c.setAside(err); err == nil {
			db, _, err = c.open()
		}
	}
	if err != nil {
		events.Log(events.DiskDegraded, "err", err)
	} else {
		c.db = db
	}
	c.mu.Lock()
	for k, v := range c.last {
		if _, newer := c.pending[k]; !newer {
			c.pending[k] = v
		}
	}
	c.mu.Unlock()
	if err == nil {
		events.Log(events.DiskRecovered)
	}
	c.wake()
}

// Close writes what is waiting and closes the store, for at most the time
// given. What comes later is answered with ErrClosed.
func (c *Store) Close(within time.Duration) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.wake()
	select {
	case <-c.done:
	case <-time.After(within):
	}
}
