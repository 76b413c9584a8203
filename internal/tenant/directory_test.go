package tenant

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"swiftswitch/internal/config"
)

func priority(n int32) *int32 { return &n }

func TestAuthenticate(t *testing.T) {
	d := Compile([]*config.Tenant{
		{Name: "a", ApiKeys: []string{"one", "two", "two"}},
		{Name: "b", ApiKeys: []string{"three", "", "a, b"}, Priority: priority(0)},
		{Name: "c"},
	}, nil)
	for _, test := range []struct {
		name       string
		credential Credential
		owner      string
		verdict    Verdict
	}{
		{"first key", Credential{"one", 1}, "a", Accepted},
		{"second key", Credential{"two", 1}, "a", Accepted},
		{"another tenant's", Credential{"three", 1}, "b", Accepted},
		{"a key with a comma, as a whole", Credential{"a, b", 1}, "b", Accepted},
		{"none", Credential{}, "", Missing},
		{"empty, though configured", Credential{"", 1}, "", Missing},
		{"two lines", Credential{"one", 2}, "", Ambiguous},
		{"unknown", Credential{"four", 1}, "", Unknown},
		{"a prefix", Credential{"on", 1}, "", Unknown},
		{"another case", Credential{"One", 1}, "", Unknown},
		{"a list of keys", Credential{"one,two", 1}, "", Unknown},
		{"a tenant's name", Credential{"a", 1}, "", Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			owner, verdict := d.Authenticate(test.credential)
			if verdict != test.verdict || (owner != nil) != (verdict == Accepted) {
				t.Fatalf("verdict %s of %v, want %s", VerdictNames[verdict], owner, VerdictNames[test.verdict])
			}
			if owner != nil && owner.Name != test.owner {
				t.Fatalf("owner %s, want %s", owner.Name, test.owner)
			}
		})
	}
	if !d.Has("c") || d.Has("one") || d.Has("") {
		t.Error("wrong names")
	}
	if tenants, keys := d.Size(); tenants != 3 || keys != 4 {
		t.Errorf("%d tenants with %d keys", tenants, keys)
	}
}

// No priority and the highest one differ.
func TestPriority(t *testing.T) {
	d := Compile([]*config.Tenant{{Name: "a", ApiKeys: []string{"1"}}, {Name: "b", ApiKeys: []string{"2"}, Priority: priority(0)}}, nil)
	a, _ := d.Authenticate(Credential{"1", 1})
	b, _ := d.Authenticate(Credential{"2", 1})
	if a.HasPriority || !b.HasPriority || b.Priority != 0 {
		t.Fatalf("%+v, %+v", a, b)
	}
}

// What an earlier version of the program may have stored without these checks
// admits nobody in doubt.
func TestDoubtfulTenants(t *testing.T) {
	d := Compile([]*config.Tenant{
		{Name: "a", ApiKeys: []string{"shared", "own"}},
		{Name: "b", ApiKeys: []string{"shared"}},
		{Name: "c\r\nX-Other: 1", ApiKeys: []string{"injected"}},
		{Name: "", ApiKeys: []string{"nameless"}},
	}, nil)
	for _, key := range []string{"shared", "injected", "nameless"} {
		if _, verdict := d.Authenticate(Credential{key, 1}); verdict != Unknown {
			t.Errorf("%s: %s", key, VerdictNames[verdict])
		}
	}
	if tenants, _ := d.Size(); tenants != 2 {
		t.Errorf("%d tenants", tenants)
	}
	if owner, _ := d.Authenticate(Credential{"own", 1}); owner == nil || owner.Name != "a" {
		t.Error("a key beside a shared one is not accepted")
	}
}

// Without tenants there is no directory; with tenants that have no keys there is
// one, which accepts none.
func TestNoTenants(t *testing.T) {
	if Compile(nil, nil) != nil {
		t.Error("a directory of no tenants")
	}
	d := Compile([]*config.Tenant{{Name: "a"}}, nil)
	if _, verdict := d.Authenticate(Credential{"x", 1}); verdict != Unknown {
		t.Errorf("verdict %s", VerdictNames[verdict])
	}
	var none *Directory
	if tenants, keys := none.Size(); tenants+keys != 0 || none.Has("a") {
		t.Error("a nil directory is not empty")
	}
}

