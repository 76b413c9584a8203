package config

import (
	"strings"
	"testing"
)

// An empty request stands for an error.
func TestParseRolloutRequest(t *testing.T) {
	for raw, want := range map[string]RolloutRequest{
		`{"Service":"s","TargetVersion":"v2","DurationS":60}`:                                             {Service: "s", TargetVersion: "v2", DurationS: 60},
		`{"Service":"s","TargetVersion":"v2","DurationS":0.5,"New":[1]}`:                                  {Service: "s", TargetVersion: "v2", DurationS: 0.5},
		`{"TargetVersion":"v2","DurationS":60}`:                                                           {},
		`{"Service":"","TargetVersion":"v2","DurationS":60}`:                                              {},
		`{"Service":"s","DurationS":60}`:                                                                  {},
		`{"Service":"s","TargetVersion":"","DurationS":60}`:                                               {},
		`{"Service":"s","TargetVersion":"v2"}`:                                                            {},
		`{"Service":"s","TargetVersion":"v2","DurationS":0}`:                                              {},
		`{"Service":"s","TargetVersion":"v2","DurationS":-1}`:                                             {},
		`{"Service":"s","TargetVersion":"v2","DurationS":2592001}`:                                        {},
		`{"Service":"s","TargetVersion":"v2","DurationS":"60"}`:                                           {},
		`{"Service":"s","TargetVersion":"v2","DurationS":60} {}`:                                          {},
		`{"Service":"s","TargetVersion":"` + strings.Repeat("v", maxVersionBytes+1) + `","DurationS":60}`: {},
		`nonsense`: {},
	} {
		t.Run(raw, func(t *testing.T) {
			got, err := ParseRolloutRequest([]byte(raw))
			if got != want || (err == nil) != (want != RolloutRequest{}) {
				t.Errorf("got %+v, %v", got, err)
			}
		})
	}
}
