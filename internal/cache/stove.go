package cache

import "time"

// Fetch is one fetch that is wanted or under way.
type Fetch struct {
	Host, Target string
	Service      string
	// KnownPurge is the number of the last purge known when the fetch began.
	KnownPurge int64
	StartedAt  time.Duration
	Running    bool
	// Attempts counts the searchers that were asked.
	Attempts int
	// wish is how much the fetch is wanted, since when.
	wish float64
	// asked is when it was last asked for, soon how long after that whoever
	// asked can still be served in time.
	asked, soon time.Duration
	// last is when nobody waits for it any more.
	last time.Duration
	// Done is closed at its end; Copy, or else Status and Why, tell how.
	Done   chan struct{}
	Object *Object
	Status int
	Reason string
	// PassThrough is an answer that can't be kept.
	PassThrough *PassThrough
}

// PassThrough is an origin's answer that is handed on and not kept.
type PassThrough struct {
	Status int
	Fields []Field
	Body   []byte
	Stamp  string
}

// Key names the flight's object.
func (f *Fetch) Key() string { return Key(f.Host, f.Target) }

// FetchQueue says what is fetched next: what many wait for, and what can still be
// served in time, come first. Several that want one object share one fetch.
type FetchQueue struct {
	flights map[string]*Fetch
	queued  map[string]int
}

// NewFetchQueue makes a stove with nothing on it.
func NewFetchQueue() *FetchQueue {
	return &FetchQueue{flights: map[string]*Fetch{}, queued: map[string]int{}}
}

// Enqueue joins the fetch of an object, or begins to wish for one. weight is what
// the one who asks adds to the wish for it, until is how long he waits, soon how long the fetch may be put off for him
// to be served in time.
func (s *FetchQueue) Enqueue(host, target, service string, weight float64, now, until, soon time.Duration) *Fetch {
	key := Key(host, target)
	f := s.flights[key]
	if f == nil {
		f = &Fetch{Host: host, Target: target, Service: service, Done: make(chan struct{})}
		s.flights[key] = f
		s.queued[service]++
	}
	if f.wish += weight; weight > 0 {
		f.asked, f.soon = now, soon
	}
	f.last = max(f.last, until)
	return f
}

// Find gives the fetch of an object that is wanted or under way.
func (s *FetchQueue) Find(key string) *Fetch { return s.flights[key] }

// Queued is how many fetches from a service wait for their turn.
func (s *FetchQueue) Queued(service string) int { return s.queued[service] }

// Services lists the services from which something is to be fetched.
func (s *FetchQueue) Services() []string {
	var out []string
	for name, n := range s.queued {
		if n > 0 {
			out = append(out, name)
		}
	}
	return out
}

// Next takes the fetch that is wanted most, if any still is; the others that
// nobody waits for any more are ended by the way.
func (s *FetchQueue) Next(service string, known int64, now time.Duration) *Fetch {
	var best *Fetch
	most := 0.0
	for _, f := range s.flights {
		if f.Running || f.Service != service {
			continue
		}
		if now > f.last {
			s.Finish(f, 504, "nobody waits for it any more")
			continue
		}
		if w := f.claim(now); best == nil || w > most {
			best, most = f, w
		}
	}
	if best == nil {
		return nil
	}
	s.begin(best, known, now)
	return best
}

// lateClaim is what a wish counts that can't be met in time any more.
const lateClaim = 0.55

// claim is how much a fetch is wanted: how many asked for it, and whether the
// last of them can still be served in time.
func (f *Fetch) claim(now time.Duration) float64 {
	if now-f.asked > f.soon {
		return f.wish * lateClaim
	}
	return f.wish
}

// QueuedBefore is how many fetches have their turn before f, as it is now.
func (s *FetchQueue) QueuedBefore(f *Fetch, now time.Duration) int {
	n, mine := 0, f.claim(now)
	for _, o := range s.flights {
		if !o.Running && o.Service == f.Service && o != f && o.claim(now) >= mine {
			n++
		}
	}
	return n
}

func (s *FetchQueue) begin(f *Fetch, known int64, now time.Duration) {
	f.Running, f.StartedAt, f.KnownPurge = true, now, known
	s.queued[f.Service]--
	f.Attempts++
}

// Requeue puts a fetch back that brought nothing usable; it keeps its turn.
func (s *FetchQueue) Requeue(f *Fetch) {
	f.Running = false
	s.queued[f.Service]++
}

// IsAwaited tells whether somebody still waits for the fetch.
func (f *Fetch) IsAwaited(now time.Duration) bool { return now <= f.last }

// Finish closes a fetch.
func (s *FetchQueue) Finish(f *Fetch, status int, why string) {
	if s.flights[f.Key()] == f {
		delete(s.flights, f.Key())
	}
	if !f.Running {
		s.queued[f.Service]--
	}
	f.Status, f.Reason = status, why
	close(f.Done)
}
