package upstream

import (
	"context"
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
	// OutcomeCanceled: this node broke the attempt off after bytes went out. The
	// endpoint may have processed the request; nothing is known about how well.
	OutcomeCanceled
)

// minAttemptTime is the least time for which an attempt is worth making.
const minAttemptTime = time.Millisecond

// Errors of an attempt that was not made. They say nothing about the endpoint:
// see notMade.
var (
	errNoTimeLeft = errors.New("no time left")
	errCanceled   = errors.New("canceled before the request was sent")
	// errEndpointLeft: the endpoint began to drain, or was removed, while a
	// connection to it was opened.
	errEndpointLeft = errors.New("the endpoint left before the request was sent")
)

// notMade reports whether an attempt ended before anything was asked of its
// endpoint.
func notMade(err error) bool {
	return errors.Is(err, errNoTimeLeft) || errors.Is(err, errCanceled) || errors.Is(err, errEndpointLeft)
}

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
	// Stream is the body of the response where it is passed on as it comes; Response
	// has none then.
	Stream *transport.ResponseBody
	// RelayedBody is the body of a response that another front relayed.
	RelayedBody []byte
	// Err is set where the outcome is OutcomeUnsent, OutcomeUnknown or
	// OutcomeCanceled.
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

// Body returns the response's body for use after Release.
func (a *Attempt) Body() []byte {
	return transport.KeepBody(a.Response)
}

// Succeeded reports whether the request was answered with success and a stamp.
func (a Attempt) Succeeded() bool {
	return a.Outcome == OutcomeAnswered && a.Status >= 200 && a.Status < 300 && a.Stamp != ""
}

// MayHaveRun reports whether the endpoint may have processed the request.
func (a *Attempt) MayHaveRun() bool {
	switch a.Outcome {
	case OutcomeUnprocessed, OutcomeUnsent:
		return false
	}
	return true
}

// Release gives the response's memory back. Slices of it must not be used after.
func (a *Attempt) Release() {
	if a.Response != nil {
		protocol.ReleaseResponse(a.Response)
		a.Response = nil
	}
	if stream := a.TakeStream(); stream != nil {
		stream.Close()
	}
}

// TakeStream returns the streamed body of the response, nil if there is none, and
// leaves it to the caller to close.
func (a *Attempt) TakeStream() *transport.ResponseBody {
	stream := a.Stream
	a.Stream = nil
	return stream
}

// Do sends the request to an endpoint that Pick returned with start, and waits
// for the response until the deadline. It sends the request once at most.
//
// Once ctx is canceled the request is not sent any more. One that is under way
// is broken off if it is idempotent; the work of another is not undone by that,
// so it runs to its end. A canceled attempt counts neither as a failure of the
// endpoint nor as a sample of its latency.
func (p *Pool) Do(ctx context.Context, e *Endpoint, request *Request, start, deadline time.Time) Attempt {
	attempt := p.exchange(ctx, e, request, deadline)
	attempt.Endpoint = e
	p.metrics.attempts[attempt.Outcome].Inc()
	p.record(e, &attempt, start)
	if attempt.MayHaveRun() && attempt.Outcome != OutcomeCanceled && !attempt.closedOnConnect {
		p.OnAttempt(e, request, &attempt)
	}
	return attempt
}

// exchange sends the request on an idle or a new connection and reads the
// response.
func (p *Pool) exchange(ctx context.Context, e *Endpoint, request *Request, deadline time.Time) Attempt {
	now := time.Now()
	if deadline.Sub(now) < minAttemptTime {
		return Attempt{Outcome: OutcomeUnsent, Err: errNoTimeLeft}
	}
	conn, dialed, err := p.connect(e, request, now, deadline)
	if err != nil {
		return Attempt{Outcome: OutcomeUnsent, Err: err}
	}
	if ctx.Err() != nil {
		// Opening the connection may have taken long.
		p.putBack(e, conn, dialed)
		return Attempt{Outcome: OutcomeUnsent, Err: errCanceled}
	}
	if dialed && p.hasLeft(e) {
		// Over a full link the connection may take longer to open than the news
		// takes to come that the endpoint drains.
		_ = conn.Close()
		return Attempt{Outcome: OutcomeUnsent, Err: errEndpointLeft}
	}
	if !request.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	response := protocol.AcquireResponse()
	began := time.Now()
	sent, err := conn.Exchange(ctx, p.outgoing(e, request, deadline.Sub(began)), deadline, response)
	if err == nil && !answers(response, request.ID) {
		err = transport.ErrUnsolicited
	}
	if err != nil {
		_ = conn.Close()
		protocol.ReleaseResponse(response)
		failed := failedAttempt(ctx, e, sent, err)
		failed.Duration = time.Since(began)
		failed.closedOnConnect = failed.Outcome == OutcomeUnknown && dialed && closedByEndpoint(err)
		return failed
	}
	attempt := answeredAttempt(response, time.Since(began))
	p.recordLoad(e, response)
	attempt.Stream = p.finish(e, conn, response)
	return attempt
}

