package upstream

import (
	"errors"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"swiftswitch/internal/endpoints"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// Options are ratios and bounds; none is tied to a deployment.
type Options struct {
	// Distance tells how far a zone is: 0 here, 1 in this region, 2 beyond.
	Distance       func(zone string) int
	TCPUserTimeout time.Duration
	DialTimeout    time.Duration
	MaxBodyBytes   int
	// IdleTimeout is how long a connection is kept where the searcher names no time.
	IdleTimeout time.Duration
	// SettleTime is how long a connection must have rested for a read on the
	// system's own account, whose answer carries no id to know it by.
	SettleTime time.Duration
	// ConsecutiveFailures consecutive failures leave a searcher out for OutFor, longer each time.
	ConsecutiveFailures int
	BaseEjectionTime    time.Duration
	// DistancePenalty is added, as a part of the target, to the score of a searcher
	// in another region; half of it to that of one in another zone of this.
	DistancePenalty float64
	// TwoChoicesThreshold is how many equally near searchers make it better to choose between two drawn of them.
	TwoChoicesThreshold int
	// NodeName is this node's name: it draws which searchers the node may reach
	// where there are more nodes than connections.
	NodeName string
	// DecayTime is how long a measured latency keeps its weight without new ones.
	DecayTime time.Duration
}

// Verdict says what became of a try.
type Verdict int

// The verdicts.
const (
	// OutcomeAnswered: the searcher ran the request and its whole answer is in.
	OutcomeAnswered Verdict = iota
	// OutcomeUnprocessed: the searcher promised that it did not run the request.
	OutcomeUnprocessed
	// OutcomeUnsent: no byte went out.
	OutcomeUnsent
	// OutcomeUnknown: bytes went out and no whole answer came.
	OutcomeUnknown
)

// Attempt is the end of one try.
type Attempt struct {
	Outcome  Verdict
	Endpoint *Endpoint
	Status   int
	Stamp    string
	Response *protocol.Response
	// RelayedBody stands for the answer's body where another front brought it.
	RelayedBody []byte
	Err         error
	// Duration is how long the exchange lasted, the connection's opening left out.
	Duration time.Duration
	// WarmingUp: the searcher had started so lately that it ran slow.
	WarmingUp bool
	// shut: a new connection ended before a byte of the answer came.
	shut bool
}

// Records is the body of the part.
func (o *Attempt) Records() []byte {
	if o.Response != nil {
		return o.Response.Body()
	}
	return o.RelayedBody
}

// Succeeded tells whether the outcome is a success with its stamp.
func (o Attempt) Succeeded() bool {
	return o.Outcome == OutcomeAnswered && o.Status >= 200 && o.Status < 300 && o.Stamp != ""
}

// Release gives the answer's memory back.
func (o *Attempt) Release() {
	if o.Response != nil {
		protocol.ReleaseResponse(o.Response)
		o.Response = nil
	}
}

// Endpoint is one searcher as this node sees it.
type Endpoint struct {
	endpoints.Endpoint
	far int
	// draw ranks the searchers, differently for every node.
	draw uint64

	inflight []time.Time
	idle     []*transport.Conn

	ewma   float64
	sample time.Time

	running, waiting int
	loadAt           time.Time

	// room is how many connections the searcher seems to take from this node
	// since roomAt; 0: as many as it is said to.
	room   int
	roomAt time.Time

	fails    int
	outs     int
	outUntil time.Time
	gone     bool
	// missedAt is when it last did not answer; told: until then others say
	// that it does not answer them either.
	missedAt, told time.Time
	// doubtUntil: bytes came that belong to no request.
	doubtUntil time.Time
	// full and silent hold what the callbacks were last told.
	full, silent bool
}

type track struct {
	limit  int
	recent [64]float64
	n      int
	p50    float64
	p90    float64
}

// Pool is the set of all searchers that this node may reach.
type Pool struct {
	opt Options

	mu       sync.Mutex
	peers    map[string]*Endpoint
	services map[string][]*Endpoint
	tracks   map[string]*track
	share    FrontCounts
	// near and scores are room for Choose to work in.
	near   []*Endpoint
	scores []float64
	// OnUnhealthy and Full are told of searchers that fall silent or answer fully,
	// Miss that one did not answer, Seen of every try that a searcher was asked by.
	OnUnhealthy   func(id string)
	OnHealthy     func(id string)
	OnUnreachable func()
	OnAttempt     func(p *Endpoint, r *Request, o *Attempt)
}

// New makes an empty range.
func New(o Options) *Pool {
	return &Pool{opt: o, peers: map[string]*Endpoint{}, services: map[string][]*Endpoint{}, tracks: map[string]*track{},
		OnUnhealthy: func(string) {}, OnHealthy: func(string) {}, OnUnreachable: func() {}, OnAttempt: func(*Endpoint, *Request, *Attempt) {}}
}

// SetFrontCounts says how many front nodes share each searcher's connections.
func (g *Pool) SetFrontCounts(f FrontCounts) { g.mu.Lock(); g.share = f; g.mu.Unlock() }

// UnhealthyCount counts the searchers that are listed and have fallen silent.
func (g *Pool) UnhealthyCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.peers {
		if p.silent {
			n++
		}
	}
	return n
}

