package node

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"swiftswitch/internal/config"
	"swiftswitch/internal/nodeapi"
	"swiftswitch/internal/transport"

	"github.com/cloudwego/hertz/pkg/app"
)

const (
	// hedgeRatio, of the caller's timeout, is after how long without an answer
	// a forwarded call goes to a further node.
	hedgeRatio = 0.25
	// minTimeLeft is the least time for which a call is forwarded.
	minTimeLeft = time.Millisecond
)

// forwardedHeaders are the response headers that the caller is given.
var forwardedHeaders = []string{"Etag", "Retry-After"}

// forwarding is one operator's call on its way to a node that may settle it.
// It is used by the goroutine of the call alone.
type forwarding struct {
	node *Node
	// caller is who the call is forwarded for.
	caller   *transport.Caller
	method   string
	path     string
	ifMatch  string
	body     []byte
	deadline time.Time
	// candidates are the nodes without an attempt yet, the best first; last is
	// the one with the latest attempt.
	candidates []string
	last       string
	// pending is the number of attempts whose outcome was not read from
	// outcomes yet. An outcome is nil if the node did not settle the call.
	// outcomes has room for all, so that no attempt waits for its reader.
	pending  int
	outcomes chan *transport.Response
}

// forward sends an operator's call to a node that may settle it: to the best
// candidate first, and to further ones while there is no answer or it was a
// failure. All that happens before the deadline, and while the caller is there.
// A call that was forwarded already is not forwarded again.
func (n *Node) forward(c *app.RequestContext, caller *transport.Caller, path string, deadline time.Time) {
	if len(c.Request.Header.Peek(nodeapi.HeaderForwardedBy)) > 0 {
		n.WriteUnavailable(c, "this node has no state yet")
		return
	}
	candidates := n.forwardCandidates()
	f := &forwarding{
		node:    n,
		caller:  caller,
		method:  string(c.Request.Header.Method()),
		path:    path,
		ifMatch: string(c.Request.Header.Peek("If-Match")),
		// An attempt may outlive this call, whose buffers are reused.
		body:       slices.Clone(c.Request.Body()),
		deadline:   deadline,
		candidates: candidates,
		outcomes:   make(chan *transport.Response, len(candidates)),
	}
	response := f.run()
	if response == nil {
		n.WriteUnavailable(c, "no node that keeps state could settle it in time")
		return
	}
	for _, name := range forwardedHeaders {
		if value := response.Header(name); value != "" {
			c.Response.Header.Set(name, value)
		}
	}
	c.SetStatusCode(response.Status)
	c.Response.Header.SetContentType("application/json")
	c.Response.SetBodyRaw(response.Body)
}

// forwardCandidates lists the other nodes that may be control nodes, those that
// failed to answer lately last.
func (n *Node) forwardCandidates() []string {
	settings := n.Settings()
	ips := slices.DeleteFunc(n.ControlIPs(), func(ip string) bool { return ip == settings.IpAddress })
	window := config.Milliseconds(settings.Bounds.InTouchMs, 1)
	n.ViewLoop.Call(func() { ips = n.unresponsive.sortLast(ips, n.Now(), window) })
	return ips
}

// recordAnswer notes whether a node answered a forwarded call.
func (n *Node) recordAnswer(ip string, answered bool) {
	n.ViewLoop.Submit(func() { n.unresponsive.record(ip, answered, n.Now()) })
}

// run returns the first answer that settles the call, or nil.
func (f *forwarding) run() (response *transport.Response) {
	f.caller.Watch(func() { response = f.awaitAnswer() })
	return response
}

// awaitAnswer makes attempts until one settles the call.
func (f *forwarding) awaitAnswer() *transport.Response {
	expired := time.NewTimer(time.Until(f.deadline))
	defer expired.Stop()
	hedge := time.NewTicker(f.hedgeInterval())
	defer hedge.Stop()
	f.attemptNext()
	for f.pending > 0 {
		select {
		case response := <-f.outcomes:
			f.pending--
			if response == nil {
				f.attemptNext()
				continue
			}
			if f.method == "GET" && time.Now().After(f.deadline) {
				// What was read may be out of date by now. A change that was
				// acknowledged stays so.
				return nil
			}
			return response
		case <-hedge.C:
			f.node.recordAnswer(f.last, false)
			f.attemptNext()
		case <-f.caller.Context().Done():
			return nil
		case <-expired.C:
			return nil
		case <-f.node.Stopping:
			return nil
		}
	}
	return nil
}

func (f *forwarding) hedgeInterval() time.Duration {
	timeout := callerTimeout(f.node.Settings().Bounds.AcknowledgeMs, len(f.body))
	return max(time.Duration(float64(timeout)*hedgeRatio), minTimeLeft)
}

// attemptNext starts an attempt at the next candidate, if there is one and time,
// and the caller has not left.
func (f *forwarding) attemptNext() {
	timeLeft := time.Until(f.deadline)
	if len(f.candidates) == 0 || timeLeft < minTimeLeft || f.caller.Left() {
		return
	}
	f.last, f.candidates = f.candidates[0], f.candidates[1:]
	f.pending++
	header := map[string]string{
		nodeapi.HeaderForwardedBy: f.node.Settings().NodeName,
		nodeapi.HeaderTimeLeft:    strconv.FormatInt(timeLeft.Milliseconds(), 10),
	}
	if f.ifMatch != "" {
		header["If-Match"] = f.ifMatch
	}
	go f.attempt(f.last, header, timeLeft)
}

// attempt sends the call to one node. Every answer that is not a server error
// settles it, also a 404: it is given only after a majority answered.
func (f *forwarding) attempt(ip string, header map[string]string, timeout time.Duration) {
	response, err := f.node.Client.Do(f.node.Settings().InternalAddress(ip), f.method, f.path, header, f.body, timeout)
	settled := err == nil && response.Status < http.StatusInternalServerError
	f.node.recordAnswer(ip, settled)
	if !settled {
		f.outcomes <- nil
		return
	}
	f.outcomes <- &response
}
