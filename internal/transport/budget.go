package transport

import (
	"container/list"
	"errors"
	"sync"
	"time"

	"swiftswitch/internal/events"
	"swiftswitch/internal/metrics"
)

const (
	// listenerShareNumerator of listenerShareDenominator is the part of a budget
	// that one listener may take, so that callers of one leave room at others.
	listenerShareNumerator, listenerShareDenominator = 3, 4
	// evictionInterval is how often connections are looked for that can make
	// room, while others wait for it.
	evictionInterval = 50 * time.Millisecond
	// maxLeavingConnections are open at most beside the limit, until they end to
	// make room for others.
	maxLeavingConnections = 16
	// shortageLogInterval is how often it is logged at most that the budget is
	// used up.
	shortageLogInterval = time.Second
)

var (
	// errEvicted says that a connection was ended to make room for another.
	errEvicted = errors.New("ended to make room for another connection")
	// ErrNoRoom says that the budget had no room in time for a request, or for the
	// response to it.
	ErrNoRoom = errors.New("no room within the limits for callers")
)

// ResourceLimits bounds what callers may make a process take.
type ResourceLimits struct {
	// BufferBytes is for requests that are read or handled, and for responses
	// that their callers have not taken yet.
	BufferBytes int
	// Connections is how many accepted connections may be open.
	Connections int
}

// scaled returns a part of the limits.
func (l ResourceLimits) scaled(numerator, denominator int) ResourceLimits {
	return ResourceLimits{
		BufferBytes: l.BufferBytes * numerator / denominator,
		Connections: l.Connections * numerator / denominator,
	}
}

// usage is what is taken of ResourceLimits.
type usage struct {
	limits      ResourceLimits
	bytes       int
	connections int
	// leavingBytes and leavingConnections are those that evicted connections are
	// about to give back.
	leavingBytes       int
	leavingConnections int
}

func (u *usage) hasBytes(n int) bool { return u.bytes+n <= u.limits.BufferBytes }

// willHaveBytes is hasBytes once the evicted connections have ended.
func (u *usage) willHaveBytes(n int) bool {
	return u.bytes-u.leavingBytes+n <= u.limits.BufferBytes
}

// willHaveConnection reports whether there is room for a connection once the
// evicted ones have ended.
func (u *usage) willHaveConnection() bool {
	return u.connections-u.leavingConnections < u.limits.Connections
}

// hasTooManyLeaving reports whether evicted connections are still open that
// there is no room for.
func (u *usage) hasTooManyLeaving() bool {
	return u.connections > u.limits.Connections+maxLeavingConnections
}

// Budget bounds what the callers of all listeners of a process may take
// together: bytes that buffers hold for them, and connections. Each buffer that
// a caller can make grow takes its bytes before it grows, and each connection
// gives back all that it took when it ends, whatever the reason.
//
// Where there is no room, connections are ended that do nothing or that have
// been slow for longest; none whose request is being handled. Who still finds no
// room waits for it, the newest first: those that wait longest are the likeliest
// to have given up.
//
// It is safe for concurrent use. Its lock also guards the state of all
// connections.
type Budget struct {
	metrics budgetMetrics

	mu    sync.Mutex
	total usage
	// ended is signaled when a connection has ended.
	ended sync.Cond
	// byState holds the connections in each state, the one that entered it, or
	// made progress in it, first in front.
	byState [stateCount]list.List
	// waiting are the requests that wait for bytes, the newest last.
	waiting []*waiter
	// evicting: a timer is set to look for connections that can make room.
	evicting bool
	// shortageLoggedAt is when a shortage was logged last.
	shortageLoggedAt time.Time
}

// NewBudget returns a budget that shows what becomes of it in a registry, if
// that is not nil.
func NewBudget(limits ResourceLimits, registry *metrics.Registry) *Budget {
	b := &Budget{metrics: newBudgetMetrics(registry), total: usage{limits: limits}}
	b.ended.L = &b.mu
	return b
}

