package compat

import (
	"testing"

	"swiftswitch/internal/config"
)

// What the operator's requests are read from.
func TestOperatorRequests(t *testing.T) {
	for raw, want := range map[string]config.PurgeRequest{
		`{"HostName":"h","Path":"/p"}`: {HostName: "h", Path: "/p"},
		`{"Tag":"t"}`:                  {Tag: "t"},
	} {
		if got, err := config.ParsePurgeRequest([]byte(raw)); err != nil || got != want {
			t.Errorf("%s: %+v %v", raw, got, err)
		}
	}
	if got, err := config.ParseRolloutRequest([]byte(`{"Service":"s","TargetVersion":"v","DurationS":1.5}`)); err != nil || got != (config.RolloutRequest{Service: "s", TargetVersion: "v", DurationS: 1.5}) {
		t.Errorf("%+v %v", got, err)
	}
	if _, err := config.ParsePatch([]byte(`{"Version":2,"SetItems":{"Routes":[{"Name":"r"}]},"RemoveNames":{"Services":["s"]}}`)); err != nil {
		t.Error(err)
	}
}
