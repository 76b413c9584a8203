package quota

import "time"

const (
	// stockedToleranceRatio is the part of the tolerance by which unspent tokens may
	// exceed the burst size, so that many fronts can have a stock.
	stockedToleranceRatio = 0.7
	// floatToleranceRatio is the part of the tolerance that may be there beside it
	// for waiting requests. The rest is for requests that are under way to
	// searchers while a stock becomes void.
	floatToleranceRatio = 0.1
	// waitingReserveRatio is the part of the capacity that is kept for requests
	// that wait for a token, and not handed out as stock.
	waitingReserveRatio = 0.25
	// clockRateMargin covers the difference between the rates of two nodes' clocks.
	clockRateMargin = 1.25
)

// Limit is the quota of one tenant. RequestsPerS of 0 means that it has none.
type Limit struct {
	RequestsPerS float64
	BurstSize    float64
}

// Unlimited reports whether there is no quota.
func (l Limit) Unlimited() bool { return l.RequestsPerS <= 0 }

// Bounds say by how much the requests of a tenant may exceed its quota within a
// window: by Overshoot of what it allows, and Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Allowed returns how many requests of a tenant may run within a window.
func (b Bounds) Allowed(l Limit) float64 { return b.quota(l) + b.tolerance(l) }

// quota is how many requests a limit allows within a window.
func (b Bounds) quota(l Limit) float64 { return l.RequestsPerS*b.Window.Seconds() + l.BurstSize }

func (b Bounds) tolerance(l Limit) float64 { return b.quota(l)*b.Overshoot + b.Slack }

// capacity is how many tokens may be unspent, wherever they are.
func (b Bounds) capacity(l Limit) float64 {
	return max(1, l.BurstSize+stockedToleranceRatio*b.tolerance(l))
}

// reserve is how many tokens are never in stock at fronts: a burst is let through
// whichever fronts it comes to, also while others have stock that they don't need.
func (b Bounds) reserve(l Limit) float64 {
	return max(b.float(l), waitingReserveRatio*b.capacity(l), l.BurstSize)
}

// float is how many tokens may wait at the holder for requests even where others
// have the whole capacity.
func (b Bounds) float(l Limit) float64 {
	return max(1, floatToleranceRatio*b.tolerance(l))
}
