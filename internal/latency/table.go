package latency

import (
	"sync"
	"time"
)

// maxNames bounds how many names a Table keeps. Beyond it all start anew.
const maxNames = 4096

// Table holds a window for each of several names. The zero value is empty. It is
// safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	windows map[string]*Window
}

// Add adds a latency of a name.
func (t *Table) Add(name string, latency time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	window := t.windows[name]
	if window == nil {
		if t.windows == nil || len(t.windows) >= maxNames {
			t.windows = map[string]*Window{}
		}
		window = &Window{}
		t.windows[name] = window
	}
	window.Add(float64(latency) / float64(time.Millisecond))
}

// Percentiles returns the percentiles of a name's last latencies.
func (t *Table) Percentiles(name string) Percentiles {
	t.mu.Lock()
	defer t.mu.Unlock()
	if window := t.windows[name]; window != nil {
		return window.Percentiles()
	}
	return Percentiles{}
}
