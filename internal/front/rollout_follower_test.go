package front

import (
	"context"
	"math"
	"os"
	"testing"
	"time"

	"swiftswitch/internal/rollout"
	"swiftswitch/internal/upstream"
)

// An attempt counts as a failure, as an answer with its latency, as an answer
// without, or not at all.
func TestAttemptSample(t *testing.T) {
	const target = 100 * time.Millisecond
	failure := rollout.Sample{Attempts: 1, Failures: 1}
	logMs := math.Log(50)
	timed := rollout.Sample{Attempts: 1, Timed: 1, LogLatency: logMs, LogLatencySquared: logMs * logMs}
	for name, c := range map[string]struct {
		attempt upstream.Attempt
		want    rollout.Sample
		ok      bool
	}{
		"answered":                  {upstream.Attempt{Status: 200, Stamp: "s", Duration: 50 * time.Millisecond}, timed, true},
		"answered while warming":    {upstream.Attempt{Status: 200, Stamp: "s", Duration: 50 * time.Millisecond, WarmingUp: true}, rollout.Sample{Attempts: 1}, true},
		"client error":              {upstream.Attempt{Status: 404, Duration: 50 * time.Millisecond}, timed, true},
		"without a stamp":           {upstream.Attempt{Status: 200, Duration: 50 * time.Millisecond}, failure, true},
		"server error":              {upstream.Attempt{Status: 500, Stamp: "s", Duration: 50 * time.Millisecond}, failure, true},
		"no answer":                 {upstream.Attempt{Outcome: upstream.OutcomeUnknown}, failure, true},
		"unprocessed":               {upstream.Attempt{Outcome: upstream.OutcomeUnprocessed, Status: 503}, failure, true},
		"cut short":                 {upstream.Attempt{Outcome: upstream.OutcomeUnknown, Err: os.ErrDeadlineExceeded, Duration: target - 1}, rollout.Sample{}, false},
		"canceled early":            {upstream.Attempt{Outcome: upstream.OutcomeUnknown, Err: context.DeadlineExceeded, Duration: 0}, rollout.Sample{}, false},
		"504 before the target":     {upstream.Attempt{Status: 504, Duration: target - 1}, rollout.Sample{}, false},
		"timed out after target":    {upstream.Attempt{Outcome: upstream.OutcomeUnknown, Err: os.ErrDeadlineExceeded, Duration: target}, failure, true},
		"504 after the target":      {upstream.Attempt{Status: 504, Duration: 2 * target}, failure, true},
		"answered in no time":       {upstream.Attempt{Status: 200, Stamp: "s"}, rollout.Sample{Attempts: 1}, true},
		"answered after the target": {upstream.Attempt{Status: 503, Duration: 2 * target}, failure, true},
	} {
		t.Run(name, func(t *testing.T) {
			if got, ok := attemptSample(&c.attempt, target); got != c.want || ok != c.ok {
				t.Errorf("%+v, %v, want %+v, %v", got, ok, c.want, c.ok)
			}
		})
	}
}
