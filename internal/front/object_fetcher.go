package front

import (
	"cmp"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/cachenode"
	"swiftswitch/internal/codec"
	"swiftswitch/internal/consensus"
	"swiftswitch/internal/frontend"
	"swiftswitch/internal/host"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/relay"
	"swiftswitch/internal/routing"
	"swiftswitch/internal/upstream"
)

const (
	// minFetchTime is the least time left in which another attempt is made.
	minFetchTime = time.Millisecond
	// fetchRounds is how often each cache node is asked before giving up.
	fetchRounds = 2
	// fetchPollHeartbeats is how long a poll for an object waits at most.
	fetchPollHeartbeats = 0.25
	// unknownNodesRetryHeartbeats and noQuotaRetryHeartbeats tell a client when
	// to come back.
	unknownNodesRetryHeartbeats = 0.2
	noQuotaRetryHeartbeats      = 0.5
)

// errOtherTenant: a cache node answered without regard to the tenant.
var errOtherTenant = errors.New("object of another tenant")

// objectFetcher implements frontend.ObjectFetcher: it fetches objects by way
// of the cache nodes, or itself while there is none.
type objectFetcher struct {
	host   *host.Host
	roster *cacheNodeRoster
	// balancer remembers the cache nodes that failed lately.
	balancer *relay.Balancer
	purges   *frontend.CacheHandler
	// local fetches from endpoints, within the node's share of the rate limits.
	local *cachenode.Fetcher
	// route returns the route of an object, nil where there is none yet.
	route func(hostName, target string) *routing.Route
}

// Fetch asks the cache node that owns the object, by rendezvous hashing, or the
// next in rank if that one does not answer.
func (f *objectFetcher) Fetch(request frontend.FetchRequest) frontend.FetchResult {
	deadline := time.Now().Add(request.TimeLeft)
	nodes, known := f.roster.nodes()
	if !known {
		return frontend.FetchResult{Status: http.StatusServiceUnavailable, RetryAfter: f.host.Heartbeats(unknownNodesRetryHeartbeats)}
	}
	if len(nodes) == 0 {
		return f.fetchLocally(request)
	}
	ranked := f.rankCacheNodes(nodes, cache.TenantKey(request.Tenant, request.Host, request.Target))
	isUnderWay := false
	for i := 0; ; {
		left := time.Until(deadline)
		if left < minFetchTime {
			return frontend.FetchResult{Status: http.StatusGatewayTimeout}
		}
		if i >= fetchRounds*len(ranked) {
			return frontend.FetchResult{Status: http.StatusServiceUnavailable, RetryAfter: f.host.Heartbeats(noQuotaRetryHeartbeats)}
		}
		node := ranked[i%len(ranked)]
		result, err := f.fetchFrom(node, request, left, isUnderWay)
		f.balancer.RecordResult(node.IP, err == nil, time.Now())
		switch {
		case err != nil, result.Status == nodeapi.StatusNoQuota:
			i++
			isUnderWay = false
		case result.Status == http.StatusAccepted && result.Object == nil:
			isUnderWay = true
		default:
			return result
		}
	}
}

// rankCacheNodes orders the nodes for an object: those that failed lately
// last, then by highest random weight.
func (f *objectFetcher) rankCacheNodes(nodes []consensus.CacheNode, key string) []consensus.CacheNode {
	ranked, now := slices.Clone(nodes), time.Now()
	weight := func(node consensus.CacheNode) uint64 { return upstream.HashString(node.IP + "\n" + key) }
	slices.SortFunc(ranked, func(a, b consensus.CacheNode) int {
		return cmp.Or(
			cmp.Compare(f.balancer.EjectionRank(a.IP, now), f.balancer.EjectionRank(b.IP, now)),
			cmp.Compare(weight(b), weight(a)),
		)
	})
	return ranked
}

