package control

import (
	"time"

	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
)

const (
	// maxPurgeBatch bounds how many purges one slot decides.
	maxPurgeBatch = 64
	// purgeQueueLength is how many purges may wait to be decided.
	purgeQueueLength = 1024
	// purgeBatchRatio, of the time that a purge may take to reach every cache,
	// is how long purges are collected into a batch.
	purgeBatchRatio = 0.02
)

// purgeController has purges decided in the log, in batches: each batch takes
// one slot. Its fields are not assigned after the start; the queue may be used
// from any goroutine.
type purgeController struct {
	server *Server
	queue  chan *pendingPurge
}

// pendingPurge is a purge that waits to be decided.
type pendingPurge struct {
	consensus.Purge
	// until is when its caller gives up.
	until time.Time
	// done gets whether the purge was decided. It has room for the answer, so
	// the controller does not wait for a caller that gave up.
	done chan bool
}

// purgeBatch is what a batch of pending purges proposes.
type purgeBatch struct {
	// purges holds each distinct purge once.
	purges []consensus.Purge
	// covered are the pending purges that the batch decides.
	covered map[*pendingPurge]bool
	// until is when the last of their callers gives up.
	until time.Time
}

func newPurgeController(s *Server) *purgeController {
	return &purgeController{server: s, queue: make(chan *pendingPurge, purgeQueueLength)}
}

// enqueue queues a purge, and reports false where the queue is full.
func (p *purgeController) enqueue(pending *pendingPurge) bool {
	select {
	case p.queue <- pending:
		return true
	default:
		return false
	}
}

// run decides the queued purges until the node stops.
func (p *purgeController) run() {
	for {
		select {
		case <-p.server.host.Stopping:
			return
		case first := <-p.queue:
			p.decideBatch(p.collect(first))
		}
	}
}

// collect waits a little for purges to join the first one.
func (p *purgeController) collect(first *pendingPurge) []*pendingPurge {
	pending := []*pendingPurge{first}
	time.Sleep(p.server.host.PurgeTime(purgeBatchRatio))
	for len(pending) < maxPurgeBatch {
		select {
		case next := <-p.queue:
			pending = append(pending, next)
		default:
			return pending
		}
	}
	return pending
}

// decideBatch has pending purges decided and tells each caller the outcome.
func (p *purgeController) decideBatch(pending []*pendingPurge) {
	covered := p.propose(pending)
	for _, purge := range pending {
		purge.done <- covered[purge]
	}
}

// newPurgeBatch batches the purges whose callers have not given up. Purges of
// the same content are decided once, under the ID of the first.
func newPurgeBatch(pending []*pendingPurge, now time.Time) purgeBatch {
	batch := purgeBatch{covered: map[*pendingPurge]bool{}}
	ids := map[consensus.Purge]string{}
	for _, purge := range pending {
		if now.After(purge.until) {
			continue
		}
		batch.covered[purge] = true
		if purge.until.After(batch.until) {
			batch.until = purge.until
		}
		content := purge.Purge
		content.ID = ""
		if id, known := ids[content]; known {
			purge.ID = id
			continue
		}
		ids[content] = purge.ID
		batch.purges = append(batch.purges, purge.Purge)
	}
	return batch
}

// propose proposes a batch until it is decided, and returns the pending purges
// that it covers; none where it is not decided before the last caller gives up.
func (p *purgeController) propose(pending []*pendingPurge) map[*pendingPurge]bool {
	s := p.server
	s.proposalLock.Lock()
	defer s.proposalLock.Unlock()
	// Only now, since the wait for the lock may have been long.
	batch := newPurgeBatch(pending, time.Now())
	if len(batch.purges) == 0 {
		return nil
	}
	for attempt := 0; ; attempt++ {
		s.proposalLock.YieldToUrgent()
		state := s.State()
		if state.HasPurge(batch.purges[0].ID) {
			events.Log(events.PurgesChosen, "last", state.PurgeSeq, "count", len(batch.purges))
			return batch.covered
		}
		if time.Now().After(batch.until) || s.isolated() {
			return nil
		}
		if !s.proposeUntil(state, &consensus.Value{Purges: batch.purges}, batch.until) {
			s.backOff(attempt)
		}
	}
}
