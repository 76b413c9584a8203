package testcluster

import (
	"net/http"
	"strings"
	"testing"

	"swiftswitch/internal/control"
)

// firstVersion is the version of the first configuration.
const firstVersion = 3

// StartDefault runs three control nodes and two fronts over two shards and a
// plain service, each with two endpoints, by their IDs.
func StartDefault(t *testing.T) (*Cluster, map[string]*Endpoint) {
	t.Helper()
	return StartStretched(t, 1)
}

// StartStretched is StartDefault with all bounds and intervals stretched.
// configure sets what must be set before nodes are started.
func StartStretched(t *testing.T, timeScale float64, configure ...func(*Cluster)) (*Cluster, map[string]*Endpoint) {
	t.Helper()
	c := New(t)
	c.TimeScale = timeScale
	for _, set := range configure {
		set(c)
	}
	endpoints := map[string]*Endpoint{}
	for _, id := range []string{"s1-a", "s1-b", "s2-a", "s2-b", "plain-a", "plain-b"} {
		endpoints[id] = c.AddEndpoint(strings.Split(id, "-")[0], id)
	}
	for _, n := range []int{1, 2, 3, 11, 12} {
		c.StartNode(n, true, 1, 2, 3)
	}
	c.putFirstConfiguration(2, "s1", "s2")
	c.Eventually("the fronts are ready and know the endpoints", func() bool {
		return c.servesEverything(11) && c.servesEverything(12)
	})
	return c, endpoints
}

// servesEverything reports whether front n is ready, answers with all shards,
// and with the plain service.
func (c *Cluster) servesEverything(n int) bool {
	if !c.IsFrontReady(n) {
		return false
	}
	gathered, _, _ := c.Request(n, "GET", "/g/x", "")
	if gathered.StatusCode != http.StatusOK || gathered.Header.Get("Swiftswitch-Missing-Parts") != "" {
		return false
	}
	plain, _, _ := c.Request(n, "GET", "/p/x", "")
	return plain.StatusCode == http.StatusOK
}

// putFirstConfiguration puts the first configuration in force by way of node n.
func (c *Cluster) putFirstConfiguration(n int, shards ...string) {
	c.T.Helper()
	c.Eventually("the first configuration is acknowledged", func() bool {
		status, _ := c.PutConfiguration(n, "PUT", "0", ConfigurationBody(firstVersion, shards...))
		return status == http.StatusOK
	})
}

// StartControlNodes runs these control nodes, which have 1, 2 and 3 as seeds,
// with a first configuration that node 2 takes.
func StartControlNodes(t *testing.T, toleratedLosses int, numbers ...int) *Cluster {
	t.Helper()
	c := New(t)
	c.ToleratedLosses = toleratedLosses
	c.AddEndpoint("plain", "plain-a")
	for _, n := range numbers {
		c.StartNode(n, true, 1, 2, 3)
	}
	c.putFirstConfiguration(2, "s1")
	return c
}

// StartSingleControlNode runs control node 1 alone, with a first configuration.
func StartSingleControlNode(t *testing.T) (*Cluster, *control.Server) {
	t.Helper()
	c := New(t)
	n := c.StartNode(1, true, 1)
	c.putFirstConfiguration(1, "s1")
	return c, n.Control()
}
