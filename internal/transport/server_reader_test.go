package transport

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
)

// readerLimits are the limits of the requests in these tests.
var readerLimits = RequestLimits{HeaderBytes: 1 << 10, BodyBytes: 1 << 10, ReadTimeout: 500 * time.Millisecond, IdleTimeout: time.Second}

// startEcho serves requests within readerLimits. Responses hold the body.
func startEcho(t *testing.T, budget *Budget) (addr string) {
	t.Helper()
	options := testOptions()
	options.RequestLimits = readerLimits
	options.Budget = budget
	listener := startServer(t, anyPort, options, func(c *app.RequestContext) {
		c.SetStatusCode(http.StatusOK)
		c.Response.SetBodyRaw(append([]byte(nil), c.Request.Body()...))
	})
	return listener.Addr().String()
}

func dial(t *testing.T, addr string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// readResponses returns the responses on a connection until it ends, each as its
// status and its body.
func readResponses(conn net.Conn) (responses []string) {
	in := bufio.NewReader(conn)
	for {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return responses
		}
		body, err := io.ReadAll(response.Body)
		if err != nil {
			return append(responses, "cut off")
		}
		if response.StatusCode == http.StatusOK {
			responses = append(responses, fmt.Sprint(response.StatusCode, " ", string(body)))
		} else {
			responses = append(responses, fmt.Sprint(response.StatusCode))
		}
	}
}

const (
	chunkedHead = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	lastRequest = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
)

// headOfSize is a whole head of a number of bytes.
func headOfSize(size int) string {
	const begin, end = "GET / HTTP/1.1\r\nHost: a\r\nX: ", "\r\n\r\n"
	return begin + strings.Repeat("a", size-len(begin)-len(end)) + end
}

