package cache

import (
	"slices"
	"time"
)

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

// Client is one who waits for an object.
type Client struct {
	// Deadline is when the client gives up.
	Deadline time.Duration
	// Priority is the client's rank; 0 is the highest.
	Priority int
}

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

	// deadlines are those of the clients, the earliest first.
	deadlines []time.Duration
	// priority is the highest rank among the clients.
	priority int
	// isRefresh: no client waits, and the only deadline is the end of the
	// object's lifetime.
	isRefresh bool
	// sequence numbers the fetches in the order in which they were requested.
	sequence int64

	// Done is closed when the fetch has ended, with Object, PassThrough or
	// neither. Status and Reason tell why there is neither.
	Done        chan struct{}
	Object      *Object
	PassThrough *PassThrough
	Status      int
	Reason      string
	// RetryAfter is set where the fetch made room for others: how long the
	// origin needs for what is queued.
	RetryAfter time.Duration
}

// IsAwaited reports whether a client still waits for the fetch.
func (f *Fetch) IsAwaited(now time.Duration) bool {
	return len(f.deadlines) > 0 && now <= f.deadlines[len(f.deadlines)-1]
}

// join adds a client.
func (f *Fetch) join(client Client) {
	if f.isRefresh {
		f.isRefresh, f.deadlines, f.priority = false, nil, client.Priority
	}
	f.priority = min(f.priority, client.Priority)
	if at, found := slices.BinarySearch(f.deadlines, client.Deadline); !found {
		f.deadlines = slices.Insert(f.deadlines, at, client.Deadline)
	}
}

// due is the earliest deadline of a client.
func (f *Fetch) due() time.Duration { return f.deadlines[0] }

// dropDeadlines drops the deadlines that have passed. It returns false if none
// is left.
func (f *Fetch) dropDeadlines(now time.Duration) (left bool) {
	passed := 0
	for passed < len(f.deadlines) && f.deadlines[passed] < now {
		passed++
	}
	f.deadlines = f.deadlines[passed:]
	return len(f.deadlines) > 0
}
