package config_test

import (
	"fmt"
	"strings"
	"testing"

	"swiftswitch/internal/config"
	"swiftswitch/internal/config/configtest"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

func encode(t *testing.T, c *config.Configuration) []byte {
	t.Helper()
	raw, err := protojson.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

func decode(t *testing.T, raw []byte) *config.Configuration {
	t.Helper()
	c, err := config.DecodeConfiguration(raw)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// transfer returns what a front holds that held from and was sent the delta to
// the other.
func transfer(t *testing.T, from, to *config.Configuration) *config.Configuration {
	t.Helper()
	delta, ok := config.Diff(encode(t, from), encode(t, to))
	if !ok {
		t.Fatal("no delta")
	}
	return from.ApplyDelta(decode(t, delta.Changes), delta.ItemChanges)
}

// sameItems reports whether two configurations are equal but for the order of
// named items, which a delta does not keep.
func sameItems(t *testing.T, a, b *config.Configuration) bool {
	t.Helper()
	forth, okForth := config.Diff(encode(t, a), encode(t, b))
	back, okBack := config.Diff(encode(t, b), encode(t, a))
	return okForth && okBack && proto.Equal(decode(t, forth.Changes), decode(t, back.Changes)) && len(forth.Removed) == 0 && len(back.Removed) == 0
}

// Every field of a configuration, also one that is added later, is decoded, is
// known, and is carried by a delta in both directions.
func TestEveryFieldIsCarried(t *testing.T) {
	full := configtest.Full()
	for _, path := range config.Unsupported(encode(t, full)) {
		// The values are made up, and some fields take certain ones only.
		if !strings.Contains(path, "=text-") && !strings.HasSuffix(path, "=true") {
			t.Errorf("%s is not known", path)
		}
	}
	if !proto.Equal(decode(t, encode(t, full)), full) {
		t.Error("not all fields are decoded")
	}
	for _, variant := range configtest.Variants(full) {
		t.Run(variant.Path, func(t *testing.T) {
			if proto.Equal(variant.Configuration, full) {
				t.Fatal("the variant does not differ")
			}
			if _, ok := config.Diff(encode(t, full), encode(t, variant.Configuration)); !ok {
				return // an item lost its name: it is sent whole
			}
			if got := transfer(t, full, variant.Configuration); !sameItems(t, got, variant.Configuration) || sameItems(t, got, full) {
				t.Errorf("the delta away from the full one leads to %v", got)
			}
			if got := transfer(t, variant.Configuration, full); !sameItems(t, got, full) {
				t.Errorf("the delta to the full one leads to %v", got)
			}
		})
	}
}

// A control node of an earlier version sends the list of tenants in full. Tenants
// that it does not name any more are gone.
func TestDeltaOfAnEarlierVersion(t *testing.T) {
	held := &config.Configuration{Version: 1, Tenants: []*config.Tenant{{Name: "a", ApiKeys: []string{"1"}}, {Name: "b", ApiKeys: []string{"2"}}}}
	changes := &config.Configuration{Version: 2, Tenants: []*config.Tenant{{Name: "b", ApiKeys: []string{"3"}}}}
	got := held.ApplyDelta(changes, config.ItemChanges{Lists: config.ListsOfEarlierVersions})
	if len(got.Tenants) != 1 || got.Tenants[0].Name != "b" || got.Tenants[0].ApiKeys[0] != "3" {
		t.Fatalf("tenants %v", got.Tenants)
	}
}

// Tenants go item by item between nodes of this version.
func TestDeltaOfTenants(t *testing.T) {
	from := &config.Configuration{Version: 1, Tenants: []*config.Tenant{{Name: "a", ApiKeys: []string{"1"}}, {Name: "b", ApiKeys: []string{"2", "3"}}, {Name: "c"}}}
	to := &config.Configuration{Version: 2, Tenants: []*config.Tenant{{Name: "a", ApiKeys: []string{"1"}}, {Name: "b", ApiKeys: []string{"3"}}}}
	delta, ok := config.Diff(encode(t, from), encode(t, to))
	if !ok {
		t.Fatal("no delta")
	}
	if changed := decode(t, delta.Changes).Tenants; len(changed) != 1 || changed[0].Name != "b" {
		t.Errorf("the delta holds %v", changed)
	}
	got := transfer(t, from, to)
	if !sameItems(t, got, to) {
		t.Fatalf("the delta leads to %v", got)
	}
	// Tenants that did not change are the same, so that they are not digested again.
	for _, tenant := range got.Tenants {
		if tenant.Name == "a" && tenant != from.Tenants[0] {
			t.Error("a tenant that did not change was copied")
		}
	}
	if none := transfer(t, to, &config.Configuration{Version: 3}); len(none.Tenants) > 0 {
		t.Errorf("tenants %v are left", none.Tenants)
	}
}

// A change of one tenant among many.
func BenchmarkApplyDelta(b *testing.B) {
	held := &config.Configuration{Version: 1}
	for i := range 100_000 {
		held.Tenants = append(held.Tenants, &config.Tenant{Name: fmt.Sprint("tenant-", i), ApiKeys: []string{fmt.Sprint(i)}})
	}
	changes := &config.Configuration{Version: 2, Tenants: []*config.Tenant{{Name: "tenant-7"}}}
	items := config.ItemChanges{Lists: []string{"Routes", "Services", "Tenants"}, Removed: map[string][]string{"Tenants": {"tenant-8"}}}
	b.ReportAllocs()
	for b.Loop() {
		if got := held.ApplyDelta(changes, items); len(got.Tenants) != 99_999 {
			b.Fatal(len(got.Tenants))
		}
	}
}
