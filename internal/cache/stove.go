package cache

import "time"

// Flight is one fetch that is wanted or under way.
type Flight struct {
	Host, Target string
	Service      string
	// Known is the number of the last purge known when the fetch began.
	Known   int64
	Began   time.Duration
	Running bool
	// Tries counts the searchers that were asked.
	Tries int
	// wish is how much the fetch is wanted, since when.
	wish float64
	// asked is when it was last asked for, soon how long after that whoever
	// asked can still be served in time.
	asked, soon time.Duration
	// last is when nobody waits for it any more.
	last time.Duration
	// Done is closed at its end; Copy, or else Status and Why, tell how.
	Done   chan struct{}
	Copy   *Copy
	Status int
	Why    string
	// Passed is an answer that can't be kept.
	Passed *Passed
}

// Passed is an origin's answer that is handed on and not kept.
type Passed struct {
	Status int
	Fields []Field
	Body   []byte
	Stamp  string
}

// Key names the flight's object.
func (f *Flight) Key() string { return Key(f.Host, f.Target) }

// Stove says what is fetched next: what many wait for, and what can still be
// served in time, come first. Several that want one object share one fetch.
type Stove struct {
	flights map[string]*Flight
	queued  map[string]int
}

// NewStove makes a stove with nothing on it.
func NewStove() *Stove { return &Stove{flights: map[string]*Flight{}, queued: map[string]int{}} }

// Want joins the fetch of an object, or begins to wish for one. weight is what
// the one who asks adds to the wish for it, until is how long he waits, soon how long the fetch may be put off for him
// to be served in time.
func (s *Stove) Want(host, target, service string, weight float64, now, until, soon time.Duration) *Flight {
	key := Key(host, target)
	f := s.flights[key]
	if f == nil {
		f = &Flight{Host: host, Target: target, Service: service, Done: make(chan struct{})}
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
func (s *Stove) Find(key string) *Flight { return s.flights[key] }

// Queued is how many fetches from a service wait for their turn.
func (s *Stove) Queued(service string) int { return s.queued[service] }

// Services lists the services from which something is to be fetched.
func (s *Stove) Services() []string {
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
func (s *Stove) Next(service string, known int64, now time.Duration) *Flight {
	var best *Flight
	most := 0.0
	for _, f := range s.flights {
		if f.Running || f.Service != service {
			continue
		}
		if now > f.last {
			s.End(f, 504, "nobody waits for it any more")
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
func (f *Flight) claim(now time.Duration) float64 {
	if now-f.asked > f.soon {
		return f.wish * lateClaim
	}
	return f.wish
}

// Before is how many fetches have their turn before f, as it is now.
func (s *Stove) Before(f *Flight, now time.Duration) int {
	n, mine := 0, f.claim(now)
	for _, o := range s.flights {
		if !o.Running && o.Service == f.Service && o != f && o.claim(now) >= mine {
			n++
		}
	}
	return n
}

func (s *Stove) begin(f *Flight, known int64, now time.Duration) {
	f.Running, f.Began, f.Known = true, now, known
	s.queued[f.Service]--
	f.Tries++
}

// Again puts a fetch back that brought nothing usable; it keeps its turn.
func (s *Stove) Again(f *Flight) {
	f.Running = false
	s.queued[f.Service]++
}

// Wait tells whether somebody still waits for the fetch.
func (f *Flight) Wait(now time.Duration) bool { return now <= f.last }

// End closes a fetch.
func (s *Stove) End(f *Flight, status int, why string) {
	if s.flights[f.Key()] == f {
		delete(s.flights, f.Key())
	}
	if !f.Running {
		s.queued[f.Service]--
	}
	f.Status, f.Why = status, why
	close(f.Done)
}
