package testcluster

import (
	"fmt"
	"sort"
	"strings"
)

// RolloutBody is a request for a rollout of the plain service.
const RolloutBody = `{"Service":"plain","TargetVersion":"v2","DurationS":40}`

// smallLimits are the limits of clients in most tests.
const smallLimits = `{"HeaderSizeBytes":4096,"BodySizeBytes":1000,"HeaderTimeoutMs":1000,"IdleTimeoutMs":3000}`

// ConfigurationBody is a configuration with a gathered route over the shards
// (g), plain ones that are safe (p) and unsafe (u), and a cached one (c).
func ConfigurationBody(version int, shards ...string) string {
	return ConfigurationWithLimits(version, smallLimits, shards...)
}

// ConfigurationWithLimits is ConfigurationBody with other limits of clients.
func ConfigurationWithLimits(version int, limits string, shards ...string) string {
	var names, services []string
	services = append(services, `{"Name":"origin","HealthPath":"/health","ConnectionLimit":60,"RequestsPerS":40}`)
	for _, s := range append([]string{"plain"}, shards...) {
		services = append(services, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","ConnectionLimit":60}`, s))
	}
	for _, s := range shards {
		names = append(names, fmt.Sprintf("%q", s))
	}
	return fmt.Sprintf(`{"Version":%d,"Routes":[
{"Name":"g","HostName":"a.example","PathPrefix":"/g/","RouteKind":"safe","TimeoutMs":2000,"TargetLatencyMs":300,"GatheredServices":[%s],"Attempts":2,"TopRecords":7,"MinimumShare":0.5},
{"Name":"p","HostName":"a.example","PathPrefix":"/p/","RouteKind":"safe","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"plain","Attempts":2},
{"Name":"c","HostName":"a.example","PathPrefix":"/c/","RouteKind":"cached","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"origin","Attempts":2,"CacheLifetimeS":3},
{"Name":"u","HostName":"a.example","PathPrefix":"/u/","RouteKind":"unsafe","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"plain","Attempts":3}],
"Services":[%s],"Limits":%s}`,
		version, strings.Join(names, ","), strings.Join(services, ","), limits)
}

// TopRecords returns what a gathered answer of these shards must hold: the n
// greatest records of all, the greatest first.
func TopRecords(n int, shards ...string) []byte {
	var records []string
	for _, s := range shards {
		b := Records(s)
		for i := 0; i < len(b); i += recordBytes {
			records = append(records, string(b[i:i+recordBytes]))
		}
	}
	sort.Sort(sort.Reverse(sort.StringSlice(records)))
	return []byte(strings.Join(records[:n], ""))
}
