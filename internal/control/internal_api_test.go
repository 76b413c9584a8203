package control_test

import (
	"encoding/json"
	"testing"

	"swiftswitch/internal/codec"
	"swiftswitch/internal/control"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/testcluster"

	"github.com/cloudwego/hertz/pkg/app"
)

// callInternal makes a call of another node.
func callInternal(server *control.Server, path, body string) (c *app.RequestContext, handled bool) {
	c = app.NewContext(0)
	c.Request.SetRequestURI(path)
	c.Request.Header.SetMethod("POST")
	c.Request.SetBodyString(body)
	return c, server.HandleInternal(c)
}

func TestInternalAPIStatus(t *testing.T) {
	_, server := testcluster.StartSingleControlNode(t)
	for _, test := range []struct {
		name, path, body string
		want             int
	}{
		{"no JSON", nodeapi.PathConsensus, "{", 400},
		{"a value whose body can't be decompressed", nodeapi.PathConsensus, `{"Slot":2,"Value":{"Version":4},"Packed":"AAAA"}`, 503},
		{"a delta that can't be decompressed", nodeapi.PathTable, `{"Delta":"AAAA"}`, 400},
		{"no JSON for a notification", nodeapi.PathUnreachable, "", 400},
		{"no JSON for the configuration", nodeapi.PathVersion, "", 400},
		{"a cache node without an address", nodeapi.PathCacheJoin, "{}", 503},
		{"a notification", nodeapi.PathUnreachable, "{}", 200},
		{"a table fetch", nodeapi.PathTableFetch, "{}", 200},
		{"a state", nodeapi.PathState, `{"Slot":-1}`, 200},
		{"a peek, whose body is not read", nodeapi.PathPeek, "{", 200},
		{"a persist, whose body is not read", nodeapi.PathPersist, "{", 200},
		{"a roster, whose body is not read", nodeapi.PathFrontRoster, "{", 200},
		{"silent voters, whose body is not read", nodeapi.PathSilentVoters, "{", 200},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, handled := callInternal(server, test.path, test.body)
			if !handled || c.Response.StatusCode() != test.want {
				t.Fatalf("handled %v with status %d, want %d: %s", handled, c.Response.StatusCode(), test.want, c.Response.Body())
			}
			var answer struct{ Error string }
			if err := json.Unmarshal(c.Response.Body(), &answer); err != nil || (answer.Error == "") != (test.want == 200) {
				t.Errorf("the body is %s", c.Response.Body())
			}
		})
	}
	if _, handled := callInternal(server, nodeapi.PathStatus, "{}"); handled {
		t.Error("a path of another server was handled")
	}
}

// The configuration itself is the gzipped body; what is said about it is in a header.
func TestVersionResponse(t *testing.T) {
	_, server := testcluster.StartSingleControlNode(t)
	c, _ := callInternal(server, nodeapi.PathVersion, `{"Version":0}`)
	body, err := codec.Gunzip(c.Response.Body(), 1<<20)
	if err != nil || string(body) != server.State().Body {
		t.Errorf("the body is %q: %v", body, err)
	}
	var response nodeapi.VersionResponse
	if err := json.Unmarshal(c.Response.Header.Peek(nodeapi.HeaderVersion), &response); err != nil || response.Version != server.State().Version {
		t.Errorf("the header is %+v: %v", response, err)
	}
	if encoding := string(c.Response.Header.ContentEncoding()); encoding != "gzip" {
		t.Errorf("the content encoding is %q", encoding)
	}
}
