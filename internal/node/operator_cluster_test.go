package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"
)

func TestConfigurationChangesAreValidated(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	if status, body := c.PutConfiguration(3, "GET", "", ""); status != 200 || body != testcluster.ConfigurationBody(3, "s1", "s2") {
		t.Fatalf("read back: %d %q", status, body)
	}
	for name, test := range map[string]struct {
		match, body string
		want        int
	}{
		"not JSON":               {"3", "nonsense", 400},
		"truncated":              {"3", testcluster.ConfigurationBody(5, "s1")[:80], 400},
		"version not above":      {"3", testcluster.ConfigurationBody(3, "s1"), 400},
		"no If-Match":            {"", testcluster.ConfigurationBody(5, "s1"), 400},
		"an older base":          {"2", testcluster.ConfigurationBody(5, "s1"), 412},
		"a base to come":         {"9", testcluster.ConfigurationBody(11, "s1"), 412},
		"an unknown service":     {"3", strings.Replace(testcluster.ConfigurationBody(5, "s1"), `["s1"]`, `["w"]`, 1), 400},
		"resent, another body":   {"0", testcluster.ConfigurationBody(3, "s1"), 412},
		"resent as it was":       {"0", testcluster.ConfigurationBody(3, "s1", "s2"), 200},
		"route without a prefix": {"3", `{"Version":4,"Routes":[{"Name":"x"}]}`, 400},
	} {
		if status, body := c.PutConfiguration(1, "PUT", test.match, test.body); status != test.want {
			t.Errorf("%s: %d %s", name, status, body)
		}
	}
}

// Any node takes the operator's calls and forwards what it can't settle.
func TestFrontsForwardConfigurationChanges(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	if status, body := c.PutConfiguration(11, "PUT", "3", testcluster.ConfigurationBody(6, "s1", "s2")); status != 200 {
		t.Fatalf("changed by way of a front: %d %s", status, body)
	}
	if status, body := c.PutConfiguration(12, "GET", "", ""); status != 200 || body != testcluster.ConfigurationBody(6, "s1", "s2") {
		t.Fatalf("read by way of a front: %d", status)
	}
}

// Of two changes on one base at different nodes one wins.
func TestConcurrentConfigurationChanges(t *testing.T) {
	c, _ := testcluster.StartDefault(t)
	base := 3
	for i := range 4 {
		var changes sync.WaitGroup
		var status [2]int
		for k := range status {
			changes.Go(func() {
				status[k], _ = c.PutConfiguration(1+k, "PUT", fmt.Sprint(base), testcluster.ConfigurationBody(base+1+k, "s1", "s2"))
			})
		}
		changes.Wait()
		if !(status[0] == 200 && status[1] == 412 || status[0] == 412 && status[1] == 200) {
			t.Fatalf("race %d: %v", i, status)
		}
		if status[0] == 200 {
			base++
		} else {
			base += 2
		}
		if got, body := c.PutConfiguration(3, "GET", "", ""); got != 200 || body != testcluster.ConfigurationBody(base, "s1", "s2") {
			t.Fatalf("race %d: the winner is not in force", i)
		}
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	c := testcluster.StartControlNodes(t, 0, 1, 2, 3)
	for _, path := range []string{nodeapi.PathConsensus, nodeapi.PathLearn, nodeapi.PathHeartbeat, nodeapi.PathTable, nodeapi.PathJoin, nodeapi.PathWatch, nodeapi.PathShuffle, nodeapi.PathLease, nodeapi.PathTableFetch} {
		response, err := http.Post(fmt.Sprintf("http://%s:%d%s", c.IP(1), c.Port, path), "application/json", strings.NewReader(`{"Slot":"x"`))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode != 400 {
			t.Errorf("%s: %v", path, response)
		}
	}
}

// A patch makes one whole version, which is recognised when it is sent again.
func TestConfigurationPatches(t *testing.T) {
	c := testcluster.StartControlNodes(t, 0, 1, 2, 3)
	patch := `{"Version":4,"SetItems":{"Routes":[{"Name":"c","HostName":"a.example","PathPrefix":"/c/","RouteKind":"cached","TimeoutMs":2000,"TargetLatencyMs":300,"Service":"origin","CacheLifetimeS":9}]},"RemoveNames":{"Routes":["u"]}}`
	for i := range 2 {
		if status := patchConfiguration(c, 1+i, "3", patch); status != 200 {
			t.Fatalf("patch, time %d: %d", i, status)
		}
	}
	if status := patchConfiguration(c, 3, "3", strings.Replace(patch, "9}", "8}", 1)); status != 412 {
		t.Fatalf("another patch on the same base: %d", status)
	}
	if status := patchConfiguration(c, 3, "4", `{"Version":5,"RemoveNames":{"Services":["origin"]}}`); status != 400 {
		t.Fatalf("a patch that leaves an invalid whole: %d", status)
	}
	if status, body := c.PutConfiguration(2, "GET", "", ""); status != 200 || strings.Contains(body, `"Name":"u"`) || !strings.Contains(body, `"CacheLifetimeS":9`) || !strings.Contains(body, `"Version":4`) {
		t.Fatalf("read back: %d %s", status, body)
	}
}

// patchConfiguration sends a patch to the port for other nodes of node n and
// returns the status, 0 if there is no answer.
func patchConfiguration(c *testcluster.Cluster, n int, match, body string) int {
	request, _ := http.NewRequest("PATCH", fmt.Sprintf("http://%s:%d%s", c.IP(n), c.Port, nodeapi.PathConfiguration), strings.NewReader(body))
	request.Header.Set("If-Match", match)
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}
