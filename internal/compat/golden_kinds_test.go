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
	"record-terms":     rollout.TermRecord{},
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
	"cairn-ask":         nodeapi.ConsensusRequest{},
	"cairn-say":         nodeapi.ConsensusResponse{},
	"learn-ask":         nodeapi.LearnRequest{},
	"learn-say":         nodeapi.LearnResponse{},
	"state-ask":         nodeapi.StateRequest{},
	"state-say":         nodeapi.StateDelta{},
	"version-ask":       nodeapi.VersionRequest{},
	"version-say":       nodeapi.VersionResponse{},
	"beat":              nodeapi.Heartbeat{},
	"beat-renewal":      nodeapi.LeaseRenewal{},
	"table-ask":         nodeapi.TableRequest{},
	"table-say":         nodeapi.TableResponse{},
	"join-ask":          nodeapi.JoinRequest{},
	"join-say":          nodeapi.JoinResponse{},
	"silent-say":        membership.Report{},
	"keep-say":          nodeapi.Heartbeat{},
	"watch-ask":         nodeapi.WatchRequest{},
	"watch-say":         nodeapi.WatchResponse{},
	"watch-say-address": nodeapi.ControlNode{},
	"shuffle":           nodeapi.ShuffleMessage{},
	"roll":              nodeapi.FrontRoster{},
	"larder-ask":        nodeapi.CacheFetchRequest{},
	"larder-say":        nodeapi.CacheFetchResponse{},
	"enlist-ask":        consensus.CacheNode{},
	"peek-say":          nodeapi.PeekResponse{},
	"saddle-ask":        relay.Request{},
	"saddle-say":        relay.Response{},
	"bid-ask":           nodeapi.LeaseRequest{},
	"bid-say":           nodeapi.LeaseResponse{},
	"fetch-ask":         nodeapi.TableFetchRequest{},
	"fetch-say":         nodeapi.TableFetchResponse{},
	"hearsay":           nodeapi.UnreachableReport{},
	"tally":             nodeapi.RolloutReport{},
	"ledger":            nodeapi.RolloutTotals{},

	// What the status calls answer.
	"status":         node.Status{},
	"status-control": control.Status{},
	"status-front":   front.Status{},
	"status-rollout": control.RolloutStatus{},
	"status-count":   upstream.Stats{},
}
