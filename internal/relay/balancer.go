package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"swiftswitch/internal/latency"
)

// maxConsecutiveFailures is after how many failed calls in a row a node is
// ejected.
const maxConsecutiveFailures = 2

// Balancer spreads calls over the fronts of a zone, and ejects nodes that fail.
// It knows nodes by their IP. Its methods may be called from any goroutine.
type Balancer struct {
	ejectionTime time.Duration

	mu sync.Mutex // guards all fields below
	// frontsByZone holds the fronts other than this node.
	frontsByZone map[string][]Front
	// inFlight counts the calls under way, failures those that failed since the
	// last success or ejection.
	inFlight     map[string]int
	failures     map[string]int
	ejectedUntil map[string]time.Time

	// latencies holds those of the calls to each zone's fronts.
	latencies latency.Table
}

// NewBalancer returns a balancer without fronts, which ejects nodes for
// ejectionTime.
func NewBalancer(ejectionTime time.Duration) *Balancer {
	return &Balancer{
		ejectionTime: ejectionTime,
		frontsByZone: map[string][]Front{},
		inFlight:     map[string]int{},
		failures:     map[string]int{},
		ejectedUntil: map[string]time.Time{},
	}
}

// SetFronts replaces the fronts. The one whose name is self is left out.
func (b *Balancer) SetFronts(fronts []Front, self string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.frontsByZone = map[string][]Front{}
	for _, front := range fronts {
		if front.Name != self {
			b.frontsByZone[front.Zone] = append(b.frontsByZone[front.Zone], front)
		}
	}
}

// Pick returns the less busy of two random fronts of a zone, or nil where all
// are ejected. Done or Cancel must follow.
func (b *Balancer) Pick(zone string, now time.Time) *Front {
	b.mu.Lock()
	defer b.mu.Unlock()
	var candidates []Front
	for _, front := range b.frontsByZone[zone] {
		if !b.ejected(front.IP, now) {
			candidates = append(candidates, front)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	picked := candidates[rand.IntN(len(candidates))]
	other := candidates[rand.IntN(len(candidates))]
	if b.inFlight[other.IP] < b.inFlight[picked.IP] {
		picked = other
	}
	b.inFlight[picked.IP]++
	return &picked
}

// Done records the end of a call to a front, and its latency if it succeeded.
func (b *Balancer) Done(front Front, ok bool, began, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endCall(front.IP)
	b.recordResult(front.IP, ok, now)
	if ok {
		b.latencies.Add(front.Zone, now.Sub(began))
	}
}

// Latency returns the percentiles of the last calls to fronts of a zone.
func (b *Balancer) Latency(zone string) latency.Percentiles {
	return b.latencies.Percentiles(zone)
}

// RecordResult records whether a call to a node that was not picked succeeded.
func (b *Balancer) RecordResult(ip string, ok bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.recordResult(ip, ok, now)
}

// recordResult ejects a node that failed too often in a row. The caller holds
// b.mu.
func (b *Balancer) recordResult(ip string, ok bool, now time.Time) {
	if ok {
		delete(b.failures, ip)
		return
	}
	b.failures[ip]++
	if b.failures[ip] >= maxConsecutiveFailures {
		delete(b.failures, ip)
		b.ejectedUntil[ip] = now.Add(b.ejectionTime)
	}
}

// Cancel records that a call to a node was broken off by this one. That says
// nothing about the node: its failures in a row neither grow nor end.
func (b *Balancer) Cancel(ip string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endCall(ip)
}

// endCall counts a call to a node as ended. The caller holds b.mu.
func (b *Balancer) endCall(ip string) {
	b.inFlight[ip]--
	if b.inFlight[ip] <= 0 {
		delete(b.inFlight, ip)
	}
}

// EjectionRank returns 1 for a node that is ejected and 0 for another, to sort
// nodes by.
func (b *Balancer) EjectionRank(ip string, now time.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ejected(ip, now) {
		return 1
	}
	return 0
}

// ejected reports whether a node is ejected. The caller holds b.mu.
func (b *Balancer) ejected(ip string, now time.Time) bool {
	return !now.After(b.ejectedUntil[ip])
}
