package routing

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"swiftswitch/internal/config"
	"swiftswitch/internal/config/configtest"
	"swiftswitch/internal/tenant"

	"google.golang.org/protobuf/encoding/prototext"
)

// describe writes all that a table says.
func describe(table *Table, keys, names []string) string {
	var text strings.Builder
	fmt.Fprintln(&text, table.Version, table.Limits)
	for host, routes := range table.hosts {
		for _, r := range routes {
			fmt.Fprintf(&text, "%s %+v\n", host, *r)
		}
	}
	for name, service := range table.Services {
		fmt.Fprintln(&text, name, prototext.MarshalOptions{}.Format(service))
	}
	for _, key := range keys {
		owner, verdict := table.Tenants.Authenticate(tenant.Credential{Key: key, Lines: 1})
		fmt.Fprintln(&text, key, verdict, owner)
	}
	for _, name := range names {
		fmt.Fprintln(&text, name, table.Tenants.Has(name))
	}
	lines := strings.Split(text.String(), "\n")
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// fullConfigurations are configurations in which every field is set and may have
// an effect: a route has a service of its own, or a split.
func fullConfigurations() []*config.Configuration {
	withService, withSplit := configtest.Full(), configtest.Full()
	withSplit.Routes[0].Service = ""
	for _, c := range []*config.Configuration{withService, withSplit} {
		c.Routes[0].RouteKind = config.RouteKindCached
		c.Routes[0].TimeoutMs = 1e6
	}
	return []*config.Configuration{withService, withSplit}
}

// Every field of a configuration, also one that is added later, has its effect
// on the table that requests are routed by.
func TestEveryFieldHasAnEffect(t *testing.T) {
	hasEffect := map[string]bool{}
	for _, full := range fullConfigurations() {
		for path, effect := range effects(t, full) {
			hasEffect[path] = hasEffect[path] || effect
		}
	}
	for path, effect := range hasEffect {
		if !effect {
			t.Errorf("%s: the table is the same without it", path)
		}
	}
}

// effects returns, by the path of each field, whether the table differs without
// it. It must not depend on the table before.
func effects(t *testing.T, full *config.Configuration) map[string]bool {
	t.Helper()
	var keys, names []string
	for _, source := range full.Tenants {
		keys, names = append(keys, source.ApiKeys...), append(names, source.Name)
	}
	base := Compile(full, defaultLimits, nil)
	want := describe(base, keys, names)
	if again := describe(Compile(full, defaultLimits, base), keys, names); again != want {
		t.Errorf("compiled again it differs:\n%s\n%s", again, want)
	}
	found := map[string]bool{}
	for _, variant := range configtest.Variants(full) {
		after, anew := Compile(variant.Configuration, defaultLimits, base), Compile(variant.Configuration, defaultLimits, nil)
		if len(variant.Configuration.Tenants) == 0 {
			found[variant.Path] = after.Tenants == nil && anew.Tenants == nil
			continue
		}
		got := describe(after, keys, names)
		found[variant.Path] = got != want
		if describe(anew, keys, names) != got {
			t.Errorf("%s: the table depends on the one before", variant.Path)
		}
	}
	return found
}

// A table made from the one before has its tenants, and no others.
func TestTenantsOfALaterTable(t *testing.T) {
	first := Compile(&config.Configuration{Version: 1, Tenants: []*config.Tenant{{Name: "a", ApiKeys: []string{"1"}}}}, defaultLimits, nil)
	second := Compile(&config.Configuration{Version: 2, Tenants: []*config.Tenant{{Name: "b", ApiKeys: []string{"2"}}}}, defaultLimits, first)
	if first.Tenants.Has("b") || !first.Tenants.Has("a") || second.Tenants.Has("a") || !second.Tenants.Has("b") {
		t.Fatal("tenants of another version")
	}
	if third := Compile(&config.Configuration{Version: 3}, defaultLimits, second); third.Tenants != nil {
		t.Fatal("a version without tenants has a directory")
	}
}
