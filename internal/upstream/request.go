package upstream

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftswitch/internal/tenant"
	"swiftswitch/internal/transport"
)

// Request is a request in the form in which it goes to endpoints, ready to be
// sent any number of times. It does not change while attempts are under way.
type Request struct {
	ID     string
	Host   string
	Method string
	// Target is the request target, the path and query as the client sent them.
	Target string
	// DeadlineMs is how long the client waits, in milliseconds, or noDeadline.
	DeadlineMs float64
	// Credential is the key that the client presents. Tenant is the name that
	// endpoints are told, see SetTenant.
	Credential tenant.Credential
	Tenant     string
	// Route is the name of the request's route and TargetLatency the time within
	// which a response has its full value; the caller sets both. Idempotent is
	// whether the request may be processed more than once; scatter.Gatherer sets
	// it by its query's policy.
	Route         string
	TargetLatency time.Duration
	Idempotent    bool
	// StreamsResponse: a large body of a response is passed on as it comes.
	StreamsResponse bool
	// MayRunAgain, where it is set, is asked before a further attempt is made
	// while an earlier one may have run.
	MayRunAgain func() bool

	// internal is whether the request is the system's own. Responses to such
	// requests don't repeat the ID.
	internal bool
	// head is the request line and the headers that are the same for every
	// attempt, without the empty line at the end. It holds no key, unless
	// ForwardKey was called.
	head []byte
	// keyLines are the header lines with the client's key.
	keyLines []byte
	body     []byte
	// streamed is a body that goes out as it comes from the client, once at most;
	// nil for none.
	streamed *transport.RequestBody
}

// noDeadline is the DeadlineMs of a request without one.
const noDeadline = -1

const (
	// requestOverhead is the capacity reserved for what encode adds to a request.
	requestOverhead = 96
	// maxCopiedBytes is the size of the largest head or body that each attempt
	// has a copy of, to send all in one write.
	maxCopiedBytes = 4 << 10
)

// NewFetchRequest returns an internal request for an object. etag, where it is
// not empty, asks for the object only if that version is no longer current.
// SetTenant may follow.
func NewFetchRequest(id, host, target, etag string) *Request {
	head := "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + HeaderRequestID + ": " + id + "\r\n"
	if etag != "" {
		head += "If-None-Match: " + etag + "\r\n"
	}
	return &Request{ID: id, Host: host, Method: http.MethodGet, Target: target, DeadlineMs: noDeadline, Idempotent: true, internal: true, head: []byte(head)}
}

// NewRelayedRequest returns the request whose Head another front relayed, which
// parsed the client's request with NewRequest. ok is false where head is none.
func NewRelayedRequest(head string) (request *Request, ok bool) {
	lines := strings.Split(head, "\r\n")
	requestLine := strings.Split(lines[0], " ")
	if len(requestLine) != 3 || lines[len(lines)-1] != "" {
		return nil, false
	}
	request = &Request{Method: requestLine[0], Target: requestLine[1], DeadlineMs: noDeadline, head: []byte(head)}
	for _, line := range lines[1:] {
		name, value, _ := strings.Cut(line, ":")
		value = strings.TrimPrefix(value, " ")
		switch strings.ToLower(name) {
		case lowerHost:
			request.Host = value
		case lowerRequestID:
			request.ID = value
		case lowerTenantName:
			request.Tenant = value
		case lowerAPIKey:
			request.Credential.Key = value
			request.Credential.Lines++
		}
	}
	return request, request.Host != "" && request.ID != ""
}

// SetTenant makes all attempts tell the name of the tenant whose request it is.
// It must be called once at most, and before the first attempt.
func (r *Request) SetTenant(name string) {
	r.Tenant = name
	r.head = append(r.head, HeaderTenantName+": "+name+"\r\n"...)
}

// ForwardKey makes all attempts bear the client's key, which is then a header
// like any other. It must be called once at most, before the first attempt.
func (r *Request) ForwardKey() { r.head = append(r.head, r.keyLines...) }

// Head returns the request line and headers for NewRelayedRequest. It is the
// whole request where IsGetWithoutBody.
func (r *Request) Head() string { return string(r.head) }

// IsGetWithoutBody reports whether the request is a GET that has no body.
func (r *Request) IsGetWithoutBody() bool { return !r.HasBody() && r.Method == http.MethodGet }

// HasBody reports whether the request has a body.
func (r *Request) HasBody() bool { return len(r.body) > 0 || r.streamed != nil }

// SetStreamedBody gives a request that was parsed without its body one that goes out
// as it comes. It must be called once at most, and before the first attempt.
func (r *Request) SetStreamedBody(body *transport.RequestBody) {
	r.streamed = body
	if body.Length() < 0 {
		r.head = append(r.head, "Transfer-Encoding: chunked\r\n"...)
		return
	}
	r.head = append(r.head, "Content-Length: "...)
	r.head = strconv.AppendInt(r.head, body.Length(), 10)
	r.head = append(r.head, "\r\n"...)
}

// BodyBegun reports whether a part of a streamed body has gone out, so that the
// request can't be sent again.
func (r *Request) BodyBegun() bool { return r.streamed.Begun() }

// encode returns the request as the instance gets it, with the time that
// remains until the deadline, in parts. Large parts are shared by all attempts.
func (r *Request) encode(instanceID string, remaining time.Duration) [][]byte {
	b := make([]byte, 0, r.copiedBytes()+requestOverhead)
	var parts [][]byte
	if len(r.head) <= maxCopiedBytes {
		b = append(b, r.head...)
	} else {
		parts = append(parts, r.head)
	}
	b = append(b, HeaderDeadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, remaining.Milliseconds(), 10)
	b = append(b, "\r\n"+HeaderExpectedInstance+": "...)
	b = append(b, instanceID...)
	b = append(b, "\r\n\r\n"...)
	if len(r.body) <= maxCopiedBytes {
		return append(parts, append(b, r.body...))
	}
	return append(parts, b, r.body)
}

// copiedBytes is how much of the request each attempt has a copy of.
func (r *Request) copiedBytes() (size int) {
	for _, part := range [][]byte{r.head, r.body} {
		if len(part) <= maxCopiedBytes {
			size += len(part)
		}
	}
	return size
}
