package control

import (
	"net/http"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/host"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// MaxPurgeBytes bounds the body of a purge request.
	MaxPurgeBytes = 64 << 10
	// purgeHoldRatio, of the time that a purge may take to reach every cache,
	// bounds the wait for the caches to hold it before it is acknowledged.
	purgeHoldRatio = 0.25
)

// purgeAccepted answers a purge that was decided, with its ID.
type purgeAccepted struct {
	ID string `json:"Purged"`
}

// HandlePurge answers the operator's purge. It is acknowledged once a majority
// agreed and the caches heard lately hold it, or soon after. A request bears no
// ID of its own, so one that is sent again may purge again: objects are dropped
// and fetched once more, and no cache serves an older one for it.
func (s *Server) HandlePurge(c *app.RequestContext, until time.Time) {
	if len(c.Request.Body()) > MaxPurgeBytes {
		s.writeOperatorError(c, ErrRequestTooLarge)
		return
	}
	request, err := config.ParsePurgeRequest(c.Request.Body())
	if err != nil {
		s.writeOperatorError(c, &InvalidError{Reason: err})
		return
	}
	pending := &pendingPurge{
		Purge: consensus.Purge{ID: host.RandomID(), Host: request.HostName, Path: request.Path, Tag: request.Tag},
		until: until,
		done:  make(chan bool, 1),
	}
	if !s.purges.enqueue(pending) {
		s.writeOperatorError(c, ErrTooManyPurges)
		return
	}
	if !s.waitPurge(pending) {
		events.Log(events.PurgeNoQuorum, "host", request.HostName, "path", request.Path, "tag", request.Tag)
		s.writeOperatorError(c, ErrNotInTime)
		return
	}
	s.fronts.waitHold(s.State().Slot, min(s.host.PurgeTime(purgeHoldRatio), time.Until(until)/2))
	transport.WriteJSON(c, http.StatusOK, purgeAccepted{pending.ID})
}

// waitPurge waits until a purge is decided and bears the losses that the
// settings name. It reports false where that fails or the node stops.
func (s *Server) waitPurge(pending *pendingPurge) bool {
	select {
	case decided := <-pending.done:
		return decided && s.waitReplicated(pending.until)
	case <-s.host.Stopping:
		return false
	}
}
