package membership

import "time"

// FailureDetector tells for how long other voters have not been heard. It does
// not count the time in which its own process did not run: messages that
// arrived meanwhile were not read, so a paused process would hold every other
// for silent when it resumes.
//
// It is a pure state machine without locks: the caller makes one call at a
// time. All times are readings of the node's own monotonic clock.
type FailureDetector struct {
	// maxTickGap is the longest time between two ticks of a process that runs.
	maxTickGap time.Duration
	// countingSince is the start, or the end of the last pause of this process.
	// No silence counts from before it.
	countingSince time.Duration
	lastTick      time.Duration
	// lastHeard is when each voter was heard last, or became a voter.
	lastHeard map[string]time.Duration
}

// NewFailureDetector makes a detector that starts at now. If two ticks are
// further apart than maxTickGap, the process is taken to have been paused.
func NewFailureDetector(maxTickGap, now time.Duration) *FailureDetector {
	return &FailureDetector{
		maxTickGap:    maxTickGap,
		countingSince: now,
		lastTick:      now,
		lastHeard:     map[string]time.Duration{},
	}
}

// Tick records that this process runs. It tells whether the process was paused
// before; after a pause all silence counts from now on.
func (d *FailureDetector) Tick(now time.Duration) (resumed bool) {
	resumed = d.paused(now)
	if resumed {
		d.countingSince = now
	}
	d.lastTick = now
	return resumed
}

// paused reports whether the process has not run for longer than a tick takes.
func (d *FailureDetector) paused(now time.Duration) bool { return now-d.lastTick > d.maxTickGap }

// ListeningSince is the start, or the end of the last pause of this process: no
// silence of any node may count from before it. It is now while the process has
// not ticked since a pause.
func (d *FailureDetector) ListeningSince(now time.Duration) time.Duration {
	if d.paused(now) {
		return now
	}
	return d.countingSince
}

// SetVoters sets whom to watch. The silence of a new voter counts from now on.
func (d *FailureDetector) SetVoters(ids []string, now time.Duration) {
	before := d.lastHeard
	d.lastHeard = make(map[string]time.Duration, len(ids))
	for _, id := range ids {
		at, known := before[id]
		if !known {
			at = now
		}
		d.lastHeard[id] = at
	}
}

// OnHeartbeat records that a voter was heard; nodes that are no voters are ignored.
func (d *FailureDetector) OnHeartbeat(id string, now time.Duration) {
	if _, watched := d.lastHeard[id]; watched {
		d.lastHeard[id] = now
	}
}

// SilentFor is for how long a voter has not been heard. It is 0 for nodes that
// are no voters, and for all while this process has not ticked since a pause.
func (d *FailureDetector) SilentFor(id string, now time.Duration) time.Duration {
	at, watched := d.lastHeard[id]
	if !watched || d.paused(now) {
		return 0
	}
	return now - max(at, d.countingSince)
}
