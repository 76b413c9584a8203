package config

import "testing"

// patchOfValid changes a route and adds one, and swaps a service for another.
const patchOfValid = `{"Version":9,"SetItems":{"Routes":[
 {"Name":"g","HostName":"a.example","PathPrefix":"/x/","RouteKind":"cached","TimeoutMs":9,"Service":"s","CacheLifetimeS":2.5},
 {"Name":"new","HostName":"b.example","PathPrefix":"/","RouteKind":"safe","TimeoutMs":9,"Service":"v"}],
 "Services":[{"Name":"v","RequestsPerS":10}]},"RemoveNames":{"Routes":["p","never-there"],"Services":["u"]}}`

// applyPatch returns the valid configuration after a patch.
func applyPatch(t *testing.T, patch string) []byte {
	t.Helper()
	p, err := ParsePatch([]byte(patch))
	if err != nil {
		t.Fatal(err)
	}
	patched, err := p.Apply([]byte(validConfiguration))
	if err != nil {
		t.Fatal(err)
	}
	return patched
}

func TestPatchApply(t *testing.T) {
	c, err := ParseConfiguration(applyPatch(t, patchOfValid))
	if err != nil || c.Version != 9 || len(c.Routes) != 2 || c.Routes[0].RouteKind != RouteKindCached || c.Routes[1].Name != "new" || len(c.Services) != 2 || c.Limits.IdleTimeoutMs != 15000 {
		t.Fatalf("%v %v", c, err)
	}
}

func TestPatchApplyLeavesValidationToParse(t *testing.T) {
	patched := applyPatch(t, `{"Version":9,"RemoveNames":{"Services":["s"]}}`)
	if _, err := ParseConfiguration(patched); err == nil {
		t.Fatal("a service that routes name was removed")
	}
}

func TestParsePatchRejects(t *testing.T) {
	for name, raw := range map[string]string{
		"not json":        `Version: 9`,
		"truncated":       `{"Version":9,"SetItems":{"Rou`,
		"more after it":   `{"Version":9} {}`,
		"no version":      `{"SetItems":{}}`,
		"unknown list":    `{"Version":9,"SetItems":{"Limits":[]}}`,
		"unknown removed": `{"Version":9,"RemoveNames":{"Roots":["x"]}}`,
		"no name":         `{"Version":9,"SetItems":{"Routes":[{"HostName":"x"}]}}`,
		"a list too much": `{"Version":9,"SetItems":{"Routes":{"Name":"x"}}}`,
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParsePatch([]byte(raw)); err == nil {
				t.Error("accepted")
			}
		})
	}
}
