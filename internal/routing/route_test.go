package routing

import (
	"testing"
	"time"

	"swiftswitch/internal/config"
)

func TestRouteDefaults(t *testing.T) {
	for _, test := range []struct {
		name                  string
		route                 *config.Route
		target                time.Duration
		attempts              int
		idempotent, cacheable bool
	}{
		{"nothing set", &config.Route{RouteKind: config.RouteKindSafe, TimeoutMs: 50}, 50 * time.Millisecond, 1, true, false},
		{"target above the timeout", &config.Route{RouteKind: config.RouteKindUnsafe, TimeoutMs: 50, TargetLatencyMs: 60, Attempts: 2}, 50 * time.Millisecond, 2, false, false},
		{"target below it", &config.Route{RouteKind: config.RouteKindCached, TimeoutMs: 50, TargetLatencyMs: 20, Attempts: 3}, 20 * time.Millisecond, 3, true, true},
		{"an upload", &config.Route{RouteKind: config.RouteKindUpload, TimeoutMs: 50}, 50 * time.Millisecond, 1, false, false},
		{"a download", &config.Route{RouteKind: config.RouteKindDownload, TimeoutMs: 50}, 50 * time.Millisecond, 1, true, false},
		{"a kind of a later version", &config.Route{RouteKind: "later", TimeoutMs: 50}, 50 * time.Millisecond, 1, false, false},
		{"attempts beyond number", &config.Route{RouteKind: config.RouteKindSafe, TimeoutMs: 50, Attempts: 1 << 30}, 50 * time.Millisecond, maxAttempts, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := newRoute(test.route)
			if r.TargetLatency != test.target || r.MaxAttempts != test.attempts || r.Idempotent != test.idempotent || r.Cacheable != test.cacheable {
				t.Fatalf("compiled to %+v", r)
			}
		})
	}
}

func TestPickService(t *testing.T) {
	split := &config.Route{TrafficSplit: []*config.WeightedService{
		{Service: "a", Weight: 1}, {Service: "none"}, {Service: "b", Weight: 3},
	}}
	for _, test := range []struct {
		name  string
		route *config.Route
		point float64
		want  string
	}{
		{"first", split, 0, "a"},
		{"end of the first", split, 0.2499, "a"},
		{"begin of the second", split, 0.25, "b"},
		{"end of the second", split, 0.9999, "b"},
		{"a rounding error past the end", split, 1, "b"},
		{"a single service", &config.Route{Service: "s"}, 0.7, "s"},
		{"a scattered route", &config.Route{GatheredServices: []string{"s1"}}, 0.7, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := newRoute(test.route).PickService(test.point); got != test.want {
				t.Fatalf("picked %q, want %q", got, test.want)
			}
		})
	}
}

func TestSplitsTo(t *testing.T) {
	r := newRoute(&config.Route{TrafficSplit: []*config.WeightedService{{Service: "a", Weight: 1}, {Service: "none"}}})
	for service, want := range map[string]bool{"a": true, "none": false, "other": false} {
		if got := r.SplitsTo(service); got != want {
			t.Errorf("splits to %s: %v, want %v", service, got, want)
		}
	}
}
