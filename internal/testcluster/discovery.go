package testcluster

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
)

// discoveryPageSize is how many endpoints a page of the discovery list holds.
const discoveryPageSize = 3

// AddEndpoint starts an endpoint and puts it on the discovery list. One whose
// ID ends in "-new" is of version v2, one whose ID ends in "-far" in zone z2.
func (c *Cluster) AddEndpoint(service, id string) *Endpoint {
	e := &Endpoint{id: id, service: service, zone: "z1", version: "v1"}
	if strings.HasSuffix(id, "-new") {
		e.version = "v2"
	}
	if strings.HasSuffix(id, "-far") {
		e.zone = "z2"
	}
	e.Server = httptest.NewServer(e)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Endpoints[id], c.state[id] = e, "ready"
	return e
}

// RemoveEndpoint takes an endpoint off the discovery list; it goes on answering.
func (c *Cluster) RemoveEndpoint(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.Endpoints, id)
}

// SetEndpointState changes the state that the discovery list gives an endpoint.
func (c *Cluster) SetEndpointState(id, state string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state[id] = state
}

// serveDiscovery is the platform's list, in pages.
func (c *Cluster) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := slices.Sorted(maps.Keys(c.Endpoints))
	from := 0
	_, _ = fmt.Sscanf(r.URL.Query().Get("PageToken"), "p-%d", &from) // without a token the list begins at 0
	var instances []map[string]any
	for i := from; i < len(ids) && i < from+discoveryPageSize; i++ {
		e := c.Endpoints[ids[i]]
		instances = append(instances, map[string]any{
			"InstanceId": e.id, "Service": e.service, "Address": e.Server.Listener.Addr().String(), "Zone": e.zone,
			"Slots": 2, "State": c.state[e.id], "ColdRemainingMs": 0, "Version": e.version,
		})
	}
	page := map[string]any{"Instances": instances, "NextPageToken": nil}
	if from+discoveryPageSize < len(ids) {
		page["NextPageToken"] = fmt.Sprintf("p-%d", from+discoveryPageSize)
	}
	_ = json.NewEncoder(w).Encode(page)
}
