package control

import (
	"slices"
	"sync"
	"time"
)

// proposalLock lets one proposal of a node run at a time: two would only preempt
// each other's ballots. Waiters get the lock in the order in which they came;
// changes of the voters, the urgent ones, come before all others, as the node
// may be unable to acknowledge anything before they are done.
//
// The zero value is an unlocked lock.
type proposalLock struct {
	mu sync.Mutex
	// locked stays true while the lock passes from one holder to the next.
	locked bool
	// urgent and normal are the waiters, first come first. A waiter's channel is
	// closed when it gets the lock.
	urgent, normal []chan struct{}
}

// Lock waits for the lock.
func (l *proposalLock) Lock() {
	if waiter := l.acquireOrEnqueue(&l.normal); waiter != nil {
		<-waiter
	}
}

// LockUrgent waits for the lock before all waiters of Lock, and reports whether
// it got it within the timeout.
func (l *proposalLock) LockUrgent(timeout time.Duration) bool {
	waiter := l.acquireOrEnqueue(&l.urgent)
	if waiter == nil {
		return true
	}
	select {
	case <-waiter:
		return true
	case <-time.After(timeout):
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	i := slices.Index(l.urgent, waiter)
	if i < 0 {
		// Unlock passed the lock on to it just as the time ran out.
		return true
	}
	l.urgent = slices.Delete(l.urgent, i, i+1)
	return false
}

// TryLock takes the lock if it is free.
func (l *proposalLock) TryLock() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.locked {
		return false
	}
	l.locked = true
	return true
}

// acquireOrEnqueue takes the lock if it is free, and returns nil; else it
// appends a waiter to the queue.
func (l *proposalLock) acquireOrEnqueue(queue *[]chan struct{}) (waiter chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.locked {
		l.locked = true
		return nil
	}
	waiter = make(chan struct{})
	*queue = append(*queue, waiter)
	return waiter
}

// Unlock passes the lock on to the next waiter.
func (l *proposalLock) Unlock() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, queue := range []*[]chan struct{}{&l.urgent, &l.normal} {
		if len(*queue) > 0 {
			close((*queue)[0])
			*queue = (*queue)[1:]
			return
		}
	}
	l.locked = false
}

// YieldToUrgent lets urgent waiters go first, and takes the lock again after
// them. A holder calls it between two attempts.
func (l *proposalLock) YieldToUrgent() {
	l.mu.Lock()
	hasUrgent := len(l.urgent) > 0
	l.mu.Unlock()
	if hasUrgent {
		l.Unlock()
		l.Lock()
	}
}
