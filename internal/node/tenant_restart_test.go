package node_test

import (
	"net/http"
	"strings"
	"testing"

	"swiftswitch/internal/testcluster"
)

// Tenants that stand on disk are in force with the first request after all nodes
// have started again, and a front that holds none answers nothing before.
func TestTenantsAfterARestart(t *testing.T) {
	tt := startTenantTest(t)
	for _, number := range []string{"11", "12", "21", "1", "2", "3"} {
		tt.Kill(number)
	}
	front := tt.StartNode(11, false, 1, 2, 3).Front()
	tt.Eventually("clients can connect", front.Listening)
	client := tt.NewKeyedClient(11)
	defer client.Close()
	r := client.Ask("/p/x", "key-never")
	tt.judge.Record(r)
	if r.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d before any configuration", r.Status)
	}
	for _, n := range []int{1, 2, 3, 12, 21} {
		tt.StartNode(n, false, 1, 2, 3)
	}
	tt.Eventually("the front takes keys", func() bool {
		unknown, known := client.Ask("/p/x", "key-never"), client.Ask("/p/x", "key-amber-1")
		tt.judge.Record(unknown)
		tt.judge.Record(known)
		return unknown.Status == http.StatusUnauthorized && known.Status == http.StatusOK
	})
	tt.check(t)
	tenants, keys := tt.Nodes["11"].Front().Snapshot().RouteTable.Tenants.Size()
	if tenants != 3 || keys != 4 {
		t.Errorf("%d tenants with %d keys", tenants, keys)
	}
}

// Without tenants in the configuration the key is a header like any other, and
// the tenant's name is never a client's.
func TestKeyHeaderWithoutTenants(t *testing.T) {
	d := startDisconnectTest(t)
	d.TakeArrivals()
	client := d.NewKeyedClient(11)
	defer client.Close()
	for _, path := range []string{"/p/x", "/g/x"} {
		kept := client.Send("GET", path, "", "X-Api-Key: one\r\nx-api-key: two\r\nSwiftswitch-Tenant-Name: amber\r\n", "")
		dropped := client.Send("GET", path, "", "Connection: keep-alive, X-Api-Key\r\nX-Api-Key: one\r\n", "")
		if kept.Status != http.StatusOK || dropped.Status != http.StatusOK {
			t.Fatalf("%s: status %d, %d", path, kept.Status, dropped.Status)
		}
		d.AwaitWork()
		arrivals := d.TakeArrivals()
		checkHeader(t, arrivals[kept.ID], "one two")
		checkHeader(t, arrivals[dropped.ID], "")
	}
}

// checkHeader makes sure that endpoints got these keys and no tenant's name.
func checkHeader(t *testing.T, arrivals []testcluster.Arrival, keys string) {
	t.Helper()
	if len(arrivals) == 0 {
		t.Error("no arrival")
	}
	for _, a := range arrivals {
		if got := strings.Join(a.Header.Values("X-Api-Key"), " "); got != keys {
			t.Errorf("%s got the keys %q, want %q", a.Endpoint, got, keys)
		}
		if got := a.Header.Values("Swiftswitch-Tenant-Name"); len(got) > 0 {
			t.Errorf("%s got the name %q", a.Endpoint, got)
		}
	}
}

// What a front gets as a delta is the same as what one that starts gets whole.
func TestTenantsByDeltaAndWhole(t *testing.T) {
	tt := startTenantTest(t)
	tt.change(t, []testcluster.Tenant{{Name: "amber", APIKeys: []string{"key-amber-1"}}, {Name: "dogwood", APIKeys: []string{"key-dogwood-1"}}})
	tt.StartNode(13, false, 1, 2, 3)
	tt.Eventually("a new front serves", func() bool {
		client := tt.NewKeyedClient(13)
		defer client.Close()
		return client.Ask("/g/x", "key-dogwood-1").Status == http.StatusOK
	})
	for _, front := range []int{11, 13} {
		client := tt.NewKeyedClient(front)
		for _, key := range []string{"key-amber-1", "key-dogwood-1", "key-shared-turns", "key-birch-1", "key-birch-2", ""} {
			tt.judge.Record(client.Ask("/p/x", key))
		}
		client.Close()
	}
	if report := tt.check(t); report.Served != 4 || report.Denied != 8 {
		t.Errorf("%d served and %d denied, want 4 and 8", report.Served, report.Denied)
	}
}
