package node

import (
	"strconv"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"

	"github.com/cloudwego/hertz/pkg/app"
)

// Ratios of AcknowledgeMs: how long a caller waits for an answer, what each
// bodyStep of a body adds to that, and the most that it can be.
const (
	callerTimeoutRatio    = 0.2
	callerTimeoutPerBody  = 0.1
	maxCallerTimeoutRatio = 0.8
	bodyStep              = 64 << 10
)

// changeTimeoutFactor is for how many times its caller's timeout a change of
// the configuration may be in progress. One that comes late is recognised by
// its base version: sent again, it is found to be settled.
const changeTimeoutFactor = 2

// callerTimeout is how long the caller of a call with a body of that many bytes
// is assumed to wait.
func callerTimeout(acknowledgeMs float64, bodyBytes int) time.Duration {
	ratio := callerTimeoutRatio + callerTimeoutPerBody*float64(bodyBytes)/bodyStep
	return config.Milliseconds(acknowledgeMs, min(maxCallerTimeoutRatio, ratio))
}

// timeLeft returns how long the caller of a call that has just arrived still
// waits. forwarded is HeaderTimeLeft of the node that forwarded the call, empty
// if it came directly; it can only shorten the caller's own timeout.
func timeLeft(timeout time.Duration, forwarded string) time.Duration {
	if forwarded == "" {
		return timeout
	}
	ms, err := strconv.ParseInt(forwarded, 10, 64)
	if err != nil || ms < 0 {
		return 0
	}
	if ms > timeout.Milliseconds() {
		return timeout
	}
	return time.Duration(ms) * time.Millisecond
}

// callerDeadline returns when the caller of a call that has just been read
// stops waiting.
func (n *Node) callerDeadline(c *app.RequestContext) time.Time {
	timeout := callerTimeout(n.Settings().Bounds.AcknowledgeMs, len(c.Request.Body()))
	if method := string(c.Request.Header.Method()); method == "PUT" || method == "PATCH" {
		timeout *= changeTimeoutFactor
	}
	return time.Now().Add(timeLeft(timeout, string(c.Request.Header.Peek(nodeapi.HeaderTimeLeft))))
}