// unlimited is a budget that no test can use up.
func unlimited() *Budget {
	const plenty = 1 << 40
	return NewBudget(ResourceLimits{BufferBytes: plenty, Connections: plenty}, nil)
}

// beginResponse notes that a response of this size is being written.
func (b *Budget) beginResponse(c *serverConn, bytes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes <= freeBytes {
		bytes = 0
	}
	if !c.evicted {
		b.enter(c, stateWriting)
	}
	b.setResponseBytes(c, bytes)
}

// setResponseBytes sets what a connection holds for its response. The caller
// holds b.mu.
func (b *Budget) setResponseBytes(c *serverConn, bytes int) {
	more := bytes - c.responseBytes
	c.responseBytes = bytes
	b.charge(c, more)
	if more > 0 {
		b.evictForBytes(c, func(*usage) int { return 0 }, evictForMemoryInUse)
	} else {
		b.grantWaiting()
	}
}

// give gives bytes back that a connection took.
func (b *Budget) give(c *serverConn, bytes int) {
	if bytes == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.removed {
		return
	}
	b.charge(c, -bytes)
	b.grantWaiting()
}

// evictForBytes evicts connections until there will be as many bytes free as
// another needs, or no more can be evicted. The caller holds b.mu.
func (b *Budget) evictForBytes(other *serverConn, needs func(u *usage) int, policy evictionPolicy) {
	share := &other.tracker.usage
	for {
		shareIsShort := !share.willHaveBytes(needs(share))
		if !shareIsShort && b.total.willHaveBytes(needs(&b.total)) {
			return
		}
		if !b.evictOne(other, shareIsShort, policy) {
			return
		}
	}
}

// admit takes a connection that was accepted, and ends others where there is no
// room for it. It waits until there are not many more than the limit. ok is
// false where none can be ended.
func (b *Budget) admit(c *serverConn) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	share := &c.tracker.usage
	for !share.willHaveConnection() || !b.total.willHaveConnection() {
		b.logShortage()
		if !b.evictOne(c, !share.willHaveConnection(), evictForConnection) {
			c.removed = true // it took nothing
			return false
		}
	}
	b.total.connections++
	share.connections++
	c.tracker.conns[c] = true
	b.enter(c, stateIdle)
	for share.hasTooManyLeaving() || b.total.hasTooManyLeaving() {
		b.ended.Wait()
	}
	return true
}

// remove gives back all that a connection took. Its socket is closed by then.
func (b *Budget) remove(c *serverConn) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	delete(c.tracker.conns, c)
	b.leave(c)
	b.charge(c, -c.heldBytes)
	for _, u := range []*usage{&b.total, &c.tracker.usage} {
		u.connections--
		if c.evicted {
			u.leavingConnections--
		}
	}
	b.grantWaiting()
	b.ended.Broadcast()
}

// charge adds bytes, which may be negative, to what a connection holds. The
// caller holds b.mu.
func (b *Budget) charge(c *serverConn, bytes int) {
	c.heldBytes += bytes
	for _, u := range []*usage{&b.total, &c.tracker.usage} {
		u.bytes += bytes
		if c.evicted {
			u.leavingBytes += bytes
		}
	}
}

// logShortage logs that the budget is used up, from time to time. The caller
// holds b.mu.
func (b *Budget) logShortage() {
	if time.Since(b.shortageLoggedAt) < shortageLogInterval {
		return
	}
	b.shortageLoggedAt = time.Now()
	events.Log(events.CallersAtLimit, "bytes", b.total.bytes, "connections", b.total.connections, "waiting", len(b.waiting))
}

// Usage is what callers take of a budget at a moment.
type Usage struct {
	BufferBytes, Connections int
	// Waiting is how many requests wait for bytes.
	Waiting int
}

// Usage returns what is taken now.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return Usage{BufferBytes: b.total.bytes, Connections: b.total.connections, Waiting: len(b.waiting)}
}
