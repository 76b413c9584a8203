package cachenode

import (
	"net/http"
	"time"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// joinHeartbeats is how often a cache node checks, in heartbeat intervals,
	// whether it is on the agreed list.
	joinHeartbeats = 0.5
	// joinTimeoutRatio is the part of AcknowledgeMs that a call to join may take.
	joinTimeoutRatio = 0.4
)

// HandleFetch serves a front's request for an object. The response's body is
// the object; what it is stands in a header.
func (f *Fetcher) HandleFetch(c *app.RequestContext) {
	var request nodeapi.CacheFetchRequest
	if !transport.ReadJSON(c, &request) {
		return
	}
	response := nodeapi.CacheFetchResponse{Status: http.StatusServiceUnavailable}
	var body []byte
	route := f.front.Route(request.Host, request.Target)
	if route != nil && route.Cacheable && route.SplitsTo(request.Service) && request.TimeLeftMs > 0 {
		response, body = f.Get(request, route.CacheLifetime, route.SplitsTo)
	}
	response.Tenant = request.Tenant
	c.SetStatusCode(http.StatusOK)
	c.Response.Header.Set(nodeapi.HeaderCacheFetch, string(codec.MustEncode("cache fetch response", response)))
	c.Response.Header.SetContentType("application/octet-stream")
	c.Response.SetBodyRaw(body)
}

// JoinLoop keeps this node on the agreed list of cache nodes until it drains.
func (f *Fetcher) JoinLoop() {
	for {
		select {
		case <-f.host.Stopping:
			return
		case <-time.After(f.host.Heartbeats(joinHeartbeats)):
		}
		if !f.front.ListedAsCacheNode() && !f.host.Draining.Load() {
			f.join()
		}
	}
}

// join asks the control nodes, one after the other, to add this node to the list.
func (f *Fetcher) join() {
	settings := f.host.Settings()
	self := consensus.CacheNode{Name: settings.NodeName, IP: settings.IpAddress, Zone: settings.Zone}
	timeout := config.Milliseconds(settings.Bounds.AcknowledgeMs, joinTimeoutRatio)
	for _, ip := range f.front.ControlIPs() {
		if f.host.Client.CallJSON(settings.InternalAddress(ip), nodeapi.PathCacheJoin, self, nil, timeout) == nil {
			events.Log(events.CacheNodeRegistered, "by", ip)
			return
		}
	}
}
