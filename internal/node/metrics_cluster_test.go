package node_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"

	"swiftswitch/internal/testcluster"
)

const metricsPort = 8095

// fetchMetrics returns the values of node n's metrics, by name and labels.
func fetchMetrics(t *testing.T, c *testcluster.Cluster, n int) map[string]float64 {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", c.IP(n), metricsPort))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("status %d, error %v", response.StatusCode, err)
	}
	values := map[string]float64{}
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), " ")
		if !found || strings.HasPrefix(name, "#") {
			continue
		}
		if values[name], err = strconv.ParseFloat(value, 64); err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
	}
	return values
}

// startMetricsTest runs a control node and a front with metrics.
func startMetricsTest(t *testing.T) *testcluster.Cluster {
	t.Helper()
	c := testcluster.New(t)
	c.MetricsPort = metricsPort
	c.AddEndpoint("plain", "plain-a")
	c.AddEndpoint("s1", "s1-a")
	c.StartNode(1, true, 1)
	c.StartNode(11, true, 1)
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(1, "PUT", "0", testcluster.ConfigurationBody(3, "s1"))
		return status == http.StatusOK
	})
	c.Eventually("the front serves", func() bool {
		answer, _, _ := c.Request(11, "GET", "/p/x", "")
		return answer.StatusCode == http.StatusOK
	})
	return c
}

// The metrics tell what was decided for requests, by which version, and what
// the attempts led to.
func TestMetrics(t *testing.T) {
	c := startMetricsTest(t)
	before := fetchMetrics(t, c, 11)
	for _, path := range []string{"/p/x", "/p/x", "/g/x", "/nowhere"} {
		c.Request(11, "GET", path, "")
	}
	after := fetchMetrics(t, c, 11)
	for name, want := range map[string]float64{
		`swiftswitch_requests_total{route_kind="plain",status_class="2xx"}`:     2,
		`swiftswitch_requests_total{route_kind="scattered",status_class="2xx"}`: 1,
		`swiftswitch_requests_total{route_kind="unknown",status_class="4xx"}`:   1,
		`swiftswitch_rejections_total{reason="no_route"}`:                       1,
		`swiftswitch_attempts_total{outcome="answered"}`:                        3,
		`swiftswitch_shard_attempts_total{kind="first"}`:                        3,
	} {
		if got := after[name] - before[name]; got != want {
			t.Errorf("%s grew by %v, want %v", name, got, want)
		}
	}
	if version := after["swiftswitch_front_configuration_version"]; version != 3 {
		t.Errorf("the front routes by version %v", version)
	}
	if version := fetchMetrics(t, c, 1)["swiftswitch_control_configuration_version"]; version != 3 {
		t.Errorf("the control node has version %v", version)
	}
}

// Fields of a configuration that this program doesn't read are named in the
// acknowledgement, in the status of both kinds of nodes and in their metrics.
func TestUnsupportedIsShown(t *testing.T) {
	c := startMetricsTest(t)
	body := strings.Replace(testcluster.ConfigurationBody(5, "s1"), `"Version":5`, `"Version":5,"Future":[{"Name":"f"}]`, 1)
	answer := ""
	c.Eventually("the configuration is acknowledged", func() (acknowledged bool) {
		var status int
		status, answer = c.PutConfiguration(1, "PUT", "3", body)
		return status == http.StatusOK
	})
	if !strings.Contains(answer, `"Unsupported":["Future"]`) {
		t.Fatal(answer)
	}
	want := []string{"Future"}
	c.Eventually("both nodes name the field", func() bool {
		return slices.Equal(c.Nodes["1"].Status().Control.Unsupported, want) && slices.Equal(c.Nodes["11"].Status().Front.Unsupported, want)
	})
	if n := fetchMetrics(t, c, 11)["swiftswitch_front_unsupported"]; n != 1 {
		t.Errorf("the front counts %v", n)
	}
	if n := fetchMetrics(t, c, 1)["swiftswitch_control_unsupported"]; n != 1 {
		t.Errorf("the control node counts %v", n)
	}
	// The next version has none of them.
	c.Eventually("the next configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(1, "PUT", "5", testcluster.ConfigurationBody(6, "s1"))
		return status == http.StatusOK
	})
	c.Eventually("both nodes name none", func() bool {
		return len(c.Nodes["1"].Status().Control.Unsupported) == 0 && len(c.Nodes["11"].Status().Front.Unsupported) == 0
	})
}
