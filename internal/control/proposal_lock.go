package control

import (
	"slices"
	"sync"
	"time"
)

// proposalLock lets one proposal of a node run at a time. Those that wait come one
// after the other; a change of members comes before them.
type proposalLock struct {
	mu              sync.Mutex
	held            bool
	urgent, waiting []chan struct{}
}

// Lock waits for its turn.
func (t *proposalLock) Lock() {
	if w := t.enqueue(&t.waiting); w != nil {
		<-w
	}
}

// LockUrgent waits in front of all others, at most for the time given.
func (t *proposalLock) LockUrgent(within time.Duration) bool {
	w := t.enqueue(&t.urgent)
	if w == nil {
		return true
	}
	select {
	case <-w:
		return true
	case <-time.After(within):
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := slices.Index(t.urgent, w); i >= 0 {
		t.urgent = slices.Delete(t.urgent, i, i+1)
		return false
	}
	return true
}

// TryLock takes the turn if nobody has it.
func (t *proposalLock) TryLock() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.held {
		return false
	}
	t.held = true
	return true
}

// enqueue returns nil when the turn is had at once.
func (t *proposalLock) enqueue(l *[]chan struct{}) chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.held {
		t.held = true
		return nil
	}
	w := make(chan struct{})
	*l = append(*l, w)
	return w
}

// Unlock passes the turn on.
func (t *proposalLock) Unlock() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, l := range []*[]chan struct{}{&t.urgent, &t.waiting} {
		if len(*l) > 0 {
			close((*l)[0])
			*l = (*l)[1:]
			return
		}
	}
	t.held = false
}

// YieldToUrgent lets a change of members through, between two rounds.
func (t *proposalLock) YieldToUrgent() {
	t.mu.Lock()
	waits := len(t.urgent) > 0
	t.mu.Unlock()
	if waits {
		t.Unlock()
		t.Lock()
	}
}
