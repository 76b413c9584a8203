package ratelimit

import "time"

// TokenBucket is one node's part of what a service takes a second from all. It
// starts empty: what an earlier life used is unknown.
type TokenBucket struct {
	rate, burst, have float64
	at                time.Duration
}

// SetRate changes the rate; burst is how many seconds' worth may be saved up.
func (c *TokenBucket) SetRate(rate, burst float64, now time.Duration) {
	c.fill(now)
	c.rate, c.burst = rate, rate*burst
	c.have = min(c.have, max(1, c.burst))
}

func (c *TokenBucket) fill(now time.Duration) {
	if now > c.at {
		c.have = min(max(1, c.burst), c.have+c.rate*(now-c.at).Seconds())
		c.at = now
	}
}

// Rate is the rate in force.
func (c *TokenBucket) Rate() float64 { return c.rate }

// Take uses one, or tells how long there is none; below 0 for as long as the rate is 0.
func (c *TokenBucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	c.fill(now)
	if c.have >= 1 {
		c.have--
		return true, 0
	}
	if c.rate <= 0 {
		return false, -1
	}
	return false, time.Duration((1 - c.have) / c.rate * float64(time.Second))
}
