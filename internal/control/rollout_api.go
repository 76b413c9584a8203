package control

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// maxRolloutBytes bounds the body of an order.
const maxRolloutBytes = 16 << 10

// RolloutStatus is what the operator reads about a service's last order.
type RolloutStatus struct {
	Service       string          `json:"Service"`
	State         string          `json:"State"`
	TargetVersion string          `json:"TargetVersion"`
	FromVersion   string          `json:"FromVersion,omitempty"`
	Phase         consensus.Phase `json:"Phase"`
	DurationS     float64         `json:"DurationS"`
	// RemainingS is how much of the duration is left while the order runs.
	RemainingS float64 `json:"LeftS,omitempty"`
	// TargetAttempts counts the attempts at the new version, TotalAttempts
	// those at both versions.
	TargetAttempts int64 `json:"Asked,omitempty"`
	TotalAttempts  int64 `json:"Of,omitempty"`
	// Reason is why the last phase was decided.
	Reason string `json:"Why,omitempty"`
}

// rolloutAccepted answers an order that was decided.
type rolloutAccepted struct {
	Service       string `json:"Service"`
	TargetVersion string `json:"TargetVersion"`
}

// rolloutList answers a read of all services' orders.
type rolloutList struct {
	Rollouts []RolloutStatus `json:"Rollouts"`
}

// HandleRollout answers the operator's calls: a GET reads the orders, anything
// else is an order.
func (s *Server) HandleRollout(c *app.RequestContext, path string, until time.Time) {
	if string(c.Request.Header.Method()) == http.MethodGet {
		service := strings.Trim(strings.TrimPrefix(path, nodeapi.PathRollouts), "/")
		s.answerRollouts(c, service, until)
		return
	}
	if len(c.Request.Body()) > maxRolloutBytes {
		s.writeOperatorError(c, ErrRequestTooLarge)
		return
	}
	request, err := config.ParseRolloutRequest(c.Request.Body())
	if err != nil {
		events.Log(events.RolloutRejected, "why", err)
		s.writeOperatorError(c, &InvalidError{Reason: err})
		return
	}
	if err := s.orderRollout(request, until); err != nil {
		events.Log(events.RolloutRejected, "service", request.Service, "status", httpStatus(err), "why", err)
		s.writeOperatorError(c, err)
		return
	}
	transport.WriteJSON(c, http.StatusOK, rolloutAccepted{request.Service, request.TargetVersion})
}

// orderRollout has an order decided and waits until it bears the losses that
// the settings name.
func (s *Server) orderRollout(request config.RolloutRequest, until time.Time) error {
	order := consensus.Rollout{
		Service:       request.Service,
		TargetVersion: request.TargetVersion,
		DurationMs:    int64(max(1, request.DurationS*1000)),
	}
	if err := s.rollouts.decideOrder(order, until); err != nil {
		return err
	}
	if !s.waitReplicated(until) {
		return ErrTooFewReplicas
	}
	return nil
}

// decideOrder returns nil once a majority has chosen the order: now, or earlier
// where it is a copy. Every outcome rests on a state that a majority confirmed
// after the call arrived. After until nothing is proposed any more: a caller
// that gave up must not find its order started later.
func (c *rolloutController) decideOrder(order consensus.Rollout, until time.Time) error {
	s := c.server
	s.proposalLock.Lock()
	defer s.proposalLock.Unlock()
	confirmed, ok := s.readDuringProposal(until)
	if !ok {
		return ErrNoMajority
	}
	for attempt := 0; ; attempt++ {
		state := s.State()
		if state.Slot < confirmed.Slot {
			return ErrNoMajority // this node ends, and knows nothing any more
		}
		if past, ok := state.FindOrder(order); ok {
			if past.Slot > confirmed.Slot {
				return nil // it was chosen since the call arrived
			}
			return c.repeatedOrder(state, past)
		}
		if err := c.orderConflict(state, order, until); err != nil {
			return err
		}
		// A copy for each ballot: acceptors keep what they accepted.
		proposed := order
		proposed.FromVersion = c.versionInForce(state, order.Service)
		proposed.OrderedAtMs = time.Now().UnixMilli()
		value := &consensus.Value{Rollout: &proposed, RetiredOrderSlot: state.RetiredOrderSlot}
		if !s.proposeUntil(state, value, until) {
			s.backOff(attempt)
		}
	}
}

