package config

import (
	"strings"
	"testing"
)

// validConfiguration has both kinds of routes and a field that is not known.
const validConfiguration = `{"Version":7,"Routes":[
 {"Name":"g","HostName":"a.example","PathPrefix":"/x/","RouteKind":"safe","TimeoutMs":3000,"TargetLatencyMs":200,"Priority":1,"GatheredServices":["s","u"],"Attempts":2,"TopRecords":20,"MinimumShare":0.6},
 {"Name":"p","HostName":"a.example","PathPrefix":"/","RouteKind":"unsafe","TimeoutMs":10.5,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"u","Weight":0}],"Attempts":1,"NewField":{"a":[1]}}],
 "Services":[{"Name":"s","HealthPath":"/h","ConnectionLimit":3,"Protocol":"h1","TransportSecurity":false},{"Name":"u"}],
 "Limits":{"HeaderSizeBytes":16384,"BodySizeBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

// replaceOnce replaces the first occurrence of old, which must be there.
func replaceOnce(t *testing.T, text, old, replacement string) string {
	t.Helper()
	if !strings.Contains(text, old) {
		t.Fatalf("%q is not in the text", old)
	}
	return strings.Replace(text, old, replacement, 1)
}

func TestParseConfigurationAccepts(t *testing.T) {
	if _, err := ParseConfiguration([]byte(validConfiguration)); err != nil {
		t.Fatal(err)
	}
}

func TestParseConfigurationRejects(t *testing.T) {
	with := func(old, replacement string) string {
		return replaceOnce(t, validConfiguration, old, replacement)
	}
	for name, raw := range map[string]string{
		"empty":               "",
		"not json":            "Version: 7",
		"truncated":           validConfiguration[:len(validConfiguration)/2],
		"more after it":       validConfiguration + "{}",
		"a list":              "[" + validConfiguration + "]",
		"unknown service":     with(`["s","u"]`, `["s","w"]`),
		"unknown split":       with(`"Service":"u","Weight":0`, `"Service":"w","Weight":0`),
		"host and prefix":     with(`"PathPrefix":"/x/"`, `"PathPrefix":"/"`),
		"zero weights":        with(`"Weight":1`, `"Weight":0`),
		"negative weight":     with(`"Weight":1`, `"Weight":-1`),
		"zero timeout":        with(`"TimeoutMs":3000`, `"TimeoutMs":0`),
		"no timeout":          with(`"TimeoutMs":3000,`, ``),
		"no version":          with(`"Version":7,`, ``),
		"negative version":    with(`"Version":7`, `"Version":-7`),
		"version a string":    with(`"Version":7`, `"Version":"7"`),
		"version broken":      with(`"Version":7`, `"Version":7.5`),
		"number a string":     with(`"TimeoutMs":3000`, `"TimeoutMs":"3000"`),
		"string a number":     with(`"Name":"g"`, `"Name":5`),
		"list a string":       with(`["s","u"]`, `"s"`),
		"routes an object":    with(`"Routes":[`, `"Routes":{"a":[`),
		"no service at all":   with(`"GatheredServices":["s","u"],`, ``),
		"service and gather":  with(`"GatheredServices"`, `"Service":"s","GatheredServices"`),
		"gathered twice":      with(`["s","u"]`, `["s","s"]`),
		"gathered unsafe":     with(`"RouteKind":"safe"`, `"RouteKind":"unsafe"`),
		"unknown kind":        with(`"RouteKind":"safe"`, `"RouteKind":"maybe"`),
		"prefix without end":  with(`"PathPrefix":"/x/"`, `"PathPrefix":"/x"`),
		"share above one":     with(`"MinimumShare":0.6`, `"MinimumShare":1.6`),
		"service named twice": with(`{"Name":"u"}`, `{"Name":"s"}`),
		"not utf-8":           with(`"Name":"g"`, "\"Name\":\"\xff\""),
		"key twice":           with(`"Version":7`, `"Version":7,"Version":8`),
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseConfiguration([]byte(raw)); err == nil {
				t.Error("accepted")
			}
		})
	}
}

// What was validated once is decoded without the checks, so that a stricter
// version of the program still reads it.
func TestDecodeConfigurationDoesNotValidate(t *testing.T) {
	c, err := DecodeConfiguration([]byte(`{"Version":-7,"Routes":[{"Name":"r","NewField":1}]}`))
	if err != nil || c.Version != -7 || len(c.Routes) != 1 || c.Routes[0].Name != "r" {
		t.Fatalf("%v %v", c, err)
	}
}
