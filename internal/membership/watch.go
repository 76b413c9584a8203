package membership

import "time"

// FailureDetector is one node's failure detector. It runs on the node's steady clock.
type FailureDetector struct {
	gap   time.Duration
	since time.Duration
	tick  time.Duration
	heard map[string]time.Duration
}

// NewFailureDetector starts at now. A node whose ticks are further apart than gap did
// not run in between, and what it did not hear then says nothing of others.
func NewFailureDetector(gap, now time.Duration) *FailureDetector {
	return &FailureDetector{gap: gap, since: now, tick: now, heard: map[string]time.Duration{}}
}

// Tick notes that this node runs. After a gap all silence counts from now on.
func (w *FailureDetector) Tick(now time.Duration) (woke bool) {
	if woke = now-w.tick > w.gap; woke {
		w.since = now
	}
	w.tick = now
	return woke
}

// SetVoters follows the voters: silence of a new one counts from its vote on.
func (w *FailureDetector) SetVoters(ids []string, now time.Duration) {
	old := w.heard
	w.heard = map[string]time.Duration{}
	for _, id := range ids {
		at, ok := old[id]
		if !ok {
			at = now
		}
		w.heard[id] = at
	}
}

// OnHeartbeat notes a sign of life of a voter.
func (w *FailureDetector) OnHeartbeat(id string, now time.Duration) {
	if _, ok := w.heard[id]; ok {
		w.heard[id] = now
	}
}

// SilentFor is for how long a voter has not been heard. A node that has not run
// itself has no opinion.
func (w *FailureDetector) SilentFor(id string, now time.Duration) time.Duration {
	at, ok := w.heard[id]
	if !ok || now-w.tick > w.gap {
		return 0
	}
	return now - max(at, w.since)
}
