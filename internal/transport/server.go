package transport

import (
	"context"
	"errors"
	"math"
	"net"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network"

	"swiftswitch/internal/events"
)

// ErrStopped is the error of Listen when it was stopped before it could listen.
var ErrStopped = errors.New("stopped before listening")

func init() { hlog.SetLevel(hlog.LevelFatal) }

// ServerOptions are the limits of one listener.
type ServerOptions struct {
	RequestLimits
	// TCPUserTimeout is after how long without an acknowledgement a connection
	// is broken.
	TCPUserTimeout time.Duration
	// BodyCopies is how many times the memory of a request's body its handling
	// takes besides.
	BodyCopies int
	// RetryAfter is when a caller may come back that found no room.
	RetryAfter time.Duration
	// Limits, where set, is called for each request in place of RequestLimits.
	Limits func() RequestLimits
	// Tracker, where set, tracks the connections. Otherwise the listener has one
	// of its own of Budget, which is without limits if it is nil.
	Tracker *ConnTracker
	Budget  *Budget
}

// limits returns the limits of the next request.
func (o *ServerOptions) limits() RequestLimits {
	if o.Limits != nil {
		return o.Limits()
	}
	return o.RequestLimits
}

// tracker returns the tracker of the listener.
func (o *ServerOptions) tracker() *ConnTracker {
	switch {
	case o.Tracker != nil:
		return o.Tracker
	case o.Budget != nil:
		return o.Budget.NewTracker()
	}
	return unlimited().NewTracker()
}

// Listen opens a listening socket on addr (host:port). While that fails, it
// logs why and retries after each retryInterval; once stop is closed it fails
// with ErrStopped.
func Listen(addr string, tcpUserTimeout, retryInterval time.Duration, stop <-chan struct{}) (net.Listener, error) {
	listenConfig := &net.ListenConfig{Control: controlTCPUserTimeout(tcpUserTimeout), KeepAlive: -1}
	for {
		listener, err := listenConfig.Listen(context.Background(), "tcp4", addr)
		if err == nil {
			return listener, nil
		}
		events.Log(events.ListenFailed, "addr", addr, "err", err)
		select {
		case <-stop:
			return nil, ErrStopped
		case <-time.After(retryInterval):
		}
	}
}

// Serve starts a server on listener, whose every request goes to handle. Paths
// aren't normalised, nothing is added to responses, and no body is touched. The
// context that handle is given belongs to the connection: CallerFrom returns
// its Caller. The server ends with its listener.
func Serve(listener net.Listener, options ServerOptions, handle app.HandlerFunc) *server.Hertz {
	accepting := &trackedListener{
		Listener: listener,
		tracker:  options.tracker(),
		options:  &options,
		hangups:  &hangupWatcher{},
	}
	h := server.New(
		server.WithListener(listener),
		server.WithTransport(func(*config.Options) network.Transporter { return &transporter{listener: accepting} }),
		// The requests that hertz is given are within the limits already.
		server.WithMaxHeaderBytes(0),
		server.WithMaxRequestBodySize(math.MaxInt),
		server.WithUseRawPath(true),
		server.WithUnescapePathValues(false),
		server.WithRedirectTrailingSlash(false),
		server.WithRedirectFixedPath(false),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultDate(true),
		server.WithDisableDefaultContentType(true),
		server.WithDisablePrintRoute(true),
		config.Option{F: func(o *config.Options) { o.NoDefaultServerHeader = true }},
	)
	h.NoRoute(handle)
	h.NoMethod(handle)
	go func() {
		if err := h.Engine.Run(); err != nil && !errors.Is(err, net.ErrClosed) {
			events.Log(events.ServerEnded, "addr", listener.Addr(), "err", err)
		}
	}()
	return h
}
