package relay

// Request asks a front to query shards of a route whose shards are merged. Both
// fronts hold the same version of the configuration, so that the receiver finds
// the route by the client's request. The JSON keys are short: no other calls
// between zones are as frequent.
type Request struct {
	// Version is that of the sender's configuration.
	Version int64 `json:"V"`
	// Shards holds indexes into the route's list of shards.
	Shards []int `json:"S"`
	// Head is the request line and headers of the client's request, which has
	// no body.
	Head string `json:"H"`
	// RemainingMs is the time until the client's deadline, WaitMs that until the
	// response must be on its way, both in milliseconds.
	RemainingMs int64 `json:"L"`
	WaitMs      int64 `json:"W"`
}

// Response holds what the shards answered within the receiver's wait.
type Response struct {
	// Stamps holds the stamp of each shard's response in the order of
	// Request.Shards, empty where there is none.
	Stamps []string `json:"S"`
	// Records holds the greatest records of all shards that responded, merged.
	Records []byte `json:"R"`
}

// Front is a node that may be called.
type Front struct {
	Name string `json:"Name"`
	IP   string `json:"IP"`
	Zone string `json:"Zone"`
	// NotReady is whether the node does not take calls for now.
	NotReady bool `json:"Out,omitempty"`
	// CacheNode is whether the node is a cache node and no front.
	CacheNode bool `json:"Keeps,omitempty"`
}
