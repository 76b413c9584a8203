package upstream

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
	"time"
)

// Names of the headers that the system itself reads or writes.
const (
	HeaderRequestID        = "Swiftswitch-Request-Id"
	HeaderDeadline         = "Swiftswitch-Deadline-Milliseconds"
	HeaderServerStamp      = "Swiftswitch-Server-Stamp"
	HeaderExpectedInstance = "Swiftswitch-Expected-Instance"
	HeaderServerLoad       = "Swiftswitch-Server-Load"
	HeaderNotRun           = "Swiftswitch-Not-Run"
	HeaderInstanceID       = "Swiftswitch-Instance-Id"
	HeaderPartStamps       = "Swiftswitch-Part-Stamps"
	HeaderMissingParts     = "Swiftswitch-Missing-Parts"
)

// Request is a client's request, ready to be sent any number of times.
type Request struct {
	ID     string
	Host   string
	Method string
	Target string
	// DeadlineMs is what the client gave, below 0 where it gave nothing.
	DeadlineMs float64
	// Route is the name of the route that it came by, Aim the time in which
	// an answer earns its full worth.
	Route         string
	LatencyTarget time.Duration
	// own: it is the system's, and searchers don't give its id back.
	own  bool
	head []byte
	body []byte
}

// hop holds the headers that concern one connection only.
var hop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true, "trailer": true,
	"transfer-encoding": true, "upgrade": true, "content-length": true, "expect": true,
	"proxy-authenticate": true, "proxy-authorization": true,
}

// IsHopByHop tells whether a header concerns one connection only.
func IsHopByHop(name string) bool { return hop[strings.ToLower(name)] }

// Errors of a request that no searcher may see.
var (
	ErrMalformed = errors.New("malformed request")
	ErrSmuggling = errors.New("request whose end is in doubt")
)

// NewRequest reads a request's raw header lines strictly and keeps what goes on to searchers.
func NewRequest(method, target string, raw, body []byte) (*Request, error) {
	r := &Request{Method: method, Target: target, DeadlineMs: -1, body: append([]byte(nil), body...)}
	if method == "" || !token([]byte(method)) {
		return nil, ErrMalformed
	}
	for _, c := range []byte(target) {
		if c <= ' ' || c == 0x7f {
			return nil, ErrMalformed
		}
	}
	type line struct{ name, value []byte }
	var lines []line
	named := map[string]bool{}
	lengths, codings, hosts, ids, deadlines := 0, 0, 0, 0, 0
	for len(raw) > 0 {
		l := raw
		if i := bytes.IndexByte(raw, '\n'); i >= 0 {
			l, raw = raw[:i], raw[i+1:]
		} else {
			raw = nil
		}
		l = bytes.TrimSuffix(l, []byte("\r"))
		if len(l) == 0 {
			continue
		}
		colon := bytes.IndexByte(l, ':')
		if colon <= 0 || !token(l[:colon]) || bytes.IndexByte(l, '\r') >= 0 || bytes.IndexByte(l, 0) >= 0 {
			return nil, ErrMalformed
		}
		name, value := l[:colon], bytes.Trim(l[colon+1:], " \t")
		switch strings.ToLower(string(name)) {
		case "content-length":
			lengths++
			if n, err := strconv.ParseUint(string(value), 10, 62); err != nil || n != uint64(len(body)) {
				return nil, ErrSmuggling
			}
		case "transfer-encoding":
			codings++
			if !strings.EqualFold(string(value), "chunked") {
				return nil, ErrSmuggling
			}
		case "host":
			hosts++
			r.Host = string(value)
		case "connection":
			for _, n := range strings.Split(string(value), ",") {
				named[strings.ToLower(strings.TrimSpace(n))] = true
			}
		case "swiftswitch-request-id":
			ids++
			r.ID = string(value)
		case "swiftswitch-deadline-milliseconds":
			deadlines++
			f, err := strconv.ParseFloat(string(value), 64)
			if err != nil || f != f || f < 0 {
				return nil, ErrMalformed
			}
			r.DeadlineMs = f
		}
		lines = append(lines, line{name, value})
	}
	if lengths > 1 || codings > 1 || lengths+codings > 1 || hosts > 1 {
		return nil, ErrSmuggling
	}
	if hosts == 0 || ids != 1 || r.ID == "" || deadlines > 1 {
		return nil, ErrMalformed
	}
	b := make([]byte, 0, 512)
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for _, l := range lines {
		low := strings.ToLower(string(l.name))
		if hop[low] || named[low] && low != "host" && !strings.HasPrefix(low, "swiftswitch-") ||
			low == "swiftswitch-deadline-milliseconds" || low == "swiftswitch-expected-instance" {
			continue
		}
		b = append(b, l.name...)
		b = append(b, ": "...)
		b = append(b, l.value...)
		b = append(b, "\r\n"...)
	}
	if len(body) > 0 || lengths+codings > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	r.head = b
	return r, nil
}

func token(b []byte) bool {
	for _, c := range b {
		if c <= ' ' || c >= 0x7f || strings.IndexByte("()<>@,;:\\\"/[]?={}", c) >= 0 {
			return false
		}
	}
	return true
}

// Head gives the request line and headers as they go on; Plain tells whether that is all.
func (r *Request) Head() string { return string(r.head) }

// IsGetWithoutBody tells whether the request has no body.
func (r *Request) IsGetWithoutBody() bool { return len(r.body) == 0 && r.Method == "GET" }

// HasBody tells whether a body came with the request.
func (r *Request) HasBody() bool { return len(r.body) > 0 }

// NewFetchRequest is a read of an object on the system's own account; etag, where it is
// set, asks whether that version still holds.
func NewFetchRequest(id, host, target, etag string) *Request {
	b := "GET " + target + " HTTP/1.1\r\nHost: " + host + "\r\n" + HeaderRequestID + ": " + id + "\r\n"
	if etag != "" {
		b += "If-None-Match: " + etag + "\r\n"
	}
	return &Request{ID: id, Host: host, Method: "GET", Target: target, DeadlineMs: -1, own: true, head: []byte(b)}
}

// NewRelayedRequest is a request that another front has checked and passed on by its head.
func NewRelayedRequest(head string) (*Request, bool) {
	r := &Request{DeadlineMs: -1, head: []byte(head)}
	lines := strings.Split(head, "\r\n")
	first := strings.Split(lines[0], " ")
	if len(first) != 3 || lines[len(lines)-1] != "" {
		return nil, false
	}
	r.Method, r.Target = first[0], first[1]
	for _, l := range lines[1:] {
		name, value, _ := strings.Cut(l, ": ")
		switch strings.ToLower(name) {
		case "host":
			r.Host = value
		case "swiftswitch-request-id":
			r.ID = value
		}
	}
	return r, r.Host != "" && r.ID != ""
}

// bytesFor is the request as one searcher gets it.
func (r *Request) bytesFor(instance string, leftMs int64) []byte {
	b := make([]byte, 0, len(r.head)+len(r.body)+96)
	b = append(b, r.head...)
	b = append(b, HeaderDeadline...)
	b = append(b, ": "...)
	b = strconv.AppendInt(b, leftMs, 10)
	b = append(b, "\r\n"+HeaderExpectedInstance+": "...)
	b = append(b, instance...)
	b = append(b, "\r\n\r\n"...)
	return append(b, r.body...)
}
