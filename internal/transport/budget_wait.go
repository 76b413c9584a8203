package transport

import "time"

// waiter is a connection that waits for bytes, for its request or for the
// response to it.
type waiter struct {
	conn       *serverConn
	bytes      int
	isResponse bool
	granted    chan struct{}
}

// keptForResponses is the part of the bytes that requests leave for responses:
// requests that hold all would wait for room for their own responses.
const keptForResponses = 4

// needs returns how many bytes must be free for a waiter.
func (w *waiter) needs(u *usage) int {
	if w.isResponse {
		return w.bytes
	}
	return w.bytes + u.limits.BufferBytes/keptForResponses
}

// policy returns which connections make room for a waiter.
func (w *waiter) policy() evictionPolicy {
	if w.isResponse {
		return evictForResponse
	}
	return evictForRequest
}

// take takes bytes for a connection's request, waiting for room until the
// deadline.
func (b *Budget) take(c *serverConn, bytes int, deadline time.Time) error {
	return b.await(&waiter{conn: c, bytes: bytes}, deadline)
}

// takeResponse takes more bytes for the response to the request that a
// connection's caller waits for, waiting for room until the deadline.
func (b *Budget) takeResponse(c *serverConn, bytes int, deadline time.Time) error {
	b.mu.Lock()
	awaited := c.state == stateHandling && !c.removed
	b.mu.Unlock()
	if !awaited {
		return nil
	}
	return b.await(&waiter{conn: c, bytes: bytes, isResponse: true}, deadline)
}

// await takes what a waiter waits for, or returns why it can't.
func (b *Budget) await(w *waiter, deadline time.Time) error {
	b.mu.Lock()
	if w.conn.evicted {
		b.mu.Unlock()
		return errEvicted
	}
	if b.hasBytesFor(w) {
		b.grant(w)
		b.mu.Unlock()
		return nil
	}
	w.granted = make(chan struct{})
	b.waiting = append(b.waiting, w)
	b.makeRoom(w)
	b.grantWaiting()
	b.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.granted:
		return nil
	case <-w.conn.evictedSignal:
	case <-w.conn.caller.ctx.Done():
	case <-timer.C:
	}
	return b.stopWaiting(w)
}

func (b *Budget) hasBytesFor(w *waiter) bool {
	share := &w.conn.tracker.usage
	return b.total.hasBytes(w.needs(&b.total)) && share.hasBytes(w.needs(share))
}

// grant gives a waiter its bytes. The caller holds b.mu.
func (b *Budget) grant(w *waiter) {
	if w.isResponse {
		w.conn.responseBytes += w.bytes
	}
	b.charge(w.conn, w.bytes)
}

// stopWaiting returns why a waiter that was not granted in time has no bytes,
// or nil if it was granted meanwhile.
func (b *Budget) stopWaiting(w *waiter) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, other := range b.waiting {
		if other == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			if w.conn.evicted {
				return errEvicted
			}
			return ErrNoRoom
		}
	}
	return nil
}

// grantWaiting gives the waiting what there is room for: responses first, whose
// requests give back what they hold with them, and the newest first.
func (b *Budget) grantWaiting() {
	if len(b.waiting) == 0 {
		return
	}
	for _, isResponse := range []bool{true, false} {
		for i := len(b.waiting) - 1; i >= 0; i-- {
			w := b.waiting[i]
			if w.isResponse != isResponse || w.conn.evicted || !b.hasBytesFor(w) {
				continue
			}
			b.grantAt(i)
		}
	}
	b.breakDeadlock()
}

// grantAt grants the waiter at an index. The caller holds b.mu.
func (b *Budget) grantAt(i int) {
	w := b.waiting[i]
	b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
	b.grant(w)
	close(w.granted)
}

// breakDeadlock grants a response what there is no room for, if all connections
// that hold a part of one wait for more, so that none would give any back. The
// caller holds b.mu.
func (b *Budget) breakDeadlock() {
	waits := map[*serverConn]bool{}
	oldest := -1
	for i, w := range b.waiting {
		if w.isResponse {
			waits[w.conn] = true
			if oldest < 0 && w.conn.responseBytes > 0 {
				oldest = i
			}
		}
	}
	if oldest < 0 {
		return
	}
	for element := b.byState[stateHandling].Front(); element != nil; element = element.Next() {
		if c := element.Value.(*serverConn); c.responseBytes > 0 && !waits[c] {
			return
		}
	}
	b.grantAt(oldest)
}

// makeRoom evicts connections until there will be room for a waiter, and sees to
// it that more are looked for later if there is none yet. The caller holds b.mu.
func (b *Budget) makeRoom(w *waiter) {
	b.evictForBytes(w.conn, w.needs, w.policy())
	b.logShortage()
	if !b.evicting {
		b.evicting = true
		time.AfterFunc(evictionInterval, b.makeRoomLater)
	}
}

// makeRoomLater evicts connections that have become slow enough for it since,
// for the newest waiter.
func (b *Budget) makeRoomLater() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.evicting = false
	if len(b.waiting) > 0 {
		b.makeRoom(b.waiting[len(b.waiting)-1])
	}
}
