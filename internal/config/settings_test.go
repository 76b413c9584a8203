package config

import (
	"os"
	"testing"
	"time"
)

func readTestSettings(t *testing.T) string {
	t.Helper()
	raw, err := os.ReadFile("testdata/boot.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return string(raw)
}

func TestParseSettings(t *testing.T) {
	s, err := ParseSettings([]byte(readTestSettings(t)))
	if err != nil {
		t.Fatal(err)
	}
	if s.HasDisk() || s.InternalAddress("10.9.9.9") != "10.9.9.9:7100" || len(s.SeedIPs()) != 2 || s.Bounds.RetryBudgetRatio != 0.25 {
		t.Fatalf("got %v", s)
	}
}

func TestParseSettingsRejects(t *testing.T) {
	text := readTestSettings(t)
	for name, change := range map[string][2]string{
		"no name":         {`NodeName: "front-1"`, ``},
		"bad ip":          {`IpAddress: "10.9.9.1"`, `IpAddress: "ten"`},
		"ports reversed":  {"- 7100\n  - 7110", "- 7110\n  - 7100"},
		"no seeds":        {"- \"10.9.9.7:8000\"\n  - \"10.9.9.8:8000\"", "[]"},
		"seed a name":     {`"10.9.9.7:8000"`, `"control:8000"`},
		"front unserved":  {`FrontAddress: "10.9.9.1:80"`, ``},
		"no bound":        {`DrainMs: 3000`, ``},
		"bound a word":    {`DrainMs: 3000`, `DrainMs: soon`},
		"negative ratio":  {`RetryBudgetRatio: 0.25`, `RetryBudgetRatio: -1`},
		"no heartbeat":    {`HeartbeatIntervalMs: 1200`, ``},
		"not yaml at all": {`Role: "front"`, "Role: [\""},
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := ParseSettings([]byte(replaceOnce(t, text, change[0], change[1]))); err == nil {
				t.Error("accepted")
			}
		})
	}
}

func TestLoadSettingsRejectsMissingFile(t *testing.T) {
	if _, err := LoadSettings("testdata/none.yaml"); err == nil {
		t.Error("accepted")
	}
}

func TestSettingsPath(t *testing.T) {
	t.Setenv(SettingsPathEnv, "")
	if got := SettingsPath(); got != DefaultSettingsPath {
		t.Errorf("unset: got %q", got)
	}
	t.Setenv(SettingsPathEnv, "/tmp/other.yaml")
	if got := SettingsPath(); got != "/tmp/other.yaml" {
		t.Errorf("set: got %q", got)
	}
}

func TestDurations(t *testing.T) {
	if got := Milliseconds(1500, 0.5); got != 750*time.Millisecond {
		t.Errorf("Milliseconds: got %v", got)
	}
	if got := Seconds(2.5, 2); got != 5*time.Second {
		t.Errorf("Seconds: got %v", got)
	}
}
