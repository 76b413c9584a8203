package rollout

import "sync"

// Recorder counts this node's own attempts. It may be used from any goroutine;
// its zero value is empty and ready.
type Recorder struct {
	mu    sync.Mutex
	cells map[Cell]Sample // guarded by mu
}

// Record counts attempts.
func (r *Recorder) Record(c Cell, s Sample) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cells == nil {
		r.cells = map[Cell]Sample{}
	}
	addBounded(r.cells, c, s)
}

// Drain returns what was counted since the last call, and forgets it.
func (r *Recorder) Drain() (entries []Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c, s := range r.cells {
		entries = append(entries, Entry{c, s})
	}
	clear(r.cells)
	return entries
}
