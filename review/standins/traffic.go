package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// traffic sends requests all the time, until stop is closed.
func (r *rig) traffic() (stop chan struct{}, done *sync.WaitGroup) {
	return r.trafficOf(4, 60*time.Millisecond)
}

// trafficOf is traffic by a number of clients that pause between their requests.
func (r *rig) trafficOf(clients int, pause time.Duration) (stop chan struct{}, done *sync.WaitGroup) {
	stop, done = make(chan struct{}), &sync.WaitGroup{}
	for range clients {
		done.Add(1)
		go func() {
			defer done.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				a := r.ask("f1", http.MethodGet, pagesHost, "/card/1", nil, nil, 1500*time.Millisecond)
				r.note("client: %s sent at %.3f, status %d err %v, stamp %s", a.id, a.sent.Seconds(), a.status, a.err, a.header.Get("Swiftswitch-Server-Stamp"))
			}
		}()
	}
	return stop, done
}

// runCounts counts the runs since a time by searcher.
func (r *rig) runCounts(since time.Duration) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, run := range r.runs {
		if run.at >= since {
			counts[run.searcher]++
		}
	}
	return fmt.Sprint(counts)
}
