package ratelimit

import (
	"testing"
	"time"
)

func TestTokenBucketStartsEmpty(t *testing.T) {
	b := &TokenBucket{}
	b.SetRate(25, 0.1, 0)
	if ok, wait := b.Take(0); ok || wait <= 0 || wait > 40*time.Millisecond {
		t.Fatalf("a node that just started has something saved up: %v %v", ok, wait)
	}
	if ok, wait := (&TokenBucket{}).Take(time.Second); ok || wait >= 0 {
		t.Fatal("a node without a share takes a token")
	}
}

// Whatever happens to the shares, no window sees more than the rate: nodes
// that restart, shares that change hands, a rate that is lowered.
func TestTokenBucketsShareRate(t *testing.T) {
	const rate, burst, window = 100.0, 0.1, 5 * time.Second
	var taken []time.Duration
	buckets := []*TokenBucket{{}, {}, {}, {}}
	for _, b := range buckets {
		b.SetRate(rate/4, burst, 0)
	}
	for now := time.Duration(0); now < 30*time.Second; now += time.Millisecond {
		switch now {
		case 7 * time.Second: // one restarts
			buckets[1] = &TokenBucket{}
			buckets[1].SetRate(rate/4, burst, now)
		case 12 * time.Second: // one is given up, the others take its share
			buckets[3].SetRate(0, burst, now)
		case 14 * time.Second:
			for _, b := range buckets[:3] {
				b.SetRate(rate/3, burst, now)
			}
		}
		for _, b := range buckets {
			if ok, _ := b.Take(now); ok {
				taken = append(taken, now)
			}
		}
	}
	most := 0
	for i, j := 0, 0; j < len(taken); j++ {
		for taken[j]-taken[i] > window {
			i++
		}
		most = max(most, j-i+1)
	}
	if most > int(rate*5*1.1)+5 || most < int(rate*5*0.95) {
		t.Fatalf("%d in a window", most)
	}
}
