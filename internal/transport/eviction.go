package transport

import (
	"container/list"
	"time"
)

// connState is what a connection is at.
type connState int

const (
	// stateIdle: nothing of a request was read since the last response.
	stateIdle connState = iota
	// stateIdleHolding is stateIdle with memory held that the last request took.
	stateIdleHolding
	// stateLingering: the request was refused, and what the caller still sends is
	// discarded for a moment, so that the refusal reaches it.
	stateLingering
	// stateReading: a part of a request was read.
	stateReading
	// stateHandling: the whole request was read and there is no response yet.
	stateHandling
	// stateWriting: the response is being written.
	stateWriting
	stateCount
)

// evictionPolicy says which connections make room for a purpose.
type evictionPolicy struct {
	// states are those of such connections, the first before the others.
	states []connState
	// evenInTime: connections make room too that are within the time that
	// ordinary callers need.
	evenInTime bool
}

var (
	evictForConnection = evictionPolicy{states: []connState{stateLingering, stateIdleHolding, stateIdle, stateReading, stateWriting}}
	evictForRequest    = evictionPolicy{states: []connState{stateLingering, stateIdleHolding, stateReading, stateWriting}}
	evictForResponse   = evictionPolicy{states: []connState{stateLingering, stateIdleHolding, stateWriting, stateReading}}
	// evictForMemoryInUse is for a response that takes memory already.
	evictForMemoryInUse = evictionPolicy{states: []connState{stateLingering, stateIdleHolding, stateWriting}, evenInTime: true}
)

// enter puts a connection in a state. The caller holds b.mu.
func (b *Budget) enter(c *serverConn, state connState) {
	b.leave(c)
	c.state = state
	c.stateSince = time.Now()
	c.element = b.byState[state].PushBack(c)
}

// leave takes a connection out of its state. The caller holds b.mu.
func (b *Budget) leave(c *serverConn) {
	if c.element != nil {
		b.byState[c.state].Remove(c.element)
		c.element = nil
	}
}

// progress notes that a connection's caller has taken some of its response.
func (b *Budget) progress(c *serverConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.element != nil {
		c.stateSince = time.Now()
		b.byState[c.state].MoveToBack(c.element)
	}
}

// evictOne ends the connection that has been in one of the states for longest, or
// longest without progress in it, to make room for another one, and reports whether there is one. sameListener
// says that room is wanted in the share of the other's listener. The caller
// holds b.mu.
func (b *Budget) evictOne(other *serverConn, sameListener bool, policy evictionPolicy) bool {
	for _, state := range policy.states {
		for element := b.byState[state].Front(); element != nil; element = element.Next() {
			c := element.Value.(*serverConn)
			if c == other || sameListener && c.tracker != other.tracker {
				continue
			}
			if !policy.evenInTime && !c.isOverTime() {
				continue
			}
			b.evict(c)
			return true
		}
	}
	return false
}

// evictOldest ends up to a number of a tracker's connections in a state, the one
// first that has been in it for longest. The caller holds b.mu.
func (b *Budget) evictOldest(t *ConnTracker, state connState, count int) (evicted int) {
	var next *list.Element
	for element := b.byState[state].Front(); element != nil && evicted < count; element = next {
		next = element.Next()
		if c := element.Value.(*serverConn); c.tracker == t {
			b.evict(c)
			evicted++
		}
	}
	return evicted
}

// evict has a connection end. Its goroutine gives back what it holds. The caller
// holds b.mu.
func (b *Budget) evict(c *serverConn) {
	b.metrics.evictions[c.state].Inc()
	b.leave(c)
	c.evicted = true
	close(c.evictedSignal)
	for _, u := range []*usage{&b.total, &c.tracker.usage} {
		u.leavingConnections++
		u.leavingBytes += c.heldBytes
	}
	_ = c.Conn.SetReadDeadline(aLongTimeAgo)
	if c.state == stateWriting {
		_ = c.Conn.SetWriteDeadline(aLongTimeAgo)
	}
}

// isOverTime reports whether the reading of a request, or the writing of a response
// without progress, lasts longer than ordinary callers need. The caller holds the
// budget's lock.
func (c *serverConn) isOverTime() bool {
	if c.state != stateReading && c.state != stateWriting {
		return true
	}
	return time.Since(c.stateSince) >= c.evictableAfter
}
