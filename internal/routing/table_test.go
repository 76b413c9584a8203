package routing

import (
	"slices"
	"testing"
	"time"

	"swiftswitch/internal/config"
)

var defaultLimits = Limits{HeaderBytes: 100, BodyBytes: 200, HeaderTimeout: time.Second, IdleTimeout: time.Minute}

func compile(routes ...*config.Route) *Table {
	return Compile(&config.Configuration{Version: 3, Routes: routes}, defaultLimits, nil)
}

func TestMatch(t *testing.T) {
	table := compile(
		&config.Route{Name: "root", HostName: "a.example", PathPrefix: "/"},
		&config.Route{Name: "deep", HostName: "A.example", PathPrefix: "/x/y/"},
		&config.Route{Name: "x", HostName: "a.example", PathPrefix: "/x/"},
		&config.Route{Name: "other", HostName: "b.example", PathPrefix: "/x/"},
	)
	for _, test := range []struct{ host, target, want string }{
		{"a.example", "/", "root"},
		{"a.example", "/x/", "x"},
		{"a.example", "/x/y/z", "deep"},
		{"a.example", "/x/yy", "x"},
		{"a.example", "/x", "root"},
		{"a.example", "/?/x/y/", "root"},
		{"a.example", "/x/?/y/", "x"},
		{"A.Example:8080", "/x/y/", "deep"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/", ""},
		{"", "/", ""},
	} {
		got := ""
		if r := table.Match(test.host, test.target); r != nil {
			got = r.Name
		}
		if got != test.want {
			t.Errorf("%s%s goes to %q, want %q", test.host, test.target, got, test.want)
		}
	}
}

func TestShards(t *testing.T) {
	table := compile(
		&config.Route{HostName: "a", PathPrefix: "/", GatheredServices: []string{"s2", "s1"}},
		&config.Route{HostName: "b", PathPrefix: "/", GatheredServices: []string{"s3", "s1"}},
		&config.Route{HostName: "b", PathPrefix: "/c/", Service: "single"},
	)
	if got, want := table.Shards(), []string{"s1", "s2", "s3"}; !slices.Equal(got, want) {
		t.Fatalf("shards %v, want %v", got, want)
	}
}

func TestLimits(t *testing.T) {
	if got := compile().Limits; got != defaultLimits {
		t.Fatalf("limits %+v where none are set", got)
	}
	set := &config.ClientLimits{BodySizeBytes: 7, IdleTimeoutMs: 9}
	got := Compile(&config.Configuration{Limits: set}, defaultLimits, nil).Limits
	want := Limits{HeaderBytes: 100, BodyBytes: 7, HeaderTimeout: time.Second, IdleTimeout: 9 * time.Millisecond}
	if got != want {
		t.Fatalf("limits %+v, want %+v", got, want)
	}
}
