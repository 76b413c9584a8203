package control

import (
	"errors"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/events"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// handlerFunc answers one call of another node.
type handlerFunc func(c *app.RequestContext)

// empty is the response of calls that only notify.
type empty struct{}

// internalAPI lists the calls that a control server answers to other nodes.
func (s *Server) internalAPI() map[string]handlerFunc {
	return map[string]handlerFunc{
		// Consensus: agreement on the next slot, and transfer of what was decided.
		nodeapi.PathConsensus: handle(s.handleConsensus),
		nodeapi.PathLearn:     handle(infallible(s.handleLearn)),
		nodeapi.PathPeek:      report(s.handlePeek),
		nodeapi.PathPersist:   report(s.persistAndReport),
		nodeapi.PathState:     handle(infallible(s.handleState)),
		nodeapi.PathVersion:   s.handleVersion,

		// Membership and leases.
		nodeapi.PathHeartbeat:    handle(infallible(s.handleHeartbeat)),
		nodeapi.PathJoin:         handle(infallible(s.handleJoin)),
		nodeapi.PathLease:        handle(s.pollLease.handleRequest),
		nodeapi.PathSilentVoters: report(s.handleSilentVoters),

		// The endpoint table.
		nodeapi.PathTable:       handle(s.handleTable),
		nodeapi.PathTableFetch:  handle(infallible(s.handleTableFetch)),
		nodeapi.PathUnreachable: notify(s, s.onUnreachableReport),

		// Fronts and cache nodes.
		nodeapi.PathCacheJoin:   handle(s.handleCacheJoinRequest),
		nodeapi.PathFrontRoster: report(s.handleFrontRoster),
		nodeapi.PathWatch:       handle(infallible(s.watch.handle)),

		// Quotas of tenants.
		nodeapi.PathQuota: handle(s.quotas.handleReport),

		// Rollouts.
		nodeapi.PathRolloutReport: notify(s, s.rollouts.onReport),
		nodeapi.PathRolloutTotals: notify(s, s.rollouts.onTotals),
	}
}

// HandleInternal answers a call of another node. It reports false, and has
// answered nothing, where the path is none of the control server's.
func (s *Server) HandleInternal(c *app.RequestContext) bool {
	handler, ok := s.handlers[string(c.Request.URI().PathOriginal())]
	if ok {
		handler(c)
	}
	return ok
}

// handle makes a handler of a call: it decodes the request, calls, and encodes
// the response or the error.
func handle[Request, Response any](call func(Request) (Response, error)) handlerFunc {
	return func(c *app.RequestContext) {
		var request Request
		if !transport.ReadJSON(c, &request) {
			return
		}
		response, err := call(request)
		writeResponse(c, response, err)
	}
}

// report makes a handler of a call whose request says nothing; its body is not read.
func report[Response any](call func() (Response, error)) handlerFunc {
	return func(c *app.RequestContext) {
		response, err := call()
		writeResponse(c, response, err)
	}
}

// notify makes a handler of a call that is carried out on the loop and has an
// empty response.
func notify[Request any](s *Server, call func(Request)) handlerFunc {
	return handle(func(request Request) (empty, error) {
		s.loop.Call(func() { call(request) })
		return empty{}, nil
	})
}

// infallible adapts a call that never fails to handle.
func infallible[Request, Response any](call func(Request) Response) func(Request) (Response, error) {
	return func(request Request) (Response, error) { return call(request), nil }
}

// writeResponse answers a call of another node.
func writeResponse(c *app.RequestContext, response any, err error) {
	if err == nil {
		transport.WriteJSON(c, 200, response)
		return
	}
	if invalid := (*InvalidError)(nil); errors.As(err, &invalid) {
		events.Log(events.MessageRejected, "path", string(c.Request.URI().PathOriginal()), "from", c.RemoteAddr(), "err", err)
	}
	transport.WriteError(c, httpStatus(err), err.Error())
}

// handleVersion gives a front the newest configuration. Its response is not
// JSON like the others: the body is the gzipped configuration, or its
// difference to the one held, as it was packed for all who hold the same, and
// what is said about it goes in a header.
func (s *Server) handleVersion(c *app.RequestContext) {
	var request nodeapi.VersionRequest
	if !transport.ReadJSON(c, &request) {
		return
	}
	var response nodeapi.VersionResponse
	var body []byte
	s.loop.Call(func() { response, body = s.versions.response(request) })
	c.SetStatusCode(200)
	c.Response.Header.Set(nodeapi.HeaderVersion, string(codec.MustEncode("version", response)))
	c.Response.Header.SetContentType("application/json")
	c.Response.Header.SetContentEncoding("gzip")
	c.Response.SetBodyRaw(body)
}

// handleHeartbeat takes another node's heartbeat and answers with its own.
func (s *Server) handleHeartbeat(heartbeat nodeapi.Heartbeat) (response nodeapi.Heartbeat) {
	s.loop.Call(func() {
		s.onHeartbeat(heartbeat)
		granted := s.pollLease.grantRenewals(heartbeat)
		response = s.heartbeat()
		response.GrantedRoles = granted
		response.Echo = heartbeat.Clock
	})
	return response
}

// handleSilentVoters tells which voters this node has not heard for long.
func (s *Server) handleSilentVoters() (membership.Report, error) {
	return s.memberReport(), nil
}

// handleTable takes a change of the endpoint table from another node.
func (s *Server) handleTable(request nodeapi.TableRequest) (response nodeapi.TableResponse, err error) {
	delta, err := nodeapi.UnpackTableDelta(request.Delta, s.host.MaxMessageBytes())
	if err != nil {
		return response, &InvalidError{Reason: err}
	}
	s.loop.Call(func() { response.Stamp = s.tables.applyDelta(delta) })
	return response, nil
}

// handleTableFetch gives what changed in the endpoint table since the one held.
func (s *Server) handleTableFetch(request nodeapi.TableFetchRequest) (response nodeapi.TableFetchResponse) {
	s.loop.Call(func() {
		if s.tables.current != nil {
			response.Delta = s.tables.delta(request.Stamp)
		}
	})
	return response
}

// handleCacheJoinRequest makes a node one of the cache nodes.
func (s *Server) handleCacheJoinRequest(node consensus.CacheNode) (empty, error) {
	if !s.cacheNodes.join(node) {
		return empty{}, ErrNotAgreed
	}
	return empty{}, nil
}

// handleFrontRoster lists the fronts that watch this node before others.
func (s *Server) handleFrontRoster() (roster nodeapi.FrontRoster, _ error) {
	s.loop.Call(func() { roster = s.fronts.ownRoster() })
	return roster, nil
}
