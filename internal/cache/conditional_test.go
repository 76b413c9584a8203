package cache

import (
	"fmt"
	"testing"
)

// One cached object answers whole, range and conditional requests as RFC 9110
// has it.
func TestRespond(t *testing.T) {
	const whole = "0123456789"
	object := &Object{Body: []byte(whole), ETag: `"v1"`}
	for _, c := range []struct {
		request      RequestConditions
		status       int
		body         string
		contentRange string
	}{
		{RequestConditions{Method: "GET"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "bytes=2-4"}, 206, "234", "bytes 2-4/10"},
		{RequestConditions{Method: "GET", Range: "bytes=7-"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "Bytes=7-99"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=-3"}, 206, "789", "bytes 7-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=-30"}, 206, whole, "bytes 0-9/10"},
		{RequestConditions{Method: "GET", Range: "bytes=10-"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=99999999999999999999-"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=-0"}, 416, "", "bytes */10"},
		{RequestConditions{Method: "GET", Range: "bytes=4-2"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "bytes=1-2,4-5"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "lines=1-2"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "bytes=a-b"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "bytes"}, 200, whole, ""},
		{RequestConditions{Method: "HEAD", Range: "bytes=2-4"}, 200, whole, ""},
		{RequestConditions{Method: "GET", Range: "bytes=2-4", IfRange: `"v1"`}, 206, "234", "bytes 2-4/10"},
		{RequestConditions{Method: "GET", Range: "bytes=2-4", IfRange: `"v0"`}, 200, whole, ""},
		{RequestConditions{Method: "GET", IfNoneMatch: `"v0", W/"v1"`}, 304, "", ""},
		{RequestConditions{Method: "GET", IfNoneMatch: "*", Range: "bytes=2-4"}, 304, "", ""},
		{RequestConditions{Method: "GET", IfNoneMatch: `"v0"`, Range: "bytes=2-4"}, 206, "234", "bytes 2-4/10"},
	} {
		t.Run(fmt.Sprintf("%+v", c.request), func(t *testing.T) {
			got := object.Respond(c.request)
			if got.Status != c.status || string(got.Body) != c.body || got.ContentRange != c.contentRange {
				t.Errorf("%d %q %q, want %d %q %q", got.Status, got.Body, got.ContentRange, c.status, c.body, c.contentRange)
			}
		})
	}
}
