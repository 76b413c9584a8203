package control

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// Errors of operators' calls and of other nodes' calls. Their texts are what
// the caller reads. Those that httpStatus maps to 503 say nothing about
// whether a change was decided: the caller may send it again, to any node.
var (
	// ErrNoMajority: this node has not heard a majority of the voters lately.
	ErrNoMajority = errors.New("no majority can be reached")
	// ErrNotInTime: no majority agreed while the caller waited.
	ErrNotInTime = errors.New("no majority agreed in time")
	// ErrTooFewReplicas: the change is decided, but on too few disks to bear
	// the losses that the settings name.
	ErrTooFewReplicas = errors.New("too few nodes hold it yet")
	// ErrOrderMayBeCopy: an order equals one that was decided a while ago, and
	// can't be told from a copy of it.
	ErrOrderMayBeCopy = errors.New("an equal order was decided lately, and this may be a copy of it: send it again later, or with another DurationS")
	// ErrTooManyOrders: the state has no room to remember another order.
	ErrTooManyOrders = errors.New("too many orders were decided lately")
	// ErrTooManyPurges: the queue of purges is full.
	ErrTooManyPurges = errors.New("too many purges wait")
	// ErrNotAgreed: no change of the cache nodes was decided.
	ErrNotAgreed = errors.New("not agreed")
	// ErrDiskTooSlow: what the response rests on is not on disk in time.
	ErrDiskTooSlow = errors.New("the disk takes too long")
	// ErrRequestTooLarge: the body of an operator's call is above its bound.
	ErrRequestTooLarge = errors.New("the order is too large")
	// ErrNoConfiguration: nothing was configured yet.
	ErrNoConfiguration = errors.New("there is no configuration yet")
	// ErrNoRollout: no rollout of the service is known.
	ErrNoRollout = errors.New("no rollout was ever ordered for this service")
	// ErrUnknownService: the service is not in the configuration.
	ErrUnknownService = invalid("Service is not in the configuration")
)

// InvalidError says that a request can't be read, or asks for what is not
// allowed, whatever the state.
type InvalidError struct {
	Reason error
}

// Error is the reason's text.
func (e *InvalidError) Error() string { return e.Reason.Error() }

// Unwrap gives the reason.
func (e *InvalidError) Unwrap() error { return e.Reason }

// invalid makes an InvalidError of a text.
func invalid(text string) error { return &InvalidError{Reason: errors.New(text)} }

// StaleBaseError says that a change builds on another version of the
// configuration than the current one.
type StaleBaseError struct {
	Current int64
}

// Error names the current version.
func (e *StaleBaseError) Error() string { return fmt.Sprintf("version %d is current", e.Current) }

// RolloutInProgressError says that a service has another rollout that runs.
type RolloutInProgressError struct {
	TargetVersion string
}

// Error names the version that the other rollout is to.
func (e *RolloutInProgressError) Error() string {
	return "Service has another rollout under way, to " + e.TargetVersion
}

// httpStatus is the status that answers a call with that error, 200 for none.
// What is not listed is a fault of the moment.
func httpStatus(err error) int {
	var (
		invalid    *InvalidError
		stale      *StaleBaseError
		inProgress *RolloutInProgressError
	)
	switch {
	case err == nil:
		return http.StatusOK
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	case errors.Is(err, ErrNoConfiguration), errors.Is(err, ErrNoRollout):
		return http.StatusNotFound
	case errors.As(err, &inProgress):
		return http.StatusConflict
	case errors.As(err, &stale):
		return http.StatusPreconditionFailed
	case errors.Is(err, ErrRequestTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusServiceUnavailable
}

// writeOperatorError answers an operator's call that failed: a stale base comes
// with the current version as ETag, what may succeed later with Retry-After.
func (s *Server) writeOperatorError(c *app.RequestContext, err error) {
	status := httpStatus(err)
	if status == http.StatusServiceUnavailable {
		s.host.WriteUnavailable(c, err.Error())
		return
	}
	if stale := (*StaleBaseError)(nil); errors.As(err, &stale) {
		c.Response.Header.Set("ETag", strconv.FormatInt(stale.Current, 10))
	}
	transport.WriteError(c, status, err.Error())
}