// repeatedOrder settles an order that equals one that is not retired: it is a
// copy of that one, or a new order that came too soon. It is acknowledged only
// where that is true of both: a copy was chosen, and a new order is in force.
func (c *rolloutController) repeatedOrder(state consensus.State, past consensus.PastOrder) error {
	last, _ := state.Rollout(past.Service)
	isLast := last.OrderSlot == past.Slot
	switch {
	case wasOrderedLately(past, time.Now(), c.server.host.Settings().Bounds.AcknowledgeMs):
		if !isLast {
			events.Log(events.RolloutOrderStale, "service", past.Service, "to", past.TargetVersion)
		}
		return nil
	case isLast && last.Phase == consensus.PhaseCompleted:
		return nil
	case isLast && last.Running():
		return &RolloutInProgressError{TargetVersion: last.TargetVersion}
	}
	return ErrOrderMayBeCopy
}

// orderConflict returns why an order can't start in a state, or not any more.
func (c *rolloutController) orderConflict(state consensus.State, order consensus.Rollout, until time.Time) error {
	last, known := state.Rollout(order.Service)
	switch {
	case time.Now().After(until):
		return ErrNotInTime
	case c.server.isolated():
		return ErrNoMajority
	case known && last.Running():
		return &RolloutInProgressError{TargetVersion: last.TargetVersion}
	case !hasService(state, order.Service):
		return ErrUnknownService
	case c.wouldForget(state, order.Service):
		return ErrTooManyOrders
	}
	return nil
}

// wouldForget reports whether a further order of a service would make the state
// forget one of which a copy may still be under way.
func (c *rolloutController) wouldForget(state consensus.State, service string) (forgets bool) {
	past, ok := state.OldestForgottenBy(service)
	if !ok {
		return false
	}
	c.server.loop.Call(func() { forgets = c.server.orders.mayBeCopied(past) })
	return forgets
}

// versionInForce is the version that an order of the service replaces: the one
// that its last order left in force, or without any order the one that the
// endpoint table began with.
func (c *rolloutController) versionInForce(state consensus.State, service string) (version string) {
	if last, known := state.Rollout(service); known {
		return last.ActiveVersion()
	}
	c.server.loop.Call(func() {
		if table := c.server.tables.current; table != nil {
			version = table.InitialVersions[service]
		}
	})
	return version
}

// hasService reports whether the configuration in force names a service.
func hasService(state consensus.State, service string) bool {
	configuration, err := config.DecodeConfiguration([]byte(state.Body))
	return err == nil && slices.ContainsFunc(configuration.Services, func(s *config.Service) bool { return s.Name == service })
}

// answerRollouts answers with the last order of a service, or of all where none is named.
func (s *Server) answerRollouts(c *app.RequestContext, service string, until time.Time) {
	s.answerRead(c, until, func(state consensus.State) {
		all := s.rollouts.statuses(state)
		if service == "" {
			transport.WriteJSON(c, http.StatusOK, rolloutList{all})
			return
		}
		i := slices.IndexFunc(all, func(r RolloutStatus) bool { return r.Service == service })
		if i < 0 {
			s.writeOperatorError(c, ErrNoRollout)
			return
		}
		transport.WriteJSON(c, http.StatusOK, all[i])
	})
}

// statuses lists the services' last orders, the one that changed last first.
func (c *rolloutController) statuses(state consensus.State) []RolloutStatus {
	list := []RolloutStatus{}
	c.server.loop.Call(func() {
		now := c.server.host.Now()
		for _, r := range slices.Backward(state.Rollouts) {
			list = append(list, c.status(r, now))
		}
	})
	return list
}

// status is an order as the operator reads it. It runs on Server.loop.
func (c *rolloutController) status(r consensus.Rollout, now time.Duration) RolloutStatus {
	status := RolloutStatus{
		Service:        r.Service,
		State:          r.Status(),
		TargetVersion:  r.TargetVersion,
		FromVersion:    r.FromVersion,
		Phase:          r.Phase,
		DurationS:      float64(r.DurationMs) / 1000,
		TargetAttempts: r.TargetAttempts,
		TotalAttempts:  r.TotalAttempts,
		Reason:         r.Reason,
	}
	if r.Running() {
		status.RemainingS = max(0, status.DurationS-c.clock.Elapsed(r.OrderSlot, now).Seconds())
	}
	return status
}
