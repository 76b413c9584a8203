package front

import (
	"time"

	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/upstream"
)

// A Server is the Front of its own fetcher.
var _ cachenode.Front = (*Server)(nil)

// Service returns a service of the configuration in force, nil where there is
// none; known is false while there is no configuration.
func (s *Server) Service(name string) (service *config.Service, known bool) {
	snapshot := s.frontend.Snapshot()
	if snapshot == nil {
		return nil, false
	}
	return snapshot.RouteTable.Services[name], true
}

// Route returns the route of an object, nil where there is none yet.
func (s *Server) Route(hostName, target string) *routing.Route {
	snapshot := s.frontend.Snapshot()
	if snapshot == nil {
		return nil
	}
	return snapshot.RouteTable.Match(hostName, target)
}

// QuotaShare returns this node's part of each service's rate limit; ok is
// false while it must not fetch.
func (s *Server) QuotaShare() (share float64, ok bool) { return s.cacheNodes.quotaShare() }

// PickEndpoint picks an endpoint for a request of this node's own, as the
// traffic split of its service allows. The time is the start of the attempt, for
// Pool.Do.
func (s *Server) PickEndpoint(service string) (*upstream.Endpoint, time.Time) {
	choice := s.frontend.ChooseVersion(service)
	for i, version := range []string{choice.Canary, choice.Primary, choice.Fallback} {
		// An empty version means any in Primary, and none in the others.
		if version == "" && i != 1 {
			continue
		}
		if endpoint, start := s.endpoints.Pick(upstream.Selector{Service: service, Version: version}, nil, false); endpoint != nil {
			return endpoint, start
		}
	}
	return nil, time.Now()
}

// ListedAsCacheNode reports whether the agreed list of cache nodes holds this one.
func (s *Server) ListedAsCacheNode() bool { return s.cacheNodes.isMember() }

// CacheNodes returns the agreed list of cache nodes, empty until one was received.
func (s *Server) CacheNodes() []consensus.CacheNode {
	nodes, _ := s.cacheNodes.nodes()
	return nodes
}

// ControlIPs returns the addresses of the control nodes known.
func (s *Server) ControlIPs() []string { return s.watcher.controlIPs() }
