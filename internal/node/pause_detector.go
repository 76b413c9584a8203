package node

import (
	"time"

	"swiftswitch/internal/events"
)

const (
	// pauseRatio, of a caller's timeout, is the longest time between two
	// checks of a process that runs.
	pauseRatio = 0.25
	// checksPerThreshold is how often the detector checks within its threshold.
	checksPerThreshold = 4
)

// pauseThreshold is after how long without a check a process counts as paused.
func pauseThreshold(acknowledgeMs float64) time.Duration {
	return time.Duration(float64(callerTimeout(acknowledgeMs, 0)) * pauseRatio)
}

// pauseDetector notices that the process was paused: frozen, or without
// processor time. Calls that are read soon after may have waited in the
// sockets for as long, so that their callers may have gone on. It is not safe
// for concurrent use; a node's belongs to ViewLoop.
type pauseDetector struct {
	threshold time.Duration
	// lastCheck is the time of the last check, if checked is set; resumedAt is
	// the end of the last pause, if paused is set.
	lastCheck, resumedAt time.Duration
	checked, paused      bool
}

// check is called several times within the threshold. It returns how long the
// process was paused since the last call, 0 if it was not.
func (p *pauseDetector) check(now time.Duration) time.Duration {
	gap, first := now-p.lastCheck, !p.checked
	p.lastCheck, p.checked = now, true
	if first || gap <= p.threshold {
		return 0
	}
	p.resumedAt, p.paused = now, true
	return gap
}

// recentlyPaused reports whether a call that is read now may have waited while
// the process was paused.
func (p *pauseDetector) recentlyPaused(now time.Duration) bool {
	return p.paused && now-p.resumedAt < p.threshold
}

// checkPause checks for a pause and logs it. It must be called from ViewLoop.
func (n *Node) checkPause() {
	if pause := n.pauses.check(n.Now()); pause > 0 {
		events.Log(events.ProcessPaused, "for", pause)
	}
}

func (n *Node) pauseLoop() {
	for {
		select {
		case <-n.Stopping:
			return
		case <-time.After(n.pauses.threshold / checksPerThreshold):
			n.ViewLoop.Call(n.checkPause)
		}
	}
}

// recentlyPaused reports whether a call that has just been read may be an old
// one. The check before it finds a pause that ended just now.
func (n *Node) recentlyPaused() (paused bool) {
	n.ViewLoop.Call(func() {
		n.checkPause()
		paused = n.pauses.recentlyPaused(n.Now())
	})
	return paused
}
