package quota

import (
	"math"
	"time"
)

// pool is the token bucket of one tenant. All tokens that are unspent, or may be,
// are in one of level, stocked and unknown.
type pool struct {
	limit Limit
	// level are the tokens that the holder has.
	level    float64
	filledAt time.Duration
	// stocked are those that fronts have in stock by their last reports, unknown
	// those that fronts may have from earlier holders.
	stocked int
	unknown float64
}

// fill adds the tokens of the time since the last call, as far as there is room.
func (p *pool) fill(bounds Bounds, now time.Duration) {
	if elapsed := now - p.filledAt; elapsed > 0 {
		p.level += p.limit.RequestsPerS * elapsed.Seconds()
		p.filledAt = now
	}
	p.level = min(p.level, max(p.room(bounds), bounds.float(p.limit)))
}

// room is how many tokens may be unspent beside those of fronts.
func (p *pool) room(bounds Bounds) float64 {
	return bounds.capacity(p.limit) - float64(p.stocked) - p.unknown
}

// takeWaiting takes tokens for requests that wait, which are spent with that.
func (p *pool) takeWaiting(wanted int) int {
	taken := min(max(0, wanted), int(p.level))
	p.level -= float64(taken)
	return taken
}

// takeStock takes tokens for the stock of a front. It leaves a reserve for
// requests that wait at others.
func (p *pool) takeStock(bounds Bounds, wanted int) int {
	free := min(p.level-bounds.float(p.limit), p.room(bounds)-bounds.reserve(p.limit))
	taken := max(0, min(wanted, int(math.Floor(free))))
	p.level -= float64(taken)
	p.stocked += taken
	return taken
}

// wait returns how long it takes until there is another token.
func (p *pool) wait() time.Duration {
	missing := max(0, 1-p.level)
	return time.Duration(missing / p.limit.RequestsPerS * float64(time.Second))
}