// SetConnectionLimit says how many connections each searcher of a service takes.
func (g *Pool) SetConnectionLimit(service string, limit int) {
	g.mu.Lock()
	g.track(service).limit = limit
	g.mu.Unlock()
}

func (g *Pool) track(service string) *track {
	t := g.tracks[service]
	if t == nil {
		t = &track{}
		g.tracks[service] = t
	}
	return t
}

// SetTable takes the platform's list. Draining searchers get nothing more.
func (g *Pool) SetTable(t *endpoints.Table) {
	var shut []*transport.Conn
	g.mu.Lock()
	seen := map[string]bool{}
	services := map[string][]*Endpoint{}
	for _, s := range t.Endpoints {
		if s.Draining {
			continue
		}
		seen[s.ID] = true
		p := g.peers[s.ID]
		if p == nil {
			p = &Endpoint{Endpoint: s, far: g.opt.Distance(s.Zone), draw: HashString(g.opt.NodeName + " " + s.ID)}
			g.peers[s.ID] = p
		}
		// The rest never changes in one life, and is read without the lock.
		p.Slots, p.WarmingUp = s.Slots, s.WarmingUp
		services[s.Service] = append(services[s.Service], p)
	}
	for id, p := range g.peers {
		if !seen[id] {
			p.gone = true
			shut = append(shut, p.idle...)
			p.idle = nil
			delete(g.peers, id)
		}
	}
	g.services = services
	g.mu.Unlock()
	for _, c := range shut {
		_ = c.Close()
	}
}

// Selector names the searchers that a try may go to: those of a service, of a
// version where one is given, and of these only the holders where they are given.
type Selector struct {
	Service string
	Version string
	IDs     []string
}

// has tells whether a searcher of the service is among them.
func (a *Selector) has(p *Endpoint) bool {
	return a == nil || (a.Version == "" || p.Version == a.Version) && (a.IDs == nil || contains(a.IDs, p.ID))
}

// Pick picks the searcher that promises to answer first among those
// allowed, leaving out those in not. It counts the try as under
// way; Try must follow. target is the route's aim. With spare, only a
// searcher that is not known to be full will do.
func (g *Pool) Pick(a Selector, not []*Endpoint, target time.Duration, spare bool) (*Endpoint, time.Time) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var best *Endpoint
	bestScore := math.Inf(1)
	t := g.track(a.Service)
	reach := g.reach(a.Service, a.Version, t, now)
	near, scores := g.near[:0], g.scores[:0]
	for _, p := range g.services[a.Service] {
		if !a.has(p) || has(not, p) {
			continue
		}
		if limit := g.limit(p, t, reach, now); limit >= 0 && len(p.inflight) >= limit {
			continue
		}
		if spare && g.queue(p, now) >= max(1, p.Slots) {
			continue
		}
		s := g.score(p, t, target, now)
		if best == nil || s < bestScore {
			best, bestScore = p, s
		}
		if s >= left {
			continue
		}
		if len(near) > 0 && p.far < near[0].far {
			near, scores = near[:0], scores[:0]
		}
		if len(near) == 0 || p.far == near[0].far {
			near, scores = append(near, p), append(scores, s)
		}
	}
	g.near, g.scores = near, scores
	if len(near) >= g.opt.TwoChoicesThreshold {
		// All fronts know about the same: were each to take the best, they
		// would meet there. The better of two drawn spreads them.
		i, j := rand.IntN(len(near)), rand.IntN(len(near)-1)
		if j >= i {
			j++
		}
		if scores[j] < scores[i] {
			i = j
		}
		best = near[i]
	}
	if best == nil {
		return nil, now
	}
	best.inflight = append(best.inflight, now)
	return best, now
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

