package ratelimit

import "time"

// TokenBucket limits one node's share of a rate. The zero value has rate 0 and
// no tokens. It starts empty, since what an earlier incarnation of the node
// took is unknown. It is not safe for concurrent use.
type TokenBucket struct {
	// rate is in tokens a second; capacity and tokens are numbers of tokens.
	rate, capacity, tokens float64
	// filledAt is when tokens was brought up to date.
	filledAt time.Duration
}

// SetRate sets the rate, in tokens a second, and how many seconds' worth of
// tokens may be saved up. There is always room for one token.
func (b *TokenBucket) SetRate(rate, burstSeconds float64, now time.Duration) {
	b.fill(now)
	b.rate, b.capacity = rate, max(1, rate*burstSeconds)
	b.tokens = min(b.tokens, b.capacity)
}

// Rate returns the rate in force, in tokens a second.
func (b *TokenBucket) Rate() float64 { return b.rate }

// Tokens returns how many tokens there are.
func (b *TokenBucket) Tokens(now time.Duration) float64 {
	b.fill(now)
	return b.tokens
}

// Take takes a token. If there is none, wait is how long until there is one;
// it is negative while the rate is 0, since none will come.
func (b *TokenBucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, -1
	}
	missing := (1 - b.tokens) / b.rate
	return false, time.Duration(missing * float64(time.Second))
}

// fill adds the tokens of the time since the last call.
func (b *TokenBucket) fill(now time.Duration) {
	if now > b.filledAt {
		b.tokens = min(b.capacity, b.tokens+b.rate*(now-b.filledAt).Seconds())
		b.filledAt = now
	}
}