// fetchFrom asks one cache node. isUnderWay: the node has said that the fetch is.
func (f *objectFetcher) fetchFrom(node consensus.CacheNode, request frontend.FetchRequest, left time.Duration, isUnderWay bool) (frontend.FetchResult, error) {
	poll := min(left, f.host.Heartbeats(fetchPollHeartbeats))
	message := cacheFetchRequest(request, left, poll)
	if isUnderWay {
		message.Continues, message.Weight = true, 0
	}
	message.KnownPurge = f.purges.KnownPurge()
	startedAt := f.host.Now()
	reply, err := f.host.Client.Do(f.host.Settings().InternalAddress(node.IP), http.MethodPost, nodeapi.PathCacheFetch, nil, codec.MustEncode("cache fetch request", message), fetchTimeout(left, poll))
	if err != nil {
		return frontend.FetchResult{}, err
	}
	var response nodeapi.CacheFetchResponse
	if err := json.Unmarshal([]byte(reply.Header(nodeapi.HeaderCacheFetch)), &response); err != nil {
		return frontend.FetchResult{}, err
	}
	if response.Tenant != request.Tenant {
		return frontend.FetchResult{}, errOtherTenant
	}
	return fetchResult(request, response, reply.Body, startedAt), nil
}

// fetchTimeout returns how long a poll may take. After the wait for the fetch the
// object may take half of the client's time over a full link; the rest is for
// another cache node, should this one be silent.
func fetchTimeout(left, poll time.Duration) time.Duration {
	return poll + (left-poll)/2
}

// fetchLocally fetches where there is no cache node.
func (f *objectFetcher) fetchLocally(request frontend.FetchRequest) frontend.FetchResult {
	route := f.route(request.Host, request.Target)
	if route == nil {
		return frontend.FetchResult{Status: http.StatusServiceUnavailable}
	}
	startedAt := f.host.Now()
	response, body := f.local.Get(cacheFetchRequest(request, request.TimeLeft, request.TimeLeft), route.CacheLifetime, route.SplitsTo)
	switch response.Status {
	case http.StatusAccepted:
		response.Status = http.StatusGatewayTimeout
	case nodeapi.StatusNoQuota:
		response.Status = http.StatusServiceUnavailable
		response.RetryAfterMs = f.host.Heartbeats(noQuotaRetryHeartbeats).Milliseconds()
	}
	return fetchResult(request, response, body, startedAt)
}

func cacheFetchRequest(request frontend.FetchRequest, left, poll time.Duration) nodeapi.CacheFetchRequest {
	return nodeapi.CacheFetchRequest{
		Host:            request.Host,
		Target:          request.Target,
		Service:         request.Service,
		Tenant:          request.Tenant,
		Priority:        request.Priority,
		TimeLeftMs:      left.Milliseconds(),
		PollTimeoutMs:   poll.Milliseconds(),
		Weight:          1 / float64(1+request.Priority),
		TargetLatencyMs: left.Milliseconds(),
	}
}

// fetchResult reads a cache node's response to a call that was sent at
// startedAt. The object's age counts on from then, so the time that the answer
// was under way makes it older, never younger.
func fetchResult(request frontend.FetchRequest, response nodeapi.CacheFetchResponse, body []byte, startedAt time.Duration) frontend.FetchResult {
	switch {
	case response.PassThrough:
		return frontend.FetchResult{PassThrough: &cache.PassThrough{
			Status: response.Status,
			Fields: response.Fields,
			Body:   body,
			Stamp:  response.Stamp,
		}}
	case response.Status == http.StatusOK:
		return frontend.FetchResult{Object: &cache.Object{
			Host:       request.Host,
			Target:     request.Target,
			Service:    request.Service,
			Tenant:     request.Tenant,
			Fields:     response.Fields,
			Body:       body,
			ETag:       response.ETag,
			Stamp:      response.Stamp,
			Tags:       response.Tags,
			FetchedAt:  startedAt - time.Duration(response.AgeMs)*time.Millisecond,
			KnownPurge: response.KnownPurge,
		}}
	}
	return frontend.FetchResult{Status: response.Status, RetryAfter: time.Duration(response.RetryAfterMs) * time.Millisecond}
}
