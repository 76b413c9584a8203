package frontend

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"swiftswitch/internal/cache"
	"swiftswitch/internal/scatter"
	"swiftswitch/internal/upstream"
)

// stampSize is about how many bytes a stamp takes in HeaderPartStamps.
const stampSize = 40

// writeAttempt passes an endpoint's response on, without its hop-by-hop header
// fields.
func (h *Handler) writeAttempt(e *exchange, attempt *upstream.Attempt) {
	out := &e.ctx.Response
	out.SetStatusCode(attempt.Status)
	hopByHop := map[string]bool{}
	for _, name := range strings.Split(string(attempt.Response.Header.Peek("Connection")), ",") {
		hopByHop[strings.ToLower(strings.TrimSpace(name))] = true
	}
	attempt.Response.Header.VisitAll(func(key, value []byte) {
		name := string(key)
		lower := strings.ToLower(name)
		if upstream.IsHopByHop(name) || hopByHop[lower] {
			return
		}
		// The server would add its own value of these to one that is added.
		switch lower {
		case "content-type":
			out.Header.SetContentTypeBytes(value)
		case "server":
			out.Header.SetServerBytes(value)
		case "content-encoding":
			out.Header.SetContentEncodingBytes(value)
		default:
			out.Header.Add(name, string(value))
		}
	})
	if stream := attempt.TakeStream(); stream != nil {
		out.HijackWriter(e.caller.NewResponseWriter(&out.Header, stream, e.deadlines.ShardDeadline))
		return
	}
	// The attempt's memory is released before the response is written.
	out.SetBodyRaw(attempt.Body())
	if isRetryable(out.StatusCode()) && len(out.Header.Peek("Retry-After")) == 0 {
		h.setRetryAfterWait(e, h.usualLatency(e))
	}
}

// writeMerged merges the records of the shards that answered.
func writeMerged(e *exchange, query *scatter.Query) {
	var bodies [][]byte
	stamps := make([]byte, 0, stampSize*len(query.Shards))
	for _, shard := range query.Shards {
		if !shard.Answered() {
			continue
		}
		bodies = append(bodies, shard.Answer.Records())
		if len(stamps) > 0 {
			stamps = append(stamps, ", "...)
		}
		stamps = append(stamps, shard.Answer.Stamp...)
	}
	out := &e.ctx.Response
	out.SetStatusCode(http.StatusOK)
	out.Header.SetContentType("application/octet-stream")
	out.Header.Set(upstream.HeaderPartStamps, string(stamps))
	if missing := len(query.Shards) - query.Answered(); missing > 0 {
		out.Header.Set(upstream.HeaderMissingParts, strconv.Itoa(missing))
	}
	out.Header.Set(upstream.HeaderRequestID, e.request.ID)
	out.SetBodyRaw(scatter.Merge(bodies, e.route.TopRecords))
}

// writeObject answers by a cached object, whose body is shared and not copied.
func (h *Handler) writeObject(e *exchange, object *cache.Object) {
	header := &e.ctx.Request.Header
	response := object.Respond(cache.RequestConditions{
		Method:      e.request.Method,
		Range:       string(header.Peek("Range")),
		IfRange:     string(header.Peek("If-Range")),
		IfNoneMatch: string(header.Peek("If-None-Match")),
	})
	out := &e.ctx.Response
	out.SetStatusCode(response.Status)
	writeFields(e, object.Fields)
	if response.Status < http.StatusBadRequest {
		// The searcher's stamp vouches for what it answered: no failure of this node.
		out.Header.Set(upstream.HeaderServerStamp, object.Stamp)
	}
	out.Header.Set("ETag", object.ETag)
	out.Header.Set("Age", strconv.Itoa(int(object.Age(h.cache.now())/time.Second)))
	if response.ContentRange != "" {
		out.Header.Set("Content-Range", response.ContentRange)
	}
	if response.Body != nil {
		out.SetBodyRaw(response.Body)
	}
}

// writePassThrough answers by an origin's response that is not cached.
func writePassThrough(e *exchange, answer *cache.PassThrough) {
	e.ctx.SetStatusCode(answer.Status)
	writeFields(e, answer.Fields)
	if answer.Stamp != "" {
		e.ctx.Response.Header.Set(upstream.HeaderServerStamp, answer.Stamp)
	}
	e.ctx.Response.SetBodyRaw(answer.Body)
}

// writeFields writes an object's header fields, and the request's ID.
func writeFields(e *exchange, fields []cache.Field) {
	header := &e.ctx.Response.Header
	for _, field := range fields {
		switch field.Name {
		case "Content-Type":
			header.SetContentType(field.Value)
		case "Server":
			header.SetServerBytes([]byte(field.Value))
		case "Content-Encoding":
			header.SetContentEncoding(field.Value)
		default:
			header.Add(field.Name, field.Value)
		}
	}
	header.Set(upstream.HeaderRequestID, e.request.ID)
}
