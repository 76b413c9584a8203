package nodeapi

import "swiftswitch/internal/cache"

// CacheFetchRequest asks for an object, larderSay goes with the answer, in a header:
// the object itself is the body. All times are in milliseconds.
type CacheFetchRequest struct {
	Host    string  `json:"H"`
	Target  string  `json:"T"`
	Service string  `json:"S"`
	Weight  float64 `json:"W"`
	// PurgeSeq is the last purge that the asker knows; LeftMs is how long the
	// client waits, WaitMs how long the asker does before it asks again.
	PurgeSeq        int64 `json:"P"`
	TimeLeftMs      int64 `json:"L"`
	PollTimeoutMs   int64 `json:"M"`
	TargetLatencyMs int64 `json:"A"`
	// IsRetry: the client was refused once and came back.
	IsRetry bool `json:"R,omitempty"`
}

type CacheFetchResponse struct {
	// Status is 200 for a copy, 202 while it is being fetched, the origin's
	// status for an answer passed on, and 502 to 504 for a failure of ours.
	Status       int           `json:"X"`
	Fields       []cache.Field `json:"F,omitempty"`
	ETag         string        `json:"E,omitempty"`
	Stamp        string        `json:"S,omitempty"`
	Tags         []string      `json:"T,omitempty"`
	PurgeSeq     int64         `json:"K,omitempty"`
	AgeMs        int64         `json:"A,omitempty"`
	RetryAfterMs int64         `json:"B,omitempty"`
	PassThrough  bool          `json:"P,omitempty"`
}

// StatusNoQuota answers a fetch at a node that has no share of the service's
// rate limit now.
const StatusNoQuota = 409

// HeaderCacheFetch holds the CacheFetchResponse of an answer whose body is the object.
const HeaderCacheFetch = "Swiftswitch-Larder"