// outgoing returns the request as an endpoint gets it.
func (p *Pool) outgoing(e *Endpoint, request *Request, remaining time.Duration) *transport.Outgoing {
	outgoing := &transport.Outgoing{
		Parts:        request.encode(e.ID, remaining),
		Body:         request.streamed,
		IsHead:       request.Method == http.MethodHead,
		MaxBodyBytes: p.options.MaxBodyBytes,
	}
	if request.StreamsResponse {
		outgoing.BufferedBodyBytes = p.options.BufferedBodyBytes
	}
	return outgoing
}

// connect returns an idle connection to the endpoint, or a new one.
func (p *Pool) connect(e *Endpoint, request *Request, now, deadline time.Time) (conn *transport.Conn, dialed bool, err error) {
	minIdle := time.Duration(0)
	if request.internal {
		minIdle = p.options.SettleTime
	}
	if conn = p.takeIdle(e, now, minIdle); conn != nil {
		return conn, false, nil
	}
	p.metrics.dials.Inc()
	conn, err = p.dial(e.Addr, min(deadline.Sub(now), p.options.DialTimeout), p.options.TCPUserTimeout)
	return conn, true, err
}

// hasLeft reports whether an endpoint that was picked may get no requests any
// more.
func (p *Pool) hasLeft(e *Endpoint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return e.removed
}

// failedAttempt returns the attempt of an exchange that failed. sent reports
// whether any byte may have gone out.
func failedAttempt(ctx context.Context, e *Endpoint, sent bool, err error) Attempt {
	switch canceled := ctx.Err() != nil; {
	case canceled && !sent:
		return Attempt{Outcome: OutcomeUnsent, Err: errCanceled}
	case canceled:
		return Attempt{Outcome: OutcomeCanceled, Err: err}
	case !sent:
		return Attempt{Outcome: OutcomeUnsent, Err: err}
	case errors.Is(err, transport.ErrNoRoom), errors.Is(err, transport.ErrCallerBody):
		// The shortage is this node's own, or the body the client's.
		return Attempt{Outcome: OutcomeCanceled, Err: err}
	}
	events.Log(events.ResponseMalformed, "searcher", e.ID, "err", err)
	return Attempt{Outcome: OutcomeUnknown, Err: err}
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

// finish keeps or closes the connection of a whole response. Where the body of the
// response is streamed it returns the body, with whose end that follows.
func (p *Pool) finish(e *Endpoint, conn *transport.Conn, response *protocol.Response) *transport.ResponseBody {
	mayReuse, timeout := !response.ConnectionClose() && !conn.Spent(), p.idleTimeout(response)
	stream := conn.TakeBody()
	if stream == nil {
		p.finishConn(e, conn, mayReuse, timeout)
		return nil
	}
	stream.OnClose(func(whole bool) {
		if !whole {
			_ = conn.Close()
			return
		}
		p.finishConn(e, conn, mayReuse, timeout)
	})
	return stream
}

// finishConn keeps or closes a connection whose last response was read whole.
func (p *Pool) finishConn(e *Endpoint, conn *transport.Conn, mayReuse bool, timeout time.Duration) {
	switch {
	case conn.HasUnsolicited():
		p.stopReuse(e, time.Now())
		_ = conn.Close()
	case !mayReuse:
		_ = conn.Close()
	default:
		p.putIdle(e, conn, timeout)
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
