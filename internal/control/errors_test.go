package control

import (
	"errors"
	"fmt"
	"testing"
)

func TestHTTPStatus(t *testing.T) {
	for _, c := range []struct {
		err  error
		want int
	}{
		{nil, 200},
		{&InvalidError{Reason: errors.New("x")}, 400},
		{ErrUnknownService, 400},
		{ErrNoConfiguration, 404},
		{ErrNoRollout, 404},
		{&RolloutInProgressError{TargetVersion: "v2"}, 409},
		{&StaleBaseError{Current: 3}, 412},
		{fmt.Errorf("wrapped: %w", &StaleBaseError{Current: 3}), 412},
		{ErrRequestTooLarge, 413},
		{ErrNoMajority, 503},
		{ErrNotInTime, 503},
		{ErrTooFewReplicas, 503},
		{ErrTooManyPurges, 503},
		{ErrNotAgreed, 503},
		{ErrDiskTooSlow, 503},
		{errors.New("another"), 503},
	} {
		if got := httpStatus(c.err); got != c.want {
			t.Errorf("%v: status %d, want %d", c.err, got, c.want)
		}
	}
}

// The texts are what operators and their programs read.
func TestErrorTexts(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{&StaleBaseError{Current: 3}, "version 3 is current"},
		{&RolloutInProgressError{TargetVersion: "v2"}, "Service has another rollout under way, to v2"},
		{&InvalidError{Reason: errors.New("the reason")}, "the reason"},
		{ErrUnknownService, "Service is not in the configuration"},
	} {
		if got := c.err.Error(); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}
