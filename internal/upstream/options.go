package upstream

import (
	"time"

	"swiftswitch/internal/metrics"
)

// Options configure a Pool.
type Options struct {
	// Distance returns how far a zone is from this node: 0 for its own zone, 1
	// for another of its region, 2 for one beyond.
	Distance func(zone string) int
	// NodeName is this node's name, from which its subsets are derived.
	NodeName string

	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// TCPUserTimeout is after how long without an acknowledgement the kernel
	// breaks a connection.
	TCPUserTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept where the endpoint
	// names no time.
	IdleTimeout time.Duration
	// SettleTime is how long a connection must have been idle before it carries
	// an internal request. The response to such a request repeats no request
	// ID; surplus bytes of an earlier response must have had time to arrive.
	SettleTime time.Duration
	// MaxBodyBytes bounds the body of a response.
	MaxBodyBytes int
	// BufferedBodyBytes bounds the body of a response that is read before it is passed
	// on, where the request streams its response.
	BufferedBodyBytes int

	// ConsecutiveFailures is after how many failures in a row an endpoint is
	// ejected.
	ConsecutiveFailures int
	// BaseEjectionTime is how long the first ejection lasts. Each that follows
	// without a response in between lasts twice as long, up to four times.
	BaseEjectionTime time.Duration

	// DistancePenalty is how many times the service's median latency is added
	// to the score of an endpoint in another region; half of it is added to
	// that of an endpoint in another zone of this region.
	DistancePenalty float64
	// TwoChoicesThreshold, at least 2, is from how many equally near candidates
	// on the better of two random ones is picked instead of the best of all.
	TwoChoicesThreshold int
	// DecayTime is the time constant with which a latency estimate loses weight
	// while no new responses come. Other estimates age in fractions of it.
	DecayTime time.Duration
	// Metrics is where the pool's metrics are shown, if anywhere.
	Metrics *metrics.Registry
}

// Fractions of Options.DecayTime.
const (
	loadFreshDivisor     = 30
	loadStaleDivisor     = 8
	limitRecoveryDivisor = 30
)

// loadFreshFor is how long an endpoint's reported load counts in full.
func (o *Options) loadFreshFor() time.Duration { return o.DecayTime / loadFreshDivisor }

// loadStaleAfter is after how long an endpoint's reported load counts no more.
func (o *Options) loadStaleAfter() time.Duration { return o.DecayTime / loadStaleDivisor }

// limitRecoveryInterval is how often a reduced connection limit grows by one.
func (o *Options) limitRecoveryInterval() time.Duration { return o.DecayTime / limitRecoveryDivisor }
