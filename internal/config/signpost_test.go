package config

import (
	"os"
	"strings"
	"testing"
)

const good = `{"Version":7,"Routes":[
 {"Name":"g","HostName":"a.example","PathPrefix":"/x/","RouteKind":"safe","TimeoutMs":3000,"TargetLatencyMs":200,"Priority":1,"GatheredServices":["s","u"],"Attempts":2,"TopRecords":20,"MinimumShare":0.6},
 {"Name":"p","HostName":"a.example","PathPrefix":"/","RouteKind":"unsafe","TimeoutMs":10.5,"TrafficSplit":[{"Service":"s","Weight":1},{"Service":"u","Weight":0}],"Attempts":1,"NewField":{"a":[1]}}],
 "Services":[{"Name":"s","HealthPath":"/h","ConnectionLimit":3,"Protocol":"h1","TransportSecurity":false},{"Name":"u"}],
 "Limits":{"HeaderSizeBytes":16384,"BodySizeBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`

func TestConfigurations(t *testing.T) {
	if _, err := ParseConfiguration([]byte(good)); err != nil {
		t.Fatal(err)
	}
	sub := func(old, new string) string {
		if !strings.Contains(good, old) {
			t.Fatalf("%q does not stand in the good one", old)
		}
		return strings.Replace(good, old, new, 1)
	}
	for name, raw := range map[string]string{
		"empty":               "",
		"not json":            "Version: 7",
		"truncated":           good[:len(good)/2],
		"more after it":       good + "{}",
		"a list":              "[" + good + "]",
		"unknown service":     sub(`["s","u"]`, `["s","w"]`),
		"unknown split":       sub(`"Service":"u","Weight":0`, `"Service":"w","Weight":0`),
		"host and prefix":     sub(`"PathPrefix":"/x/"`, `"PathPrefix":"/"`),
		"zero weights":        sub(`"Weight":1`, `"Weight":0`),
		"negative weight":     sub(`"Weight":1`, `"Weight":-1`),
		"zero time-out":       sub(`"TimeoutMs":3000`, `"TimeoutMs":0`),
		"no time-out":         sub(`"TimeoutMs":3000,`, ``),
		"no version":          sub(`"Version":7,`, ``),
		"negative version":    sub(`"Version":7`, `"Version":-7`),
		"version a string":    sub(`"Version":7`, `"Version":"7"`),
		"version broken":      sub(`"Version":7`, `"Version":7.5`),
		"number a string":     sub(`"TimeoutMs":3000`, `"TimeoutMs":"3000"`),
		"string a number":     sub(`"Name":"g"`, `"Name":5`),
		"list a string":       sub(`["s","u"]`, `"s"`),
		"routes an object":    sub(`"Routes":[`, `"Routes":{"a":[`),
		"no service at all":   sub(`"GatheredServices":["s","u"],`, ``),
		"service and gather":  sub(`"GatheredServices"`, `"Service":"s","GatheredServices"`),
		"gathered twice":      sub(`["s","u"]`, `["s","s"]`),
		"gathered unsafe":     sub(`"RouteKind":"safe"`, `"RouteKind":"unsafe"`),
		"unknown kind":        sub(`"RouteKind":"safe"`, `"RouteKind":"maybe"`),
		"prefix without end":  sub(`"PathPrefix":"/x/"`, `"PathPrefix":"/x"`),
		"share above one":     sub(`"MinimumShare":0.6`, `"MinimumShare":1.6`),
		"service named twice": sub(`{"Name":"u"}`, `{"Name":"s"}`),
		"not utf-8":           sub(`"Name":"g"`, "\"Name\":\"\xff\""),
		"key twice":           sub(`"Version":7`, `"Version":7,"Version":8`),
	} {
		if _, err := ParseConfiguration([]byte(raw)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func TestSettings(t *testing.T) {
	raw, err := os.ReadFile("testdata/boot.yaml")
	if err != nil {
		t.Fatal(err)
	}
	text := string(raw)
	s, err := ParseSettings(raw)
	if err != nil {
		t.Fatal(err)
	}
	if s.HasDisk() || s.InternalAddress("10.9.9.9") != "10.9.9.9:7100" || len(s.SeedIPs()) != 2 || s.Bounds.RetryBudgetRatio != 0.25 {
		t.Fatalf("read wrongly: %v", s)
	}
	for name, change := range map[string][2]string{
		"no name":         {`NodeName: "trail-1"`, ``},
		"bad ip":          {`IpAddress: "10.9.9.1"`, `IpAddress: "ten"`},
		"ports reversed":  {"- 7100\n  - 7110", "- 7110\n  - 7100"},
		"no seeds":        {"- \"10.9.9.7:8000\"\n  - \"10.9.9.8:8000\"", "[]"},
		"seed a name":     {`"10.9.9.7:8000"`, `"hut:8000"`},
		"front unserved":  {`FrontAddress: "10.9.9.1:80"`, ``},
		"no bound":        {`DrainMs: 3000`, ``},
		"bound a word":    {`DrainMs: 3000`, `DrainMs: soon`},
		"negative ratio":  {`RetryBudgetRatio: 0.25`, `RetryBudgetRatio: -1`},
		"no heartbeat":    {`HeartbeatIntervalMs: 1200`, ``},
		"not yaml at all": {`Role: "trail"`, "Role: [\""},
	} {
		if !strings.Contains(text, change[0]) {
			t.Fatalf("%s: %q does not stand in the file", name, change[0])
		}
		if _, err := ParseSettings([]byte(strings.Replace(text, change[0], change[1], 1))); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	if _, err := LoadSettings("testdata/none.yaml"); err == nil {
		t.Error("a missing file was taken")
	}
}

// A change of named items leads to the whole that a PUT would have sent, and
// the difference between two versions leads a node from one to the other.
func TestPatchAndDifference(t *testing.T) {
	p, err := ParsePatch([]byte(`{"Version":9,"SetItems":{"Routes":[
 {"Name":"g","HostName":"a.example","PathPrefix":"/x/","RouteKind":"cached","TimeoutMs":9,"Service":"s","CacheLifetimeS":2.5},
 {"Name":"new","HostName":"b.example","PathPrefix":"/","RouteKind":"safe","TimeoutMs":9,"Service":"v"}],
 "Services":[{"Name":"v","RequestsPerS":10}]},"RemoveNames":{"Routes":["p","never-there"],"Services":["u"]}}`))
	if err != nil {
		t.Fatal(err)
	}
	whole, err := p.Apply([]byte(good))
	if err != nil {
		t.Fatal(err)
	}
	c, err := ParseConfiguration(whole)
	if err != nil || c.Version != 9 || len(c.Routes) != 2 || c.Routes[0].RouteKind != RouteKindCached || c.Routes[1].Name != "new" || len(c.Services) != 2 || c.Limits.IdleTimeoutMs != 15000 {
		t.Fatalf("%v %v", c, err)
	}
	d, ok := Diff([]byte(good), whole)
	if !ok || len(d.Removed["Routes"]) != 1 || len(d.Removed["Services"]) != 1 {
		t.Fatalf("%+v", d)
	}
	was, _ := DecodeConfiguration([]byte(good))
	step, err := DecodeConfiguration(d.Changes)
	if err != nil {
		t.Fatal(err)
	}
	got := was.ApplyDelta(step, d.Removed)
	if got.Version != 9 || len(got.Routes) != 2 || len(got.Services) != 2 || got.Limits.IdleTimeoutMs != 15000 || got.Routes[0].CacheLifetimeS != 2.5 {
		t.Fatalf("%v", got)
	}
	if _, ok := Diff([]byte(`{"Routes":[{"Name":"x"},{"Name":"x"}]}`), whole); ok {
		t.Fatal("items without names of their own were told apart")
	}
	for name, raw := range map[string]string{
		"not json":        `Version: 9`,
		"truncated":       `{"Version":9,"SetItems":{"Rou`,
		"more after it":   `{"Version":9} {}`,
		"no version":      `{"SetItems":{}}`,
		"unknown list":    `{"Version":9,"SetItems":{"Limits":[]}}`,
		"unknown removed": `{"Version":9,"RemoveNames":{"Roots":["x"]}}`,
		"no name":         `{"Version":9,"SetItems":{"Routes":[{"HostName":"x"}]}}`,
		"a list too much": `{"Version":9,"SetItems":{"Routes":{"Name":"x"}}}`,
	} {
		if _, err := ParsePatch([]byte(raw)); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	bad, _ := ParsePatch([]byte(`{"Version":9,"RemoveNames":{"Services":["s"]}}`))
	if whole, err := bad.Apply([]byte(good)); err == nil {
		if _, err = ParseConfiguration(whole); err == nil {
			t.Fatal("a service that routes name was removed")
		}
	}
	for raw, want := range map[string]PurgeRequest{
		`{"HostName":"a.example","Path":"/x/1"}`: {HostName: "a.example", Path: "/x/1"},
		`{"Tag":"t1","New":1}`:                   {Tag: "t1"},
		`{}`:                                     {},
		`{"Tag":"t1","HostName":"a","Path":"/"}`: {},
		`{"HostName":"a.example"}`:               {},
		`{"HostName":"a.example","Path":"x"}`:    {},
		`{"Tag":""}`:                             {},
		`{"Tag":7}`:                              {},
		`nonsense`:                               {},
		`{"HostName":"a.example","Path":"/x/1"} {"a":1}`: {},
	} {
		if got, err := ParsePurgeRequest([]byte(raw)); got != want || (err == nil) != (want != PurgeRequest{}) {
			t.Errorf("%s: %+v %v", raw, got, err)
		}
	}
}
