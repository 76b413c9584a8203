package host

import (
	"strconv"

	"swiftswitch/internal/config"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

// retryAfterRatio, of AcknowledgeMs, is how soon a caller may ask again.
const retryAfterRatio = 0.02

// WriteUnavailable answers that a call can't be settled here and now. The
// caller may send it again soon, to any node.
func (h *Host) WriteUnavailable(c *app.RequestContext, reason string) {
	retryAfter := config.Milliseconds(h.Settings().Bounds.AcknowledgeMs, retryAfterRatio)
	c.Response.Header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	transport.WriteError(c, 503, reason)
}
