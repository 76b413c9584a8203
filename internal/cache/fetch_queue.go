package cache

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// FetchQueue orders the fetches of objects by the time that their clients have
// (earliest deadline first) and collapses requests for one object into one
// fetch. A client is admitted if its object is expected in time without any
// other that was admitted becoming late; a client of a higher rank takes the
// place of those of a lower one. So who is admitted is served in time as long
// as the origin keeps its pace, and who is not takes nothing from the others.
type FetchQueue struct {
	// fetches holds, by key, those that are queued or running.
	fetches map[string]*Fetch
	// queued holds, by service, those that are not running, in their order.
	queued map[string][]*Fetch
	// requested counts the fetches requested.
	requested int64
}

// NewFetchQueue returns an empty queue.
func NewFetchQueue() *FetchQueue {
	return &FetchQueue{fetches: map[string]*Fetch{}, queued: map[string][]*Fetch{}}
}

// compareFetches orders the fetches of a service: refreshes last, then by
// deadline, and those of one deadline as they came.
func compareFetches(a, b *Fetch) int {
	if a.isRefresh != b.isRefresh {
		if a.isRefresh {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(a.due(), b.due()), cmp.Compare(a.sequence, b.sequence))
}

// Admit joins the client to the fetch of an object, or queues one. It returns
// no fetch if the object can't be there in time; retryAfter is then how long the
// origin needs for what is queued.
func (q *FetchQueue) Admit(source Source, client Client, schedule Schedule) (fetch *Fetch, retryAfter time.Duration) {
	fetch = q.fetches[source.Key()]
	if fetch != nil && fetch.Running {
		fetch.join(client)
		return fetch, 0
	}
	q.expire(source.Service, schedule.Now)
	fetch = q.fetches[source.Key()]
	planned := q.plan(source, client, fetch)
	was := len(q.queued[source.Service])
	if fetch != nil {
		was = slices.Index(q.queued[source.Service], fetch)
	}
	kept, shed, ok := makeRoom(insert(q.others(source.Service, fetch), planned), planned, was, &schedule)
	if !ok {
		return nil, schedule.end(len(q.queued[source.Service])) - schedule.Now
	}
	q.queued[source.Service] = kept
	if fetch == nil {
		fetch = planned
		q.fetches[source.Key()] = fetch
		q.requested++
	} else {
		fetch.join(client)
		kept[slices.Index(kept, planned)] = fetch
	}
	q.reject(shed, &schedule)
	return fetch, 0
}

// plan returns the fetch as it would be with the client: a copy of the one
// that is queued, or a new one.
func (q *FetchQueue) plan(source Source, client Client, queued *Fetch) *Fetch {
	planned := &Fetch{Source: source, Done: make(chan struct{}), priority: client.Priority, sequence: q.requested}
	if queued != nil {
		*planned = *queued
		planned.deadlines = slices.Clone(queued.deadlines)
	}
	planned.join(client)
	return planned
}

// others returns a copy of a service's queue without a fetch.
func (q *FetchQueue) others(service string, fetch *Fetch) []*Fetch {
	queue := slices.Clone(q.queued[service])
	return slices.DeleteFunc(queue, func(other *Fetch) bool { return other == fetch })
}

// insert adds a fetch at its place in an ordered queue.
func insert(queue []*Fetch, fetch *Fetch) []*Fetch {
	at, _ := slices.BinarySearchFunc(queue, fetch, compareFetches)
	return slices.Insert(queue, at, fetch)
}

// makeRoom takes fetches of a lower rank than the newcomer's out of the queue
// until it makes none late and is in time itself; ok is false if that is not
// enough.
func makeRoom(queue []*Fetch, newcomer *Fetch, was int, schedule *Schedule) (kept, shed []*Fetch, ok bool) {
	for {
		harmed := schedule.firstHarmed(queue, newcomer, was)
		if harmed < 0 {
			return queue, shed, true
		}
		least := leastFetch(queue[:harmed+1])
		if queue[least].priority <= newcomer.priority {
			return nil, nil, false
		}
		shed = append(shed, queue[least])
		queue = slices.Delete(queue, least, least+1)
	}
}

// leastFetch returns the position of the fetch of the lowest rank, and of those
// the one that was requested last.
func leastFetch(queue []*Fetch) (least int) {
	for i, fetch := range queue {
		if cmp.Or(cmp.Compare(fetch.priority, queue[least].priority), cmp.Compare(fetch.sequence, queue[least].sequence)) > 0 {
			least = i
		}
	}
	return least
}

// Refresh queues the fetch of an object for which no client waits, behind all
// others. It is dropped at the end of the object's lifetime.
func (q *FetchQueue) Refresh(source Source, until time.Duration) {
	fetch := &Fetch{Source: source, Done: make(chan struct{}), isRefresh: true, deadlines: []time.Duration{until}, sequence: q.requested}
	q.requested++
	q.fetches[source.Key()] = fetch
	q.queued[source.Service] = insert(q.queued[source.Service], fetch)
}

// Find returns the fetch of an object that is queued or running, nil if there
// is none.
func (q *FetchQueue) Find(key string) *Fetch { return q.fetches[key] }

// Queued returns how many fetches from a service wait to start.
func (q *FetchQueue) Queued(service string) int { return len(q.queued[service]) }

// Services lists the services that fetches wait for.
func (q *FetchQueue) Services() []string {
	var services []string
	for name, queue := range q.queued {
		if len(queue) > 0 {
			services = append(services, name)
		}
	}
	return services
}

// Next returns the fetch from a service that is to start next, nil if none is
// queued. It finishes those that no client waits for any more and, where the
// origin is slower than it was, those that make others late.
func (q *FetchQueue) Next(service string, schedule Schedule) *Fetch {
	q.expire(service, schedule.Now)
	if schedule.isOverrun(q.queued[service]) {
		q.shed(service, &schedule)
	}
	if queue := q.queued[service]; len(queue) > 0 {
		return queue[0]
	}
	return nil
}

// expire drops the deadlines that have passed, and finishes the fetches that
// no client waits for any more.
func (q *FetchQueue) expire(service string, now time.Duration) {
	for len(q.queued[service]) > 0 {
		first := q.queued[service][0]
		if first.due() >= now {
			return
		}
		if first.dropDeadlines(now) {
			q.queued[service] = insert(q.others(service, first), first)
		} else {
			q.Finish(first, http.StatusGatewayTimeout, "no client waits for it any more")
		}
	}
}

// shed takes fetches out of the queue until none is late. One that only its
// earliest client can't have in time stays for the others.
func (q *FetchQueue) shed(service string, schedule *Schedule) {
	var shed []*Fetch
	for {
		queue := q.queued[service]
		late := schedule.firstLate(queue)
		if late < 0 {
			break
		}
		if fetch := queue[late]; len(fetch.deadlines) > 1 {
			fetch.deadlines = fetch.deadlines[1:]
			q.queued[service] = insert(q.others(service, fetch), fetch)
			continue
		}
		least := leastFetch(queue[:late+1])
		shed = append(shed, queue[least])
		q.queued[service] = slices.Delete(queue, least, least+1)
	}
	q.reject(shed, schedule)
}

// reject finishes fetches that were taken out of the queue.
func (q *FetchQueue) reject(shed []*Fetch, schedule *Schedule) {
	for _, fetch := range shed {
		fetch.RetryAfter = schedule.end(len(q.queued[fetch.Service])) - schedule.Now
		q.Finish(fetch, http.StatusServiceUnavailable, "it can't be fetched in time")
	}
}

// Start takes a fetch that Next returned out of the queue and begins an attempt.
func (q *FetchQueue) Start(fetch *Fetch, knownPurge int64, now time.Duration) {
	q.queued[fetch.Service] = q.others(fetch.Service, fetch)
	fetch.Running = true
	fetch.StartedAt, fetch.KnownPurge = now, knownPurge
	fetch.Attempts++
}

// Requeue queues a running fetch again whose attempt brought nothing usable,
// by the deadlines of those who still wait.
func (q *FetchQueue) Requeue(fetch *Fetch) {
	fetch.Running = false
	q.queued[fetch.Service] = insert(q.queued[fetch.Service], fetch)
}

// Finish ends a fetch, queued or running.
func (q *FetchQueue) Finish(fetch *Fetch, status int, reason string) {
	if q.fetches[fetch.Key()] == fetch {
		delete(q.fetches, fetch.Key())
	}
	if !fetch.Running {
		q.queued[fetch.Service] = q.others(fetch.Service, fetch)
	}
	fetch.Status, fetch.Reason = status, reason
	close(fetch.Done)
}
