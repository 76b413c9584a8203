package testcluster

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"swiftswitch/internal/consensus"
)

const (
	clientTimeout = 3 * time.Second
	// clientDeadline is what a client's request says that it waits for.
	clientDeadline = 1500 * time.Millisecond
	// trafficClients ask in StartTraffic, each after every trafficInterval.
	trafficClients  = 4
	trafficInterval = 8 * time.Millisecond
)

// requestNumber makes the IDs of requests differ.
var requestNumber atomic.Int64

// Request sends a client's request to front n, with an ID that it returns.
func (c *Cluster) Request(n int, method, path, body string) (*http.Response, []byte, string) {
	return c.RequestAs(n, method, path, body, fmt.Sprintf("r%05d", requestNumber.Add(1)))
}

// RequestStatus sends a client's request with the given ID to front n, and
// returns the status alone, 0 if there is no answer.
func (c *Cluster) RequestStatus(n int, method, path, body, id string) int {
	response, _, _ := c.RequestAs(n, method, path, body, id)
	return response.StatusCode
}

// RequestAs sends a client's request with the given ID to front n. If there is
// no answer the status is 0 and the body the error.
func (c *Cluster) RequestAs(n int, method, path, body, id string) (*http.Response, []byte, string) {
	request, _ := http.NewRequest(method, "http://"+c.address(n, frontPort)+path, strings.NewReader(body))
	request.Host = "a.example"
	request.Header.Set("Swiftswitch-Request-Id", id)
	request.Header.Set("Swiftswitch-Deadline-Milliseconds", fmt.Sprint(clientDeadline.Milliseconds()))
	client := &http.Client{Timeout: clientTimeout, Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return &http.Response{StatusCode: 0, Header: http.Header{}}, []byte(err.Error()), id
	}
	defer func() { _ = response.Body.Close() }()
	raw, _ := io.ReadAll(response.Body)
	return response, raw, id
}

// IsFrontReady reports whether front n says that it is ready.
func (c *Cluster) IsFrontReady(n int) bool {
	response, err := http.Get(fmt.Sprintf("http://%s/-/ready", c.address(n, readinessPort)))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Repeat has n goroutines call do again and again, each with its number, until
// end is called, which returns when all have ended.
func Repeat(n int, do func(i int)) (end func()) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for i := range n {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					do(i)
				}
			}
		})
	}
	return func() {
		close(stop)
		running.Wait()
	}
}

// StartTraffic sends requests for the plain service to fronts 11 and 12 until
// the end of the test. failed counts those that were not answered with 200.
func (c *Cluster) StartTraffic() (failed func() int) {
	stop := make(chan struct{})
	var failures atomic.Int64
	var running sync.WaitGroup
	for i := range trafficClients {
		running.Go(func() {
			for number := 1; ; number++ {
				select {
				case <-stop:
					return
				case <-time.After(trafficInterval):
				}
				if status := c.RequestStatus(11+i%2, "GET", "/p/x", "", fmt.Sprintf("t%d-%05d", i, number)); status != http.StatusOK {
					failures.Add(1)
				}
			}
		})
	}
	c.T.Cleanup(func() {
		close(stop)
		running.Wait()
	})
	return func() int { return int(failures.Load()) }
}

// WaitPhaseAtFronts waits until fronts 11 and 12 hold a phase of the plain
// service's rollout. On a machine under load that may take longer than the
// control nodes wait for it.
func (c *Cluster) WaitPhaseAtFronts(phase consensus.Phase) {
	c.T.Helper()
	c.Eventually("the fronts hold "+string(phase), func() bool {
		for _, number := range []string{"11", "12"} {
			if split := c.Nodes[number].Front().Snapshot().TrafficSplits["plain"]; split == nil || split.Phase != phase {
				return false
			}
		}
		return true
	})
}
