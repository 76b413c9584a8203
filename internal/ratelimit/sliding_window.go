package ratelimit

// slidingWindow counts requests and retries in a ring of buckets of time.
type slidingWindow struct {
	// newest numbers the bucket that is counted into; its place in the ring is
	// newest modulo windowBuckets.
	newest   int64
	requests [windowBuckets]int32
	retries  [windowBuckets]int32
	// requestSum and retrySum are the sums over the ring.
	requestSum int32
	retrySum   int32
}

// advance moves the window on to a bucket and drops those that leave it.
func (w *slidingWindow) advance(bucket int64) {
	if bucket-w.newest >= windowBuckets {
		*w = slidingWindow{newest: bucket}
	}
	for w.newest < bucket {
		w.newest++
		i := w.newest % windowBuckets
		w.requestSum -= w.requests[i]
		w.retrySum -= w.retries[i]
		w.requests[i], w.retries[i] = 0, 0
	}
}

func (w *slidingWindow) addRequest() {
	w.requests[w.newest%windowBuckets]++
	w.requestSum++
}

func (w *slidingWindow) addRetry() {
	w.retries[w.newest%windowBuckets]++
	w.retrySum++
}
