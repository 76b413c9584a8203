package cache

import (
	"net/http"
	"time"
)

// lateWeight is the part of its weight with which a fetch counts in the order
// of the queue once it can't be in time any more.
const lateWeight = 0.55

// Source says what is fetched, and from which service.
type Source struct {
	Host, Target string
	// Service is the service to fetch from.
	Service string
	// Tenant is the name of the tenant that the object is for, empty if it is
	// for all.
	Tenant string
}

// Key returns the object's key.
func (s *Source) Key() string { return TenantKey(s.Tenant, s.Host, s.Target) }

// Fetch is a fetch of an object that is queued or running. All who want the
// object share it. Its fields belong to the queue's owner until Done is
// closed; then they do not change any more.
type Fetch struct {
	Source
	// StartedAt is when the running attempt began, and KnownPurge the number
	// of the last purge known then.
	StartedAt  time.Duration
	KnownPurge int64
	Running    bool
	// Attempts counts the attempts begun.
	Attempts int

	// weight sums up the weights of the requests.
	weight float64
	// requestedAt is when the last request came, startWithin how long after
	// that the fetch must start to be in time for it.
	requestedAt, startWithin time.Duration
	// waitUntil is when the last client gives up.
	waitUntil time.Duration

	// Done is closed when the fetch has ended, with Object, PassThrough or
	// neither. Status and Reason tell why there is neither.
	Done        chan struct{}
	Object      *Object
	PassThrough *PassThrough
	Status      int
	Reason      string
}

// IsAwaited reports whether a client still waits for the fetch.
func (f *Fetch) IsAwaited(now time.Duration) bool { return now <= f.waitUntil }

// priority is the fetch's weight in the order of the queue: how much it is
// requested, and whether the last request can still be served in time.
func (f *Fetch) priority(now time.Duration) float64 {
	if now-f.requestedAt > f.startWithin {
		return f.weight * lateWeight
	}
	return f.weight
}

// FetchQueue orders the fetches of objects by priority and collapses requests
// for one object into one fetch.
type FetchQueue struct {
	// fetches holds, by key, those that are queued or running.
	fetches map[string]*Fetch
	// queued counts, by service, those that are not running.
	queued map[string]int
}

// NewFetchQueue returns an empty queue.
func NewFetchQueue() *FetchQueue {
	return &FetchQueue{fetches: map[string]*Fetch{}, queued: map[string]int{}}
}

// Enqueue joins the fetch of an object, or queues one. weight is added to its
// priority; a weight of 0 is that of a request that was counted before. The
// client waits until the time given, and is served in time if the fetch starts
// within startWithin.
func (q *FetchQueue) Enqueue(source Source, weight float64, now, until, startWithin time.Duration) *Fetch {
	key := source.Key()
	fetch := q.fetches[key]
	if fetch == nil {
		fetch = &Fetch{Source: source, Done: make(chan struct{})}
		q.fetches[key] = fetch
		q.queued[source.Service]++
	}
	fetch.weight += weight
	if weight > 0 {
		fetch.requestedAt, fetch.startWithin = now, startWithin
	}
	fetch.waitUntil = max(fetch.waitUntil, until)
	return fetch
}

// Find returns the fetch of an object that is queued or running, nil if there
// is none.
func (q *FetchQueue) Find(key string) *Fetch { return q.fetches[key] }

// Queued returns how many fetches from a service wait to start.
func (q *FetchQueue) Queued(service string) int { return q.queued[service] }

// Services lists the services that fetches wait for.
func (q *FetchQueue) Services() []string {
	var services []string
	for name, n := range q.queued {
		if n > 0 {
			services = append(services, name)
		}
	}
	return services
}

// Next starts the fetch from a service with the highest priority, nil if none
// is queued. It finishes those that no client waits for any more.
func (q *FetchQueue) Next(service string, knownPurge int64, now time.Duration) *Fetch {
	var first *Fetch
	highest := 0.0
	for _, fetch := range q.fetches {
		if fetch.Running || fetch.Service != service {
			continue
		}
		if !fetch.IsAwaited(now) {
			q.Finish(fetch, http.StatusGatewayTimeout, "no client waits for it any more")
			continue
		}
		if priority := fetch.priority(now); first == nil || priority > highest {
			first, highest = fetch, priority
		}
	}
	if first != nil {
		q.start(first, knownPurge, now)
	}
	return first
}

// QueuedBefore returns how many queued fetches would start before this one, as
// priorities are now.
func (q *FetchQueue) QueuedBefore(fetch *Fetch, now time.Duration) (n int) {
	own := fetch.priority(now)
	for _, other := range q.fetches {
		if !other.Running && other.Service == fetch.Service && other != fetch && other.priority(now) >= own {
			n++
		}
	}
	return n
}

func (q *FetchQueue) start(fetch *Fetch, knownPurge int64, now time.Duration) {
	fetch.Running = true
	fetch.StartedAt, fetch.KnownPurge = now, knownPurge
	fetch.Attempts++
	q.queued[fetch.Service]--
}

// Requeue queues a running fetch again whose attempt brought nothing usable.
// It keeps its priority.
func (q *FetchQueue) Requeue(fetch *Fetch) {
	fetch.Running = false
	q.queued[fetch.Service]++
}

// Finish ends a fetch, queued or running.
func (q *FetchQueue) Finish(fetch *Fetch, status int, reason string) {
	if q.fetches[fetch.Key()] == fetch {
		delete(q.fetches, fetch.Key())
	}
	if !fetch.Running {
		q.queued[fetch.Service]--
	}
	fetch.Status, fetch.Reason = status, reason
	close(fetch.Done)
}
