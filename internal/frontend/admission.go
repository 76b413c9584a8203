package frontend

import (
	"slices"
	"time"

	"swiftswitch/internal/scatter"
)

const (
	// headroomPerPriority is the part of a client's time that it may not spend
	// in a queue, for each step of a lower priority down to
	// maxHeadroomPriority: where a queue grows, the higher ranks still find room.
	headroomPerPriority = 0.15
	maxHeadroomPriority = 4
)

// canAnswerInTime reports whether enough shards are expected to answer in the
// time that the client has, so that the request can succeed. If not, it is
// better rejected before any of it runs: it would take slots from others.
func (h *Handler) canAnswerInTime(e *exchange, policy scatter.Policy, shards []*scatter.ShardRequest) bool {
	allowed := scaled(time.Until(e.deadlines.HardDeadline), 1-headroom(e.priority()))
	inTime := 0
	var late []time.Duration
	for _, shard := range shards {
		expected, free := h.gatherer.Upstream.ExpectedLatency(shard.Selector())
		switch {
		case free && expected <= allowed:
			inTime++
		case free:
			late = append(late, expected)
		}
	}
	if policy.IsEnough(inTime, len(shards)) {
		return true
	}
	slices.Sort(late)
	for i, expected := range late {
		if policy.IsEnough(inTime+i+1, len(shards)) {
			e.expectedWait = expected
			break
		}
	}
	return false
}

// headroom returns which part of its time a request of a priority leaves free.
func headroom(priority int) float64 {
	return headroomPerPriority * float64(min(max(0, priority), maxHeadroomPriority))
}
