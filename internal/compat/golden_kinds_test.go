package compat

import (
	"swiftswitch/internal/cache"
	"swiftswitch/internal/config"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/control"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/front"
	"swiftswitch/internal/lease"
	"swiftswitch/internal/membership"
	"swiftswitch/internal/node"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/peersampling"
	"swiftswitch/internal/quota"
	"swiftswitch/internal/records"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/rollout"
	"swiftswitch/internal/upstream"
)

// goldenKinds are the types whose JSON form is stored or sent, by the name of
// their golden files: name.full.json has every field filled, name.zero.json
// holds the zero value, without the optional fields.
var goldenKinds = map[string]any{
	// Records on disk.
	"record-identity":  "",
	"record-state":     consensus.State{},
	"record-body":      records.Body{},
	"record-ballot":    records.Ballot{},
	"record-leases":    map[string]lease.Record{},
	"record-table":     endpoints.Table{},
	"record-fronts":    0,
	"record-terms":     rollout.ClockRecord{},
	"record-life":      int64(0),
	"record-taken":     []consensus.AppliedChange{},
	"value":            consensus.Value{},
	"ballots":          consensus.BallotState{},
	"acceptor-ask":     consensus.Request{},
	"acceptor-say":     consensus.Response{},
	"state-news":       consensus.StateDelta{},
	"table-delta":      endpoints.Delta{},
	"lease-record":     lease.Record{},
	"rollout-entry":    rollout.Entry{},
	"rollout-cell":     rollout.Cell{},
	"rollout-sum":      rollout.Sample{},
	"copy-field":       cache.Field{},
	"front":            relay.Front{},
	"view-node":        peersampling.Node{},
	"table-stamp":      endpoints.Stamp{},
	"table-entry":      endpoints.Endpoint{},
	"order-of-rollout": config.RolloutRequest{},
	"order-of-purge":   config.PurgeRequest{},
	"order-of-patch":   config.Patch{},
	"platform-page":    control.DiscoveryPage{},

	// Messages between nodes, by path.
	"consensus-request":    nodeapi.ConsensusRequest{},
	"consensus-response":   nodeapi.ConsensusResponse{},
	"learn-request":        nodeapi.LearnRequest{},
	"learn-response":       nodeapi.LearnResponse{},
	"state-request":        nodeapi.StateRequest{},
	"state-delta":          nodeapi.StateDelta{},
	"version-request":      nodeapi.VersionRequest{},
	"version-response":     nodeapi.VersionResponse{},
	"heartbeat":            nodeapi.Heartbeat{},
	"lease-renewal":        nodeapi.LeaseRenewal{},
	"table-request":        nodeapi.TableRequest{},
	"table-response":       nodeapi.TableResponse{},
	"quota-report":         quota.Report{},
	"quota-demand":         quota.Demand{},
	"quota-answer":         quota.Answer{},
	"quota-grant":          quota.Grant{},
	"join-request":         nodeapi.JoinRequest{},
	"join-response":        nodeapi.JoinResponse{},
	"member-report":        membership.Report{},
	"persist-response":     nodeapi.Heartbeat{},
	"watch-request":        nodeapi.WatchRequest{},
	"watch-response":       nodeapi.WatchResponse{},
	"control-node":         nodeapi.ControlNode{},
	"shuffle":              nodeapi.ShuffleMessage{},
	"front-roster":         nodeapi.FrontRoster{},
	"cache-fetch-request":  nodeapi.CacheFetchRequest{},
	"cache-fetch-response": nodeapi.CacheFetchResponse{},
	"cache-join-request":   consensus.CacheNode{},
	"peek-response":        nodeapi.PeekResponse{},
	"relay-request":        relay.Request{},
	"relay-response":       relay.Response{},
	"lease-request":        nodeapi.LeaseRequest{},
	"lease-response":       nodeapi.LeaseResponse{},
	"table-fetch-request":  nodeapi.TableFetchRequest{},
	"table-fetch-response": nodeapi.TableFetchResponse{},
	"unreachable-report":   nodeapi.UnreachableReport{},
	"rollout-report":       nodeapi.RolloutReport{},
	"rollout-totals":       nodeapi.RolloutTotals{},

	// What the status calls answer.
	"status":         node.Status{},
	"status-control": control.Status{},
	"status-front":   front.Status{},
	"status-rollout": control.RolloutStatus{},
	"status-count":   upstream.Stats{},
}