// Each request within the limits is handled, and the next one on its connection;
// any other is refused by a status that says why, and ends its connection.
func TestRequestsAreReadWithinLimits(t *testing.T) {
	refusal := regexp.MustCompile(`4\d\d$`)
	long := strings.Repeat("b", readerLimits.BodyBytes)
	trailers := strings.Repeat("X-T: 1\r\n", readerLimits.HeaderBytes/8)
	for name, c := range map[string]struct {
		raw  string
		want string
	}{
		"no body":                       {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", "200 "},
		"length":                        {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody", "200 body"},
		"length with leading zeros":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0004\r\n\r\nbody", "200 body"},
		"longest body":                  {fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", len(long), long), "200 " + long},
		"longest body in a chunk":       {fmt.Sprintf("%s%x\r\n%s\r\n0\r\n\r\n", chunkedHead, len(long), long), "200 " + long},
		"longest body in small chunks":  {chunkedHead + strings.Repeat("1\r\nb\r\n", len(long)) + "0\r\n\r\n", "200 " + long},
		"longest head":                  {headOfSize(readerLimits.HeaderBytes), "200 "},
		"chunk size with leading zeros": {chunkedHead + "00004\r\nbody\r\n000\r\n\r\n", "200 body"},
		"blanks behind a chunk size":    {chunkedHead + "4   \r\nbody\r\n0\r\n\r\n", "200 body"},
		"an empty line before it":       {"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "200 "},
		"a bare newline before it":      {"\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "200 "},
		"an empty line after it":        {"GET / HTTP/1.1\r\nHost: a\r\n\r\n\r\n", "200 "},
		"chunk extensions":              {chunkedHead + "4;a=b;c=\"d;e\"\r\nbody\r\n0 ; f\r\n\r\n", "200 body"},
		"trailers":                      {chunkedHead + "4\r\nbody\r\n0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n", "200 body"},
		"bare newlines in the head":     {strings.ReplaceAll("GET / HTTP/1.1\r\nHost: a\r\n\r\n", "\r", ""), "200 "},
		"chunks of a pipelined request": {chunkedHead + "2\r\nab\r\n0\r\n\r\n" + chunkedHead + "2\r\ncd\r\n0\r\n\r\n", "200 ab,200 cd"},

		"head too large":                  {headOfSize(readerLimits.HeaderBytes + startLineBytes + 1), "431"},
		"start line without end":          {"GET /" + strings.Repeat("a", 4<<10), "431"},
		"field without end":               {"GET / HTTP/1.1\r\nX: " + strings.Repeat("a", 4<<10), "431"},
		"tiny fields without end":         {"GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", 1<<10), "431"},
		"body too large":                  {fmt.Sprintf("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%sb", len(long)+1, long), "413"},
		"body too large, announced":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4611686018427387903\r\n\r\n", "413"},
		"length beyond numbers":           {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", "400"},
		"chunk too large":                 {fmt.Sprintf("%s%x\r\n", chunkedHead, len(long)+1), "413"},
		"largest chunk that can be said":  {chunkedHead + "fffffffffffffff\r\n", "413"},
		"chunks too large":                {chunkedHead + strings.Repeat("100\r\n"+long[:256]+"\r\n", 5), "413"},
		"chunk size without end":          {chunkedHead + strings.Repeat("0", 4<<10), "400"},
		"blanks without end":              {chunkedHead + "1" + strings.Repeat(" ", 4<<10), "400"},
		"carriage return in an extension": {chunkedHead + "4;a\rb\r\nbody\r\n0\r\n\r\n", "400"},
		"bare newline after an extension": {chunkedHead + "4;a=b\nbody\r\n0\r\n\r\n", "400"},
		"extension without a size":        {chunkedHead + ";a=b\r\nbody\r\n0\r\n\r\n", "400"},
		"chunk extension without end":     {chunkedHead + "4;" + strings.Repeat("a", 4<<10), "400"},
		"chunk without its end":           {chunkedHead + "4\r\nbodyy\r\n0\r\n\r\n", "400"},
		"bare newline behind a chunk":     {chunkedHead + "4\r\nbody\n0\r\n\r\n", "400"},
		"negative chunk size":             {chunkedHead + "-4\r\nbody\r\n0\r\n\r\n", "400"},
		"trailers too large":              {chunkedHead + "0\r\n" + trailers + "\r\n", "431"},
		"trailers without end":            {chunkedHead + "0\r\n" + strings.Repeat(trailers, 4), "431"},
		"malformed trailer":               {chunkedHead + "0\r\nno field\r\n\r\n", "400"},
		"two empty lines":                 {"\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "400"},
		"empty lines":                     {strings.Repeat("\r\n", 1<<10), "400"},
		"bare newlines":                   {strings.Repeat("\n", 1<<10), "400"},
		"empty lines after a request":     {"GET / HTTP/1.1\r\nHost: a\r\n\r\n" + strings.Repeat("\r\n", 1<<10), "200 ,400"},
		"no request line":                 {"hello\r\n\r\n", "400"},
		"no text":                         {"\x16\x03\x01\x02\x00", "400"},
		"two lengths":                     {"POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nbody", "400"},
		"length and chunks":               {"POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "400"},
		"other transfer coding":           {"POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", "400"},
		"blank before a colon":            {"POST / HTTP/1.1\r\nContent-Length : 4\r\n\r\nbody", "400"},
		"folded field":                    {"POST / HTTP/1.1\r\nX: 1\r\n Content-Length: 4\r\n\r\nbody", "400"},
		"head that stops":                 {"GET / HTTP/1.1\r\nHost: a\r\n", "408"},
		"body that stops":                 {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbod", "408"},
		"chunks that stop":                {chunkedHead + "4\r\nbody\r\n", "408"},
		"expectation of a body too large": {"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9999\r\n\r\n", "413"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			conn := dial(t, startEcho(t, nil))
			raw, want := c.raw, c.want
			if !refusal.MatchString(want) {
				raw, want = raw+lastRequest, want+",200 "
			}
			go func() { _, _ = io.WriteString(conn, raw) }()
			if got := strings.Join(readResponses(conn), ","); got != want {
				t.Errorf("%.80q, want %.80q", got, want)
			}
		})
	}
}

// What a client sends may come in parts of any size.
func TestRequestsComeByteByByte(t *testing.T) {
	conn := dial(t, startEcho(t, nil))
	raw := "\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody" + chunkedHead + "2\r\nbo\r\n2\r\ndy\r\n0\r\nX: 1\r\n\r\n" + lastRequest
	go func() {
		for part := range strings.SplitSeq(raw, "") {
			_, _ = io.WriteString(conn, part)
		}
	}()
	if got, want := strings.Join(readResponses(conn), ","), "200 body,200 body,200 "; got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
