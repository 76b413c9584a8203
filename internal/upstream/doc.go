// Package upstream connects a front or a cache node to the endpoints: it pools
// connections, balances load over the endpoints of a service by their expected
// latency, and learns each endpoint's health from the responses, without
// probes (passive health checks).
//
// An endpoint that fails several times in a row is ejected for a while
// (outlier ejection). Where nodes outnumber the connections that an endpoint
// accepts, each node uses a deterministic subset of the endpoints.
//
// The package makes single attempts. Retries, hedged requests and the merge of
// responses are those of package scatter.
package upstream
