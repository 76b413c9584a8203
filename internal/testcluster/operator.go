package testcluster

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
)

// operatorTimeout is how long an operator's call of a test waits.
const operatorTimeout = 5 * time.Second

// rolloutRetryTime is for how long a rollout that is put off is requested
// again, at rolloutRetryInterval.
const (
	rolloutRetryTime     = 5 * time.Second
	rolloutRetryInterval = 50 * time.Millisecond
)

// maxRetryAfterS is the longest Retry-After that a node may give, in seconds.
const maxRetryAfterS = 0.5

// internalAddress is node n's address between nodes.
func (c *Cluster) internalAddress(n int) string { return c.address(n, c.Port) }

// operatorAddress is where node n takes the operator's calls.
func (c *Cluster) operatorAddress(n int) string {
	if isControlNode(n) {
		return c.address(n, controlPort)
	}
	return c.internalAddress(n)
}

func operatorClient() *http.Client {
	return &http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// PutConfiguration reads or changes the configuration by way of node n.
func (c *Cluster) PutConfiguration(n int, method, match, body string) (status int, answer string) {
	return c.Operate(n, method, nodeapi.PathConfiguration, match, body)
}

// Operate sends an operator's call to node n. match is its If-Match, if not
// empty. The status is 0 if there is no answer.
func (c *Cluster) Operate(n int, method, path, match, body string) (status int, answer string) {
	status, _, answer = c.operate(n, method, path, match, body)
	return status, answer
}

// operate is Operate, and returns the answer's headers too.
func (c *Cluster) operate(n int, method, path, match, body string) (status int, header http.Header, answer string) {
	request, _ := http.NewRequest(method, "http://"+c.operatorAddress(n)+path, strings.NewReader(body))
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := operatorClient().Do(request)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(raw)
}

// PostOperator posts an operator's call to node n's port for other nodes, with
// these headers, and returns the answer's status and headers.
func (c *Cluster) PostOperator(n int, path, body string, header map[string]string) (status int, answer http.Header) {
	c.T.Helper()
	request, _ := http.NewRequest("POST", "http://"+c.internalAddress(n)+path, strings.NewReader(body))
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := operatorClient().Do(request)
	if err != nil {
		c.T.Fatal(err)
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header
}

// CheckRetryAfter checks that an answer allows a retry soon.
func CheckRetryAfter(t *testing.T, header http.Header) {
	t.Helper()
	if s, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || s <= 0 || s > maxRetryAfterS {
		t.Errorf("Retry-After is %q", header.Get("Retry-After"))
	}
}

// StartRollout requests a rollout of the plain service by way of node n. As
// callers do, it sends the request again when the node puts it off with a 503
// and a Retry-After: a node that got no processor time for a while rejects a
// request that may have waited in its sockets as long.
func (c *Cluster) StartRollout(n int, target string, seconds float64) (status int, answer string) {
	request := fmt.Sprintf(`{"Service":"plain","TargetVersion":%q,"DurationS":%v}`, target, seconds)
	for deadline := time.Now().Add(rolloutRetryTime); ; time.Sleep(rolloutRetryInterval) {
		status, header, answer := c.operate(n, "POST", nodeapi.PathRollouts, "", request)
		if status != http.StatusServiceUnavailable || header.Get("Retry-After") == "" || time.Now().After(deadline) {
			return status, answer
		}
	}
}

// Rollout reads the status of the plain service's rollout from node n.
func (c *Cluster) Rollout(n int) (status int, rollout control.RolloutStatus) {
	status, body := c.Operate(n, "GET", nodeapi.PathRollouts+"/plain", "", "")
	_ = json.Unmarshal([]byte(body), &rollout)
	return status, rollout
}

// ServeFakeNode answers the calls of other nodes in place of node n.
func (c *Cluster) ServeFakeNode(n int, handle http.HandlerFunc) {
	listener, err := net.Listen("tcp4", c.internalAddress(n))
	if err != nil {
		c.T.Fatal(err)
	}
	server := &http.Server{Handler: handle}
	go func() { _ = server.Serve(listener) }()
	c.T.Cleanup(func() { _ = server.Close() })
}
