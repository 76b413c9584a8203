package config

import (
	"strings"
	"testing"
)

func TestTenantsAreValidated(t *testing.T) {
	for _, test := range []struct {
		name, tenants string
		valid         bool
	}{
		{"none", `[]`, true},
		{"keys of their own", `[{"Name":"a","ApiKeys":["secret-1","secret-2"]},{"Name":"b","ApiKeys":["secret-3"],"Priority":0}]`, true},
		{"no keys", `[{"Name":"a"},{"Name":"b","ApiKeys":[]}]`, true},
		{"a key twice in one tenant", `[{"Name":"a","ApiKeys":["secret-1","secret-1"]}]`, true},
		{"empty keys", `[{"Name":"a","ApiKeys":[""]},{"Name":"b","ApiKeys":[""]}]`, true},
		{"a field that is not known", `[{"Name":"a","ApiKeys":["secret-1"],"Quota":5}]`, true},
		{"a key of two tenants", `[{"Name":"a","ApiKeys":["secret-1"]},{"Name":"b","ApiKeys":["secret-2","secret-1"]}]`, false},
		{"a key in two entries of one name", `[{"Name":"a","ApiKeys":["secret-1"]},{"Name":"a","ApiKeys":["secret-1"]}]`, false},
		{"no name", `[{"ApiKeys":["secret-1"]}]`, false},
		{"a name with a line end", `[{"Name":"a\r\nX-Other: 1","ApiKeys":["secret-1"]}]`, false},
		{"a name with blanks around it", `[{"Name":" a","ApiKeys":["secret-1"]}]`, false},
		{"a negative priority", `[{"Name":"a","ApiKeys":["secret-1"],"Priority":-1}]`, false},
		{"a key that is a number", `[{"Name":"a","ApiKeys":[4711]}]`, false},
		{"keys that are no list", `[{"Name":"a","ApiKeys":"secret-1"}]`, false},
		{"keys that are an object", `[{"Name":"a","ApiKeys":{"secret-1":true}}]`, false},
		{"a priority that is a string", `[{"Name":"a","ApiKeys":["secret-1"],"Priority":"1"}]`, false},
		{"a priority that is a key", `[{"Name":"a","ApiKeys":["secret-1"],"Priority":"secret-1"}]`, false},
		{"broken", `[{"Name":"a","ApiKeys":["secret-1"`, false},
		{"broken in a key", `[{"Name":"a","ApiKeys":[secret-1]`, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			raw := strings.Replace(validConfiguration, `"Version":7`, `"Version":7,"Tenants":`+test.tenants, 1)
			_, err := ParseConfiguration([]byte(raw))
			if (err == nil) != test.valid {
				t.Fatalf("error %v, want valid: %v", err, test.valid)
			}
			if err != nil && (strings.Contains(err.Error(), "secret") || strings.Contains(err.Error(), "4711")) {
				t.Errorf("the error names a key: %v", err)
			}
		})
	}
}

// Patches set and remove single tenants.
func TestPatchOfTenants(t *testing.T) {
	base := `{"Version":7,"Routes":[],"Services":[],"Tenants":[{"Name":"a","ApiKeys":["1"]},{"Name":"b","ApiKeys":["2"]}]}`
	patch, err := ParsePatch([]byte(`{"Version":8,"SetItems":{"Tenants":[{"Name":"b","ApiKeys":["3"]},{"Name":"c","ApiKeys":["4"]}]},"RemoveNames":{"Tenants":["a"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	raw, err := patch.Apply([]byte(base))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfiguration(raw)
	if err != nil || len(c.Tenants) != 2 || c.Tenants[0].ApiKeys[0] != "3" || c.Tenants[1].Name != "c" {
		t.Fatalf("%s: %v", raw, err)
	}
}
