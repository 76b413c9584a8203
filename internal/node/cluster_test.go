package node_test

import (
	"io"
	"os"
	"strings"
	"testing"

	"swiftswitch/internal/events"
	"swiftswitch/internal/testcluster"
)

func TestMain(m *testing.M) {
	events.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// executed counts the requests that these endpoints have executed.
func executed(endpoints ...*testcluster.Endpoint) int {
	n := 0
	for _, e := range endpoints {
		n += e.RunCount()
	}
	return n
}

// addEndpoints adds endpoints whose IDs begin with their service and a dash.
func addEndpoints(c *testcluster.Cluster, endpoints map[string]*testcluster.Endpoint, ids ...string) {
	for _, id := range ids {
		service, _, _ := strings.Cut(id, "-")
		endpoints[id] = c.AddEndpoint(service, id)
	}
}