func has(l []*Endpoint, p *Endpoint) bool {
	for _, x := range l {
		if x == p {
			return true
		}
	}
	return false
}

// left is added to the score of a searcher that is left out.
const left = 1e7

// score is the time, in milliseconds, after which an answer is expected.
func (g *Pool) score(p *Endpoint, t *track, target time.Duration, now time.Time) float64 {
	base := t.p50
	if base == 0 {
		base = ms(target) / 8
	}
	lat := base
	if p.ewma > 0 {
		w := math.Exp(-float64(now.Sub(p.sample)) / float64(g.opt.DecayTime))
		lat = p.ewma*w + base*(1-w)
	}
	slots := max(1, p.Slots)
	queue := g.queue(p, now)
	s := lat * (1 + 0.3*float64(queue)/float64(slots))
	if over := queue + 1 - slots; over > 0 {
		s += lat * float64(over) / float64(slots)
	}
	if p.WarmingUp {
		s += lat * 0.6
	}
	s += g.opt.DistancePenalty * ms(target) * float64(p.far) / 2
	if len(p.inflight) > 0 {
		// Somebody who keeps a request for long is not as fast as its past.
		if age := ms(now.Sub(p.inflight[0])); age > 2*lat {
			s += age
		}
	}
	s += float64(p.fails) * lat
	if now.Before(p.told) {
		s += left / 2
	}
	if now.Before(p.outUntil) || p.fails >= g.opt.ConsecutiveFailures && len(p.inflight) > 0 {
		s += left
	}
	return s
}

// queue is how many requests a searcher is known to have: this node's own, or
// what it told lately, which counts less the longer ago that was.
func (g *Pool) queue(p *Endpoint, now time.Time) int {
	told := float64(p.running + p.waiting)
	fresh, stale := g.opt.DecayTime/30, g.opt.DecayTime/8
	if age := now.Sub(p.loadAt); age > stale {
		told = 0
	} else if age > fresh {
		told *= float64(stale-age) / float64(stale-fresh)
	}
	return max(len(p.inflight), int(told))
}

// Overloaded tells whether every searcher that may take a request has more than
// factor times its slots to do already.
func (g *Pool) Overloaded(a Selector, factor float64) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	any := false
	t := g.track(a.Service)
	reach := g.reach(a.Service, a.Version, t, now)
	for _, p := range g.services[a.Service] {
		if !g.usable(p, &a, now) {
			continue
		}
		limit := g.limit(p, t, reach, now)
		if limit == 0 {
			continue
		}
		any = true
		if limit > 0 && len(p.inflight) >= limit {
			continue
		}
		if float64(g.queue(p, now)) < factor*float64(max(1, p.Slots)) {
			return false
		}
	}
	return any
}

// limit is how many connections this node may use to a searcher, 0 for none
// and below 0 for any number: its part of the limit of the service, or fewer
// where the searcher shut new ones lately.
func (g *Pool) limit(p *Endpoint, t *track, r reach, now time.Time) int {
	n := -1
	if t.limit > 0 {
		n = r.of(p)
	}
	if p.room > 0 && n != 0 {
		room := p.room + int(now.Sub(p.roomAt)/(g.opt.DecayTime/30))
		if n > 0 && room >= n {
			p.room = 0
			return n
		}
		return room
	}
	return n
}

