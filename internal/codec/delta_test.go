package codec

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// A large configuration of which one route changed travels in a few hundred
// bytes, and comes out byte for byte.
func TestChangeTravelsAsDelta(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	route := func(i int) string {
		return fmt.Sprintf(`{"Name":"r-%x","HostName":"h%x.example","PathPrefix":"/p%x/","RouteKind":"safe","TimeoutMs":%d,"Service":"s%x"}`, r.Uint64(), r.Uint32(), r.Uint32(), r.IntN(9999), r.Uint32())
	}
	routes := make([]string, 1400)
	for i := range routes {
		routes[i] = route(i)
	}
	body := func(v int) string {
		return fmt.Sprintf(`{"Version":%d,"Routes":[%s]}`, v, strings.Join(routes, ","))
	}
	old := body(1)
	routes[700], routes = route(0), append(routes, route(1))
	now := body(2)
	packed, err := CompressDelta(old, now)
	if err != nil || len(packed) > 900 {
		t.Fatalf("%d bytes of %d: %v", len(packed), len(now), err)
	}
	if got, err := DecompressDelta(old, packed, 1<<20); err != nil || got != now {
		t.Fatal("it does not come out", err)
	}
	for _, base := range []string{"", now, strings.Replace(old, "safe", "sage", -1)} {
		if got, err := DecompressDelta(base, packed, 1<<20); err == nil && got == now {
			t.Fatal("it comes out of another base")
		} else if err == nil {
			t.Fatal("another base is no error")
		}
	}
	if _, err := DecompressDelta(old, packed, 10<<10); err == nil {
		t.Fatal("there is no bound")
	}
	for _, raw := range []string{"", "x", now} {
		packed, err := CompressDelta("", raw)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecompressDelta("", packed, 1<<20); err != nil || got != raw {
			t.Fatal("whole bodies don't come out", err)
		}
	}
}
