package frontend

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"
)

// framingCase is what a client writes on one connection.
type framingCase struct {
	raw string
	// want lists, for each response in turn, the request's method, the
	// status and the request ID; processed is what the endpoint processes.
	want      string
	processed []string
}

func framingCases() map[string]framingCase {
	evil := rawRequest("GET", "/safe/evil", "e", "", "")
	chunks := "4\r\nbody\r\n0\r\n"
	return map[string]framingCase{
		"pipelined": {rawRequest("GET", "/safe/slow", "1", "", "") + rawRequest("GET", "/safe/b", "2", "", "") + rawRequest("POST", "/unsafe/slow", "3", contentLength("x"), "x") + rawRequest("GET", "/none", "4", "", ""),
			"GET 200 1,GET 200 2,POST 200 3,GET 404 ", []string{"GET /safe/slow 1", "GET /safe/b 2", "POST /unsafe/slow 3 x"}},
		"HEAD between": {rawRequest("HEAD", "/safe/a", "1", "", "") + rawRequest("GET", "/safe/b", "2", "", ""), "HEAD 200 1,GET 200 2", []string{"HEAD /safe/a 1", "GET /safe/b 2"}},
		"request as a body": {rawRequest("GET", "/safe/a", "1", contentLength(evil), evil) + rawRequest("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{strings.TrimSpace("GET /safe/a 1 " + evil), "GET /safe/b 2"}},
		"chunks with trailers": {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n", chunks+"X-Sum: 1\r\n\r\n") + rawRequest("GET", "/safe/b", "2", "", ""),
			"POST 200 1,GET 200 2", []string{"POST /unsafe/a 1 body", "GET /safe/b 2"}},
		"request ID among the trailers": {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\n", chunks+"Swiftswitch-Request-Id: 9\r\n\r\n"),
			"POST 200 1", []string{"POST /unsafe/a 1 body"}},
		"chunk extension": {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\n", "4;x=1\r\nbody\r\n0;"+strings.Repeat("y", 99)+"\r\n\r\n") + rawRequest("GET", "/safe/b", "2", "", ""),
			"POST 200 1,GET 200 2", []string{"POST /unsafe/a 1 body", "GET /safe/b 2"}},
		"end of a line in an extension": {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\n", "4;x=1\nbody\r\n0\r\n\r\n") + evil, "POST 400 ", nil},
		"ambiguous chunk size":          {rawRequest("GET", "/safe/a", "1", "Transfer-Encoding: chunked\r\n", "0x4\r\nbody\r\n0\r\n\r\n") + evil, "GET 400 ", nil},
		"length, then chunks":           {rawRequest("POST", "/unsafe/a", "1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"chunks, then length":           {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"unknown transfer coding":       {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n") + evil, "POST 400 ", nil},
		"identity transfer coding":      {rawRequest("POST", "/unsafe/a", "1", "Transfer-Encoding: identity\r\n", "") + evil, "POST 400 ", nil},
		"two lengths":                   {rawRequest("POST", "/unsafe/a", "1", "Content-Length: 0\r\nContent-Length: 4\r\n", "body") + evil, "POST 400 ", nil},
		"list of lengths":               {rawRequest("POST", "/unsafe/a", "1", "Content-Length: 4, 4\r\n", "body") + evil, "POST 400 ", nil},
		"folded header line":            {rawRequest("POST", "/unsafe/a", "1", "X-A: 1\r\n Content-Length: 4\r\n", "") + evil, "POST 400 ", nil},
		"carriage return in a method":   {"GET\rX /safe/a HTTP/1.1\r\nHost: a.example\r\nSwiftswitch-Request-Id: 1\r\n\r\n" + evil, "GET 400 ", nil},
		"HTTP/1.0":                      {strings.Replace(rawRequest("GET", "/safe/a", "1", "Connection: keep-alive\r\n", ""), "1.1", "1.0", 1) + evil, "GET 400 ", nil},
		"lines without carriage returns": {strings.ReplaceAll(rawRequest("GET", "/safe/a", "1", "", ""), "\r", "") + rawRequest("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{"GET /safe/a 1", "GET /safe/b 2"}},
		"Connection names the request ID": {rawRequest("GET", "/safe/a", "1", "Connection: Swiftswitch-Request-Id, Host, Upgrade\r\nUpgrade: h2c\r\n", "") + rawRequest("GET", "/safe/b", "2", "", ""),
			"GET 200 1,GET 200 2", []string{"GET /safe/a 1", "GET /safe/b 2"}},
		"absolute target":       {rawRequest("GET", "http://a.example/safe/a", "1", "", "") + rawRequest("GET", "/safe/b", "2", "", ""), "GET 404 ,GET 200 2", []string{"GET /safe/b 2"}},
		"target without a path": {rawRequest("OPTIONS", "*", "1", "", "") + rawRequest("GET", "/safe/b", "2", "", ""), "OPTIONS 400 ,GET 200 2", []string{"GET /safe/b 2"}},
		"Expect: 100-continue": {rawRequest("POST", "/unsafe/a", "1", "Expect: 100-continue\r\n"+contentLength("body"), "body") + rawRequest("GET", "/safe/b", "2", "", ""),
			"POST 100 ,POST 200 1,GET 200 2", []string{"POST /unsafe/a 1 body", "GET /safe/b 2"}},
	}
}

// Whatever a client writes, each response goes to the request that it belongs
// to, in the order of the requests, and an endpoint processes nothing that was
// no request of its own: ambiguous framing ends the connection.
func TestOneResponsePerRequest(t *testing.T) {
	endpoint := newTestEndpoint(t, func(c net.Conn, r *http.Request) error {
		if strings.Contains(r.RequestURI, "slow") {
			time.Sleep(40 * time.Millisecond)
		}
		return replyWhole(c, r)
	})
	addr, _ := newTestFront(t, endpoint.addr)
	for name, c := range framingCases() {
		t.Run(name, func(t *testing.T) {
			var methods []string
			for _, want := range strings.Split(c.want, ",") {
				method, _, _ := strings.Cut(want, " ")
				methods = append(methods, method)
			}
			responses, rest := send(t, addr, c.raw, methods...)
			var have []string
			for i, r := range responses {
				have = append(have, fmt.Sprint(methods[i], " ", r.status, " ", r.id))
				if r.status == 200 && r.stamp != "s."+r.id {
					t.Errorf("response %d has stamp %q", i, r.stamp)
				}
			}
			if got := strings.Join(have, ","); got != c.want || rest != "" {
				t.Errorf("responses %q and then %q, want %q", got, rest, c.want)
			}
			if processed := endpoint.takeProcessed(); !slices.Equal(processed, c.processed) {
				t.Errorf("processed %q, want %q", processed, c.processed)
			}
		})
	}
}
