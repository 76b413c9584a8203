package nodeapi

import "swiftswitch/internal/cache"

// StatusNoQuota is the status of a CacheFetchResponse from a node that holds no
// share of the service's rate limit now. The front asks the next cache node.
const StatusNoQuota = 409

// HeaderCacheFetch bears the CacheFetchResponse, as JSON, of an answer whose
// body is the object.
const HeaderCacheFetch = "Swiftswitch-Larder"

// CacheFetchRequest is sent by a front to a cache node on PathCacheFetch: it
// asks for an object, which the cache node fetches from its origin if it holds
// no object that may be served. The JSON keys are short because these calls
// are frequent.
type CacheFetchRequest struct {
	Host    string `json:"H"`
	Target  string `json:"T"`
	Service string `json:"S"`
	// Tenant is the name of the tenant that the object is for, empty if it is
	// for all. The front has checked its key.
	Tenant string `json:"N,omitempty"`
	// Priority is the client's rank; 0 is the highest.
	Priority int `json:"Q,omitempty"`
	// KnownPurge is the number of the last purge that the front knows. The cache
	// node waits until it knows that one too.
	KnownPurge int64 `json:"P"`
	// TimeLeftMs is how long the client still waits, PollTimeoutMs how long
	// the front waits before it asks again, possibly another cache node.
	TimeLeftMs    int64 `json:"L"`
	PollTimeoutMs int64 `json:"M"`
	// Continues reports that the front waits already for the fetch at this
	// cache node.
	Continues bool `json:"R,omitempty"`

	// Weight and TargetLatencyMs are for cache nodes of earlier versions, which
	// order fetches by the one and reject what takes longer than the other.
	Weight          float64 `json:"W"`
	TargetLatencyMs int64   `json:"A"`
}

// CacheFetchResponse answers a CacheFetchRequest in HeaderCacheFetch.
type CacheFetchResponse struct {
	// Status is 200 for an object, 202 while it is being fetched, the origin's
	// status for an answer that is passed through, StatusNoQuota, or 502 to
	// 504 for a failure of the fetch.
	Status int           `json:"X"`
	Fields []cache.Field `json:"F,omitempty"`
	ETag   string        `json:"E,omitempty"`
	// Stamp is the origin's Swiftswitch-Server-Stamp.
	Stamp string   `json:"S,omitempty"`
	Tags  []string `json:"T,omitempty"`
	// KnownPurge is the number of the last purge that the object is known to
	// survive.
	KnownPurge int64 `json:"K,omitempty"`
	// AgeMs is the time since the fetch of the object began.
	AgeMs int64 `json:"A,omitempty"`
	// RetryAfterMs is how soon the client may come back after a rejection.
	RetryAfterMs int64 `json:"B,omitempty"`
	// PassThrough marks an origin's answer that must not be cached.
	PassThrough bool `json:"P,omitempty"`
	// Tenant repeats that of the request. A cache node of a version that knows no
	// tenants does not: its object may be another tenant's.
	Tenant string `json:"N,omitempty"`
}
