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

// duplicateOrderWindow, of Bounds.AcknowledgeMs, is how long after a decision a
// copy of that order counts as one that was delayed on its way.
const duplicateOrderWindow = 3

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

// decideOrder returns nil once a majority has chosen the order, now or earlier.
// Every outcome rests on a state that a majority confirmed after the call
// arrived. After until nothing is proposed any more: a caller that gave up must
// not find its order started later.
func (c *rolloutController) decideOrder(order consensus.Rollout, until time.Time) error {
	s := c.server
	s.proposalLock.Lock()
	defer s.proposalLock.Unlock()
	if _, ok := s.readDuringProposal(until); !ok {
		return ErrNoMajority
	}
	for attempt := 0; ; attempt++ {
		state := s.State()
		if done, err := c.orderSettled(state, order, until); done {
			return err
		}
		if err := orderConflict(state, order); err != nil {
			return err
		}
		order.FromVersion = c.versionInForce(state, order.Service)
		if time.Now().After(until) {
			continue
		}
		if !s.proposeUntil(state, &consensus.Value{Rollout: &order}, until) {
			s.backOff(attempt)
		}
	}
}

// orderSettled reports whether nothing is left to propose for an order: it was
// decided already, or can't be decided here and in time.
func (c *rolloutController) orderSettled(state consensus.State, order consensus.Rollout, until time.Time) (done bool, _ error) {
	last, known := state.Rollout(order.Service)
	switch {
	case known && last.SameOrder(order):
		return true, nil
	case time.Now().After(until):
		return true, ErrNotInTime
	case c.server.isolated():
		return true, ErrNoMajority
	case c.isDuplicate(state, order):
		events.Log(events.RolloutOrderStale, "service", order.Service, "to", order.TargetVersion)
		return true, nil
	}
	return false, nil
}

// orderConflict returns why an order can't start in a state.
func orderConflict(state consensus.State, order consensus.Rollout) error {
	if last, known := state.Rollout(order.Service); known && last.Running() {
		return &RolloutInProgressError{TargetVersion: last.TargetVersion}
	}
	if !hasService(state, order.Service) {
		return ErrUnknownService
	}
	return nil
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

// isDuplicate reports whether an order is a copy of an earlier one of its
// service that was decided so lately that the copy may only now have arrived.
func (c *rolloutController) isDuplicate(state consensus.State, order consensus.Rollout) bool {
	slot, ok := state.EarlierOrder(order)
	if !ok {
		return false
	}
	var knownAt time.Duration
	c.server.loop.Call(func() { knownAt = c.orderKnownAt[slot] })
	host := c.server.host
	return host.Now()-knownAt < config.Milliseconds(host.Settings().Bounds.AcknowledgeMs, duplicateOrderWindow)
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