// LatencyPercentiles gives the median and the ninth decile of a service's lately measured latencies; 0 where nothing is known.
func (g *Pool) LatencyPercentiles(service string) (p50, p90 time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.track(service)
	return time.Duration(t.p50 * 1e6), time.Duration(t.p90 * 1e6)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// connection takes the idle connection that has rested longest: whatever a
// searcher sent too much has had the time to come and be noticed. One that has
// rested for less than settle stays where it is.
func (g *Pool) connection(p *Endpoint, now time.Time, settle time.Duration) *transport.Conn {
	for {
		g.mu.Lock()
		if len(p.idle) == 0 || now.Sub(p.idle[0].IdleSince) < settle {
			g.mu.Unlock()
			return nil
		}
		c := p.idle[0]
		p.idle = p.idle[1:]
		g.mu.Unlock()
		quiet, surplus := c.CheckIdle()
		if surplus {
			g.doubt(p, now)
		} else if quiet && now.Sub(c.IdleSince) < c.IdleTimeout {
			return c
		}
		_ = c.Close()
	}
}

// doubt notes that a searcher sent bytes that belong to no request. More may
// be on their way on its other connections: they end, and for a while each
// carries one request only.
func (g *Pool) doubt(p *Endpoint, now time.Time) {
	g.mu.Lock()
	shut := p.idle
	p.idle, p.doubtUntil = nil, now.Add(g.opt.DecayTime)
	g.mu.Unlock()
	for _, c := range shut {
		_ = c.Close()
	}
	events.Log(events.UnsolicitedResponse, "searcher", p.ID)
}

// Do sends the request to a chosen searcher and waits for its answer until
// the deadline. It never sends anything twice.
func (g *Pool) Do(p *Endpoint, r *Request, start, deadline time.Time) Attempt {
	o := g.try(p, r, deadline)
	o.Endpoint = p
	g.learn(p, &o, start)
	if !o.shut && (o.Outcome == OutcomeAnswered || o.Outcome == OutcomeUnknown) {
		g.OnAttempt(p, r, &o)
	}
	return o
}

func (g *Pool) try(p *Endpoint, r *Request, deadline time.Time) Attempt {
	now := time.Now()
	left := deadline.Sub(now)
	if left < time.Millisecond {
		return Attempt{Outcome: OutcomeUnsent, Err: errLate}
	}
	settle := time.Duration(0)
	if r.own {
		settle = g.opt.SettleTime
	}
	c := g.connection(p, now, settle)
	fresh := c == nil
	if fresh {
		var err error
		if c, err = transport.Dial(p.Addr, min(left, g.opt.DialTimeout), g.opt.TCPUserTimeout); err != nil {
			return Attempt{Outcome: OutcomeUnsent, Err: err}
		}
		left = time.Until(deadline)
	}
	out := protocol.AcquireResponse()
	began := time.Now()
	sent, err := c.Exchange(r.bytesFor(p.ID, int64(left/time.Millisecond)), deadline, r.Method == "HEAD", g.opt.MaxBodyBytes, out)
	if err == nil && !belongs(out, r.ID) {
		err = transport.ErrUnsolicited
	}
	if err != nil {
		_ = c.Close()
		protocol.ReleaseResponse(out)
		if !sent {
			return Attempt{Outcome: OutcomeUnsent, Err: err}
		}
		events.Log(events.ResponseMalformed, "searcher", p.ID, "err", err)
		return Attempt{Outcome: OutcomeUnknown, Err: err, Duration: time.Since(began), shut: fresh && ended(err)}
	}
	o := Attempt{Outcome: OutcomeAnswered, Status: out.StatusCode(), Stamp: string(out.Header.Peek(HeaderServerStamp)), Response: out, Duration: time.Since(began)}
	if o.Status == 421 || len(out.Header.Peek(HeaderNotRun)) > 0 {
		o.Outcome = OutcomeUnprocessed
	}
	g.note(p, out)
	switch {
	case c.HasUnsolicited():
		g.doubt(p, time.Now())
		_ = c.Close()
	case out.ConnectionClose():
		_ = c.Close()
	default:
		g.rest(p, c, out)
	}
	return o
}

// belongs tells whether an answer may be the one to the request with that id:
// it carries no other id, and one stamp at most.
func belongs(out *protocol.Response, id string) bool {
	for _, v := range out.Header.PeekAll(HeaderRequestID) {
		if len(v) > 0 && string(v) != id {
			return false
		}
	}
	return len(out.Header.PeekAll(HeaderServerStamp)) <= 1
}

// ended tells whether a connection was closed or reset by the searcher.
func ended(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

var errLate = errorString("no time left")

type errorString string

func (e errorString) Error() string { return string(e) }

// note reads the load that a searcher tells.
func (g *Pool) note(p *Endpoint, out *protocol.Response) {
	v := out.Header.Peek(HeaderServerLoad)
	if len(v) == 0 {
		return
	}
	f := strings.Split(string(v), ",")
	if len(f) != 3 {
		return
	}
	running, e1 := strconv.Atoi(strings.TrimSpace(f[0]))
	waiting, e2 := strconv.Atoi(strings.TrimSpace(f[1]))
	if e1 != nil || e2 != nil {
		return
	}
	g.mu.Lock()
	p.running, p.waiting, p.loadAt = running, waiting, time.Now()
	g.mu.Unlock()
}

// rest puts a connection aside for the next request.
func (g *Pool) rest(p *Endpoint, c *transport.Conn, out *protocol.Response) {
	c.IdleSince, c.IdleTimeout = time.Now(), g.opt.IdleTimeout
	if ka := string(out.Header.Peek("Keep-Alive")); ka != "" {
		for _, part := range strings.Split(ka, ",") {
			if k, v, ok := strings.Cut(strings.TrimSpace(part), "="); ok && strings.EqualFold(k, "timeout") {
				if n, err := strconv.Atoi(v); err == nil && n > 0 {
					// A request must arrive before the searcher closes: leave a part unused.
					c.IdleTimeout = time.Duration(float64(n) * 0.8 * float64(time.Second))
				}
			}
		}
	}
	g.mu.Lock()
	if p.gone || c.IdleSince.Before(p.doubtUntil) {
		g.mu.Unlock()
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
	g.mu.Unlock()
}

// learn takes what a try tells of its searcher.
func (g *Pool) learn(p *Endpoint, o *Attempt, start time.Time) {
	now := time.Now()
	took := ms(now.Sub(start))
	full, silent, missed := false, false, false
	g.mu.Lock()
	p.ended(start)
	o.WarmingUp = p.WarmingUp
	switch {
	case o.Outcome == OutcomeAnswered || o.Outcome == OutcomeUnprocessed && o.Status != 421:
		if p.fails >= g.opt.ConsecutiveFailures {
			events.Log(events.EndpointRestored, "searcher", p.ID)
		}
		p.fails, p.outs, p.outUntil = 0, 0, time.Time{}
		if o.Outcome == OutcomeAnswered {
			full = o.Succeeded() && (!p.full || p.silent)
			if full {
				p.full, p.silent = true, false
			}
			if o.Status >= 500 {
				took *= 2
			}
			if p.ewma == 0 {
				p.ewma = took
			} else {
				p.ewma += 0.2 * (took - p.ewma)
			}
			p.sample, p.told = now, time.Time{}
			g.track(p.Service).add(took)
		}
	case o.Status == 421:
		// Another searcher lives there now; the list will say so soon.
		p.outUntil = now.Add(g.opt.BaseEjectionTime)
	case o.Err == errLate:
	case o.shut:
		// It has too many connections, and is not dead: make do with fewer for a while.
		p.room, p.roomAt = max(1, len(p.inflight)*7/10), now
		if len(p.inflight) == 0 {
			p.outUntil = now.Add(g.opt.BaseEjectionTime / 4)
		}
	default:
		p.fails++
		if missed = o.Outcome == OutcomeUnsent || ended(o.Err) || took > patience*g.track(p.Service).p50 && errors.Is(o.Err, os.ErrDeadlineExceeded); missed {
			p.missedAt = now
		}
		if p.fails >= g.opt.ConsecutiveFailures {
			silent = !p.silent
			p.silent = true
			if !now.Before(p.outUntil) {
				p.outs = min(p.outs+1, 3)
				p.outUntil = now.Add(g.opt.BaseEjectionTime << (p.outs - 1))
				events.Log(events.EndpointEjected, "searcher", p.ID, "err", o.Err)
			}
		}
	}
	g.mu.Unlock()
	if full {
		g.OnHealthy(p.ID)
	}
	if silent {
		g.OnUnhealthy(p.ID)
	}
	if missed {
		g.OnUnreachable()
	}
}

func (t *track) add(v float64) {
	t.recent[t.n%len(t.recent)] = v
	t.n++
	if t.n%16 == 0 || t.n < 8 {
		n := min(t.n, len(t.recent))
		var s [64]float64
		copy(s[:], t.recent[:n])
		sortFloats(s[:n])
		t.p50, t.p90 = s[n/2], s[min(n-1, n*9/10)]
	}
}

func sortFloats(a []float64) {
	for i := 1; i < len(a); i++ {
		for j := i; j > 0 && a[j] < a[j-1]; j-- {
			a[j], a[j-1] = a[j-1], a[j]
		}
	}
}

// PruneIdle closes connections that have rested too long, and those beyond what
// this node may have.
func (g *Pool) PruneIdle(now time.Time) {
	var shut []*transport.Conn
	g.mu.Lock()
	for _, p := range g.peers {
		if len(p.idle) == 0 {
			continue
		}
		t := g.track(p.Service)
		most := g.limit(p, t, g.reach(p.Service, p.Version, t, now), now)
		keep := p.idle[:0]
		for i, c := range p.idle {
			if now.Sub(c.IdleSince) >= c.IdleTimeout || most >= 0 && len(p.inflight)+len(p.idle)-i > most {
				shut = append(shut, c)
			} else {
				keep = append(keep, c)
			}
		}
		p.idle = keep
	}
	g.mu.Unlock()
	for _, c := range shut {
		_ = c.Close()
	}
}

// Distance tells how far a zone is from this node.
func (g *Pool) Distance(zone string) int { return g.opt.Distance(zone) }

// Distance tells how far the searcher is: 0 in this node's zone, 1 in its region, 2 beyond.
func (p *Endpoint) Distance() int { return p.far }

// InLocalZone tells whether the searcher is in this node's zone.
func (p *Endpoint) InLocalZone() bool { return p.far == 0 }

// usable tells whether a searcher may be asked now.
func (g *Pool) usable(p *Endpoint, a *Selector, now time.Time) bool {
	return a.has(p) && p.fails < g.opt.ConsecutiveFailures && now.After(p.outUntil)
}

// trusted tells whether a searcher in another zone may be asked for, by way of a front there.
func (g *Pool) trusted(p *Endpoint, a *Selector, now time.Time) bool {
	return g.usable(p, a, now) && !now.Before(p.told)
}

// HealthyZones lists the zones in which a service has a searcher in good order.
func (g *Pool) HealthyZones(a Selector) []string {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, p := range g.services[a.Service] {
		if g.trusted(p, &a, now) && !contains(out, p.Zone) {
			out = append(out, p.Zone)
		}
	}
	return out
}

// HealthyInZone gives a searcher of a service in a zone that is in good order, or nil.
func (g *Pool) HealthyInZone(a Selector, zone string) *Endpoint {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.services[a.Service] {
		if p.Zone == zone && g.trusted(p, &a, now) {
			return p
		}
	}
	return nil
}

// CancelPick takes back a choice that was not followed by a try.
func (g *Pool) CancelPick(p *Endpoint, start time.Time) {
	g.mu.Lock()
	p.ended(start)
	g.mu.Unlock()
}

func (p *Endpoint) ended(start time.Time) {
	for i, t := range p.inflight {
		if t.Equal(start) {
			p.inflight = append(p.inflight[:i], p.inflight[i+1:]...)
			return
		}
	}
}
