package frontend

import (
	"testing"
)

// Every reason has a status and a message. Only what says that nothing was
// processed asks the client to come back, and only what leaves the rest of the
// connection in doubt closes it.
func TestRejections(t *testing.T) {
	closes := map[rejection]bool{rejectHeadersTooLarge: true, rejectBodyTooLarge: true, rejectBodyIncomplete: true, rejectMalformed: true}
	for i, r := range rejections {
		reason := rejection(i)
		t.Run(r.message, func(t *testing.T) {
			if r.status == 0 || r.message == "" {
				t.Fatalf("reason %d has no answer", i)
			}
			if r.closesConnection != closes[reason] {
				t.Errorf("closes the connection: %v", r.closesConnection)
			}
			h := newIdleHandler()
			c, _ := handle(h, "400")
			e := &exchange{ctx: c}
			c.Response.Reset()
			if h.reject(e, reason) {
				t.Error("the filter chain goes on")
			}
			hasRetryAfter := len(c.Response.Header.Peek("Retry-After")) > 0
			if c.Response.StatusCode() != r.status || string(c.Response.Body()) != r.message+"\n" || hasRetryAfter != (r.status == 503 || r.status == 429) || e.closeConnection != r.closesConnection {
				t.Errorf("%d %q, Retry-After %v, closes %v", c.Response.StatusCode(), c.Response.Body(), hasRetryAfter, e.closeConnection)
			}
		})
	}
	if len(rejections) != int(rejectDraining)+1 {
		t.Errorf("%d reasons", len(rejections))
	}
}
