package upstream

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"strings"

	"swiftswitch/internal/transport"
)

// Errors of a request that must not reach an endpoint.
var (
	ErrMalformed = errors.New("malformed request")
	// ErrSmuggling means that endpoints could disagree with this node on where
	// the request ends (request smuggling).
	ErrSmuggling = errors.New("request whose end is in doubt")
)

// typicalHeaders is how many header lines are parsed without an allocation.
const typicalHeaders = 16

// NewRequest parses the header lines of a client's request strictly, and keeps
// those that go on to endpoints. body, with any chunks decoded, is kept and must
// not change.
// The error is ErrMalformed or ErrSmuggling.
func NewRequest(method, target string, rawHeaders, body []byte) (*Request, error) {
	if !transport.IsToken([]byte(method)) || method == "" || !isTarget(target) {
		return nil, ErrMalformed
	}
	request := &Request{Method: method, Target: target, DeadlineMs: noDeadline, body: body}
	parser := requestParser{request: request, connectionOptions: map[string]bool{}}
	headers := make([]headerLine, 0, typicalHeaders)
	for len(rawHeaders) > 0 {
		var line []byte
		line, rawHeaders = cutLine(rawHeaders)
		if len(line) == 0 {
			continue
		}
		header, err := parser.parseLine(line)
		if err != nil {
			return nil, err
		}
		headers = append(headers, header)
	}
	if err := parser.check(); err != nil {
		return nil, err
	}
	request.head = parser.head(headers)
	request.keyLines = parser.keyLines(headers)
	return request, nil
}

// requestParser holds what the header lines of a request said so far.
type requestParser struct {
	request *Request
	// connectionOptions holds the lower-case names in Connection headers.
	connectionOptions map[string]bool
	// How often each header occurred.
	lengths, encodings, hosts, ids, deadlines int
}

// headerLine is one of the raw header lines, and its name in lower case.
type headerLine struct {
	name, value []byte
	lowerName   string
	// spaced: a blank stands between the two.
	spaced bool
}

// parseLine parses a header line that is not empty.
func (p *requestParser) parseLine(line []byte) (headerLine, error) {
	colon := bytes.IndexByte(line, ':')
	if colon <= 0 || !transport.IsToken(line[:colon]) || bytes.IndexByte(line, '\r') >= 0 || bytes.IndexByte(line, 0) >= 0 {
		return headerLine{}, ErrMalformed
	}
	name, value := line[:colon], bytes.Trim(line[colon+1:], " \t")
	header := headerLine{name: name, value: value, lowerName: strings.ToLower(string(name)), spaced: len(value) < len(line)-colon-1}
	switch header.lowerName {
	case lowerContentLength:
		p.lengths++
		length, err := strconv.ParseUint(string(value), 10, 62)
		if err != nil || length != uint64(len(p.request.body)) {
			return headerLine{}, ErrSmuggling
		}
	case lowerTransferEncoding:
		p.encodings++
		if !strings.EqualFold(string(value), "chunked") {
			return headerLine{}, ErrSmuggling
		}
	case lowerHost:
		p.hosts++
		p.request.Host = string(value)
	case lowerConnection:
		for option := range strings.SplitSeq(string(value), ",") {
			p.connectionOptions[strings.ToLower(strings.TrimSpace(option))] = true
		}
	case lowerRequestID:
		p.ids++
		p.request.ID = string(value)
	case lowerAPIKey:
		p.request.Credential.Key = string(value)
		p.request.Credential.Lines++
	case lowerDeadline:
		p.deadlines++
		deadline, err := strconv.ParseFloat(string(value), 64)
		if err != nil || math.IsNaN(deadline) || deadline < 0 {
			return headerLine{}, ErrMalformed
		}
		p.request.DeadlineMs = deadline
	}
	return header, nil
}

// check checks what only all lines together show.
func (p *requestParser) check() error {
	if p.lengths+p.encodings > 1 || p.hosts > 1 {
		return ErrSmuggling
	}
	if p.hosts == 0 || p.ids != 1 || p.request.ID == "" || p.deadlines > 1 {
		return ErrMalformed
	}
	return nil
}

// initialHeadBytes is the capacity with which a request's head begins.
const initialHeadBytes = 512

// head returns the request line and the headers that go on.
func (p *requestParser) head(headers []headerLine) []byte {
	b := make([]byte, 0, initialHeadBytes)
	b = append(b, p.request.Method...)
	b = append(b, ' ')
	b = append(b, p.request.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	for _, header := range headers {
		if p.forwards(header.lowerName) {
			b = header.appendTo(b)
		}
	}
	if len(p.request.body) > 0 || p.lengths+p.encodings > 0 {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(p.request.body)), 10)
		b = append(b, "\r\n"...)
	}
	return b
}

// appendTo appends the header line and its end as the client sent it: a head
// of many fields that is within the limits stays so.
func (h *headerLine) appendTo(b []byte) []byte {
	b = append(b, h.name...)
	b = append(b, ':')
	if h.spaced || h.isSystem() {
		b = append(b, ' ')
	}
	b = append(b, h.value...)
	return append(b, "\r\n"...)
}

// isSystem reports whether a front of an earlier version, to which the request may
// be relayed, looks for the field with a blank behind its colon.
func (h *headerLine) isSystem() bool {
	return h.lowerName == lowerHost || strings.HasPrefix(h.lowerName, lowerSystemPrefix)
}

// keyLines returns the header lines with the client's key, for
// Request.ForwardKey. There are none if a Connection header takes them away.
func (p *requestParser) keyLines(headers []headerLine) []byte {
	if p.request.Credential.Lines == 0 || p.connectionOptions[lowerAPIKey] {
		return nil
	}
	var lines []byte
	for _, header := range headers {
		if header.lowerName == lowerAPIKey {
			lines = header.appendTo(lines)
		}
	}
	return lines
}

// forwards reports whether a header goes on. A Connection header cannot take
// away the host or the system's headers. The two that differ with each attempt
// are added by Request.encode; the tenant's name is the system's alone, and
// whether the key goes on is decided later.
func (p *requestParser) forwards(lowerName string) bool {
	switch {
	case hopByHop[lowerName]:
		return false
	case lowerName == lowerDeadline, lowerName == lowerExpectedInstance, lowerName == lowerTenantName, lowerName == lowerAPIKey:
		return false
	case lowerName == lowerHost, strings.HasPrefix(lowerName, lowerSystemPrefix):
		return true
	default:
		return !p.connectionOptions[lowerName]
	}
}

// cutLine returns the first line of raw without its end, and what follows it.
func cutLine(raw []byte) (line, rest []byte) {
	line, rest, _ = bytes.Cut(raw, []byte{'\n'})
	return bytes.TrimSuffix(line, []byte{'\r'}), rest
}

// isTarget reports whether a request target holds no blanks or control characters.
func isTarget(target string) bool {
	for _, c := range []byte(target) {
		if c <= ' ' || c == 0x7f {
			return false
		}
	}
	return true
}
