package config

import (
	"slices"
	"strings"
	"testing"
)

// openedContracts are the parts of the rules that may be in force.
var openedContracts = []string{
	"base", "drain", "config", "cost", "retry", "recover", "scatter",
	"health", "pool", "cache", "rollout", "tenants", "quota",
}

func TestOpenedContractsAreKept(t *testing.T) {
	settings := &Settings{ActiveContracts: slices.Clone(openedContracts)}
	if ignored := settings.Unsupported(); len(ignored) > 0 {
		t.Errorf("ignored: %v", ignored)
	}
}

// What a configuration may order on the opened pages is read, in every list.
func TestOpenedFieldsAreRead(t *testing.T) {
	raw := `{"Version":7,
"Routes":[{"Name":"r","HostName":"h","PathPrefix":"/","RouteKind":"upload","TimeoutMs":9,"TargetLatencyMs":8,"Priority":1,"Service":"s","Attempts":2,
 "TrafficSplit":[{"Service":"s","Weight":1}],"GatheredServices":["s"],"TopRecords":3,"MinimumShare":0.5,"CacheLifetimeS":4,"Public":true}],
"Services":[{"Name":"s","HealthPath":"/health","ConnectionLimit":9,"Protocol":"h1","TransportSecurity":false,"RequestsPerS":5}],
"Tenants":[{"Name":"t","ApiKeys":["k"],"Priority":1,"RequestsPerS":319,"BurstSize":319}],
"Limits":{"HeaderSizeBytes":1,"BodySizeBytes":2,"HeaderTimeoutMs":3,"IdleTimeoutMs":4}}`
	if ignored := Unsupported([]byte(raw)); len(ignored) > 0 {
		t.Errorf("ignored: %v", ignored)
	}
}

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
