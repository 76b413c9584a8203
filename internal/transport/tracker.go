package transport

// ConnTracker knows the connections of a listener, and what of its process's
// Budget they take. A connection is active from the first byte of a request
// read to its response written.
type ConnTracker struct {
	budget *Budget

	// The lock of the budget guards the fields below.
	usage    usage
	conns    map[*serverConn]bool
	draining bool
}

// NewTracker returns the tracker of a listener whose connections share the
// budget with those of others.
func (b *Budget) NewTracker() *ConnTracker {
	return &ConnTracker{
		budget: b,
		usage:  usage{limits: b.total.limits.scaled(listenerShareNumerator, listenerShareDenominator)},
		conns:  map[*serverConn]bool{},
	}
}

// Drain ends the idle connections at once, and each active one once its
// response is written.
func (t *ConnTracker) Drain() {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	t.draining = true
	for c := range t.conns {
		if !c.isActive() {
			_ = c.Conn.SetReadDeadline(aLongTimeAgo)
		}
	}
}

// EndIdle ends the connections that have been idle for longest, up to a number.
func (t *ConnTracker) EndIdle(count int) {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	count -= t.budget.evictOldest(t, stateIdleHolding, count)
	t.budget.evictOldest(t, stateIdle, count)
}

// Active returns the number of connections with a request in progress.
func (t *ConnTracker) Active() int {
	t.budget.mu.Lock()
	defer t.budget.mu.Unlock()
	n := 0
	for c := range t.conns {
		if c.isActive() {
			n++
		}
	}
	return n
}

// isActive reports whether a request is in progress on the connection. The
// caller holds the budget's lock.
func (c *serverConn) isActive() bool {
	return !c.evicted && (c.state == stateReading || c.state == stateHandling || c.state == stateWriting)
}
