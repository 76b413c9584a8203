package testcluster

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// disconnectGrace is how long after a client has left nothing may reach an
	// endpoint any more, and endpoints may still be at work.
	disconnectGrace = 500 * time.Millisecond
	// maxLateArrivals is how many requests may be sent on later, and
	// maxLateWorkShare the share of those that would still be worked on.
	maxLateArrivals  = 3
	maxLateWorkShare = 0.25
	// unsafePath is the prefix of the unsafe route of ConfigurationBody.
	unsafePath = "/u/"
)

// Arrival is a request as an endpoint saw it.
type Arrival struct {
	ID, Target string
	Endpoint   string
	ReceivedAt time.Time
	// EndedAt is when the endpoint had answered, or its connection was closed;
	// zero while it is at work. EndsAt is when it would have answered.
	EndedAt, EndsAt time.Time
	// Header, Trailer and Body are those of the request.
	Header, Trailer http.Header
	Body            []byte
}

// recordArrival adds the request to the arrivals; the function returned records
// its end.
func (e *Endpoint) recordArrival(r *http.Request, body []byte, mode Mode) (ended func()) {
	now := time.Now()
	a := &Arrival{
		ID: r.Header.Get("Swiftswitch-Request-Id"), Target: r.RequestURI, Endpoint: e.id,
		ReceivedAt: now, EndsAt: now.Add(mode.delay()),
		Header: r.Header, Trailer: r.Trailer, Body: body,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.arrivals = append(e.arrivals, a)
	return func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		a.EndedAt = time.Now()
	}
}

// Arrivals returns copies of the requests that came to all endpoints so far, by
// their ID.
func (c *Cluster) Arrivals() map[string][]Arrival { return c.collectArrivals(false) }

// TakeArrivals returns what Arrivals does, and forgets it.
func (c *Cluster) TakeArrivals() map[string][]Arrival { return c.collectArrivals(true) }

func (c *Cluster) collectArrivals(forget bool) map[string][]Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	arrivals := map[string][]Arrival{}
	for _, e := range c.Endpoints {
		e.mu.Lock()
		for _, a := range e.arrivals {
			arrivals[a.ID] = append(arrivals[a.ID], *a)
		}
		if forget {
			e.arrivals = nil
		}
		e.mu.Unlock()
	}
	return arrivals
}

// LeaveMode is how a client leaves.
type LeaveMode int

// The modes of leaving.
const (
	// LeaveClose closes the connection.
	LeaveClose LeaveMode = iota
	// LeaveReset resets it.
	LeaveReset
	// LeaveShutdown shuts down the sending side alone.
	LeaveShutdown
)

// Departure is a client that left.
type Departure struct {
	// IDs are those of its requests, in the order in which it sent them on one
	// connection.
	IDs []string
	// Cached requests don't count, since their fetch may go on for others.
	Cached bool
	At     time.Time
}

// AskAndLeave sends requests for these paths to front n on one connection, one
// right after the other, and leaves after a while without reading.
func (c *Cluster) AskAndLeave(n int, method string, after time.Duration, mode LeaveMode, paths ...string) (Departure, error) {
	var d Departure
	conn, err := net.Dial("tcp4", c.address(n, frontPort))
	if err != nil {
		return d, err
	}
	defer func() { _ = conn.Close() }()
	var raw []byte
	for _, path := range paths {
		id := fmt.Sprintf("gone%05d", requestNumber.Add(1))
		d.IDs = append(d.IDs, id)
		raw = fmt.Appendf(raw, "%s %s HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: %s\r\nSwiftswitch-Deadline-Milliseconds: %d\r\n\r\n", method, path, id, clientDeadline.Milliseconds())
	}
	if _, err := conn.Write(raw); err != nil {
		return d, err
	}
	time.Sleep(after)
	switch mode {
	case LeaveReset:
		_ = conn.(*net.TCPConn).SetLinger(0)
		fallthrough
	case LeaveClose:
		_ = conn.Close()
	case LeaveShutdown:
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	d.At = time.Now()
	if mode == LeaveShutdown {
		time.Sleep(2 * disconnectGrace)
	}
	return d, nil
}

// DisconnectReport is what endpoints did for clients that had left.
type DisconnectReport struct {
	Departures int
	// LateArrivals are the requests that reached an endpoint too late.
	LateArrivals []Arrival
	// Lasting counts the repeatable requests whose work would have lasted
	// longer than the grace, LateWork those of them at which it did.
	Lasting, LateWork int
	// Longest is the longest time that work, or the sending on, went on after
	// the client had left.
	Longest time.Duration
}

// Broken reports whether the rule is broken: more than a few requests reached
// an endpoint too late, or more than a quarter of those that would have lasted
// was still worked on.
func (r *DisconnectReport) Broken() bool {
	return len(r.LateArrivals) > maxLateArrivals || float64(r.LateWork) > maxLateWorkShare*float64(r.Lasting)
}

func (r *DisconnectReport) String() string {
	return fmt.Sprintf("%d clients left: %d requests reached an endpoint over %v later, %d of %d were still worked on then; the longest %v after",
		r.Departures, len(r.LateArrivals), disconnectGrace, r.LateWork, r.Lasting, r.Longest.Round(time.Millisecond))
}

// AwaitWork waits until no endpoint is at work.
func (c *Cluster) AwaitWork() {
	c.T.Helper()
	c.Eventually("no endpoint is at work", func() bool {
		for _, arrivals := range c.Arrivals() {
			if slices.ContainsFunc(arrivals, func(a Arrival) bool { return a.EndedAt.IsZero() }) {
				return false
			}
		}
		return true
	})
}

// JudgeDisconnects judges departures by what the endpoints saw, after
// AwaitWork.
func (c *Cluster) JudgeDisconnects(departures []Departure) *DisconnectReport {
	arrivals := c.Arrivals()
	report := &DisconnectReport{Departures: len(departures)}
	for _, d := range departures {
		if d.Cached {
			continue
		}
		for _, id := range d.IDs {
			report.add(d.At, arrivals[id])
		}
	}
	return report
}

// add judges one request of a client that left.
func (r *DisconnectReport) add(leftAt time.Time, arrivals []Arrival) {
	limit := leftAt.Add(disconnectGrace)
	for _, a := range arrivals {
		if a.ReceivedAt.After(limit) {
			r.LateArrivals = append(r.LateArrivals, a)
		}
		r.Longest = max(r.Longest, a.ReceivedAt.Sub(leftAt))
	}
	// Requests of the unsafe route are not repeatable, whatever their method.
	repeatable := slices.DeleteFunc(arrivals, func(a Arrival) bool { return strings.HasPrefix(a.Target, unsafePath) })
	lasting := slices.ContainsFunc(repeatable, func(a Arrival) bool { return a.EndsAt.After(limit) })
	if !lasting {
		return
	}
	r.Lasting++
	late := false
	for _, a := range repeatable {
		late = late || a.EndedAt.IsZero() || a.EndedAt.After(limit)
		r.Longest = max(r.Longest, a.EndedAt.Sub(leftAt))
	}
	if late {
		r.LateWork++
	}
}
