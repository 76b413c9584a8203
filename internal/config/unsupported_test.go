package config

import (
	"slices"
	"testing"
)

func TestUnsupported(t *testing.T) {
	for _, test := range []struct {
		name, raw string
		want      []string
	}{
		{"none", `{"Version":7,"Routes":[{"Name":"r","TrafficSplit":[{"Service":"s","Weight":1}]}],"Limits":{"IdleTimeoutMs":3}}`, nil},
		{"at each depth", `{"Version":7,"Quotas":[1],"Limits":{"Rate":1},"Routes":[{"Name":"a","Zone":"z"},{"Name":"b","Zone":"y","TrafficSplit":[{"Service":"s","Home":1}]}]}`,
			[]string{"Limits.Rate", "Quotas", "Routes[].TrafficSplit[].Home", "Routes[].Zone"}},
		{"empty ones ask for nothing", `{"Version":7,"Quotas":[],"Homes":{},"Other":null}`, nil},
		{"values", `{"Services":[{"Name":"a","Protocol":"h1","TransportSecurity":false},{"Name":"b","Protocol":"h2"},{"Name":"c","TransportSecurity":true}]}`,
			[]string{"Services[].Protocol=h2", "Services[].TransportSecurity=true"}},
		{"case matters", `{"version":7}`, []string{"version"}},
		{"not an object", `[1]`, nil},
		{"not JSON", `{"Version":`, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := Unsupported([]byte(test.raw)); !slices.Equal(got, test.want) {
				t.Fatalf("found %v, want %v", got, test.want)
			}
		})
	}
}

func TestUnsupportedSettings(t *testing.T) {
	settings := &Settings{ActiveContracts: []string{"base", "future", "scatter", "later"}, Discovery: "cloud_api", EntryKind: "anycast", CloudApi: &CloudAPI{Duties: []string{"usage_report"}}}
	if got, want := settings.Unsupported(), []string{"ActiveContracts=future", "ActiveContracts=later", "CloudApi.Duties=usage_report", "EntryKind=anycast"}; !slices.Equal(got, want) {
		t.Fatalf("unsupported %v, want %v", got, want)
	}
	if len(settings.ActiveContracts) != 4 {
		t.Fatal("the settings were changed")
	}
}

// A delta holds all fields in full but the items that did not change.
func TestUnsupportedAfterDelta(t *testing.T) {
	base := []string{"Quotas", "Routes[].Zone", "Services[].Home"}
	got := UnsupportedAfterDelta(base, []string{"Limits.Rate", "Routes[].Zone"}, ItemChanges{Lists: []string{"Routes", "Services"}})
	if want := []string{"Limits.Rate", "Routes[].Zone", "Services[].Home"}; !slices.Equal(got, want) {
		t.Fatalf("found %v, want %v", got, want)
	}
}

func TestUnsupportedOfPatch(t *testing.T) {
	patch, err := ParsePatch([]byte(`{"Version":8,"SetItems":{"Routes":[{"Name":"r","Zone":"z"}],"Services":[{"Name":"s"}]},"RemoveNames":{}}`))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := UnsupportedOfPatch(patch), []string{"Routes[].Zone"}; !slices.Equal(got, want) {
		t.Fatalf("found %v, want %v", got, want)
	}
}
