package cellar

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"swiftswitch/internal/logbook"
)

// Cellar is a store of small records under names.
type Cellar struct {
	dir   string
	again time.Duration
	slow  time.Duration

	mu      sync.Mutex
	kick    chan struct{}
	pending map[string][]byte
	waiting []func(error)
	closed  bool
	done    chan struct{}
	db      *pebble.DB
	broken  bool
	last    map[string][]byte
}

type quiet struct{ c *Cellar }

func (quiet) Infof(string, ...any)    {}
func (q quiet) Errorf(string, ...any) {}

// Fatalf is what pebble calls when it can't go on. The process can: the store is opened anew.
func (q quiet) Fatalf(format string, a ...any) {
	q.c.mu.Lock()
	q.c.broken = true
	q.c.mu.Unlock()
	logbook.Log(logbook.DiskTrouble, "err", fmt.Sprintf(format, a...))
}

func (c *Cellar) open() (*pebble.DB, error) {
	cache := pebble.NewCache(256 << 10)
	defer cache.Unref()
	o := &pebble.Options{
		Cache: cache, MemTableSize: 512 << 10, MemTableStopWritesThreshold: 2, Logger: quiet{c},
		MaxOpenFiles: 32, DisableAutomaticCompactions: false, FormatMajorVersion: pebble.FormatNewest,
	}
	o.CompactionConcurrencyRange = func() (int, int) { return 1, 1 }
	return pebble.Open(filepath.Join(c.dir, "cellar"), o)
}

// Open opens the store in dir. Waits that are longer than slow are logged,
// and a broken store is opened again each time again has passed.
func Open(dir string, slow, again time.Duration) (*Cellar, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	c := &Cellar{dir: dir, again: again, slow: slow, kick: make(chan struct{}, 1), pending: map[string][]byte{}, done: make(chan struct{}), last: map[string][]byte{}}
	db, err := c.open()
	if err != nil && pebble.IsCorruptionError(err) {
		// What can't be read is as good as lost: the node starts as one whose
		// disk is empty, under a new identity. The old store is kept aside, once.
		logbook.Log(logbook.DiskUnreadable, "err", err)
		aside := filepath.Join(dir, "cellar-unreadable")
		if err := os.RemoveAll(aside); err != nil {
			return nil, err
		}
		if err := os.Rename(filepath.Join(dir, "cellar"), aside); err != nil {
			return nil, err
		}
		db, err = c.open()
	}
	if err != nil {
		return nil, err
	}
	c.db = db
	go c.run()
	return c, nil
}

// Get reads a record; it is used at the start only.
func (c *Cellar) Get(name string) ([]byte, error) {
	v, cl, err := c.db.Get([]byte(name))
	if errors.Is(err, pebble.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	out := append([]byte(nil), v...)
	c.mu.Lock()
	c.last[name] = out
	c.mu.Unlock()
	return out, cl.Close()
}

// Put writes a record; then is called once it is on disk, or can't be put
// there. A later Put of the same name may take its place on the way.
func (c *Cellar) Put(name string, value []byte, then func(error)) {
	c.PutAll(map[string][]byte{name: value}, then)
}

// PutAll writes several records: all of them are on disk, or none.
func (c *Cellar) PutAll(records map[string][]byte, then func(error)) {
	c.mu.Lock()
	for name, value := range records {
		c.pending[name] = value
	}
	if then != nil {
		c.waiting = append(c.waiting, then)
	}
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

func (c *Cellar) run() {
	defer close(c.done)
	for range c.kick {
		c.mu.Lock()
		batch, waiting, closed := c.pending, c.waiting, c.closed
		c.pending, c.waiting = map[string][]byte{}, nil
		c.mu.Unlock()
		if len(batch) > 0 {
			start := time.Now()
			err := c.write(batch)
			if took := time.Since(start); took > c.slow && err == nil {
				logbook.Log(logbook.DiskTrouble, "waited", took)
			}
			for _, f := range waiting {
				f(err)
			}
			if err != nil && !closed {
				c.reopen()
			}
		}
		if closed {
			if c.db != nil {
				_ = c.db.Close()
			}
			return
		}
	}
}

func (c *Cellar) write(batch map[string][]byte) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("store: %v", r)
		}
	}()
	for k, v := range batch {
		c.last[k] = v
	}
	if c.db == nil {
		return errors.New("store is not open")
	}
	b := c.db.NewBatch()
	for k, v := range batch {
		if err := b.Set([]byte(k), v, nil); err != nil {
			return err
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.broken {
		return errors.New("store is broken")
	}
	return nil
}

// reopen closes the store, opens it anew and writes every record as it is
// now: what was refused is promised to nobody, but never forgotten either.
func (c *Cellar) reopen() {
	defer func() {
		if r := recover(); r != nil {
			logbook.Log(logbook.DiskTrouble, "err", r)
		}
	}()
	if c.db != nil {
		old := c.db
		c.db = nil
		func() {
			defer func() { _ = recover() }()
			_ = old.Close()
		}()
	}
	time.Sleep(c.again)
	c.mu.Lock()
	c.broken = false
	c.mu.Unlock()
	db, err := c.open()
	if err != nil {
		logbook.Log(logbook.DiskTrouble, "err", err)
	} else {
		c.db = db
	}
	all := map[string][]byte{}
	for k, v := range c.last {
		all[k] = v
	}
	c.mu.Lock()
	for k, v := range all {
		if _, newer := c.pending[k]; !newer {
			c.pending[k] = v
		}
	}
	c.mu.Unlock()
	if err == nil {
		logbook.Log(logbook.DiskBack)
	}
	select {
	case c.kick <- struct{}{}:
	default:
	}
}

// Close writes what is waiting and closes the store, for at most the time given.
func (c *Cellar) Close(within time.Duration) {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	select {
	case c.kick <- struct{}{}:
	default:
	}
	select {
	case <-c.done:
	case <-time.After(within):
	}
}
