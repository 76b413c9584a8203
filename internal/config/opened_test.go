package config

import (
	"strings"
	"testing"
)

// openedRouteKinds are the route kinds that operators may order, by whether a
// request may run more than once.
var openedRouteKinds = map[string]bool{"safe": true, "unsafe": false, "cached": true, "upload": false, "download": true}

func TestOpenedRouteKindsAreTaken(t *testing.T) {
	for kind, idempotent := range openedRouteKinds {
		t.Run(kind, func(t *testing.T) {
			raw := strings.Replace(validConfiguration, `"RouteKind":"unsafe"`, `"RouteKind":"`+kind+`"`, 1)
			c, err := ParseConfiguration([]byte(raw))
			if err != nil {
				t.Fatal(err)
			}
			if got := c.Routes[1].IsIdempotent(); got != idempotent {
				t.Errorf("idempotent: %v, want %v", got, idempotent)
			}
		})
	}
}