// Tenants that two versions share are compiled once.
func TestCompileSharesTenants(t *testing.T) {
	kept, changed := &config.Tenant{Name: "a", ApiKeys: []string{"1"}}, &config.Tenant{Name: "b", ApiKeys: []string{"2", "3"}}
	first := Compile([]*config.Tenant{kept, changed}, nil)
	second := Compile([]*config.Tenant{kept, {Name: "b", ApiKeys: []string{"3"}}}, first)
	a1, _ := first.Authenticate(Credential{"1", 1})
	a2, _ := second.Authenticate(Credential{"1", 1})
	if a1 != a2 {
		t.Error("a tenant that did not change was compiled again")
	}
	if _, verdict := second.Authenticate(Credential{"2", 1}); verdict != Unknown {
		t.Error("a key that was removed is accepted")
	}
	if _, verdict := first.Authenticate(Credential{"2", 1}); verdict != Accepted {
		t.Error("the earlier directory was changed")
	}
}

// However versions follow each other, a directory made from the one before is
// like one that is made anew.
func TestCompileFromAnyVersion(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 0))
	var previous *Directory
	pool := make([]*config.Tenant, 0, 200)
	for range 200 {
		source := &config.Tenant{Name: fmt.Sprint("t", draw.IntN(30))}
		for range draw.IntN(4) {
			source.ApiKeys = append(source.ApiKeys, fmt.Sprint(draw.IntN(60)))
		}
		if draw.IntN(2) == 0 {
			source.Priority = priority(draw.Int32N(3))
		}
		pool = append(pool, source)
	}
	for version := range 1500 {
		tenants := make([]*config.Tenant, draw.IntN(25))
		for i, j := range draw.Perm(len(pool))[:len(tenants)] {
			tenants[i] = pool[j]
		}
		got, want := Compile(tenants, previous), Compile(tenants, nil)
		compareDirectories(t, version, got, want)
		previous = got
	}
}

func compareDirectories(t *testing.T, version int, got, want *Directory) {
	t.Helper()
	gotTenants, gotKeys := got.Size()
	wantTenants, wantKeys := want.Size()
	if gotTenants != wantTenants || gotKeys != wantKeys || (got == nil) != (want == nil) {
		t.Fatalf("version %d: %d tenants with %d keys, want %d with %d", version, gotTenants, gotKeys, wantTenants, wantKeys)
	}
	if got == nil {
		return
	}
	for key := range 60 {
		credential := Credential{fmt.Sprint(key), 1}
		gotOwner, gotVerdict := got.Authenticate(credential)
		wantOwner, wantVerdict := want.Authenticate(credential)
		if gotVerdict != wantVerdict || gotOwner != nil && *gotOwner != *wantOwner {
			t.Fatalf("version %d, key %d: %v of %v, want %v of %v", version, key, gotVerdict, gotOwner, wantVerdict, wantOwner)
		}
	}
	for name := range 30 {
		if name := fmt.Sprint("t", name); got.Has(name) != want.Has(name) {
			t.Fatalf("version %d: has %s: %v", version, name, got.Has(name))
		}
	}
}

func benchmarkTenants(n int) []*config.Tenant {
	tenants := make([]*config.Tenant, n)
	for i := range tenants {
		tenants[i] = &config.Tenant{Name: fmt.Sprint("tenant-", i), ApiKeys: []string{fmt.Sprintf("%020d", i), fmt.Sprintf("%020d", n+i)}}
	}
	return tenants
}

func BenchmarkAuthenticate(b *testing.B) {
	for _, n := range []int{72, 100_000} {
		d := Compile(benchmarkTenants(n), nil)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				if _, verdict := d.Authenticate(Credential{"00000000000000000017", 1}); verdict != Accepted {
					b.Fatal(i)
				}
			}
		})
	}
}

func BenchmarkCompile(b *testing.B) {
	for _, n := range []int{72, 100_000} {
		tenants := benchmarkTenants(n)
		b.Run(fmt.Sprint(n, "/all"), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				Compile(tenants, nil)
			}
		})
		b.Run(fmt.Sprint(n, "/one changed"), func(b *testing.B) {
			b.ReportAllocs()
			previous := Compile(tenants, nil)
			changed := append([]*config.Tenant{{Name: tenants[0].Name}}, tenants[1:]...)
			for range b.N {
				Compile(changed, previous)
			}
		})
	}
}
