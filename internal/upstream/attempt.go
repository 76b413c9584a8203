package upstream

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"swiftswitch/internal/events"
	"swiftswitch/internal/transport"
)

// Outcome says what became of the request of an attempt.
type Outcome int

const (
	// OutcomeAnswered: the endpoint processed the request and the whole
	// response is in.
	OutcomeAnswered Outcome = iota
	// OutcomeUnprocessed: the endpoint promised that it did not process the
	// request.
	OutcomeUnprocessed
	// OutcomeUnsent: no byte of the request went out.
	OutcomeUnsent
	// OutcomeUnknown: bytes went out and no whole response came, so that the
	// endpoint may have processed the request.
	OutcomeUnknown
)

// minAttemptTime is the least time for which an attempt is worth making.
const minAttemptTime = time.Millisecond

// errNoTimeLeft is the error of an attempt that was not made. It says nothing
// about the endpoint.
var errNoTimeLeft = errors.New("no time left")

// Attempt is one attempt at a request, and how it ended.
type Attempt struct {
	Outcome Outcome
	// Endpoint is the endpoint picked.
	Endpoint *Endpoint
	// Status and Stamp are those of the response. The stamp says which endpoint
	// and version the response is from.
	Status int
	Stamp  string
	// Response is set where the outcome is OutcomeAnswered or
	// OutcomeUnprocessed, until Release.
	Response *protocol.Response
	// RelayedBody is the body of a response that another front relayed.
	RelayedBody []byte
	// Err is set where the outcome is OutcomeUnsent or OutcomeUnknown.
	Err error
	// Duration is how long the exchange lasted, without the opening of the
	// connection.
	Duration time.Duration
	// WarmingUp is whether the endpoint was still warming up at the end.
	WarmingUp bool
	// closedOnConnect is whether a new connection was closed by the endpoint
	// before a byte of the response came.
	closedOnConnect bool
}

// Records returns the response's body, that of a shard's records.
func (a *Attempt) Records() []byte {
	if a.Response != nil {
		return a.Response.Body()
	}
	return a.RelayedBody
}

// Succeeded reports whether the request was answered with success and a stamp.
func (a Attempt) Succeeded() bool {
	return a.Outcome == OutcomeAnswered && a.Status >= 200 && a.Status < 300 && a.Stamp != ""
}

// Release gives the response's memory back. Slices of it must not be used after.
func (a *Attempt) Release() {
	if a.Response != nil {
		protocol.ReleaseResponse(a.Response)
		a.Response = nil
	}
}

// Do sends the request to an endpoint that Pick returned with start, and waits
// for the response until the deadline. It sends the request once at most.
func (p *Pool) Do(e *Endpoint, request *Request, start, deadline time.Time) Attempt {
	attempt := p.exchange(e, request, deadline)
	attempt.Endpoint = e
	p.record(e, &attempt, start)
	maybeProcessed := attempt.Outcome == OutcomeAnswered || attempt.Outcome == OutcomeUnknown
	if maybeProcessed && !attempt.closedOnConnect {
		p.OnAttempt(e, request, &attempt)
	}
	return attempt
}

// exchange sends the request on an idle or a new connection and reads the
// response.
func (p *Pool) exchange(e *Endpoint, request *Request, deadline time.Time) Attempt {
	now := time.Now()
	remaining := deadline.Sub(now)
	if remaining < minAttemptTime {
		return Attempt{Outcome: OutcomeUnsent, Err: errNoTimeLeft}
	}
	minIdle := time.Duration(0)
	if request.internal {
		minIdle = p.options.SettleTime
	}
	conn := p.takeIdle(e, now, minIdle)
	dialed := conn == nil
	if dialed {
		var err error
		conn, err = transport.Dial(e.Addr, min(remaining, p.options.DialTimeout), p.options.TCPUserTimeout)
		if err != nil {
			return Attempt{Outcome: OutcomeUnsent, Err: err}
		}
		remaining = time.Until(deadline)
	}
	response := protocol.AcquireResponse()
	began := time.Now()
	sent, err := conn.Exchange(request.encode(e.ID, remaining), deadline, request.Method == http.MethodHead, p.options.MaxBodyBytes, response)
	if err == nil && !answers(response, request.ID) {
		err = transport.ErrUnsolicited
	}
	if err != nil {
		_ = conn.Close()
		protocol.ReleaseResponse(response)
		if !sent {
			return Attempt{Outcome: OutcomeUnsent, Err: err}
		}
		events.Log(events.ResponseMalformed, "searcher", e.ID, "err", err)
		return Attempt{Outcome: OutcomeUnknown, Err: err, Duration: time.Since(began), closedOnConnect: dialed && closedByEndpoint(err)}
	}
	attempt := answeredAttempt(response, time.Since(began))
	p.recordLoad(e, response)
	p.finish(e, conn, response)
	return attempt
}

// answeredAttempt returns the attempt of a whole response.
func answeredAttempt(response *protocol.Response, duration time.Duration) Attempt {
	attempt := Attempt{
		Outcome:  OutcomeAnswered,
		Status:   response.StatusCode(),
		Stamp:    string(response.Header.Peek(HeaderServerStamp)),
		Response: response,
		Duration: duration,
	}
	if attempt.Status == http.StatusMisdirectedRequest || len(response.Header.Peek(HeaderNotRun)) > 0 {
		attempt.Outcome = OutcomeUnprocessed
	}
	return attempt
}

// finish keeps or closes the connection of a whole response.
func (p *Pool) finish(e *Endpoint, conn *transport.Conn, response *protocol.Response) {
	switch {
	case conn.HasUnsolicited():
		p.stopReuse(e, time.Now())
		_ = conn.Close()
	case response.ConnectionClose():
		_ = conn.Close()
	default:
		p.putIdle(e, conn, response)
	}
}

// answers reports whether a response may be that to the request with this ID: it
// carries no other ID, and one stamp at most.
func answers(response *protocol.Response, requestID string) bool {
	for _, id := range response.Header.PeekAll(HeaderRequestID) {
		if len(id) > 0 && string(id) != requestID {
			return false
		}
	}
	return len(response.Header.PeekAll(HeaderServerStamp)) <= 1
}

// closedByEndpoint reports whether the endpoint closed or reset the connection.
func closedByEndpoint(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// recordLoad takes the load that the response reports, if any.
func (p *Pool) recordLoad(e *Endpoint, response *protocol.Response) {
	header := response.Header.Peek(HeaderServerLoad)
	if len(header) == 0 {
		return
	}
	running, waiting, ok := parseLoad(string(header))
	if !ok {
		return
	}
	p.mu.Lock()
	e.reportedRunning, e.reportedWaiting, e.loadReportedAt = running, waiting, time.Now()
	p.mu.Unlock()
}

// parseLoad parses the load header's value "running,waiting,slots".
func parseLoad(header string) (running, waiting int, ok bool) {
	fields := strings.Split(header, ",")
	if len(fields) != 3 {
		return 0, 0, false
	}
	running, runningErr := strconv.Atoi(strings.TrimSpace(fields[0]))
	waiting, waitingErr := strconv.Atoi(strings.TrimSpace(fields[1]))
	return running, waiting, runningErr == nil && waitingErr == nil
}
